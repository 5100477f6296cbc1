package registry

import (
	"context"
	"math/rand/v2"
	"time"

	sesamepitch "sesamepitch/src"

	"github.com/go-logr/logr"
)

const (
	// feedWait bounds how long a channel that went silent stays unnoticed.
	feedWait = 1 * time.Second
	// feedRetry is the longest pause before a failed feed is asked again.
	feedRetry = 200 * time.Millisecond
	// outageAfter is how long the store must have been away for entries to have
	// lapsed meanwhile.
	outageAfter = 1500 * time.Millisecond
)

// Follower keeps a copy of one table up to date.
type Follower struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	feed    sesamepitch.Feed
	table   string
	apply   func(update Update)
	pace    func() time.Duration
	lastOK  time.Time
	lostLog bool
}

// Update is a step of a Follower: all rows of the table if Whole, else those
// that changed. StoreBack is when the store answered again after an outage.
type Update struct {
	Rows             []sesamepitch.Row
	Complete         bool
	StoreRecoveredAt time.Time
}

// NewFollower returns a follower that gives each step to apply.
func NewFollower(clock sesamepitch.Clock, log logr.Logger, feed sesamepitch.Feed, table string, apply func(Update)) *Follower {
	return &Follower{clock: clock, log: log, feed: feed, table: table, apply: apply}
}

// SetMinInterval sets the least time between two polls, for a table that changes
// continuously.
func (f *Follower) SetMinInterval(pace func() time.Duration) { f.pace = pace }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	back := time.Time{}
	newest := int64(0)
	for ctx.Err() == nil {
		snapshot, err := f.feed.Snapshot(ctx, f.table)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		back = f.answered(back)
		if snapshot.Revision < newest {
			f.log.Info("stale snapshot ignored", "table", f.table, "revision", snapshot.Revision, "newest", newest)
			f.pause(ctx)
			continue
		}
		f.apply(Update{Rows: snapshot.Rows, Complete: true, StoreRecoveredAt: back})
		newest = f.follow(ctx, snapshot.Revision, back)
	}
	return ctx.Err()
}

// follow applies changes until the history is lost and returns the revision
// that it came to.
func (f *Follower) follow(ctx context.Context, revision int64, back time.Time) int64 {
	for ctx.Err() == nil {
		changes, err := f.feed.Changes(ctx, f.table, revision, feedWait)
		if sesamepitch.KindOf(err) == sesamepitch.KindGone {
			f.log.Info("history lost, table is read again", "table", f.table, "revision", revision)
			return revision
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		back = f.answered(back)
		if changes.Revision < revision {
			f.pause(ctx)
			continue
		}
		f.apply(Update{Rows: changes.Rows, StoreRecoveredAt: back})
		revision = changes.Revision
		if f.pace != nil {
			f.wait(ctx, f.pace())
		}
	}
	return revision
}

// answered notes an answer of the store and returns when it was last back.
func (f *Follower) answered(back time.Time) time.Time {
	now := f.clock.Now()
	if !f.lastOK.IsZero() && now.Sub(f.lastOK) > feedWait+outageAfter {
		back = now
	}
	if f.lostLog {
		f.lostLog = false
		f.log.Info("store regained", "table", f.table)
	}
	f.lastOK = now
	return back
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.lostLog {
		f.lostLog = true
		f.log.Info("store lost", "table", f.table, "cause", err.Error())
	}
	f.pause(ctx)
}

func (f *Follower) pause(ctx context.Context) {
	f.wait(ctx, feedRetry/2+rand.N(feedRetry/2))
}

func (f *Follower) wait(ctx context.Context, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}
