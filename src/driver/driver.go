package driver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/invariant"
	"sesamepitch/src/lease"
	"sesamepitch/src/registry"

	"github.com/go-logr/logr"
)

// LeaseKey is the row of the lease under which jobs are driven and duties done.
const LeaseKey = "lease//driver"

const (
	// renewal is the longest time between steps of the lease.
	renewal = 350 * time.Millisecond
	// raceSpread is the span over which contenders spread their tries.
	raceSpread = 40 * time.Millisecond
	// weakReluctance leaves the lease to instances with more cores.
	weakReluctance = 1500 * time.Millisecond
	// agedReluctance leaves a lease that was released to instances that have
	// started since: in a rolling restart they are not the next to go.
	agedReluctance = 250 * time.Millisecond
	// yieldAfter is how long a stronger instance must be known, and yieldRest how
	// long it has to take the lease.
	yieldAfter = 4 * time.Second
	yieldRest  = 4 * time.Second
	// defaultReadable is used where the settings name no time.
	defaultReadable = 10 * time.Minute
	// leaseCall bounds one step of the lease: a holder tries twice within its term.
	leaseCall = 600 * time.Millisecond
	// leavePause is the time between tries to hand over.
	leavePause = 100 * time.Millisecond
)

// NewLease returns the driver's lease for an instance; drivers must not take
// turns within a span.
func NewLease(clock sesamepitch.Clock, table sesamepitch.Table, instance, address string, turn time.Duration) *lease.Lease {
	return lease.New(clock, table, LeaseKey, instance, address, lease.SettingsFor(turn))
}

// Eligibility tells how well an instance is suited to drive.
type Eligibility interface {
	// IsStrong tells whether no other instance has notably more cores.
	IsStrong() bool
	// IsAged tells whether another instance has started notably later.
	IsAged() bool
}

// Driver takes part in the lease and drives all jobs while it has it.
type Driver struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	store    sesamepitch.Store
	ledger   *batch.Ledger
	registry *registry.Registry
	engines  sesamepitch.Engines
	control  sesamepitch.EngineControl
	lease    *lease.Lease
	instance string
	fitness  Eligibility
	checks   *invariant.Recorder
	readable time.Duration
	leaving  chan struct{}
	// left is closed once the lease is given up; patience is how long that may take.
	left     chan struct{}
	patience time.Duration
	// weakSince is since when a better suited instance has been known while this
	// one drives; until restUntil this one takes no part in the lease.
	weakSince time.Time
	restUntil time.Time

	mu sync.Mutex
	// current is the running session, as far as it takes hints; nil if there is
	// none.
	current *active
}

// Option changes a Driver.
type Option func(*Driver)

// WithChecks notes violated invariants.
func WithChecks(checks *invariant.Recorder) Option {
	return func(d *Driver) { d.checks = checks }
}

// WithRetention sets how long results must stay readable after a job's
// submission.
func WithRetention(d time.Duration) Option {
	return func(driver *Driver) { driver.readable = d }
}

// New returns a driver for an instance.
func New(clock sesamepitch.Clock, log logr.Logger, store sesamepitch.Store, ledger *batch.Ledger, known *registry.Registry, engines sesamepitch.Engines, control sesamepitch.EngineControl, l *lease.Lease, instance string, fitness Eligibility, options ...Option) *Driver {
	d := &Driver{
		clock: clock, log: log, store: store, ledger: ledger, registry: known, engines: engines, control: control,
		lease: l, instance: instance, fitness: fitness, readable: defaultReadable,
		leaving: make(chan struct{}), left: make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Leave makes the driver give the lease up and take no part in it any more. While
// the store is away nothing can be handed over: it goes on driving then, for as
// long as it has patience. The returned channel is closed once it has left.
func (d *Driver) Leave(patience time.Duration) <-chan struct{} {
	d.patience = patience
	close(d.leaving)
	return d.left
}

// active is a running session.
type active struct {
	epoch   int64
	session *session
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan struct{}
}

// handOver keeps the texts that are not whole for the next driver and stops.
func (d *Driver) handOver(ctx context.Context, a *active) {
	a.session.handOver(ctx)
	d.stop(a)
}

// stop ends a session; it gets no more hints.
func (d *Driver) stop(a *active) {
	d.setCurrent(nil)
	a.cancel()
	<-a.ended
}

func (d *Driver) setCurrent(a *active) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = a
}

// Run takes part in the lease until ctx ends or the driver leaves.
func (d *Driver) Run(ctx context.Context) error {
	var current *active
	defer func() {
		if current != nil {
			d.stop(current)
		}
	}()
	for {
		if !d.clock.Now().Before(d.restUntil) {
			d.step(ctx)
		}
		current = d.follow(ctx, current)
		current = d.yield(ctx, current)
		select {
		case <-d.clock.After(d.pause()):
		case <-d.leaving:
			d.depart(ctx, current)
			current = nil
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// depart hands over what this instance drives, as soon as the store answers.
func (d *Driver) depart(ctx context.Context, current *active) {
	defer close(d.left)
	until := d.clock.Now().Add(d.patience)
	for current != nil && ctx.Err() == nil {
		answered := d.step(ctx)
		if current = d.follow(ctx, current); current == nil {
			break
		}
		if _, _, held := d.lease.Held(); answered && held || !d.clock.Now().Before(until) {
			d.handOver(ctx, current)
			break
		}
		select {
		case <-d.clock.After(leavePause):
		case <-ctx.Done():
		}
	}
	d.release(ctx)
}

// step renews the lease or looks whether it can be taken; it tells whether the
// store answered.
func (d *Driver) step(ctx context.Context) bool {
	d.lease.SetTakeoverDelay(d.reluctance())
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	if err := d.lease.Step(ctx); err != nil {
		d.log.Info("lease not renewed", "cause", err.Error())
		return false
	}
	return true
}

// reluctance is how much longer than others this instance waits for a lease that
// lapsed and for one that was released.
func (d *Driver) reluctance() (lapsed, released time.Duration) {
	switch {
	case !d.fitness.IsStrong():
		return weakReluctance, weakReluctance
	case d.fitness.IsAged():
		return 0, agedReluctance
	}
	return 0, 0
}

// pause is the time until the next step of the lease.
func (d *Driver) pause() time.Duration {
	return min(d.lease.StepDelay(renewal)+rand.N(raceSpread), renewal)
}

func (d *Driver) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	if err := d.lease.Release(ctx); err != nil {
		d.log.Info("lease not released", "cause", err.Error())
		return
	}
	d.log.Info("lease released")
}

// follow starts a session when this instance has taken the lease and ends it
// when another one has. A lease that merely lapsed ends no session: results
// are listed only while nobody else has claimed the jobs.
func (d *Driver) follow(ctx context.Context, current *active) *active {
	epoch, _, held := d.lease.Held()
	record := d.lease.Record()
	taken := record.Holder != "" && record.Holder != d.instance
	if current != nil && (taken || held && epoch != current.epoch) {
		d.log.Info("driving ends", "epoch", current.epoch, "holder", record.Holder, "its_epoch", record.Epoch)
		d.stop(current)
		current = nil
	}
	if current != nil || !held {
		return current
	}
	d.log.Info("driving begins", "epoch", epoch, "previous", d.lease.Previous().Holder)
	return d.start(ctx, epoch)
}

// yield hands the lease over once a better suited instance has been known for
// a while.
func (d *Driver) yield(ctx context.Context, current *active) *active {
	now := d.clock.Now()
	if current == nil || d.fitness.IsStrong() {
		d.weakSince = time.Time{}
		return current
	}
	if d.weakSince.IsZero() {
		d.weakSince = now
	}
	if now.Sub(d.weakSince) < yieldAfter {
		return current
	}
	d.log.Info("driving is left to a stronger instance", "epoch", current.epoch)
	d.handOver(ctx, current)
	d.release(ctx)
	d.weakSince = time.Time{}
	d.restUntil = d.clock.Now().Add(yieldRest)
	return nil
}

func (d *Driver) start(ctx context.Context, epoch int64) *active {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		clock: d.clock, log: d.log, ledger: d.ledger, registry: d.registry, engines: d.engines,
		loader: newLoader(d.clock, d.log, d.control, d.lease.ForFencedCalls(), d.instance, epoch, d.checks),
		checks: d.checks, holder: d.instance, epoch: epoch, wake: make(chan struct{}, 1),
		jobs: map[string]*job{}, states: map[string]*engine{}, home: map[string]string{}, lags: map[string]lag{},
		carry: newCarry(), adopted: map[string]bool{}, over: map[string]bool{}, heads: map[string]batch.Header{}, readable: d.readable,
	}
	follower := registry.NewFollower(d.clock, d.log, d.store, batch.OpenTable, func(update registry.Update) { s.apply(ctx, update) })
	ended := make(chan struct{})
	followed := make(chan error, 1)
	go func() { followed <- follower.Run(ctx) }()
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		s.sweep(ctx)
	}()
	go func() {
		defer close(ended)
		s.run(ctx)
		<-followed
		<-swept
		s.running.Wait()
	}()
	started := &active{epoch: epoch, session: s, ctx: ctx, cancel: cancel, ended: ended}
	d.setCurrent(started)
	return started
}
