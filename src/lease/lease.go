// Package lease lets one process at a time be in charge of something, by a
// row of the platform's table. The holder stops a margin before its lease can
// be taken over; a contender judges by its own clock for how long the row has
// not changed, so clocks need not agree.
package lease

import (
	"context"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// Record is the lease's row. Epoch is the fencing number: it grows with each
// new holder.
type Record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Renewal int64  `json:"renewal"`
	// Note is what the holder leaves for its successor.
	Note string `json:"note,omitempty"`
	// Last is the holder that released the lease, Former the one before the holder
	// or before Last.
	Last   string `json:"last,omitempty"`
	Former string `json:"former,omitempty"`
}

// lastHolder returns the holder, or the last one of a released lease.
func (r Record) lastHolder() string {
	if r.Holder != "" {
		return r.Holder
	}
	return r.Last
}

// formerFor returns who was in charge before a holder that takes the lease now.
func (r Record) formerFor(holder string) string {
	if last := r.lastHolder(); last != holder {
		return last
	}
	return r.Former
}

// Settings are the lease's times. A holder counts on the lease for TTL−Margin
// after it sent its last renewal; a contender waits TTL+Margin.
type Settings struct {
	TTL    time.Duration
	Margin time.Duration
	// TakeoverTime is the span in which holders must not take turns: a holder that is
	// followed by another one and takes the lease again has no duty in it.
	TakeoverTime time.Duration
}

const (
	// ttlShare and marginShare of the span in which holders must not take turns
	// are a lease's term and margin.
	ttlShare    = 0.5
	marginShare = 0.1
)

// SettingsFor returns the settings of a lease whose holders must not take turns
// within a span.
func SettingsFor(turn time.Duration) Settings {
	return Settings{
		TTL:          time.Duration(ttlShare * float64(turn)),
		Margin:       time.Duration(marginShare * float64(turn)),
		TakeoverTime: turn,
	}
}

// Lease is one process's view of one lease.
type Lease struct {
	clock    sesamepitch.Clock
	table    sesamepitch.Table
	key      string
	holder   string
	address  string
	settings Settings

	mu       sync.Mutex
	held     bool
	until    time.Time
	record   Record
	version  int64
	seenAt   time.Time
	observed bool
	note     string
	previous Record
	// unsettled is when the oldest commit was sent that may still take effect or
	// may have; zero if there is none.
	unsettled time.Time
	// reluctance is how much longer this process waits than others for a lease
	// that lapsed, releaseReluctance for one that was released.
	reluctance, releaseReluctance time.Duration
	// otherSince is when another holder was first seen with otherEpoch.
	otherSince time.Time
	otherEpoch int64
	// quietUntil is until when a held lease gives no duty.
	quietUntil time.Time
	// blind is set once the row could not be read.
	blind bool
}

// New returns a lease on key for a holder, whose name must be used by no other
// process at the same time. A process that finds its own name in the row takes
// the lease at once: the process that had it has ended. The clock must also
// count the time that the instance was suspended.
func New(clock sesamepitch.Clock, table sesamepitch.Table, key, holder, address string, settings Settings) *Lease {
	return &Lease{clock: clock, table: table, key: key, holder: holder, address: address, settings: settings}
}

// Held returns the fencing number and the time until which this process is in
// charge; ok is false if it is not.
func (l *Lease) Held() (epoch int64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || !l.clock.Now().Before(l.until) {
		return 0, time.Time{}, false
	}
	return l.record.Epoch, l.until, true
}

// SetNote sets what the next renewals leave for a successor.
func (l *Lease) SetNote(note string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note = note
}

// ForFencedCalls returns the lease as the authority for calls whose receivers must not see
// holders take turns: it is not held while that could happen.
func (l *Lease) ForFencedCalls() sesamepitch.LeaseHolder { return duty{l} }

type duty struct{ lease *Lease }

// Held implements sesamepitch.Authority.
func (d duty) Held() (epoch int64, until time.Time, ok bool) {
	epoch, until, ok = d.lease.Held()
	if !ok || d.lease.isQuiet() {
		return 0, time.Time{}, false
	}
	return epoch, until, true
}

func (l *Lease) isQuiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now().Before(l.quietUntil)
}

// SetTakeoverDelay sets how much longer than others this process waits before it
// takes the lease: one that lapsed, and one that was released.
func (l *Lease) SetTakeoverDelay(lapsed, released time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reluctance, l.releaseReluctance = lapsed, released
}

// StepDelay returns the time until the next step is due: at most longest, less if the
// lease can be taken earlier.
func (l *Lease) StepDelay(longest time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held || !l.observed || l.blind {
		return longest
	}
	left := l.seenAt.Add(l.term()).Sub(l.clock.Now())
	return max(min(left, longest), 0)
}

// Previous returns the record of the holder before this process took the lease.
func (l *Lease) Previous() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}

// Record returns the row as last seen.
func (l *Lease) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Step renews a held lease, or takes it if it has lapsed. An error means that
// the table could not be asked.
func (l *Lease) Step(ctx context.Context) error {
	if l.isHolder() {
		return l.renew(ctx)
	}
	if err := l.observe(ctx); err != nil {
		return err
	}
	if l.lapsed() {
		return l.take(ctx)
	}
	return nil
}

// Release gives a held lease up, so that a contender need not wait. The
// caller must have stopped all that it did under the lease.
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
		l.hold(next, revision, sent)
		return nil
	case sesamepitch.KindUnknown:
		l.notSettled(sent)
		return l.readBack(ctx)
	case sesamepitch.KindConflict:
		return l.readBack(ctx)
	default:
		return err
	}
}

// notSettled notes a commit whose outcome is unknown.
func (l *Lease) notSettled(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unsettled.IsZero() {
		l.unsettled = sent
	}
}

// readBack finds out whether a renewal or a take with a lost answer took
// effect. If the row changed, one of the unsettled commits wrote it, perhaps
// the oldest: the lease counts from when that was sent. Else the old end stays.
func (l *Lease) readBack(ctx context.Context) error {
	var row Record
	version, err := rowstore.Read(ctx, l.table, l.key, &row)
	if err != nil {
		return err
	}
	l.mu.Lock()
	mine := row.Holder == l.holder
	changed := version != l.version
	sent := l.unsettled
	l.mu.Unlock()
	if !mine {
		l.lose(row, version)
		return nil
	}
	if changed && !sent.IsZero() {
		l.hold(row, version, sent)
	}
	return nil
}

func (l *Lease) hold(record Record, version int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.unsettled = time.Time{}
	l.record = record
	l.version = version
	l.until = sent.Add(l.settings.TTL - l.settings.Margin)
}

func (l *Lease) lose(record Record, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.unsettled = time.Time{}
	l.remember(record, version)
}

// remember keeps the row and when it last changed; it needs l.mu. After a read
// that failed the term counts anew, so that a holder that could not renew
// meanwhile either can do so first.
func (l *Lease) remember(record Record, version int64) {
	if !l.observed || version != l.version || l.blind {
		l.seenAt = l.clock.Now()
	}
	l.blind = false
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
		l.blind = true
		return err
	}
	l.remember(row, version)
	return nil
}

func (l *Lease) lapsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Holder == l.holder {
		return true
	}
	return l.clock.Now().Sub(l.seenAt) >= l.term()
}

// term is how long the row must not have changed before this process may take
// the lease; it needs l.mu.
func (l *Lease) term() time.Duration {
	if l.record.Holder == "" {
		return l.releaseReluctance
	}
	return l.settings.TTL + l.settings.Margin + l.reluctance
}

func (l *Lease) take(ctx context.Context) error {
	l.mu.Lock()
	version := l.version
	next := Record{Holder: l.holder, Address: l.address, Epoch: l.record.Epoch + 1, Note: l.record.Note, Former: l.record.formerFor(l.holder)}
	if l.record.Former == l.holder && l.record.lastHolder() != l.holder {
		l.quietUntil = l.otherSince.Add(l.settings.TakeoverTime)
	}
	l.previous = l.record
	l.mu.Unlock()
	sent := l.clock.Now()
	revision, err := l.table.Commit(ctx, l.txn(version, next))
	switch sesamepitch.KindOf(err) {
	case "":
		l.hold(next, revision, sent)
		return nil
	case sesamepitch.KindConflict:
		return l.observe(ctx)
	case sesamepitch.KindUnknown:
		l.notSettled(sent)
		return l.readBack(ctx)
	default:
		return err
	}
}
