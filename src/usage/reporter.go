package usage

import (
	"context"
	"encoding/json"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/lease"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const reportInterval = time.Second

// cursor is a row with the next window to process.
type cursor struct {
	Window string `json:"window"`
}

// Reporter freezes and reports windows while this process holds the usage lease.
type Reporter struct {
	clock        sesamepitch.Clock
	log          logr.Logger
	table        sesamepitch.Table
	reports      sesamepitch.UsageReports
	lease        *lease.Lease
	holder       string
	windowLength time.Duration
	settleTime   time.Duration
	eligible     func() bool
}

// NewLease returns the usage lease, whose holder reports.
func NewLease(clock sesamepitch.Clock, table sesamepitch.Table, holder, address string, settings lease.Settings) *lease.Lease {
	return lease.New(clock, table, leaseKey, holder, address, settings)
}

// NewReporter returns a reporter. The reports service must send only while the lease is
// held; eligible reports whether this daemon should contend for it. A window is reported
// settleTime after its end.
func NewReporter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, reports sesamepitch.UsageReports, held *lease.Lease, holder string, windowLength, settleTime time.Duration, eligible func() bool) *Reporter {
	return &Reporter{clock: clock, log: log, table: table, reports: reports, lease: held, holder: holder, windowLength: windowLength, settleTime: settleTime, eligible: eligible}
}

// Workers returns the reporter's supervised task.
func (r *Reporter) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("usage-reports", func(ctx context.Context) error {
			return supervisor.Every(ctx, r.clock, reportInterval, r.tick)
		}),
	}
}

func (r *Reporter) tick(ctx context.Context) {
	if _, _, held := r.lease.Held(); !held && !r.eligible() {
		return
	}
	if err := r.lease.Step(ctx); err != nil {
		return
	}
	epoch, _, held := r.lease.Held()
	if !held {
		return
	}
	if err := r.reportNext(ctx, epoch); err != nil {
		r.log.Info("usage report failed; retrying", "kind", sesamepitch.KindOf(err), "cause", err.Error())
	}
}

// reportNext closes, freezes and reports the next window, if it is due. Each stage can be
// repeated by this process or its successor, with the same result.
func (r *Reporter) reportNext(ctx context.Context, epoch int64) error {
	window, version, err := r.nextWindow(ctx)
	if err != nil || r.clock.Now().Before(window.End().Add(r.settleTime)) {
		return err
	}
	report, keys, err := r.freeze(ctx, window)
	if err != nil {
		return err
	}
	report.Holder, report.Fence = r.holder, epoch
	if err := r.send(ctx, report); err != nil {
		return err
	}
	if err := r.finish(ctx, window, version, keys); err != nil {
		return err
	}
	r.log.Info("usage reported", "window", report.ID, "workspaces", len(report.Figures), "fence", epoch)
	return nil
}

// nextWindow returns the next window to report and the version of the cursor's row.
func (r *Reporter) nextWindow(ctx context.Context) (Window, int64, error) {
	var next cursor
	version, err := rowstore.Read(ctx, r.table, cursorKey, &next)
	if err != nil {
		return Window{}, 0, err
	}
	if version == 0 {
		return r.firstWindow(ctx)
	}
	window, err := parseWindow(next.Window, r.windowLength)
	return window, version, err
}

// firstWindow returns the oldest window in the table, or else the current one, and
// writes it to the cursor.
func (r *Reporter) firstWindow(ctx context.Context) (Window, int64, error) {
	first := WindowAt(r.clock.Now(), r.windowLength)
	rows, err := r.table.List(ctx, windowPrefix)
	if err != nil {
		return first, 0, err
	}
	if len(rows) > 0 {
		id := rows[0].Key[len(windowPrefix):]
		if oldest, err := parseWindow(id[:len(first.ID())], r.windowLength); err == nil && oldest.start.Before(first.start) {
			first = oldest
		}
	}
	revision, err := r.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: cursorKey}},
		Writes: []sesamepitch.Write{{Key: cursorKey, Value: rowstore.Encode(cursor{Window: first.ID()})}},
	})
	return first, revision, err
}

// freeze closes a window, sums its rows and writes the sums once. Later calls return the
// same figures. The keys are those of the window's rows.
func (r *Reporter) freeze(ctx context.Context, window Window) (sesamepitch.UsageReport, []string, error) {
	var report sesamepitch.UsageReport
	if err := r.close(ctx, window); err != nil {
		return report, nil, err
	}
	rows, err := r.table.List(ctx, windowPrefix+window.ID()+"/")
	if err != nil {
		return report, nil, err
	}
	keys := make([]string, len(rows))
	for i, row := range rows {
		keys[i] = row.Key
	}
	version, err := rowstore.Read(ctx, r.table, frozenPrefix+window.ID(), &report)
	if err != nil || version != 0 {
		return report, keys, err
	}
	sums, err := sumRows(rows)
	if err != nil {
		return report, keys, err
	}
	report = sesamepitch.UsageReport{ID: window.ID(), Start: window.start, End: window.End(), Figures: sums.List()}
	_, err = r.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: frozenPrefix + window.ID()}},
		Writes: []sesamepitch.Write{{Key: frozenPrefix + window.ID(), Value: rowstore.Encode(report)}},
	})
	return report, keys, err
}

func sumRows(rows []sesamepitch.Row) (Figures, error) {
	sums := Figures{}
	for _, row := range rows {
		var part Row
		if err := json.Unmarshal(row.Value, &part); err != nil {
			return nil, &Error{Op: "usage.sum", Kind: sesamepitch.KindInternal, Err: err}
		}
		sums.AddAll(part.Figures)
	}
	return sums, nil
}

// close closes a window, unless it is closed already.
func (r *Reporter) close(ctx context.Context, window Window) error {
	_, err := r.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{window.NotClosed()},
		Writes: []sesamepitch.Write{{Key: window.closingKey(), Value: rowstore.Encode(r.holder)}},
	})
	if sesamepitch.KindOf(err) == sesamepitch.KindConflict {
		return nil
	}
	return err
}

// send sends the report, unless an earlier attempt whose answer was lost has succeeded.
func (r *Reporter) send(ctx context.Context, report sesamepitch.UsageReport) error {
	_, err := r.reports.Reported(ctx, report.ID)
	if err == nil {
		return nil
	}
	if sesamepitch.KindOf(err) != sesamepitch.KindNotFound {
		return err
	}
	return r.reports.Report(ctx, report)
}

// finish marks the window reported, moves the cursor and deletes the rows.
func (r *Reporter) finish(ctx context.Context, window Window, version int64, keys []string) error {
	writes := []sesamepitch.Write{
		{Key: reportedPrefix + window.ID(), Value: rowstore.Encode(r.holder)},
		{Key: cursorKey, Value: rowstore.Encode(cursor{Window: window.Next().ID()})},
	}
	for _, key := range keys {
		writes = append(writes, sesamepitch.Write{Key: key, Delete: true})
	}
	_, err := r.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: cursorKey, Version: version}},
		Writes: writes,
	})
	return err
}

// WindowStatus is one window's figures and whether they are reported, for operators.
type WindowStatus struct {
	ID       string                    `json:"id"`
	Start    time.Time                 `json:"start"`
	Reported bool                      `json:"reported"`
	Figures  []sesamepitch.UsageFigure `json:"figures"`
}

// Status returns the frozen windows, newest last.
func (r *Reporter) Status(ctx context.Context) ([]WindowStatus, error) {
	rows, err := r.table.List(ctx, frozenPrefix)
	if err != nil {
		return nil, err
	}
	reported, err := r.table.List(ctx, reportedPrefix)
	if err != nil {
		return nil, err
	}
	done := map[string]bool{}
	for _, row := range reported {
		done[row.Key[len(reportedPrefix):]] = true
	}
	list := []WindowStatus{}
	for _, row := range rows {
		var report sesamepitch.UsageReport
		if err := json.Unmarshal(row.Value, &report); err != nil {
			return nil, &Error{Op: "usage.status", Kind: sesamepitch.KindInternal, Err: err}
		}
		list = append(list, WindowStatus{ID: report.ID, Start: report.Start, Reported: done[report.ID], Figures: report.Figures})
	}
	return list, nil
}
