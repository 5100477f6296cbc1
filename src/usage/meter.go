package usage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/pool"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	minFlushInterval       = time.Second
	flushIntervalPerDaemon = 15 * time.Millisecond
	// maxWindowAttempts is the number of consecutive windows that a flush tries.
	maxWindowAttempts = 4
	// maxKeptWindows is the number of windows whose sums are kept in memory; older windows
	// are closed by then, so nothing more is added to them.
	maxKeptWindows = 16
)

// flushRow is the row with the number of a run's last record in the table. The row that
// seals a run has the same form.
type flushRow struct {
	Record int64 `json:"record"`
	// At is when the row was written.
	At time.Time `json:"at"`
}

var errSealed = errors.New("another daemon has counted what this one had not flushed")

// Meter counts this daemon's usage and flushes it to the table. Its records are numbered
// within a run, which is named for the daemon's process.
type Meter struct {
	clock         sesamepitch.Clock
	log           logr.Logger
	table         sesamepitch.Table
	baseRun       string
	windowLength  time.Duration
	flushInterval FlushInterval

	mu sync.Mutex
	// run is the name of the current run: baseRun, with "#" and sealedRuns appended unless
	// that is zero.
	run string
	// sealedRuns is the number of earlier runs of this meter; each was sealed by another
	// daemon, or swept.
	sealedRuns int
	// lastRecord is the number of the last record; flushedRecord is the last one that is
	// known to be in the table.
	lastRecord    int64
	flushedRecord int64
	// pending holds the sums of the records that are in no batch yet.
	pending Figures

	// flushing guards the fields below.
	flushing sync.Mutex
	// inFlight is the batch that is being written; nil if there is none.
	inFlight *batch
	// windowSums holds the sums that this run has added to each window.
	windowSums map[string]Figures
	// flushVersion is the version of the run's flush row.
	flushVersion int64
}

// FlushInterval returns the time between a daemon's flushes.
type FlushInterval func() time.Duration

// FlushIntervalFor returns an interval that grows with the number of daemons, so that
// their flushes together stay within the table's rate.
func FlushIntervalFor(daemons func() int) FlushInterval {
	return func() time.Duration {
		return max(minFlushInterval, time.Duration(daemons())*flushIntervalPerDaemon)
	}
}

// NewMeter returns the meter of one run of a daemon. No other process may use the same
// run.
func NewMeter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, run string, windowLength time.Duration, flushInterval FlushInterval) *Meter {
	return &Meter{flushInterval: flushInterval, clock: clock, log: log, table: table, baseRun: run, run: run, windowLength: windowLength, pending: Figures{}, windowSums: map[string]Figures{}}
}

// Record counts one request and returns the receipt with its record number.
func (m *Meter) Record(workspace string, tokens int, milliCost int64) pool.Receipt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastRecord++
	m.pending.Add(workspace, 1, int64(tokens), milliCost)
	return pool.Receipt{Run: m.run, Number: m.lastRecord}
}

// Accounting returns the run and the number of its last record in the table.
func (m *Meter) Accounting() pool.UsageWatermark {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pool.UsageWatermark{Run: m.run, Safe: m.flushedRecord}
}

// Workers returns the meter's supervised task.
func (m *Meter) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("usage-flush", func(ctx context.Context) error {
			return m.flushLoop(ctx)
		}),
	}
}

func (m *Meter) flushLoop(ctx context.Context) error {
	for {
		_ = m.Flush(ctx)
		select {
		case <-m.clock.After(m.flushInterval()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// batch holds the sums of some records that are being written to the table. After a lost
// answer it is sent again unchanged, so that the table shows whether it was written.
type batch struct {
	lastRecord int64
	figures    Figures
}

// Flush writes all pending records to the table.
func (m *Meter) Flush(ctx context.Context) error {
	m.flushing.Lock()
	defer m.flushing.Unlock()
	for {
		if m.inFlight == nil {
			m.inFlight = m.takePending()
		}
		if m.inFlight == nil {
			return nil
		}
		err := m.writeBatch(ctx, m.inFlight.lastRecord, m.inFlight.figures)
		if errors.Is(err, errSealed) {
			m.startNewRun()
			continue
		}
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.flushedRecord = m.inFlight.lastRecord
		m.mu.Unlock()
		m.inFlight = nil
	}
}

// startNewRun continues under a new run after another daemon presumed that this one had
// exited, sealed its run and counted the unflushed records.
func (m *Meter) startNewRun() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sealedRuns++
	old := m.run
	m.run = fmt.Sprintf("%s#%d", m.baseRun, m.sealedRuns)
	m.log.Info("usage sealed by another daemon", "run", old, "next", m.run)
	// All unflushed records are numbered for the old run, and replicas got them before
	// the results were delivered, so the daemon that sealed the run has counted them.
	m.pending = Figures{}
	m.inFlight = nil
	m.flushVersion = 0
	m.windowSums = map[string]Figures{}
}

// takePending returns a batch of the pending records; nil if there are none.
func (m *Meter) takePending() *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) == 0 {
		return nil
	}
	taken := &batch{lastRecord: m.lastRecord, figures: m.pending}
	m.pending = Figures{}
	return taken
}

// writeBatch adds a batch to the current window, or to the first later one that is not
// closed.
func (m *Meter) writeBatch(ctx context.Context, lastRecord int64, figures Figures) error {
	window := WindowAt(m.clock.Now(), m.windowLength)
	var err error
	for range maxWindowAttempts {
		err = m.commit(ctx, window, lastRecord, figures)
		if sesamepitch.KindOf(err) != sesamepitch.KindConflict {
			return err
		}
		sealed, readErr := m.isSealed(ctx)
		if readErr != nil {
			return readErr
		}
		if sealed {
			return errSealed
		}
		window = window.Next()
	}
	return err
}

// isSealed reports whether this run can add no more, since another daemon has sealed it.
func (m *Meter) isSealed(ctx context.Context) (bool, error) {
	var row flushRow
	version, err := rowstore.Read(ctx, m.table, sealedPrefix+m.run, &row)
	if err != nil || version != 0 {
		return version != 0, err
	}
	// If the run's flush row is missing, its rows were swept after it had written nothing
	// for runRetention.
	version, err = rowstore.Read(ctx, m.table, flushedPrefix+m.run, &row)
	return m.flushVersion != 0 && version == 0, err
}

// commit writes the run's row in the window, with the figures added, and the flush row in one
// transaction. It fails if the window is closed or the run is sealed.
func (m *Meter) commit(ctx context.Context, window Window, lastRecord int64, figures Figures) error {
	sums := Figures{}
	sums.AddAll(m.windowSums[window.ID()])
	sums.AddAll(figures)
	revision, err := m.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{
			window.NotClosed(),
			{Key: sealedPrefix + m.run},
			{Key: flushedPrefix + m.run, Version: m.flushVersion},
		},
		Writes: []sesamepitch.Write{
			{Key: window.rowKey("m/" + m.run), Value: rowstore.Encode(Row{Figures: sums})},
			{Key: flushedPrefix + m.run, Value: rowstore.Encode(flushRow{Record: lastRecord, At: m.clock.Now()})},
		},
	})
	if err != nil {
		revision, err = m.confirmFlush(ctx, lastRecord, err)
	}
	if err != nil {
		return err
	}
	m.flushVersion = revision
	m.windowSums[window.ID()] = sums
	m.dropOldSums()
	return nil
}

// dropOldSums removes the sums of the oldest windows beyond maxKeptWindows.
func (m *Meter) dropOldSums() {
	for len(m.windowSums) > maxKeptWindows {
		oldest := ""
		for id := range m.windowSums {
			if oldest == "" || id < oldest {
				oldest = id
			}
		}
		delete(m.windowSums, oldest)
	}
}

// confirmFlush checks whether a flush that failed with cause took effect although its
// answer was lost. It returns the version of the flush row if so, or else cause.
func (m *Meter) confirmFlush(ctx context.Context, lastRecord int64, cause error) (int64, error) {
	kind := sesamepitch.KindOf(cause)
	if kind != sesamepitch.KindUnknown && kind != sesamepitch.KindConflict {
		return 0, cause
	}
	var row flushRow
	version, err := rowstore.Read(ctx, m.table, flushedPrefix+m.run, &row)
	if err != nil {
		return 0, cause
	}
	if version != m.flushVersion && row.Record == lastRecord {
		return version, nil
	}
	return 0, cause
}
