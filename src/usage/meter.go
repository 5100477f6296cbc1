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
	minFlush       = time.Second
	flushPerDaemon = 15 * time.Millisecond
	windowAttempts = 4
	keptWindows    = 16
)

// flushed is the row that says how far a daemon's records are in the table.
type flushed struct {
	Record int64 `json:"record"`
	// At is when the row was written.
	At time.Time `json:"at"`
}

var errSealed = errors.New("another daemon has counted what this one had not flushed")

// Meter counts this daemon's uses and flushes them to the table.
type Meter struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	table  sesamepitch.Table
	name   string
	length time.Duration
	pace   FlushInterval

	mu      sync.Mutex
	run     string
	runs    int
	last    int64
	safe    int64
	pending Figures

	flushing sync.Mutex
	stuck    *batch
	sums     map[string]Figures
	version  int64
}

// FlushInterval is the time between a daemon's flushes.
type FlushInterval func() time.Duration

// FlushIntervalFor keeps the flushes of all daemons together within the table's rate.
func FlushIntervalFor(daemons func() int) FlushInterval {
	return func() time.Duration {
		return max(minFlush, time.Duration(daemons())*flushPerDaemon)
	}
}

// NewMeter returns the meter of one run of a daemon; run must be used by no
// other process.
func NewMeter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, run string, length time.Duration, pace FlushInterval) *Meter {
	return &Meter{pace: pace, clock: clock, log: log, table: table, name: run, run: run, length: length, pending: Figures{}, sums: map[string]Figures{}}
}

// Record counts one use.
func (m *Meter) Record(workspace string, tokens int, milliCost int64) pool.Receipt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	m.pending.Add(workspace, 1, int64(tokens), milliCost)
	return pool.Receipt{Run: m.run, Number: m.last}
}

// Accounting returns how far the records are in the table.
func (m *Meter) Accounting() pool.UsageWatermark {
	m.mu.Lock()
	defer m.mu.Unlock()
	return pool.UsageWatermark{Run: m.run, Safe: m.safe}
}

// Workers returns the meter's supervised task.
func (m *Meter) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("usage-flush", func(ctx context.Context) error {
			return m.keepFlushing(ctx)
		}),
	}
}

func (m *Meter) keepFlushing(ctx context.Context) error {
	for {
		_ = m.Flush(ctx)
		select {
		case <-m.clock.After(m.pace()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// batch is a part of the records on its way to the table. After a lost answer
// it is sent again as it is, so that the table shows whether it has arrived.
type batch struct {
	upTo  int64
	taken Figures
}

// Flush brings all records into the table.
func (m *Meter) Flush(ctx context.Context) error {
	m.flushing.Lock()
	defer m.flushing.Unlock()
	for {
		if m.stuck == nil {
			m.stuck = m.take()
		}
		if m.stuck == nil {
			return nil
		}
		err := m.write(ctx, m.stuck.upTo, m.stuck.taken)
		if errors.Is(err, errSealed) {
			m.beginRun()
			continue
		}
		if err != nil {
			return err
		}
		m.mu.Lock()
		m.safe = m.stuck.upTo
		m.mu.Unlock()
		m.stuck = nil
	}
}

// beginRun goes on under a new name after others have taken this daemon for
// gone and counted for it what it had not flushed.
func (m *Meter) beginRun() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs++
	old := m.run
	m.run = fmt.Sprintf("%s#%d", m.name, m.runs)
	m.log.Info("usage sealed by another daemon", "run", old, "next", m.run)
	// The records taken were told to others before they were delivered; those
	// still pending were numbered for the old run, too.
	m.pending = Figures{}
	m.stuck = nil
	m.version = 0
	m.sums = map[string]Figures{}
}

// take takes the pending records; nil if there are none.
func (m *Meter) take() *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) == 0 {
		return nil
	}
	taken := &batch{upTo: m.last, taken: m.pending}
	m.pending = Figures{}
	return taken
}

// write adds sums to the first window that is still open.
func (m *Meter) write(ctx context.Context, upTo int64, taken Figures) error {
	window := WindowAt(m.clock.Now(), m.length)
	var err error
	for range windowAttempts {
		err = m.commit(ctx, window, upTo, taken)
		if sesamepitch.KindOf(err) != sesamepitch.KindConflict {
			return err
		}
		sealed, readErr := m.sealed(ctx)
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

// sealed tells whether this run can add no more: others have counted for it.
func (m *Meter) sealed(ctx context.Context) (bool, error) {
	var row flushed
	version, err := rowstore.Read(ctx, m.table, sealedPrefix+m.run, &row)
	if err != nil || version != 0 {
		return version != 0, err
	}
	// A run that wrote nothing for runMemory has been swept.
	version, err = rowstore.Read(ctx, m.table, flushedPrefix+m.run, &row)
	return m.version != 0 && version == 0, err
}

func (m *Meter) commit(ctx context.Context, window Window, upTo int64, taken Figures) error {
	sums := Figures{}
	sums.AddAll(m.sums[window.ID()])
	sums.AddAll(taken)
	revision, err := m.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{
			window.NotClosed(),
			{Key: sealedPrefix + m.run},
			{Key: flushedPrefix + m.run, Version: m.version},
		},
		Writes: []sesamepitch.Write{
			{Key: window.rowKey("m/" + m.run), Value: rowstore.Encode(Row{Figures: sums})},
			{Key: flushedPrefix + m.run, Value: rowstore.Encode(flushed{Record: upTo, At: m.clock.Now()})},
		},
	})
	if err != nil {
		revision, err = m.confirm(ctx, upTo, err)
	}
	if err != nil {
		return err
	}
	m.version = revision
	m.sums[window.ID()] = sums
	m.forgetOld()
	return nil
}

// forgetOld drops the sums of windows that must be closed by now.
func (m *Meter) forgetOld() {
	for len(m.sums) > keptWindows {
		oldest := ""
		for id := range m.sums {
			if oldest == "" || id < oldest {
				oldest = id
			}
		}
		delete(m.sums, oldest)
	}
}

// confirm reads back whether a flush whose answer was lost took effect.
func (m *Meter) confirm(ctx context.Context, upTo int64, cause error) (int64, error) {
	kind := sesamepitch.KindOf(cause)
	if kind != sesamepitch.KindUnknown && kind != sesamepitch.KindConflict {
		return 0, cause
	}
	var row flushed
	version, err := rowstore.Read(ctx, m.table, flushedPrefix+m.run, &row)
	if err != nil {
		return 0, cause
	}
	if version != m.version && row.Record == upTo {
		return version, nil
	}
	return 0, cause
}
