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

// Generator runs generations and judges them.
type Generator interface {
	Generate(ctx context.Context, request rollout.Request, sink rollout.Sink, billed bool) (rollout.Generation, error)
	Judge(ctx context.Context, request rollout.Request, judge, text string) (float64, error)
}

// Delivery takes a step's samples; an error means that the trainer is gone.
type Delivery interface {
	// Deliver passes one sample on.
	Deliver(sample Sample) error
}

// Request is a trainer's request for a step's samples.
type Request struct {
	Spec Spec
	// Received lists the samples that the trainer has; they are not sent again.
	Received []Identity
	// PolicyVersion is the trainer's own weight version.
	PolicyVersion int64
	// Secret is the caller's key, which no endpoint may see.
	Secret string
}

// Outcome is how a driver ended.
type Outcome string

// Manager drives steps at one daemon.
type Manager struct {
	clock     sesamepitch.Clock
	log       logr.Logger
	platform  sesamepitch.Platform
	holder    *document.Holder
	notices   *notice.Set
	generator Generator
	run       string
	length    time.Duration
	// serving ends when the daemon drains.
	serving context.Context
	drain   context.CancelFunc
	running atomic.Int64
	// downSince and downAt are when the table was first and last found out of
	// reach, in nanoseconds; zero if it answered since.
	downSince atomic.Int64
	downAt    atomic.Int64

	mu   sync.Mutex
	left []*leftover
}

// NewManager returns the manager of one run of a daemon.
func NewManager(clock sesamepitch.Clock, log logr.Logger, p sesamepitch.Platform, holder *document.Holder, notices *notice.Set, generator Generator, run string, usageWindow time.Duration) *Manager {
	serving, drain := context.WithCancel(context.Background())
	return &Manager{clock: clock, log: log, platform: p, holder: holder, notices: notices, generator: generator, run: run, length: usageWindow, serving: serving, drain: drain}
}

// Drain lets drivers finish what runs and start nothing more. Samples that wait
// for an endpoint are left to the daemon at which the trainer resumes.
func (m *Manager) Drain() { m.drain() }

func (m *Manager) draining() bool { return m.serving.Err() != nil }

// Running counts the steps that this daemon drives.
func (m *Manager) Running() int64 { return m.running.Load() }

// noteTable remembers whether the table answered, for all steps of this daemon.
func (m *Manager) noteTable(answered bool) {
	now := m.clock.Now().UnixNano()
	if answered {
		m.downSince.Store(0)
		m.downAt.Store(0)
		return
	}
	m.downSince.CompareAndSwap(0, now)
	m.downAt.Store(now)
}

// tableDown tells whether the table was out of reach a moment ago, and since when.
func (m *Manager) tableDown() (since time.Time, down bool) {
	at := m.downAt.Load()
	if at == 0 || m.clock.Now().Sub(time.Unix(0, at)) > downMemory {
		return time.Time{}, false
	}
	return time.Unix(0, m.downSince.Load()), true
}

// Drive runs a step until the trainer has all of it, this daemon drains, or
// the trainer is gone.
func (m *Manager) Drive(ctx context.Context, trainer document.Trainer, open Request, delivery Delivery) (Outcome, error) {
	m.running.Add(1)
	defer m.running.Add(-1)
	workspace, _ := m.holder.Current().Workspace(trainer.Workspace)
	d := &driver{
		m: m, open: open, trainer: trainer, weight: workspace.Weight, delivery: delivery,
		deadline: m.clock.Now().Add(trainer.Time()), hedger: newHedger(open.Spec), window: firstWindow,
		have: map[Identity]bool{}, under: map[Identity]*running{}, groups: map[int]*pins{}, results: make(chan finished, maxRunning), placements: make(chan struct{}, 1),
		ledger: &ledger{
			table: m.platform, objects: m.platform.Objects(), clock: m.clock, spec: open.Spec,
			digest: specDigest(open.Spec), run: m.run + "/" + sesamepitch.Fingerprint(m.clock.Now().String()),
			window: func() usage.Window { return usage.WindowAt(m.clock.Now(), m.length) },
		},
	}
	for _, e := range m.holder.Current().Document().Endpoints {
		d.thrifty = d.thrifty || (e.Model == trainer.Model && e.Reclaimable)
	}
	for _, identity := range open.Received {
		d.have[identity] = true
	}
	return d.drive(ctx)
}
