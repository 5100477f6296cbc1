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
	"sesamepitch/src/memory"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

// LeaseKey is the row of the lease under which jobs run and fenced calls are
// made.
const LeaseKey = "lease//driver"

const (
	// maxRenewInterval is the longest time between steps of the lease.
	maxRenewInterval = 350 * time.Millisecond
	// contentionJitter is the range of the random delay that keeps contenders
	// from trying at the same time.
	contentionJitter = 40 * time.Millisecond
	// weakDelay makes an instance wait longer for the lease, so that instances
	// with more cores take it first.
	weakDelay = 1500 * time.Millisecond
	// agedDelay makes an instance wait longer for a released lease, so that
	// instances started later take it: in a rolling restart they are not the
	// next to stop.
	agedDelay = 250 * time.Millisecond
	// defaultRetention applies where the settings set no retention.
	defaultRetention = 10 * time.Minute
	// maxLeaseTimeout bounds one step of the lease.
	maxLeaseTimeout = 600 * time.Millisecond
	// leaveRetryDelay is the time between attempts to hand over.
	leaveRetryDelay = 100 * time.Millisecond
)

// NewLease returns an instance's handle of the driver lease; two holders must
// not alternate within takeoverTime.
func NewLease(clock sesamepitch.Clock, table sesamepitch.Table, instance, address string, takeoverTime time.Duration) *lease.Lease {
	return lease.New(clock, table, LeaseKey, instance, address, lease.SettingsFor(takeoverTime))
}

// Eligibility compares this instance with the others, so that the one best suited
// holds the driver lease; *registry.Members implements it.
type Eligibility interface {
	// IsSettled reports whether all instances have had time to announce themselves.
	IsSettled() bool
	// Stronger returns the live instances with notably more cores.
	Stronger() []registry.Member
	// Others returns the other live instances.
	Others() []registry.Member
	// IsAged reports whether another instance started notably later.
	IsAged() bool
}

// Driver contends for the lease and runs all jobs while it holds it.
type Driver struct {
	clock       sesamepitch.Clock
	log         logr.Logger
	store       sesamepitch.Store
	ledger      *batch.Ledger
	registry    *registry.Registry
	engines     sesamepitch.Engines
	control     sesamepitch.EngineControl
	rewards     sesamepitch.RewardCaller
	limits      sesamepitch.RateLimiter
	lease       *lease.Lease
	instance    string
	eligibility Eligibility
	// peers reaches the instances that could take the lease over; nil if none can
	// be reached.
	peers     sesamepitch.PeerCaller
	checks    *invariant.Recorder
	retention time.Duration
	// observeReward receives the outcome of each try of a reward call.
	observeReward RewardObserver
	// memory is that of bodies of items.
	memory  *memory.Share
	leaving chan struct{}
	// left is closed once the driver has left; leaveTimeout bounds the wait for
	// the store before that.
	left         chan struct{}
	leaveTimeout time.Duration
	// weakSince is when this instance, as the holder, first saw one with more
	// cores, or was last told that this one does not take the lease.
	weakSince time.Time

	mu sync.Mutex
	// current is the running session, which receives hints; nil if there is
	// none.
	current *activeSession
}

// Option configures a Driver.
type Option func(*Driver)

// WithChecks sets the recorder of violated invariants.
func WithChecks(checks *invariant.Recorder) Option {
	return func(d *Driver) { d.checks = checks }
}

// WithRetention sets how long results must stay readable after a job's
// submission.
func WithRetention(d time.Duration) Option {
	return func(driver *Driver) { driver.retention = d }
}

// WithRateLimiter sets what admits requests to engines whose rate is limited;
// without it none is.
func WithRateLimiter(limits sesamepitch.RateLimiter) Option {
	return func(d *Driver) { d.limits = limits }
}

// WithPeers sets the caller of other instances. A driver without it never leaves
// the lease to one with more cores.
func WithPeers(peers sesamepitch.PeerCaller) Option {
	return func(d *Driver) { d.peers = peers }
}

// WithMemory sets the share of the memory for bodies of items; the default is
// defaultMemory.
func WithMemory(share *memory.Share) Option {
	return func(d *Driver) { d.memory = share }
}

// defaultMemory is the memory for bodies of items in bytes where none is set.
const defaultMemory = 64 << 20

// RewardObserver receives the kind of error of a reward call's try, empty for a
// score, and the time that the try took.
type RewardObserver func(kind sesamepitch.Kind, latency time.Duration)

// WithRewardObserver sets the observer of reward calls.
func WithRewardObserver(observe RewardObserver) Option {
	return func(d *Driver) { d.observeReward = observe }
}

// New returns a driver for an instance.
func New(clock sesamepitch.Clock, log logr.Logger, store sesamepitch.Store, ledger *batch.Ledger, reg *registry.Registry, engines sesamepitch.Engines, control sesamepitch.EngineControl, rewards sesamepitch.RewardCaller, l *lease.Lease, instance string, eligibility Eligibility, options ...Option) *Driver {
	d := &Driver{
		clock: clock, log: log, store: store, ledger: ledger, registry: reg, engines: engines, control: control, rewards: rewards,
		lease: l, instance: instance, eligibility: eligibility, retention: defaultRetention,
		observeReward: func(sesamepitch.Kind, time.Duration) {}, limits: sesamepitch.OpenGate{}, memory: memory.NewShare("jobs", defaultMemory),
		leaving: make(chan struct{}), left: make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Leave makes the driver hand over its jobs, release the lease and stop
// contending for it. While the store does not answer, nothing can be handed
// over, so the driver goes on with its jobs for up to the timeout. The returned
// channel is closed once the driver has stopped.
func (d *Driver) Leave(timeout time.Duration) <-chan struct{} {
	d.leaveTimeout = timeout
	close(d.leaving)
	return d.left
}

// activeSession is a running session.
type activeSession struct {
	epoch   int64
	session *session
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan struct{}
}

// handOver checkpoints the incomplete outputs for the next driver and ends the
// session.
func (d *Driver) handOver(ctx context.Context, a *activeSession) {
	a.session.handOver(ctx)
	d.stop(a)
}

// stop ends a session and stops passing hints to it.
func (d *Driver) stop(a *activeSession) {
	d.setCurrent(nil)
	a.cancel()
	<-a.ended
}

func (d *Driver) setCurrent(a *activeSession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = a
}

// Run contends for the lease and runs jobs until ctx ends. After Leave it only
// waits for ctx to end.
func (d *Driver) Run(ctx context.Context) error {
	var current *activeSession
	defer func() {
		if current != nil {
			d.stop(current)
		}
	}()
	for {
		d.stepLease(ctx)
		current = d.syncSession(ctx, current)
		current = d.yield(ctx, current)
		select {
		case <-d.clock.After(d.pause()):
		case <-d.leaving:
			d.shutDown(ctx, current)
			current = nil
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// shutDown hands the running session over as soon as the store answers and another
// instance can take it, or when the timeout expires, and releases the lease.
func (d *Driver) shutDown(ctx context.Context, current *activeSession) {
	defer close(d.left)
	until := d.clock.Now().Add(d.leaveTimeout)
	for current != nil && ctx.Err() == nil {
		answered := d.stepLease(ctx)
		if current = d.syncSession(ctx, current); current == nil {
			break
		}
		_, _, held := d.lease.Held()
		canHandOver := answered && held && len(d.eligibility.Others()) > 0
		if canHandOver || !d.clock.Now().Before(until) {
			d.handOver(ctx, current)
			break
		}
		select {
		case <-d.clock.After(leaveRetryDelay):
		case <-ctx.Done():
		}
	}
	d.release(ctx)
}

// stepLease renews the lease or checks whether it can be acquired; it reports
// whether the store answered.
func (d *Driver) stepLease(ctx context.Context) bool {
	d.lease.SetTakeoverDelay(d.acquireDelay())
	ctx, cancel := context.WithTimeout(ctx, d.leaseTimeout())
	defer cancel()
	if err := d.lease.Step(ctx); err != nil {
		d.log.Info("lease not renewed", "cause", err.Error())
		return false
	}
	return true
}

// pause returns the time until the next step of the lease.
func (d *Driver) pause() time.Duration {
	interval := min(d.lease.Settings().RenewInterval(), maxRenewInterval)
	return min(d.lease.StepDelay(interval)+rand.N(contentionJitter), interval)
}

// leaseTimeout returns how long one step of the lease may take.
func (d *Driver) leaseTimeout() time.Duration {
	return min(d.lease.Settings().StepTimeout(), maxLeaseTimeout)
}

func (d *Driver) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.leaseTimeout())
	defer cancel()
	if err := d.lease.Release(ctx); err != nil {
		d.log.Info("lease not released", "cause", err.Error())
		return
	}
	d.log.Info("lease released")
}

// syncSession starts a session when this instance has acquired the lease and
// ends it when another one has. A lapsed lease alone does not end the session:
// results are recorded only while no other driver has claimed the jobs.
func (d *Driver) syncSession(ctx context.Context, current *activeSession) *activeSession {
	epoch, _, held := d.lease.Held()
	record := d.lease.Record()
	taken := record.Holder != "" && record.Holder != d.instance
	if current != nil && (taken || held && epoch != current.epoch) {
		d.log.Info("stopped driving jobs", "epoch", current.epoch, "holder", record.Holder, "its_epoch", record.Epoch)
		d.stop(current)
		current = nil
	}
	if current != nil || !held {
		return current
	}
	d.log.Info("started driving jobs", "epoch", epoch, "previous", d.lease.Previous().Holder)
	return d.start(ctx, epoch)
}

func (d *Driver) start(ctx context.Context, epoch int64) *activeSession {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		clock: d.clock, log: d.log, ledger: d.ledger, registry: d.registry, engines: d.engines, rewards: d.rewards, limits: d.limits, observeReward: d.observeReward, memory: d.memory,
		loader: newLoader(d.clock, d.log, d.control, d.limits, d.lease.ForFencedCalls(), d.instance, epoch, d.checks),
		checks: d.checks, holder: d.instance, epoch: epoch, wake: make(chan struct{}, 1),
		jobs: map[string]*job{}, engineStates: map[string]*engine{}, assigned: map[string]map[string]string{}, lags: map[string]lag{}, lengths: map[string]*lengthModel{},
		shortOfRate: map[string]time.Time{}, cache: newOutputCache(), takenOver: map[string]bool{}, ended: map[string]bool{}, headers: map[string]batch.Header{}, retention: d.retention,
	}
	follower := registry.NewFollower(d.clock, d.log, d.store, batch.OpenTable, func(update registry.Update) { s.apply(ctx, update) })
	ended := make(chan struct{})
	followed := make(chan error, 1)
	go func() { followed <- supervisor.Guard(func() error { return follower.Run(ctx) }) }()
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
		s.endRewards()
	}()
	started := &activeSession{epoch: epoch, session: s, ctx: ctx, cancel: cancel, ended: ended}
	d.setCurrent(started)
	return started
}
