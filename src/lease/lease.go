// Package lease implements leases, each held by one process at a time and stored
// in a row of the platform's table. The holder stops before its lease can be taken
// over, by a margin. A contender measures on its own clock how long the row has not
// changed, so clocks need not be synchronised.
package lease

import (
	"context"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// Record is the lease's row. Epoch is the fencing number, which increases with each
// new holder; Renewal increases with each renewal.
type Record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Renewal int64  `json:"renewal"`
	// Note is data from the holder for its successor.
	Note string `json:"note,omitempty"`
	// Last is the holder that released the lease. Former is the holder before the
	// current one, or before Last.
	Last   string `json:"last,omitempty"`
	Former string `json:"former,omitempty"`
}

// lastHolder returns the holder, or the last one if the lease is released.
func (r Record) lastHolder() string {
	if r.Holder != "" {
		return r.Holder
	}
	return r.Last
}

// formerHolder returns the Former of the record that holder would write if it took the
// lease now.
func (r Record) formerHolder(holder string) string {
	if last := r.lastHolder(); last != holder {
		return last
	}
	return r.Former
}

// Lease is one process's handle on a lease, as holder or contender.
type Lease struct {
	clock    sesamepitch.Clock
	table    sesamepitch.Table
	key      string
	holder   string
	address  string
	settings Settings

	mu        sync.Mutex
	held      bool
	until     time.Time
	record    Record
	version   int64
	changedAt time.Time
	observed  bool
	note      string
	previous  Record
	// uncertainSince is when the oldest commit with an unknown outcome was sent; zero
	// if there is none.
	uncertainSince time.Time
	// takeoverDelay is how much longer this process waits than others to take a lapsed
	// lease, releasedDelay to take a released one.
	takeoverDelay, releasedDelay time.Duration
	// otherSince is when another holder, with otherEpoch, was first seen.
	otherSince time.Time
	otherEpoch int64
	// holdOffUntil is when fenced calls are allowed again if the lease is held.
	holdOffUntil time.Time
	// readAt is when the row was last read.
	readAt time.Time
	// readFailed is set after a failed read of the row until the next successful one.
	readFailed bool
}

// New returns a lease on key for a holder. No two running processes may use the
// same holder name: a process that finds its own name in the row takes the lease at
// once, since the previous process of that name has ended. The clock must also
// advance while the instance is suspended.
func New(clock sesamepitch.Clock, table sesamepitch.Table, key, holder, address string, settings Settings) *Lease {
	return &Lease{clock: clock, table: table, key: key, holder: holder, address: address, settings: settings}
}

// Held returns the fencing number and the time until which this process holds the
// lease; ok is false if it does not hold it.
func (l *Lease) Held() (epoch int64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.clock.Now().Before(l.until) {
		return 0, time.Time{}, false
	}
	return l.record.Epoch, l.until, true
}

// MayCall implements sesamepitch.LeaseHolder.
func (l *Lease) MayCall() (epoch int64, ok bool) {
	epoch, until, held := l.Held()
	left := time.Duration(callShare * float64(l.settings.held()))
	return epoch, held && until.Sub(l.clock.Now()) > left
}

// Settings returns the lease's times.
func (l *Lease) Settings() Settings { return l.settings }

// SetNote sets the note for a successor, which the next renewals write.
func (l *Lease) SetNote(note string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note = note
}

func (l *Lease) inHoldOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now().Before(l.holdOffUntil)
}

// SetTakeoverDelay sets how much longer than others this process waits before it
// takes a lapsed lease and a released one.
func (l *Lease) SetTakeoverDelay(lapsed, released time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeoverDelay, l.releasedDelay = lapsed, released
}

// StepDelay returns the time until the next Step is due: at most longest, less if
// the lease can be taken earlier.
func (l *Lease) StepDelay(longest time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || !l.observed || l.readFailed {
		return longest
	}
	remaining := l.changedAt.Add(l.takeoverWait()).Sub(l.clock.Now())
	return max(min(remaining, longest), 0)
}

// Previous returns the record that this process replaced when it last took the
// lease.
func (l *Lease) Previous() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}

// Record returns the row as last read or written.
func (l *Lease) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// ReadAt returns when this process, as a contender, last read the row; zero if it
// never has.
func (l *Lease) ReadAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt
}

// Step renews a held lease, or takes one that has lapsed or was released. An error
// means that the table could not be read or written.
func (l *Lease) Step(ctx context.Context) error {
	if l.isHolder() {
		return l.renew(ctx)
	}
	if err := l.observe(ctx); err != nil {
		return err
	}
	if l.canTake() {
		return l.take(ctx)
	}
	return nil
}

// Release releases a held lease, so that a contender can take it without waiting
// for its end. The caller must first stop all work that requires the lease.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, version := l.held, l.version
	next := Record{Epoch: l.record.Epoch, Note: l.note, Last: l.holder, Former: l.record.Former}
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	_, err := l.table.Commit(ctx, l.txn(version, next))
	return err
}

func (l *Lease) isHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Lease) txn(version int64, next Record) sesamepitch.Txn {
	return sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: l.key, Version: version}},
		Writes: []sesamepitch.Write{{Key: l.key, Value: rowstore.Encode(next)}},
	}
}

func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	next, version := l.record, l.version
	next.Note = l.note
	l.mu.Unlock()
	next.Renewal++
	sent := l.clock.Now()
	revision, err := l.table.Commit(ctx, l.txn(version, next))
	switch sesamepitch.KindOf(err) {
	case "":
		l.setHeld(next, revision, sent)
		return nil
	case sesamepitch.KindUnknown:
		l.noteUncertain(sent)
		return l.readBack(ctx)
	case sesamepitch.KindConflict:
		return l.readBack(ctx)
	default:
		return err
	}
}

// noteUncertain records the send time of a commit with an unknown outcome, unless an
// older one is recorded.
func (l *Lease) noteUncertain(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.uncertainSince.IsZero() {
		l.uncertainSince = sent
	}
}

// readBack reads the row to find out whether a renewal or takeover whose answer was
// lost took effect. If the row changed, one of the uncertain commits wrote it,
// possibly the oldest, so the lease runs from the time that one was sent.
// Otherwise the lease's end does not change.
func (l *Lease) readBack(ctx context.Context) error {
	var row Record
	version, err := rowstore.Read(ctx, l.table, l.key, &row)
	if err != nil {
		return err
	}
	l.mu.Lock()
	own := row.Holder == l.holder
	changed := version != l.version
	since := l.uncertainSince
	l.mu.Unlock()
	if !own {
		l.setLost(row, version)
		return nil
	}
	if changed && !since.IsZero() {
		l.setHeld(row, version, since)
	}
	return nil
}

func (l *Lease) setHeld(record Record, version int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.uncertainSince = time.Time{}
	l.record = record
	l.version = version
	l.until = sent.Add(l.settings.held())
}

func (l *Lease) setLost(record Record, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.uncertainSince = time.Time{}
	l.setRow(record, version)
}

// setRow stores the row and the time it last changed. After a failed read, the wait
// for a takeover starts again, so that a holder that could not renew in the meantime
// either can do so first. The caller must hold l.mu.
func (l *Lease) setRow(record Record, version int64) {
	if !l.observed || version != l.version || l.readFailed {
		l.changedAt = l.clock.Now()
	}
	l.readFailed = false
	l.observed = true
	l.record = record
	l.version = version
	if other := record.lastHolder(); other != "" && other != l.holder && record.Epoch != l.otherEpoch {
		l.otherSince, l.otherEpoch = l.clock.Now(), record.Epoch
	}
}

func (l *Lease) observe(ctx context.Context) error {
	var row Record
	version, err := rowstore.Read(ctx, l.table, l.key, &row)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.readFailed = true
		return err
	}
	l.readAt = l.clock.Now()
	l.setRow(row, version)
	return nil
}

func (l *Lease) canTake() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Holder == l.holder {
		return true
	}
	return l.clock.Now().Sub(l.changedAt) >= l.takeoverWait()
}

// takeoverWait returns how long the row must not have changed before this process
// may take the lease. The caller must hold l.mu.
func (l *Lease) takeoverWait() time.Duration {
	if l.record.Holder == "" {
		return l.releasedDelay
	}
	return l.settings.TTL + l.settings.Margin + l.takeoverDelay
}

func (l *Lease) take(ctx context.Context) error {
	l.mu.Lock()
	version := l.version
	next := Record{Holder: l.holder, Address: l.address, Epoch: l.record.Epoch + 1, Note: l.record.Note, Former: l.record.formerHolder(l.holder)}
	if l.record.Former == l.holder && l.record.lastHolder() != l.holder {
		l.holdOffUntil = l.otherSince.Add(l.settings.TakeoverTime)
	}
	l.previous = l.record
	l.mu.Unlock()
	sent := l.clock.Now()
	revision, err := l.table.Commit(ctx, l.txn(version, next))
	switch sesamepitch.KindOf(err) {
	case "":
		l.setHeld(next, revision, sent)
		return nil
	case sesamepitch.KindConflict:
		return l.observe(ctx)
	case sesamepitch.KindUnknown:
		l.noteUncertain(sent)
		return l.readBack(ctx)
	default:
		return err
	}
}
