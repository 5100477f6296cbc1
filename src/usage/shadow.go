package usage

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/pool"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	shadowCheck = time.Second
	shadowQuiet = 1200 * time.Millisecond
	// sealAfter is for how many flushes a quiet daemon's books must stand still,
	// while the table answers, before another daemon counts its records for it.
	// The seal keeps a daemon that lives after all from counting them, too.
	sealAfter = 2
)

// shadowRecord is one use that another daemon has numbered.
type shadowRecord struct {
	record    int64
	workspace string
	tokens    int64
	milliCost int64
}

// entryShadow is what an owner keeps of one run of an entry.
type entryShadow struct {
	records []shadowRecord
	touched time.Time
	seen    int64
	stillAt time.Time
}

// Replica keeps the records that other daemons have told this one and not yet
// brought into the table, and counts them if such a daemon is gone.
type Replica struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	table  sesamepitch.Table
	run    string
	length time.Duration
	pace   FlushInterval
	gone   func(ctx context.Context, run string) bool

	mu      sync.Mutex
	entries map[string]*entryShadow
}

// NewReplica returns the keeper at one run of a daemon; gone tells whether a run
// is known to have ended.
func NewReplica(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, run string, length time.Duration, pace FlushInterval, gone func(ctx context.Context, run string) bool) *Replica {
	return &Replica{clock: clock, log: log, table: table, run: run, length: length, pace: pace, gone: gone, entries: map[string]*entryShadow{}}
}

// RunName names one run of a daemon in the usage rows.
func RunName(address, incarnation string) string { return address + "@" + incarnation }

// Keep implements pool.UsageReplica.
func (s *Replica) Keep(r pool.Release) {
	run := r.Receipt.Run
	if !r.Billed || strings.HasPrefix(run, s.run) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[run]
	if entry == nil {
		entry = &entryShadow{}
		s.entries[run] = entry
	}
	entry.touched = s.clock.Now()
	entry.records = append(entry.records, shadowRecord{record: r.Receipt.Number, workspace: r.Workspace, tokens: int64(r.Tokens), milliCost: r.MilliCost})
	s.trim(r.Books.Run, r.Books.Safe)
}

// Flushed implements pool.UsageReplica.
func (s *Replica) Flushed(books pool.UsageWatermark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(books.Run, books.Safe)
}

// trim forgets the records up to one; it needs s.mu.
func (s *Replica) trim(run string, upTo int64) {
	entry := s.entries[run]
	if entry == nil {
		return
	}
	var kept []shadowRecord
	for _, record := range entry.records {
		if record.record > upTo {
			kept = append(kept, record)
		}
	}
	entry.records = kept
	entry.touched = s.clock.Now()
	if len(kept) == 0 {
		delete(s.entries, run)
	}
}

// Workers returns the keeper's supervised task.
func (s *Replica) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("usage-shadow", func(ctx context.Context) error {
			return supervisor.Every(ctx, s.clock, shadowCheck, s.check)
		}),
	}
}

// check looks after the runs that have not been heard of for a while.
func (s *Replica) check(ctx context.Context) {
	for _, run := range s.quiet() {
		var row flushed
		version, err := rowstore.Read(ctx, s.table, flushedPrefix+run, &row)
		if err != nil {
			s.restart(run)
			continue
		}
		waited := s.standsStill(run, row.Record)
		if waited >= sealAfter*s.pace() || (waited >= 0 && s.gone(ctx, run)) {
			s.count(ctx, run, row.Record, version)
		}
	}
}

func (s *Replica) quiet() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []string
	for run, entry := range s.entries {
		if s.clock.Now().Sub(entry.touched) > shadowQuiet {
			runs = append(runs, run)
		}
	}
	return runs
}

// restart begins the waiting time anew, since the entry could not flush either.
func (s *Replica) restart(run string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[run]; entry != nil {
		entry.stillAt = time.Time{}
	}
}

// standsStill trims what the table has and returns how long the rest has
// waited; negative if nothing is left.
func (s *Replica) standsStill(run string, record int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[run]
	if entry == nil {
		return -1
	}
	now := s.clock.Now()
	if entry.stillAt.IsZero() || entry.seen != record {
		entry.seen, entry.stillAt = record, now
	}
	touched := entry.touched
	s.trim(run, record)
	entry.touched = touched
	if len(entry.records) == 0 {
		return -1
	}
	return now.Sub(entry.stillAt)
}

// count seals a gone run, so that it can flush no more, and writes the records
// that it did not flush.
func (s *Replica) count(ctx context.Context, run string, record, version int64) {
	sealedAt, ok := s.seal(ctx, run, record, version)
	if !ok {
		return
	}
	sums, last := s.sum(run, sealedAt)
	if len(sums) > 0 && s.write(ctx, run, sums, last) != nil {
		return
	}
	s.log.Info("usage of a gone daemon counted", "run", run, "workspaces", len(sums), "from", sealedAt, "to", last)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(run, last)
}

// sum adds up the records after one, and returns the last one's number.
func (s *Replica) sum(run string, after int64) (Figures, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums, last := Figures{}, after
	entry := s.entries[run]
	if entry == nil {
		return sums, last
	}
	for _, kept := range entry.records {
		if kept.record > after {
			sums.Add(kept.workspace, 1, kept.tokens, kept.milliCost)
			last = max(last, kept.record)
		}
	}
	return sums, last
}

func (s *Replica) seal(ctx context.Context, run string, record, version int64) (int64, bool) {
	_, err := s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: sealedPrefix + run}, {Key: flushedPrefix + run, Version: version}},
		Writes: []sesamepitch.Write{{Key: sealedPrefix + run, Value: rowstore.Encode(flushed{Record: record, At: s.clock.Now()})}},
	})
	if err == nil {
		return record, true
	}
	var row flushed
	sealed, readErr := rowstore.Read(ctx, s.table, sealedPrefix+run, &row)
	return row.Record, readErr == nil && sealed != 0
}

// write adds sums to an open window once: the row that marks the last record
// keeps a repeat from adding them again.
func (s *Replica) write(ctx context.Context, run string, sums Figures, last int64) error {
	window := WindowAt(s.clock.Now(), s.length)
	name := fmt.Sprintf("s/%s/%s/%d", run, s.run, last)
	mark := fmt.Sprintf("%s%s/%s/%d", sealedPrefix, run, s.run, last)
	var err error
	for range windowAttempts {
		key := window.rowKey(name)
		_, err = s.table.Commit(ctx, sesamepitch.Txn{
			Checks: []sesamepitch.Check{window.NotClosed(), {Key: key}, {Key: mark}},
			Writes: []sesamepitch.Write{
				{Key: key, Value: rowstore.Encode(Row{Figures: sums})},
				{Key: mark, Value: rowstore.Encode(flushed{Record: last, At: s.clock.Now()})},
			},
		})
		if err == nil {
			return nil
		}
		var done flushed
		written, readErr := rowstore.Read(ctx, s.table, mark, &done)
		if readErr == nil && written != 0 {
			return nil
		}
		if sesamepitch.KindOf(err) != sesamepitch.KindConflict {
			return err
		}
		window = window.Next()
	}
	return err
}
