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
	headerKey      = "notice/head"
	baseKey        = "notice/base"
	logPrefix      = "notice/log/"
	tablePeer      = "table"
	maxSingleReads = 100
	// compactAfter is the number of batches from which Sweep compacts the log.
	compactAfter = 512
)

// header counts the batches in the table's log. Those up to Base are compacted
// into the base row.
type header struct {
	Batches int64 `json:"batches"`
	Base    int64 `json:"base,omitempty"`
}

var errCompacted = errors.New("batches were folded into the base meanwhile")

// Log synchronises a Set with the platform's table. One process of each data
// centre runs it. Batches merge in any order, so a batch that is written twice
// does no harm.
type Log struct {
	mu             sync.Mutex
	table          sesamepitch.Table
	set            *Set
	lastRead       int64
	base           int64
	publishedIndex int
}

// NewLog returns a log that has read and published nothing yet.
func NewLog(table sesamepitch.Table, set *Set) *Log {
	return &Log{table: table, set: set}
}

func batchKey(n int64) string { return fmt.Sprintf("%s%012d", logPrefix, n) }

// Sync reads new batches and publishes the notices that the table lacks. A nil
// error means that the set holds everything that the table held when Sync was
// called.
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
	var stored header
	version, err := rowstore.Read(ctx, l.table, headerKey, &stored)
	if err != nil {
		return 0, err
	}
	l.base = stored.Base
	if l.lastRead < stored.Base {
		if err := l.pullBase(ctx, stored.Base); err != nil {
			return 0, err
		}
	}
	if stored.Batches-l.lastRead > maxSingleReads {
		return version, l.pullAll(ctx, stored.Batches)
	}
	for l.lastRead < stored.Batches {
		var batch []Notice
		found, err := rowstore.Read(ctx, l.table, batchKey(l.lastRead+1), &batch)
		if err != nil {
			return 0, err
		}
		if found == 0 {
			return 0, &Error{Op: "notice.pull", Kind: sesamepitch.KindUnavailable, Err: errCompacted}
		}
		l.set.Add(tablePeer, batch...)
		l.lastRead++
	}
	return version, nil
}

// pullBase reads the base row, which holds the merged notices of at least the
// batches up to upTo.
func (l *Log) pullBase(ctx context.Context, upTo int64) error {
	var compacted []Notice
	if _, err := rowstore.Read(ctx, l.table, baseKey, &compacted); err != nil {
		return err
	}
	l.set.Add(tablePeer, compacted...)
	l.lastRead = upTo
	return nil
}

func (l *Log) pullAll(ctx context.Context, upTo int64) error {
	rows, err := l.table.List(ctx, logPrefix)
	if err != nil {
		return err
	}
	first := batchKey(l.lastRead + 1)
	if len(rows) == 0 || rows[0].Key > first {
		return &Error{Op: "notice.pull", Kind: sesamepitch.KindUnavailable, Err: errCompacted}
	}
	for _, row := range rows {
		var batch []Notice
		if err := json.Unmarshal(row.Value, &batch); err != nil {
			return &Error{Op: "notice.pull", Kind: sesamepitch.KindInternal, Err: err}
		}
		l.set.Add(tablePeer, batch...)
	}
	l.lastRead = upTo
	return nil
}

func (l *Log) push(ctx context.Context, headerVersion int64) error {
	notices, next := l.set.Since(l.publishedIndex, tablePeer)
	if len(notices) == 0 {
		l.publishedIndex = next
		return nil
	}
	batch := l.lastRead + 1
	_, err := l.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: headerKey, Version: headerVersion}},
		Writes: []sesamepitch.Write{
			{Key: headerKey, Value: rowstore.Encode(header{Batches: batch, Base: l.base})},
			{Key: batchKey(batch), Value: rowstore.Encode(notices)},
		},
	})
	switch sesamepitch.KindOf(err) {
	case "":
		l.publishedIndex = next
		l.lastRead = batch
		return nil
	case sesamepitch.KindConflict:
		// Another data centre published first; the next Sync reads its batch.
		return nil
	default:
		return err
	}
}

// Name implements sesamepitch.Sweeper.
func (l *Log) Name() string { return "notices" }

// Sweep implements sesamepitch.Sweeper. It compacts the log's batches into the
// base row, which holds the notices still in effect, and deletes them.
func (l *Log) Sweep(ctx context.Context, _ int) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version, err := l.pull(ctx)
	if err != nil || l.lastRead-l.base < compactAfter {
		return 0, err
	}
	_, err = l.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: headerKey, Version: version}},
		Writes: []sesamepitch.Write{
			{Key: headerKey, Value: rowstore.Encode(header{Batches: l.lastRead, Base: l.lastRead})},
			{Key: baseKey, Value: rowstore.Encode(l.set.Unexpired())},
		},
	})
	if err != nil {
		return 0, err
	}
	l.base = l.lastRead
	return l.removeCompacted(ctx)
}

// removeCompacted deletes the batches up to the base, including those that an
// interrupted compaction left behind.
func (l *Log) removeCompacted(ctx context.Context) (int, error) {
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
	return l.lastRead
}

// HasUnpublished reports whether notices wait to be written to the table.
func (l *Log) HasUnpublished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	notices, _ := l.set.Since(l.publishedIndex, tablePeer)
	return len(notices) > 0
}
