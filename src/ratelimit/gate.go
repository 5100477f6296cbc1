// Package ratelimit keeps the requests of all instances to an endpoint within the
// rate that the endpoint bears. The holder of the driver lease grants the requests;
// an instance that can't reach it sends in time slots of its own.
package ratelimit

import (
	"context"
	"errors"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/invariant"
	"sesamepitch/src/lease"

	"github.com/go-logr/logr"
)

const (
	// granterTimeout bounds a call of the granter.
	granterTimeout = 200 * time.Millisecond
	// granterRetryDelay is how long the granter is not asked after a call failed.
	granterRetryDelay = time.Second
	// summaryInterval is the least time between two log lines on the requests to an
	// endpoint with a limit.
	summaryInterval = 4 * time.Second
	// newsQueueSize bounds the statements that wait to be sent to the granter; more
	// are dropped, as the next request to the endpoint brings them, too.
	newsQueueSize = 256
)

var (
	errDenied     = errors.New("the endpoint takes no more requests now")
	errNotGranter = errors.New("this instance does not hold the driver lease")
	errNoGranter  = errors.New("no driver is known")
	errNoMembers  = errors.New("other instances are not known yet")
)

// Lease tells which instance grants requests; *lease.Lease implements it.
type Lease interface {
	sesamepitch.LeaseHolder
	// Record returns the lease's row as last seen.
	Record() lease.Record
}

// Members tells the place of this instance among all.
type Members interface {
	// Rank returns the position of this instance in the order of all, and their
	// number; ok is false while they are not known.
	Rank() (rank, count int, ok bool)
}

// Gate admits requests to endpoints that bear a limited rate. It implements
// sesamepitch.RequestGate and sesamepitch.RateLimiter.
type Gate struct {
	clock      sesamepitch.Clock
	log        logr.Logger
	statements *Statements
	lease      Lease
	members    Members
	peers      sesamepitch.PeerCaller
	coldRate   func(to sesamepitch.Destination) float64
	checks     *invariant.Recorder
	// news are the statements that this instance heard and has yet to tell the
	// granter.
	news chan Statement
	// share receives when the granter has something to publish.
	share chan struct{}

	mu sync.Mutex
	// budgets are those of the lease's epoch, by endpoint.
	budgets map[process]*budget
	epoch   int64
	// usedSlots has the last slot that this instance used of an endpoint.
	usedSlots map[process]int64
	// askAgainAt is when the granter of failedEpoch, which gave no answer, may be
	// asked again.
	failedEpoch int64
	askAgainAt  time.Time
	counts      counts
}

// Option configures a Gate.
type Option func(*Gate)

// WithColdRate sets the function that returns the requests per second that an
// endpoint bears while it is cold, zero if it is not or has no such rate.
func WithColdRate(coldRate func(to sesamepitch.Destination) float64) Option {
	return func(g *Gate) { g.coldRate = coldRate }
}

// WithChecks sets the recorder of invariant violations.
func WithChecks(checks *invariant.Recorder) Option {
	return func(g *Gate) { g.checks = checks }
}

// New returns the gate of an instance.
func New(clock sesamepitch.Clock, log logr.Logger, statements *Statements, granter Lease, members Members, peers sesamepitch.PeerCaller, options ...Option) *Gate {
	g := &Gate{
		clock: clock, log: log, statements: statements, lease: granter, members: members, peers: peers,
		news: make(chan Statement, newsQueueSize), share: make(chan struct{}, 1), budgets: map[process]*budget{}, usedSlots: map[process]int64{}, counts: newCounts(),
		coldRate: func(sesamepitch.Destination) float64 { return 0 },
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// rate returns the requests per second that an endpoint bears: what it names, or
// less while it is cold; zero for no limit.
func (g *Gate) rate(to sesamepitch.Destination) float64 {
	named, cold := g.statements.perSecond(processOf(to)), g.coldRate(to)
	if cold > 0 && (named == 0 || cold < named) {
		return min(max(cold, minRate), maxRate)
	}
	return named
}

// Named reports whether an endpoint's process names a limit.
func (g *Gate) Named(id string, born int64) bool {
	return g.statements.perSecond(process{ID: id, Born: born}) > 0
}

// Interval returns the mean time between two requests to an endpoint; zero if its
// rate is not limited.
func (g *Gate) Interval(to sesamepitch.Destination) time.Duration {
	perSecond := g.rate(to)
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// TryTake implements sesamepitch.RateLimiter.
func (g *Gate) TryTake(to sesamepitch.Destination) (retryIn time.Duration, granted bool) {
	perSecond := g.rate(to)
	if perSecond == 0 {
		return 0, true
	}
	retryIn, err := g.grant(processOf(to), perSecond, 0)
	if errors.Is(err, errNotGranter) {
		retryIn, err = g.takeSlot(processOf(to), perSecond)
	}
	return retryIn, err == nil
}

// Take implements sesamepitch.RateLimiter.
func (g *Gate) Take(ctx context.Context, to sesamepitch.Destination, patience time.Duration) (retryIn time.Duration, granted bool) {
	id, perSecond := processOf(to), g.rate(to)
	if perSecond == 0 {
		return 0, true
	}
	wait, err := g.grant(id, perSecond, patience)
	if errors.Is(err, errNotGranter) {
		wait, err = g.ask(ctx, id, perSecond, patience)
	}
	switch {
	case errors.Is(err, errDenied):
		return wait, false
	case err != nil:
		retryIn, err = g.takeSlot(id, perSecond)
		return retryIn, err == nil
	}
	return 0, g.sleep(ctx, wait)
}

// sleep waits for d and reports whether ctx is still active.
func (g *Gate) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-g.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// grant grants a request as the granter. It fails with errNotGranter if this
// instance is not, and with errDenied if the request would have to wait longer than
// patience; wait is then the time until one will be granted.
func (g *Gate) grant(id process, perSecond float64, patience time.Duration) (wait time.Duration, err error) {
	epoch, _, held := g.lease.Held()
	if !held {
		return 0, errNotGranter
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch != g.epoch {
		g.epoch = epoch
		clear(g.budgets)
	}
	now := g.clock.Now()
	if g.budgets[id] == nil {
		g.budgets[id] = newBudget(now, perSecond)
	}
	wait, granted := g.budgets[id].take(now, perSecond, patience)
	if !granted {
		return wait, errDenied
	}
	inSecond := g.budgets[id].record(now.Add(wait))
	g.checks.Check(float64(inSecond) <= perSecond+float64(burstOf(perSecond)), invariant.EndpointRate, "endpoint", id.ID, "granted", inSecond, "rate", perSecond)
	return wait, nil
}

// takeSlot admits a request in a slot of this instance. It fails with errDenied
// outside of them; next is then the time until the next one.
func (g *Gate) takeSlot(id process, perSecond float64) (next time.Duration, err error) {
	rank, count, known := g.members.Rank()
	if !known {
		return granterRetryDelay, errNoMembers
	}
	slot, own, next := slotOf(g.clock.Now(), rank, count, perSecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	if used, found := g.usedSlots[id]; !own || found && used == slot {
		return next, errDenied
	}
	g.usedSlots[id] = slot
	return 0, nil
}

// Admit implements sesamepitch.RequestGate: a request without admission takes one
// now or fails.
func (g *Gate) Admit(_ context.Context, to sesamepitch.Destination, purpose sesamepitch.Purpose) error {
	perSecond := g.rate(to)
	if !to.Admitted && perSecond > 0 {
		if _, granted := g.TryTake(to); !granted {
			g.count(to, purpose, perSecond, false)
			return &Error{Op: "admit to " + to.ID, Kind: sesamepitch.KindUnavailable, Err: errDenied}
		}
	}
	g.count(to, purpose, perSecond, true)
	return nil
}

// Answered implements sesamepitch.RequestGate.
func (g *Gate) Answered(to sesamepitch.Destination, sent time.Time, stated sesamepitch.Statement) {
	said, changed := g.statements.Hear(to, sent, stated.Limit)
	if !changed {
		return
	}
	select {
	case g.news <- said:
	default:
		g.log.Info("news of a limit dropped", "endpoint", to.ID, "cause", "the queue is full")
	}
}

// Retain drops what is known of endpoints' processes that are not registered;
// registered has the start time of each endpoint's process by its ID.
func (g *Gate) Retain(registered map[string]int64) {
	isRegistered := func(id process) bool {
		born, found := registered[id.ID]
		return found && born == id.Born
	}
	g.statements.retain(isRegistered)
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.budgets {
		if !isRegistered(id) {
			delete(g.budgets, id)
		}
	}
	for id := range g.usedSlots {
		if !isRegistered(id) {
			delete(g.usedSlots, id)
		}
	}
	g.counts.retain(isRegistered)
}
