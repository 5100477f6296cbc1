package usage

import (
	"context"
	"encoding/json"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// windowRetention is how long the rows of a reported window are kept. Until then a
	// late flush finds the window closed.
	windowRetention = 48 * time.Hour
	// runRetention is how long the rows of a daemon's run are kept after its last flush.
	runRetention = 7 * 24 * time.Hour
	sweptKey     = "swept/usage"
)

// Sweeper removes the rows of old reported windows and of runs that no longer flush.
type Sweeper struct {
	clock        sesamepitch.Clock
	table        sesamepitch.Table
	windowLength time.Duration
}

// NewSweeper returns a sweeper for windows of this length.
func NewSweeper(clock sesamepitch.Clock, table sesamepitch.Table, windowLength time.Duration) *Sweeper {
	return &Sweeper{clock: clock, table: table, windowLength: windowLength}
}

// Name implements sesamepitch.Sweeper.
func (s *Sweeper) Name() string { return "usage" }

// Sweep implements sesamepitch.Sweeper.
func (s *Sweeper) Sweep(ctx context.Context, limit int) (int, error) {
	windows, err := s.sweepWindows(ctx, limit)
	if err != nil || windows > 0 {
		return windows, err
	}
	return s.sweepRuns(ctx, limit)
}

// sweepWindows removes windows in order, up to the first one that is too recent or not
// reported.
func (s *Sweeper) sweepWindows(ctx context.Context, limit int) (int, error) {
	var reportNext, next cursor
	if version, err := rowstore.Read(ctx, s.table, cursorKey, &reportNext); err != nil || version == 0 {
		return 0, err
	}
	version, err := rowstore.Read(ctx, s.table, sweptKey, &next)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		if next, err = s.firstWindow(ctx, reportNext); err != nil {
			return 0, err
		}
	}
	window, err := parseWindow(next.Window, s.windowLength)
	if err != nil {
		return 0, err
	}
	txn := sesamepitch.Txn{Checks: []sesamepitch.Check{{Key: sweptKey, Version: version}}}
	for len(txn.Writes) < limit && window.ID() < reportNext.Window && s.clock.Now().Sub(window.End()) > windowRetention {
		for _, key := range []string{window.closingKey(), frozenPrefix + window.ID(), reportedPrefix + window.ID()} {
			txn.Writes = append(txn.Writes, sesamepitch.Write{Key: key, Delete: true})
		}
		window = window.Next()
	}
	removed := len(txn.Writes)
	if removed == 0 && version != 0 {
		return 0, nil
	}
	txn.Writes = append(txn.Writes, sesamepitch.Write{Key: sweptKey, Value: rowstore.Encode(cursor{Window: window.ID()})})
	_, err = s.table.Commit(ctx, txn)
	return removed, err
}

// firstWindow returns the oldest frozen window, or else the next one to report, for the
// first sweep.
func (s *Sweeper) firstWindow(ctx context.Context, reportNext cursor) (cursor, error) {
	rows, err := s.table.List(ctx, frozenPrefix)
	if err != nil || len(rows) == 0 {
		return reportNext, err
	}
	return cursor{Window: rows[0].Key[len(frozenPrefix):]}, nil
}

// sweepRuns removes the flush rows and seals of runs that wrote nothing for
// runRetention. A daemon that is still running continues under a new run.
func (s *Sweeper) sweepRuns(ctx context.Context, limit int) (int, error) {
	removed := 0
	for _, prefix := range []string{flushedPrefix, sealedPrefix} {
		rows, err := s.table.List(ctx, prefix)
		if err != nil {
			return removed, err
		}
		var old []string
		for _, row := range rows {
			if s.isExpired(row) && removed+len(old) < limit {
				old = append(old, row.Key)
			}
		}
		if err := rowstore.DeleteRows(ctx, s.table, old); err != nil {
			return removed, err
		}
		removed += len(old)
	}
	return removed, nil
}

func (s *Sweeper) isExpired(row sesamepitch.Row) bool {
	var last flushRow
	err := json.Unmarshal(row.Value, &last)
	return err == nil && s.clock.Now().Sub(last.At) > runRetention
}
