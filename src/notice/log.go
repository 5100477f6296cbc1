package notice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	headKey    = "notice/head"
	baseKey    = "notice/base"
	logPrefix  = "notice/log/"
	tablePeer  = "table"
	maxPerPoll = 100
	// foldAfter is how many batches are folded into the base at a time.
	foldAfter = 512
)

// head counts the batches in the table's log; those up to Base are folded into
// the base's row.
type head struct {
	Batches int64 `json:"batches"`
	Base    int64 `json:"base,omitempty"`
}

var errFolded = errors.New("batches were folded into the base meanwhile")

// Log keeps a Set and the platform's table in step. One process of each data
// centre runs it; batches are merged, so a batch written twice does no harm.
type Log struct {
	mu        sync.Mutex
	table     sesamepitch.Table
	set       *Set
	read      int64
	base      int64
	published int
}

// NewLog returns a log that has read and published nothing yet.
func NewLog(table sesamepitch.Table, set *Set) *Log {
	return &Log{table: table, set: set}
}

func batchKey(n int64) string { return fmt.Sprintf("%s%012d", logPrefix, n) }

// Sync reads the batches that are new and publishes the notices that the
// table lacks. A nil error means that the set held everything that the table
// held when Sync was called.
func (l *Log) Sync(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, err := l.pull(ctx)
	if err != nil {
		return err
	}
	return l.push(ctx, version)
}

func (l *Log) pull(ctx context.Context) (int64, error) {
	var last head
	version, err := rowstore.Read(ctx, l.table, headKey, &last)
	if err != nil {
		return 0, err
	}
	l.base = last.Base
	if l.read < last.Base {
		if err := l.pullBase(ctx, last.Base); err != nil {
			return 0, err
		}
	}
	if last.Batches-l.read > maxPerPoll {
		return version, l.pullAll(ctx, last.Batches)
	}
	for l.read < last.Batches {
		var batch []Notice
		found, err := rowstore.Read(ctx, l.table, batchKey(l.read+1), &batch)
		if err != nil {
			return 0, err
		}
		if found == 0 {
			return 0, &Error{Op: "notice.pull", Kind: sesamepitch.KindUnavailable, Err: errFolded}
		}
		l.set.Add(tablePeer, batch...)
		l.read++
	}
	return version, nil
}

// pullBase reads what the batches up to a number, at least, have come to.
func (l *Log) pullBase(ctx context.Context, upTo int64) error {
	var folded []Notice
	if _, err := rowstore.Read(ctx, l.table, baseKey, &folded); err != nil {
		return err
	}
	l.set.Add(tablePeer, folded...)
	l.read = upTo
	return nil
}

func (l *Log) pullAll(ctx context.Context, upTo int64) error {
	rows, err := l.table.List(ctx, logPrefix)
	if err != nil {
		return err
	}
	first := batchKey(l.read + 1)
	if len(rows) == 0 || rows[0].Key > first {
		return &Error{Op: "notice.pull", Kind: sesamepitch.KindUnavailable, Err: errFolded}
	}
	for _, row := range rows {
		var batch []Notice
		if err := json.Unmarshal(row.Value, &batch); err != nil {
			return &Error{Op: "notice.pull", Kind: sesamepitch.KindInternal, Err: err}
		}
		l.set.Add(tablePeer, batch...)
	}
	l.read = upTo
	return nil
}

func (l *Log) push(ctx context.Context, headVersion int64) error {
	notices, next := l.set.Since(l.published, tablePeer)
	if len(notices) == 0 {
		l.published = next
		return nil
	}
	batch := l.read + 1
	_, err := l.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: headKey, Version: headVersion}},
		Writes: []sesamepitch.Write{
			{Key: headKey, Value: rowstore.Encode(head{Batches: batch, Base: l.base})},
			{Key: batchKey(batch), Value: rowstore.Encode(notices)},
		},
	})
	switch sesamepitch.KindOf(err) {
	case "":
		l.published = next
		l.read = batch
		return nil
	case sesamepitch.KindConflict:
		// Another data centre published first; the next Sync reads it.
		return nil
	default:
		return err
	}
}

// Name implements sesamepitch.Sweeper.
func (l *Log) Name() string { return "notices" }

// Sweep implements sesamepitch.Sweeper: it folds the log's batches into one row
// that holds what they have come to, and removes them.
func (l *Log) Sweep(ctx context.Context, _ int) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, err := l.pull(ctx)
	if err != nil || l.read-l.base < foldAfter {
		return 0, err
	}
	_, err = l.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: headKey, Version: version}},
		Writes: []sesamepitch.Write{
			{Key: headKey, Value: rowstore.Encode(head{Batches: l.read, Base: l.read})},
			{Key: baseKey, Value: rowstore.Encode(l.set.Unexpired())},
		},
	})
	if err != nil {
		return 0, err
	}
	l.base = l.read
	return l.removeFolded(ctx)
}

// removeFolded removes the batches up to the base, also those that an earlier
// fold left behind.
func (l *Log) removeFolded(ctx context.Context) (int, error) {
	rows, err := l.table.List(ctx, logPrefix)
	if err != nil {
		return 0, err
	}
	var keys []string
	for _, row := range rows {
		if row.Key <= batchKey(l.base) {
			keys = append(keys, row.Key)
		}
	}
	return len(keys), rowstore.DeleteRows(ctx, l.table, keys)
}

// Batches returns how many batches of the table's log the set holds.
func (l *Log) Batches() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read
}

// HasUnpublished tells whether notices wait to be written to the table.
func (l *Log) HasUnpublished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	notices, _ := l.set.Since(l.published, tablePeer)
	return len(notices) > 0
}
