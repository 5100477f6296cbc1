package step

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// Retention is how long after it was last started or resumed a step can be resumed
// again. After that its rows and samples are removed, and its number stays closed.
const Retention = 24 * time.Hour

// Sweeper removes the steps whose Retention has passed.
type Sweeper struct {
	clock   sesamepitch.Clock
	table   sesamepitch.Table
	objects sesamepitch.Objects
}

// NewSweeper returns a sweeper on the platform's table and object store.
func NewSweeper(clock sesamepitch.Clock, p sesamepitch.Platform) *Sweeper {
	return &Sweeper{clock: clock, table: p, objects: p.Objects()}
}

// Name implements sesamepitch.Sweeper.
func (s *Sweeper) Name() string { return "steps" }

// Sweep implements sesamepitch.Sweeper.
func (s *Sweeper) Sweep(ctx context.Context, limit int) (int, error) {
	rows, err := s.table.List(ctx, stepPrefix)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, row := range rows {
		if removed >= limit {
			break
		}
		count, err := s.sweepStep(ctx, row)
		removed += count
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// sweepStep closes a step, so that no driver can commit to it, and only then
// removes its samples, its acknowledgements and finally the step's own row.
func (s *Sweeper) sweepStep(ctx context.Context, row sesamepitch.Row) (int, error) {
	var step stepRow
	if err := json.Unmarshal(row.Value, &step); err != nil {
		return 0, &Error{Op: "step.sweep", Kind: sesamepitch.KindInternal, Err: err}
	}
	trainer, number, err := parseStepKey(row.Key)
	if err != nil || s.clock.Now().Sub(step.ClaimedAt) < Retention {
		return 0, err
	}
	version := row.Version
	if !step.Closed {
		if version, err = s.closeStep(ctx, row, step, trainer, number); err != nil {
			return 0, err
		}
	}
	batches, err := s.table.List(ctx, samplePrefix(trainer, number))
	if err != nil {
		return 0, err
	}
	if err := s.removeObjects(ctx, batches); err != nil {
		return 0, err
	}
	if err := rowstore.DeleteRows(ctx, s.table, sesamepitch.KeysOf(batches)); err != nil {
		return 0, err
	}
	_, err = s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: row.Key, Version: version}},
		Writes: []sesamepitch.Write{{Key: ackKey(trainer, number), Delete: true}, {Key: row.Key, Delete: true}},
	})
	return len(batches) + 1, err
}

// closeStep marks the step closed in its row and in its trainer's closed steps, in one
// transaction.
func (s *Sweeper) closeStep(ctx context.Context, row sesamepitch.Row, step stepRow, trainer string, number int64) (int64, error) {
	closed, version, err := readClosed(ctx, s.table, trainer)
	if err != nil {
		return 0, err
	}
	step.Closed = true
	return s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: row.Key, Version: row.Version}, {Key: closedKey(trainer), Version: version}},
		Writes: []sesamepitch.Write{
			{Key: row.Key, Value: rowstore.Encode(step)},
			{Key: closedKey(trainer), Value: rowstore.Encode(closed.with(number))},
		},
	})
}

func (s *Sweeper) removeObjects(ctx context.Context, batches []sesamepitch.Row) error {
	for _, row := range batches {
		var b batchRow
		if err := json.Unmarshal(row.Value, &b); err != nil {
			return &Error{Op: "step.sweep", Kind: sesamepitch.KindInternal, Err: err}
		}
		if err := s.objects.Delete(ctx, b.Object); err != nil {
			return err
		}
	}
	return nil
}

func parseStepKey(key string) (trainer string, number int64, err error) {
	name := strings.TrimPrefix(key, stepPrefix)
	at := strings.LastIndex(name, "/")
	number, err = strconv.ParseInt(name[at+1:], 10, 64)
	if err != nil || at < 0 {
		return "", 0, &Error{Op: "step.sweep", Kind: sesamepitch.KindInternal, Err: err}
	}
	return name[:at], number, nil
}
