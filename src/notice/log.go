package notice

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/platform"
)

const (
	headKey    = "notice/head"
	logPrefix  = "notice/log/"
	tablePeer  = "table"
	maxPerPoll = 100
)

// head counts the batches in the table's log.
type head struct {
	Batches int64 `json:"batches"`
}

// Log keeps a Set and the platform's table in step. One process of each data
// centre runs it; batches are merged, so a batch written twice does no harm.
type Log struct {
	mu        sync.Mutex
	table     sesamepitch.Table
	set       *Set
	read      int64
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
	version, err := platform.Read(ctx, l.table, headKey, &last)
	if err != nil {
		return 0, err
	}
	if last.Batches-l.read > maxPerPoll {
		return version, l.pullAll(ctx, last.Batches)
	}
	for l.read < last.Batches {
		var batch []Notice
		if _, err := platform.Read(ctx, l.table, batchKey(l.read+1), &batch); err != nil {
			return 0, err
		}
		l.set.Add(tablePeer, batch...)
		l.read++
	}
	return version, nil
}

func (l *Log) pullAll(ctx context.Context, upTo int64) error {
	rows, err := l.table.List(ctx, logPrefix)
	if err != nil {
		return err
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
			{Key: headKey, Value: platform.Encode(head{Batches: batch})},
			{Key: batchKey(batch), Value: platform.Encode(notices)},
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

// Batches returns how many batches of the table's log the set holds.
func (l *Log) Batches() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read
}

// Unpublished tells whether notices wait to be written to the table.
func (l *Log) Unpublished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	notices, _ := l.set.Since(l.published, tablePeer)
	return len(notices) > 0
}
