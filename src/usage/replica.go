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
	checkInterval = time.Second
	// idleTime is how long nothing was received of a run before it is checked.
	idleTime = 1200 * time.Millisecond
	// sealAfterFlushes is the number of flush intervals in which an idle run must have
	// flushed nothing, while the table answers, before another daemon seals it and counts
	// its records. The seal keeps a daemon that is still running from counting them, too.
	sealAfterFlushes = 2
)

// replicaRecord is one record of another daemon's run.
type replicaRecord struct {
	number    int64
	workspace string
	tokens    int64
	milliCost int64
}

// runState holds the records of one run that are not known to be in the table.
type runState struct {
	records []replicaRecord
	// updatedAt is when a message about the run was last received.
	updatedAt time.Time
	// flushedRecord is the run's last record in the table when it was last checked, and
	// stalledSince is when it was first found there; zero if it has to be measured anew.
	flushedRecord int64
	stalledSince  time.Time
}

// Replica keeps the usage records that other daemons sent to this one and have not
// flushed to the table, and counts them if such a daemon has exited.
type Replica struct {
	clock         sesamepitch.Clock
	log           logr.Logger
	table         sesamepitch.Table
	run           string
	windowLength  time.Duration
	flushInterval FlushInterval
	hasEnded      func(ctx context.Context, run string) bool

	mu   sync.Mutex
	runs map[string]*runState
}

// NewReplica returns the replica at one run of a daemon. The function hasEnded reports
// whether another run is known to have ended.
func NewReplica(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, run string, windowLength time.Duration, flushInterval FlushInterval, hasEnded func(ctx context.Context, run string) bool) *Replica {
	return &Replica{clock: clock, log: log, table: table, run: run, windowLength: windowLength, flushInterval: flushInterval, hasEnded: hasEnded, runs: map[string]*runState{}}
}

// RunName returns the name in the usage rows of a daemon's run: one incarnation of its
// process.
func RunName(address, incarnation string) string { return address + "@" + incarnation }

// Keep implements pool.UsageReplica.
func (r *Replica) Keep(release pool.Release) {
	run := release.Receipt.Run
	if !release.Billed || strings.HasPrefix(run, r.run) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.runs[run]
	if state == nil {
		state = &runState{}
		r.runs[run] = state
	}
	state.updatedAt = r.clock.Now()
	state.records = append(state.records, replicaRecord{number: release.Receipt.Number, workspace: release.Workspace, tokens: int64(release.Tokens), milliCost: release.MilliCost})
	r.trim(release.Books.Run, release.Books.Safe)
}

// Flushed implements pool.UsageReplica.
func (r *Replica) Flushed(watermark pool.UsageWatermark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim(watermark.Run, watermark.Safe)
}

// trim removes a run's records up to a number. The caller holds r.mu.
func (r *Replica) trim(run string, upTo int64) {
	state := r.runs[run]
	if state == nil {
		return
	}
	var kept []replicaRecord
	for _, record := range state.records {
		if record.number > upTo {
			kept = append(kept, record)
		}
	}
	state.records = kept
	state.updatedAt = r.clock.Now()
	if len(kept) == 0 {
		delete(r.runs, run)
	}
}

// Workers returns the replica's supervised task.
func (r *Replica) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("usage-shadow", func(ctx context.Context) error {
			return supervisor.Every(ctx, r.clock, checkInterval, r.check)
		}),
	}
}

// check seals and counts idle runs that have ended or no longer flush.
func (r *Replica) check(ctx context.Context) {
	for _, run := range r.idleRuns() {
		var row flushRow
		version, err := rowstore.Read(ctx, r.table, flushedPrefix+run, &row)
		if err != nil {
			r.resetStall(run)
			continue
		}
		stalled := r.stalledFor(run, row.Record)
		if stalled >= sealAfterFlushes*r.flushInterval() || (stalled >= 0 && r.hasEnded(ctx, run)) {
			r.countUnflushed(ctx, run, row.Record, version)
		}
	}
}

// idleRuns returns the runs of which nothing was received for idleTime.
func (r *Replica) idleRuns() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []string
	for run, state := range r.runs {
		if r.clock.Now().Sub(state.updatedAt) > idleTime {
			runs = append(runs, run)
		}
	}
	return runs
}

// resetStall restarts the measurement of a run's stall: while this daemon cannot reach
// the table, the run may be unable to flush, too.
func (r *Replica) resetStall(run string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.runs[run]; state != nil {
		state.stalledSince = time.Time{}
	}
}

// stalledFor removes the records that are in the table and returns for how long the run
// has flushed none of the others; negative if none are left.
func (r *Replica) stalledFor(run string, record int64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.runs[run]
	if state == nil {
		return -1
	}
	now := r.clock.Now()
	if state.stalledSince.IsZero() || state.flushedRecord != record {
		state.flushedRecord, state.stalledSince = record, now
	}
	updatedAt := state.updatedAt
	r.trim(run, record)
	state.updatedAt = updatedAt
	if len(state.records) == 0 {
		return -1
	}
	return now.Sub(state.stalledSince)
}

// countUnflushed seals a run, so that it can flush no more, and writes the records that it
// did not flush.
func (r *Replica) countUnflushed(ctx context.Context, run string, record, version int64) {
	sealedRecord, ok := r.seal(ctx, run, record, version)
	if !ok {
		return
	}
	sums, last := r.sumAfter(run, sealedRecord)
	if len(sums) > 0 && r.write(ctx, run, sums, last) != nil {
		return
	}
	r.log.Info("unflushed usage of another daemon counted", "run", run, "workspaces", len(sums), "from", sealedRecord, "to", last)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trim(run, last)
}

// sumAfter returns the sums of a run's records after a number, and the last one's number.
func (r *Replica) sumAfter(run string, after int64) (Figures, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums, last := Figures{}, after
	state := r.runs[run]
	if state == nil {
		return sums, last
	}
	for _, kept := range state.records {
		if kept.number > after {
			sums.Add(kept.workspace, 1, kept.tokens, kept.milliCost)
			last = max(last, kept.number)
		}
	}
	return sums, last
}

// seal seals a run after a record, unless another daemon has, and returns the record after
// which it is sealed.
func (r *Replica) seal(ctx context.Context, run string, record, version int64) (int64, bool) {
	_, err := r.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: sealedPrefix + run}, {Key: flushedPrefix + run, Version: version}},
		Writes: []sesamepitch.Write{{Key: sealedPrefix + run, Value: rowstore.Encode(flushRow{Record: record, At: r.clock.Now()})}},
	})
	if err == nil {
		return record, true
	}
	var row flushRow
	sealed, readErr := rowstore.Read(ctx, r.table, sealedPrefix+run, &row)
	return row.Record, readErr == nil && sealed != 0
}

// write adds sums to the first window that is not closed. A row named for the last
// record, written in the same transaction, keeps a repeat from adding them again.
func (r *Replica) write(ctx context.Context, run string, sums Figures, last int64) error {
	window := WindowAt(r.clock.Now(), r.windowLength)
	name := fmt.Sprintf("s/%s/%s/%d", run, r.run, last)
	markerKey := fmt.Sprintf("%s%s/%s/%d", sealedPrefix, run, r.run, last)
	var err error
	for range maxWindowAttempts {
		key := window.rowKey(name)
		_, err = r.table.Commit(ctx, sesamepitch.Txn{
			Checks: []sesamepitch.Check{window.NotClosed(), {Key: key}, {Key: markerKey}},
			Writes: []sesamepitch.Write{
				{Key: key, Value: rowstore.Encode(Row{Figures: sums})},
				{Key: markerKey, Value: rowstore.Encode(flushRow{Record: last, At: r.clock.Now()})},
			},
		})
		if err == nil {
			return nil
		}
		var done flushRow
		written, readErr := rowstore.Read(ctx, r.table, markerKey, &done)
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
