package step

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/rollout"
	"sesamepitch/src/usage"

	"github.com/go-logr/logr"
)

// Generator generates samples and has them judged.
type Generator interface {
	Generate(ctx context.Context, request rollout.Request, sink rollout.Sink, billed bool) (rollout.Generation, error)
	Judge(ctx context.Context, request rollout.Request, judge, text string) (float64, error)
}

// Delivery sends a step's samples to its trainer. An error means that the trainer has
// disconnected.
type Delivery interface {
	// Deliver sends one sample.
	Deliver(sample Sample) error
}

// Request is a trainer's request for a step's samples.
type Request struct {
	Spec Spec
	// Received lists the samples that the trainer has; they are not delivered again.
	Received []Identity
	// PolicyVersion is the trainer's own weight version.
	PolicyVersion int64
	// Secret is the caller's key, which no endpoint may see.
	Secret string
}

// Outcome is how a driver ended without an error.
type Outcome string

// Manager drives steps at one daemon.
type Manager struct {
	clock       sesamepitch.Clock
	log         logr.Logger
	platform    sesamepitch.Platform
	holder      *document.Holder
	notices     *notice.Set
	generator   Generator
	daemonRun   string
	usageWindow time.Duration
	// serving ends when the daemon drains.
	serving context.Context
	drain   context.CancelFunc
	running atomic.Int64
	// tableDownSince and tableDownAt are when the table was first and last found
	// unreachable, in Unix nanoseconds; zero if it has answered since.
	tableDownSince atomic.Int64
	tableDownAt    atomic.Int64

	mu sync.Mutex
	// pending holds the uncommitted batches of ended drivers.
	pending []*pendingCommits
}

// NewManager returns the manager at one daemon. The run names the daemon's process in
// the rows of the steps that it drives.
func NewManager(clock sesamepitch.Clock, log logr.Logger, p sesamepitch.Platform, holder *document.Holder, notices *notice.Set, generator Generator, run string, usageWindow time.Duration) *Manager {
	serving, drain := context.WithCancel(context.Background())
	return &Manager{clock: clock, log: log, platform: p, holder: holder, notices: notices, generator: generator, daemonRun: run, usageWindow: usageWindow, serving: serving, drain: drain}
}

// Drain makes drivers finish the running samples and start no more. Samples that wait
// for an endpoint are left to the daemon at which the trainer resumes.
func (m *Manager) Drain() { m.drain() }

func (m *Manager) draining() bool { return m.serving.Err() != nil }

// Running returns the number of steps that this daemon drives.
func (m *Manager) Running() int64 { return m.running.Load() }

// recordTableState records whether the table answered, for all steps of this daemon.
func (m *Manager) recordTableState(answered bool) {
	now := m.clock.Now().UnixNano()
	if answered {
		m.tableDownSince.Store(0)
		m.tableDownAt.Store(0)
		return
	}
	m.tableDownSince.CompareAndSwap(0, now)
	m.tableDownAt.Store(now)
}

// recentTableOutage reports whether the table was found unreachable within downTTL, and
// since when it has been.
func (m *Manager) recentTableOutage() (since time.Time, down bool) {
	at := m.tableDownAt.Load()
	if at == 0 || m.clock.Now().Sub(time.Unix(0, at)) > downTTL {
		return time.Time{}, false
	}
	return time.Unix(0, m.tableDownSince.Load()), true
}

// Drive runs a step until the trainer has every sample, this daemon has drained, or the
// trainer disconnects.
func (m *Manager) Drive(ctx context.Context, trainer document.Trainer, request Request, delivery Delivery) (Outcome, error) {
	m.running.Add(1)
	defer m.running.Add(-1)
	workspace, _ := m.holder.Current().Workspace(trainer.Workspace)
	d := &driver{
		m: m, request: request, trainer: trainer, weight: workspace.Weight, delivery: delivery,
		deadline: m.clock.Now().Add(trainer.StepDuration()), hedger: newHedger(request.Spec), concurrency: minConcurrency,
		received: map[Identity]bool{}, active: map[Identity]*activeSample{}, affinities: map[int]*promptAffinity{}, results: make(chan attemptResult, maxConcurrency), placements: make(chan struct{}, 1),
		ledger: &ledger{
			table: m.platform, objects: m.platform.Objects(), clock: m.clock, spec: request.Spec,
			digest: specDigest(request.Spec), driverID: m.daemonRun + "/" + sesamepitch.Fingerprint(m.clock.Now().String()),
			window: func() usage.Window { return usage.WindowAt(m.clock.Now(), m.usageWindow) },
		},
	}
	for _, e := range m.holder.Current().Document().Endpoints {
		d.costSensitive = d.costSensitive || (e.Model == trainer.Model && e.Reclaimable)
	}
	for _, identity := range request.Received {
		d.received[identity] = true
	}
	return d.drive(ctx)
}
