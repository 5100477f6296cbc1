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
	reportEvery = 500 * time.Millisecond
	reportTime  = 2 * time.Second
	// settleShare of the time until a report is due passes before a window is
	// frozen, so that the instances have flushed their counts.
	settleShare = 0.4
	// removedAtStart is how many windows before those kept a new reporter clears
	// of rows that its predecessor left.
	removedAtStart = 20
	// leaseLead is how long the lease must still last for a report to go.
	leaseLead = 700 * time.Millisecond
)

// Reporter reports each window once. The counts are frozen in the table before
// they are sent, so that each report of a window has the same figures.
type Reporter struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	table    sesamepitch.Table
	duties   sesamepitch.FencedCalls
	lease    sesamepitch.LeaseHolder
	instance string
	length   time.Duration
	late     time.Duration
	// sent are the figures of each window as they were first sent.
	sent     map[int64]map[string]int64
	reported map[int64]bool
	// removed is the window before which all rows have been removed.
	removed int64
	checks  *invariant.Recorder
}

// Option changes a Reporter.
type Option func(*Reporter)

// WithChecks notes violated invariants.
func WithChecks(checks *invariant.Recorder) Option {
	return func(r *Reporter) { r.checks = checks }
}

// NewReporter returns a reporter of windows of a length, whose reports are due
// late after a window's end.
func NewReporter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, duties sesamepitch.FencedCalls, lease sesamepitch.LeaseHolder, instance string, length, late time.Duration, options ...Option) *Reporter {
	r := &Reporter{
		clock: clock, log: log, table: table, duties: duties, lease: lease, instance: instance,
		length: length, late: late, sent: map[int64]map[string]int64{}, reported: map[int64]bool{},
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
		case <-r.clock.After(reportEvery):
			r.step(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// step reports the windows that have settled and are not overdue.
func (r *Reporter) step(ctx context.Context) {
	now := r.clock.Now()
	settled := now.Add(-time.Duration(settleShare * float64(r.late)))
	newest := windowOf(settled, r.length) - 1
	oldest := windowOf(now.Add(-r.late), r.length)
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
	for window := range r.sent {
		if window < oldest {
			delete(r.sent, window)
			delete(r.reported, window)
		}
	}
}

// removeOld removes the rows of one window that has long been overdue.
func (r *Reporter) removeOld(ctx context.Context, oldest int64) {
	if _, held := r.authority(); !held || r.removed >= oldest-keptWindows {
		return
	}
	if r.removed == 0 {
		r.removed = oldest - keptWindows - removedAtStart
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	rows, err := r.table.List(ctx, windowKey(r.removed, ""))
	if err == nil {
		err = rowstore.DeleteRows(ctx, r.table, sesamepitch.KeysOf(rows))
	}
	if err != nil {
		r.log.Info("usage rows not removed", "window", r.removed, "cause", err.Error())
		return
	}
	r.removed++
}

func (r *Reporter) report(ctx context.Context, window int64) error {
	if _, held := r.authority(); !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	counts, err := r.freeze(ctx, window)
	if err != nil {
		return err
	}
	epoch, held := r.authority()
	if !held {
		return nil
	}
	before, again := r.sent[window]
	r.checks.Check(!again || maps.Equal(before, counts), invariant.UsageFrozen, "window", window, "before", before, "now", counts)
	r.sent[window] = counts
	err = r.duties.ReportWindow(ctx, sesamepitch.WindowUsage{Window: window, Counts: counts, Holder: r.instance, Fence: epoch})
	if err != nil {
		return err
	}
	r.reported[window] = true
	r.log.Info("usage reported", "window", window, "workspaces", len(counts), "fence", epoch)
	return nil
}

func (r *Reporter) authority() (int64, bool) {
	epoch, until, held := r.lease.Held()
	return epoch, held && until.Sub(r.clock.Now()) > leaseLead
}

// freeze returns the final counts of a window; the first call fixes them.
func (r *Reporter) freeze(ctx context.Context, window int64) (map[string]int64, error) {
	rows, err := r.table.List(ctx, windowKey(window, ""))
	if err != nil {
		return nil, err
	}
	counts := map[string]int64{}
	checks := []sesamepitch.Check{{Key: windowKey(window, frozenName)}}
	for _, row := range rows {
		known, err := decodeCounts(row)
		if err != nil {
			return nil, err
		}
		if strings.HasSuffix(row.Key, frozenName) {
			return known, nil
		}
		for workspace, count := range known {
			counts[workspace] += count
		}
		checks = append(checks, sesamepitch.Check{Key: row.Key, Version: row.Version})
	}
	_, err = r.table.Commit(ctx, sesamepitch.Txn{
		Checks: checks,
		Writes: []sesamepitch.Write{{Key: windowKey(window, frozenName), Value: rowstore.Encode(counts)}},
	})
	return counts, err
}
