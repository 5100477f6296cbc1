package usage

import (
	"context"
	"encoding/json"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// windowMemory is how long a reported window stays in the table, and how long
	// a use that comes late still finds it closed.
	windowMemory = 48 * time.Hour
	// runMemory is how long the rows of a daemon's run stay after its last flush.
	runMemory = 7 * 24 * time.Hour
	sweptKey  = "swept/usage"
)

// Sweeper removes the rows of windows reported long ago and of runs gone long ago.
type Sweeper struct {
	clock  sesamepitch.Clock
	table  sesamepitch.Table
	length time.Duration
}

// NewSweeper returns a sweeper; length is that of the windows.
func NewSweeper(clock sesamepitch.Clock, table sesamepitch.Table, length time.Duration) *Sweeper {
	return &Sweeper{clock: clock, table: table, length: length}
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

// sweepWindows goes from the last window removed up to the first one that is
// too young or not reported.
func (s *Sweeper) sweepWindows(ctx context.Context, limit int) (int, error) {
	var reportNext, at cursor
	if version, err := rowstore.Read(ctx, s.table, cursorKey, &reportNext); err != nil || version == 0 {
		return 0, err
	}
	version, err := rowstore.Read(ctx, s.table, sweptKey, &at)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		if at, err = s.oldest(ctx, reportNext); err != nil {
			return 0, err
		}
	}
	window, err := parseWindow(at.Window, s.length)
	if err != nil {
		return 0, err
	}
	txn := sesamepitch.Txn{Checks: []sesamepitch.Check{{Key: sweptKey, Version: version}}}
	for len(txn.Writes) < limit && window.ID() < reportNext.Window && s.clock.Now().Sub(window.End()) > windowMemory {
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

// oldest is where the first sweep begins: at the first window in the table.
func (s *Sweeper) oldest(ctx context.Context, reportNext cursor) (cursor, error) {
	rows, err := s.table.List(ctx, frozenPrefix)
	if err != nil || len(rows) == 0 {
		return reportNext, err
	}
	return cursor{Window: rows[0].Key[len(frozenPrefix):]}, nil
}

// sweepRuns removes the flush rows and seals of runs that wrote nothing for
// runMemory. A run that lives after all goes on under a new name.
func (s *Sweeper) sweepRuns(ctx context.Context, limit int) (int, error) {
	removed := 0
	for _, prefix := range []string{flushedPrefix, sealedPrefix} {
		rows, err := s.table.List(ctx, prefix)
		if err != nil {
			return removed, err
		}
		var old []string
		for _, row := range rows {
			if s.isOld(row) && removed+len(old) < limit {
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

func (s *Sweeper) isOld(row sesamepitch.Row) bool {
	var last flushed
	err := json.Unmarshal(row.Value, &last)
	return err == nil && s.clock.Now().Sub(last.At) > runMemory
}
