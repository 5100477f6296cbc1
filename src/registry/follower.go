package registry

import (
	"context"
	"math/rand/v2"
	"time"

	sesamepitch "sesamepitch/src"

	"github.com/go-logr/logr"
)

const (
	// longPollTimeout is how long a poll waits for a change, which also bounds the
	// time until an unresponsive connection is noticed.
	longPollTimeout = 1 * time.Second
	// maxRetryDelay bounds the delay before a failed poll is repeated.
	maxRetryDelay = 200 * time.Millisecond
	// minOutage, added to longPollTimeout, is the time without an answer of the store
	// after which endpoint entries may have expired because of the outage.
	minOutage = 1500 * time.Millisecond
)

// Follower reads a table and then polls its changes.
type Follower struct {
	clock        sesamepitch.Clock
	log          logr.Logger
	feed         sesamepitch.Feed
	table        string
	apply        func(update Update)
	minInterval  func() time.Duration
	lastSuccess  time.Time
	outageLogged bool
}

// Update is a set of rows read by a Follower: all rows of the table if Complete,
// otherwise those that changed. Revision is that of the table; StoreRecoveredAt is the end of the last outage
// of the store; zero if there was none.
type Update struct {
	Rows             []sesamepitch.Row
	Complete         bool
	Revision         int64
	StoreRecoveredAt time.Time
}

// NewFollower returns a follower that passes each update to apply.
func NewFollower(clock sesamepitch.Clock, log logr.Logger, feed sesamepitch.Feed, table string, apply func(Update)) *Follower {
	return &Follower{clock: clock, log: log, feed: feed, table: table, apply: apply}
}

// SetMinInterval sets the minimum time between two polls, for a table that
// changes continuously. The function is called after each poll.
func (f *Follower) SetMinInterval(interval func() time.Duration) { f.minInterval = interval }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	recoveredAt := time.Time{}
	revision := int64(0)
	for ctx.Err() == nil {
		snapshot, err := f.feed.Snapshot(ctx, f.table)
		if err != nil {
			f.noteFailure(ctx, err)
			continue
		}
		recoveredAt = f.noteSuccess(recoveredAt)
		if snapshot.Revision < revision {
			f.log.Info("stale snapshot ignored", "table", f.table, "revision", snapshot.Revision, "newest", revision)
			f.waitRetry(ctx)
			continue
		}
		f.apply(Update{Rows: snapshot.Rows, Complete: true, Revision: snapshot.Revision, StoreRecoveredAt: recoveredAt})
		revision = f.follow(ctx, snapshot.Revision, recoveredAt)
	}
	return ctx.Err()
}

// follow applies changes until the store no longer has their history, and
// returns the last revision applied.
func (f *Follower) follow(ctx context.Context, revision int64, recoveredAt time.Time) int64 {
	for ctx.Err() == nil {
		changes, err := f.feed.Changes(ctx, f.table, revision, longPollTimeout)
		if sesamepitch.KindOf(err) == sesamepitch.KindGone {
			f.log.Info("change history lost, reading the whole table", "table", f.table, "revision", revision)
			return revision
		}
		if err != nil {
			f.noteFailure(ctx, err)
			continue
		}
		recoveredAt = f.noteSuccess(recoveredAt)
		if changes.Revision < revision {
			f.waitRetry(ctx)
			continue
		}
		f.apply(Update{Rows: changes.Rows, Revision: changes.Revision, StoreRecoveredAt: recoveredAt})
		revision = changes.Revision
		if f.minInterval != nil {
			f.wait(ctx, f.minInterval())
		}
	}
	return revision
}

// noteSuccess records an answer of the store and returns the end of its last
// outage.
func (f *Follower) noteSuccess(recoveredAt time.Time) time.Time {
	now := f.clock.Now()
	if !f.lastSuccess.IsZero() && now.Sub(f.lastSuccess) > longPollTimeout+minOutage {
		recoveredAt = now
	}
	if f.outageLogged {
		f.outageLogged = false
		f.log.Info("store reachable again", "table", f.table)
	}
	f.lastSuccess = now
	return recoveredAt
}

func (f *Follower) noteFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.outageLogged {
		f.outageLogged = true
		f.log.Info("store unreachable", "table", f.table, "cause", err.Error())
	}
	f.waitRetry(ctx)
}

func (f *Follower) waitRetry(ctx context.Context) {
	f.wait(ctx, maxRetryDelay/2+rand.N(maxRetryDelay/2))
}

func (f *Follower) wait(ctx context.Context, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}
