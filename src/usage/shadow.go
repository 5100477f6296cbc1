package usage

import (
	"context"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/platform"
	"sesamepitch/src/pool"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	shadowCheck = 5 * time.Second
	// sealAfter is how long a daemon's flushes must stand still, while the
	// table answers, before another daemon counts its records for it.
	sealAfter = 12 * time.Second
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

// Shadow keeps the records that other daemons have told this one and not yet
// brought into the table, and counts them if such a daemon is gone.
type Shadow struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	table  sesamepitch.Table
	run    string
	length time.Duration

	mu      sync.Mutex
	entries map[string]*entryShadow
}

// NewShadow returns the keeper at one run of a daemon.
func NewShadow(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, run string, length time.Duration) *Shadow {
	return &Shadow{clock: clock, log: log, table: table, run: run, length: length, entries: map[string]*entryShadow{}}
}

// RunName names one run of a daemon in the usage rows.
func RunName(address, incarnation string) string { return address + "@" + incarnation }

// Keep implements pool.Shadow.
func (s *Shadow) Keep(r pool.Release) {
	run := RunName(r.Entry, r.Run)
	if !r.Billed || run == s.run {
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
	entry.records = append(entry.records, shadowRecord{record: r.Record, workspace: r.Workspace, tokens: int64(r.Tokens), milliCost: r.MilliCost})
}

// Flushed implements pool.Shadow.
func (s *Shadow) Flushed(entry, run string, record int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(RunName(entry, run), record)
}

// trim forgets the records up to one; it needs s.mu.
func (s *Shadow) trim(run string, upTo int64) {
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
func (s *Shadow) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("usage-shadow", func(ctx context.Context) error {
			return supervisor.Every(ctx, s.clock, shadowCheck, s.check)
		}),
	}
}

// check looks after the runs that have not been heard of for a while.
func (s *Shadow) check(ctx context.Context) {
	for _, run := range s.quiet() {
		var row flushed
		version, err := platform.Read(ctx, s.table, flushedPrefix+run, &row)
		if err != nil {
			s.restart(run)
			continue
		}
		if s.standsStill(run, row.Record) {
			s.count(ctx, run, row.Record, version)
		}
	}
}

func (s *Shadow) quiet() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []string
	for run, entry := range s.entries {
		if s.clock.Now().Sub(entry.touched) > shadowCheck {
			runs = append(runs, run)
		}
	}
	return runs
}

// restart begins the waiting time anew, since the entry could not flush either.
func (s *Shadow) restart(run string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[run]; entry != nil {
		entry.stillAt = time.Time{}
	}
}

// standsStill trims what the table has and tells whether the rest has waited
// long enough.
func (s *Shadow) standsStill(run string, record int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[run]
	if entry == nil {
		return false
	}
	now := s.clock.Now()
	if entry.stillAt.IsZero() || entry.seen != record {
		entry.seen, entry.stillAt = record, now
	}
	touched := entry.touched
	s.trim(run, record)
	entry.touched = touched
	return len(entry.records) > 0 && now.Sub(entry.stillAt) >= sealAfter
}

// count seals a gone run, so that it can flush no more, and writes the records
// that it did not flush.
func (s *Shadow) count(ctx context.Context, run string, record, version int64) {
	sealedAt, ok := s.seal(ctx, run, record, version)
	if !ok {
		return
	}
	s.mu.Lock()
	sums := Figures{}
	entry := s.entries[run]
	if entry != nil {
		for _, kept := range entry.records {
			if kept.record > sealedAt {
				sums.Add(kept.workspace, 1, kept.tokens, kept.milliCost)
			}
		}
	}
	s.mu.Unlock()
	if len(sums) > 0 && s.write(ctx, run, sums) != nil {
		return
	}
	s.log.Info("usage of a gone daemon counted", "run", run, "workspaces", len(sums))
	s.mu.Lock()
	delete(s.entries, run)
	s.mu.Unlock()
}

func (s *Shadow) seal(ctx context.Context, run string, record, version int64) (int64, bool) {
	_, err := s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: sealedPrefix + run}, {Key: flushedPrefix + run, Version: version}},
		Writes: []sesamepitch.Write{{Key: sealedPrefix + run, Value: platform.Encode(flushed{Record: record})}},
	})
	if err == nil {
		return record, true
	}
	var row flushed
	sealed, readErr := platform.Read(ctx, s.table, sealedPrefix+run, &row)
	return row.Record, readErr == nil && sealed != 0
}

func (s *Shadow) write(ctx context.Context, run string, sums Figures) error {
	window := WindowAt(s.clock.Now(), s.length)
	name := "s/" + run + "/" + s.run
	var err error
	for range windowAttempts {
		key := window.rowKey(name)
		_, err = s.table.Commit(ctx, sesamepitch.Txn{
			Checks: []sesamepitch.Check{window.Open(), {Key: key}, {Key: sealedPrefix + run + "/" + s.run}},
			Writes: []sesamepitch.Write{
				{Key: key, Value: platform.Encode(Row{Figures: sums})},
				{Key: sealedPrefix + run + "/" + s.run, Value: platform.Encode(window.ID())},
			},
		})
		if err == nil {
			return nil
		}
		var done string
		written, readErr := platform.Read(ctx, s.table, sealedPrefix+run+"/"+s.run, &done)
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
