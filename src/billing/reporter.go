package billing

import (
	"context"
	"maps"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/invariant"
	"sesamepitch/src/rowstore"

	"github.com/go-logr/logr"
)

const (
	reportInterval = 500 * time.Millisecond
	reportTimeout  = 2 * time.Second
	// settleRatio is the share of the report delay that passes before the counts
	// of a window become final, so that all instances have flushed theirs.
	settleRatio = 0.4
	// staleWindows is how many windows before pastWindows a new reporter clears of
	// rows that its predecessor did not remove.
	staleWindows = 20
)

// Reporter reports the counts of each window. It writes the final counts to the
// table before it sends them, so that a repeated report, also by another
// instance, has the same counts.
type Reporter struct {
	clock        sesamepitch.Clock
	log          logr.Logger
	table        sesamepitch.Table
	calls        sesamepitch.FencedCalls
	lease        sesamepitch.LeaseHolder
	instance     string
	windowLength time.Duration
	reportDelay  time.Duration
	// sentCounts holds the counts last sent for each window.
	sentCounts map[int64]map[string]int64
	reported   map[int64]bool
	// removedBefore is the window before which all rows are removed.
	removedBefore int64
	checks        *invariant.Recorder
}

// Option changes a Reporter.
type Option func(*Reporter)

// WithChecks records violated invariants in checks.
func WithChecks(checks *invariant.Recorder) Option {
	return func(r *Reporter) { r.checks = checks }
}

// NewReporter returns a reporter of windows of windowLength. A report is due
// reportDelay after the end of its window.
func NewReporter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, calls sesamepitch.FencedCalls, lease sesamepitch.LeaseHolder, instance string, windowLength, reportDelay time.Duration, options ...Option) *Reporter {
	r := &Reporter{
		clock: clock, log: log, table: table, calls: calls, lease: lease, instance: instance,
		windowLength: windowLength, reportDelay: reportDelay, sentCounts: map[int64]map[string]int64{}, reported: map[int64]bool{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		select {
		case <-r.clock.After(reportInterval):
			r.tick(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tick reports the windows that have settled and are not overdue, and removes
// old rows.
func (r *Reporter) tick(ctx context.Context) {
	now := r.clock.Now()
	settled := now.Add(-time.Duration(settleRatio * float64(r.reportDelay)))
	newest := windowOf(settled, r.windowLength) - 1
	oldest := windowOf(now.Add(-r.reportDelay), r.windowLength)
	for window := oldest; window <= newest; window++ {
		if r.reported[window] {
			continue
		}
		if err := r.report(ctx, window); err != nil {
			r.log.Info("usage not reported", "window", window, "cause", err.Error())
			return
		}
	}
	r.removeOld(ctx, oldest)
	for window := range r.sentCounts {
		if window < oldest {
			delete(r.sentCounts, window)
			delete(r.reported, window)
		}
	}
}

// removeOld removes the rows of the oldest window not yet cleared, if more than
// pastWindows windows lie between it and the oldest one that is not overdue.
func (r *Reporter) removeOld(ctx context.Context, oldest int64) {
	if _, held := r.lease.MayCall(); !held || r.removedBefore >= oldest-pastWindows {
		return
	}
	if r.removedBefore == 0 {
		r.removedBefore = oldest - pastWindows - staleWindows
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rows, err := r.table.List(ctx, windowKey(r.removedBefore, ""))
	if err == nil {
		err = rowstore.DeleteRows(ctx, r.table, sesamepitch.KeysOf(rows))
	}
	if err != nil {
		r.log.Info("usage rows not removed", "window", r.removedBefore, "cause", err.Error())
		return
	}
	r.removedBefore++
}

func (r *Reporter) report(ctx context.Context, window int64) error {
	if _, held := r.lease.MayCall(); !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	counts, err := r.finalize(ctx, window)
	if err != nil {
		return err
	}
	epoch, held := r.lease.MayCall()
	if !held {
		return nil
	}
	sent, sentBefore := r.sentCounts[window]
	r.checks.Check(!sentBefore || maps.Equal(sent, counts), invariant.UsageFrozen, "window", window, "before", sent, "now", counts)
	r.sentCounts[window] = counts
	err = r.calls.ReportWindow(ctx, sesamepitch.WindowUsage{Window: window, Counts: counts, Holder: r.instance, Fence: epoch})
	if err != nil {
		return err
	}
	r.reported[window] = true
	r.log.Info("usage reported", "window", window, "workspaces", len(counts), "fence", epoch)
	return nil
}

// finalize returns the final counts of a window. The first call sums up the counts
// of all writers and stores them; the commit fails if a count changed meanwhile.
func (r *Reporter) finalize(ctx context.Context, window int64) (map[string]int64, error) {
	rows, err := r.table.List(ctx, windowKey(window, ""))
	if err != nil {
		return nil, err
	}
	counts := map[string]int64{}
	checks := []sesamepitch.Check{{Key: windowKey(window, finalCountsName)}}
	for _, row := range rows {
		decoded, err := decodeCounts(row)
		if err != nil {
			return nil, err
		}
		if strings.HasSuffix(row.Key, finalCountsName) {
			return decoded, nil
		}
		for workspace, count := range decoded {
			counts[workspace] += count
		}
		checks = append(checks, sesamepitch.Check{Key: row.Key, Version: row.Version})
	}
	_, err = r.table.Commit(ctx, sesamepitch.Txn{
		Checks: checks,
		Writes: []sesamepitch.Write{{Key: windowKey(window, finalCountsName), Value: rowstore.Encode(counts)}},
	})
	return counts, err
}
