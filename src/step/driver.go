package step

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/platform"
	"sesamepitch/src/pool"
	"sesamepitch/src/rollout"
	"sesamepitch/src/usage"

	"github.com/go-logr/logr"
)

const (
	maxRunning = 512
	// A step asks for more streams at once while they come soon, and for fewer
	// while they must be waited for.
	firstWindow  = 192
	soon         = 250 * time.Millisecond
	late         = 2 * time.Second
	windowShrink = 0.95
	// unprovenSamples is how many samples of a prompt run before one is whole.
	unprovenSamples = pool.QuarantineAfter
	batchSize       = 64
	batchDelay      = 100 * time.Millisecond
	claimTime       = 1200 * time.Millisecond
	// While the table is known to be down, claims and commits are only tried.
	claimTry    = 300 * time.Millisecond
	downMemory  = 4 * time.Second
	storeGrace  = time.Second
	maxBacklog  = 8192
	urgentShare = 4
	storeRetry  = time.Second
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

// Open is a trainer's request for a step's samples.
type Open struct {
	Spec Spec
	// Have lists the samples that the trainer has; they are not sent again.
	Have []Identity
	// PolicyVersion is the trainer's own weight version.
	PolicyVersion int64
	// Secret is the caller's key, which no endpoint may see.
	Secret string
}

// Result is how a driver ended.
type Result string

// The results.
const (
	// Complete: the trainer has every sample.
	Complete Result = "complete"
	// Resume: this daemon ends; connect to another one with what you have.
	Resume Result = "resume"
)

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
	draining  atomic.Bool
	running   atomic.Int64
	// downSince and downAt are when the table was first and last found out of
	// reach, in nanoseconds; zero if it answered since.
	downSince atomic.Int64
	downAt    atomic.Int64

	mu   sync.Mutex
	left []*leftover
}

// NewManager returns the manager of one run of a daemon.
func NewManager(clock sesamepitch.Clock, log logr.Logger, p sesamepitch.Platform, holder *document.Holder, notices *notice.Set, generator Generator, run string, usageWindow time.Duration) *Manager {
	return &Manager{clock: clock, log: log, platform: p, holder: holder, notices: notices, generator: generator, run: run, length: usageWindow}
}

// Drain lets drivers finish what runs and start nothing more.
func (m *Manager) Drain() { m.draining.Store(true) }

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

// finished is a sample's end.
type finished struct {
	identity Identity
	sample   Sample
	took     time.Duration
	queued   time.Duration
	err      error
}

// running is a sample under way.
type running struct {
	cancel   context.CancelFunc
	attempts int
	hedged   bool
	placed   atomic.Pointer[placed]
}

// placed is where and since when a sample's first attempt runs.
type placed struct {
	endpoint string
	at       time.Time
}

// driver is one step at the daemon that drives it.
type driver struct {
	m        *Manager
	open     Open
	trainer  document.Trainer
	weight   int
	deadline time.Time
	ledger   *ledger
	delivery Delivery
	hedger   *hedger

	missing  []Identity
	groups   map[int]*groupState
	have     map[Identity]bool
	under    map[Identity]*running
	results  chan finished
	ready    []Sample
	backlog  []*entry
	failing  time.Time
	retryAt  time.Time
	finishes int
	window   float64
}

// Drive runs a step until the trainer has all of it, this daemon drains, or
// the trainer is gone.
func (m *Manager) Drive(ctx context.Context, trainer document.Trainer, open Open, delivery Delivery) (Result, error) {
	m.running.Add(1)
	defer m.running.Add(-1)
	workspace, _ := m.holder.Current().Workspace(trainer.Workspace)
	d := &driver{
		m: m, open: open, trainer: trainer, weight: workspace.Weight, delivery: delivery,
		deadline: m.clock.Now().Add(trainer.Time()), hedger: newHedger(open.Spec), window: firstWindow,
		have: map[Identity]bool{}, under: map[Identity]*running{}, groups: map[int]*groupState{}, results: make(chan finished, maxRunning),
		ledger: &ledger{
			table: m.platform, objects: m.platform.Objects(), clock: m.clock, spec: open.Spec,
			digest: specDigest(open.Spec), run: m.run + "/" + sesamepitch.Fingerprint(m.clock.Now().String()),
			window: func() usage.Window { return usage.WindowAt(m.clock.Now(), m.length) },
		},
	}
	for _, identity := range open.Have {
		d.have[identity] = true
	}
	return d.drive(ctx)
}

func (d *driver) drive(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.stop(cancel)
	if err := d.recover(ctx); err != nil {
		return "", err
	}
	for _, identity := range d.open.Spec.identities() {
		if !d.have[identity] {
			d.missing = append(d.missing, identity)
		}
	}
	d.longestFirst()
	d.m.log.Info("step driven", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "epoch", d.ledger.epoch, "missing", len(d.missing))
	for !d.done() {
		d.launch(ctx)
		if err := d.wait(ctx); err != nil {
			return "", err
		}
		if err := d.flush(ctx); err != nil {
			return "", err
		}
		if d.m.draining.Load() && len(d.under) == 0 && len(d.ready) == 0 && len(d.missing) > 0 && d.allPassed() {
			return Resume, nil
		}
	}
	d.m.log.Info("step whole", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "late", d.m.clock.Now().After(d.deadline))
	return Complete, nil
}

// longestFirst starts the groups with the longest samples first, so that the
// step does not end in waiting for them.
func (d *driver) longestFirst() {
	groups := d.open.Spec.Groups
	sort.SliceStable(d.missing, func(i, j int) bool {
		return groups[d.missing[i].Group].MaxTokens > groups[d.missing[j].Group].MaxTokens
	})
}

// stop cancels all that still runs and waits for its end. What the trainer
// has but the table lacks is left to the manager.
func (d *driver) stop(cancel context.CancelFunc) {
	cancel()
	d.m.leave(d.ledger, d.backlog)
	for range d.finishes {
		<-d.results
	}
}

func (d *driver) done() bool {
	return len(d.missing) == 0 && len(d.under) == 0 && len(d.ready) == 0 && d.allPassed()
}

// allPassed tells whether the trainer has all that waits for the table.
func (d *driver) allPassed() bool {
	for _, e := range d.backlog {
		if !e.passed {
			return false
		}
	}
	return true
}

// recover claims the step and delivers what earlier drivers committed. While
// the table is out of reach the trainer's own list is all there is.
func (d *driver) recover(ctx context.Context) error {
	limit := claimTime
	if since, down := d.m.tableDown(); down {
		limit = claimTry
		d.failing = since
	}
	claiming, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := d.recoverOnce(claiming)
		if err == nil {
			d.m.noteTable(true)
			return nil
		}
		kind := sesamepitch.KindOf(err)
		if kind == sesamepitch.KindInvalid || errors.Is(err, errGone) {
			return err
		}
		select {
		case <-d.m.clock.After(platform.Backoff(attempt)):
		case <-claiming.Done():
			if ctx.Err() != nil {
				return ctx.Err()
			}
			d.m.noteTable(false)
			d.m.log.Info("step driven without the table", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "cause", err.Error())
			return nil
		}
	}
}

var errGone = errors.New("the trainer is gone")

func (d *driver) recoverOnce(ctx context.Context) error {
	if !d.ledger.claimed() {
		if err := d.ledger.claim(ctx); err != nil {
			return err
		}
	}
	confirmed, err := d.ledger.acknowledged(ctx)
	if err != nil {
		return err
	}
	committed, err := d.ledger.committed(ctx)
	if err != nil {
		return err
	}
	for _, identity := range confirmed {
		d.have[identity] = true
	}
	for _, sample := range committed {
		if err := d.pass(sample, true); err != nil {
			return errGone
		}
	}
	return nil
}

// floor is the oldest weight version that the trainer allows now.
func (d *driver) floor() int64 {
	newest := max(d.open.PolicyVersion, d.m.notices.ModelVersion(d.trainer.Model))
	return newest - d.trainer.MaxLag
}

// pass delivers a sample unless the trainer has it or its weights have become
// too old; then it is generated again.
func (d *driver) pass(sample Sample, durable bool) error {
	if d.have[sample.Identity] {
		return nil
	}
	if sample.oldest() < d.floor() {
		d.m.log.Info("sample too stale", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "group", sample.Group, "index", sample.Index, "version", sample.oldest(), "floor", d.floor())
		return nil
	}
	sample.Durable = durable
	if err := d.delivery.Deliver(sample); err != nil {
		return err
	}
	d.have[sample.Identity] = true
	return nil
}

// launch starts missing samples up to the limit.
func (d *driver) launch(ctx context.Context) {
	if d.m.draining.Load() {
		return
	}
	var kept []Identity
	for i, identity := range d.missing {
		if len(d.under) >= int(d.window) || len(d.backlog)*batchSize >= maxBacklog {
			kept = append(kept, d.missing[i:]...)
			break
		}
		group := d.group(identity)
		if !group.proven && group.running >= unprovenSamples {
			kept = append(kept, identity)
			continue
		}
		group.running++
		sampling, cancel := context.WithCancel(ctx)
		r := &running{cancel: cancel}
		d.under[identity] = r
		d.start(sampling, identity, r, false)
	}
	d.missing = kept
}

// groupState is what the driver knows of a group's prompt. Until one sample is
// whole, only as many run as the prompt may crash endpoints.
type groupState struct {
	running int
	proven  bool
}

func (d *driver) group(identity Identity) *groupState {
	group := d.groups[identity.Group]
	if group == nil {
		group = &groupState{}
		d.groups[identity.Group] = group
	}
	return group
}

func (d *driver) start(ctx context.Context, identity Identity, r *running, hedge bool) {
	r.attempts++
	d.finishes++
	go func() { d.results <- d.sample(ctx, identity, r, hedge) }()
}

func (d *driver) request(identity Identity, r *running, hedge bool) rollout.Request {
	group := d.open.Spec.Groups[identity.Group]
	left := d.deadline.Sub(d.m.clock.Now())
	request := rollout.Request{
		ID: fmt.Sprintf("%s/%d/%d.%d", d.trainer.Name, d.open.Spec.Step, identity.Group, identity.Index), Workspace: d.trainer.Workspace, Weight: d.weight, Model: d.trainer.Model,
		Prompt: group.Prompt, MaxTokens: group.MaxTokens, Deadline: d.deadline,
		Urgent: hedge || left < d.trainer.Time()/urgentShare, MinVersion: d.floor, Secret: d.open.Secret,
		Placed: func(endpoint string) { r.placed.Store(&placed{endpoint: endpoint, at: d.m.clock.Now()}) },
	}
	if first := r.placed.Load(); hedge && first != nil {
		request.Avoid = []string{first.endpoint}
		request.Placed = nil
	}
	return request
}

// sample generates and judges one sample.
func (d *driver) sample(ctx context.Context, identity Identity, r *running, hedge bool) finished {
	request := d.request(identity, r, hedge)
	started := d.m.clock.Now()
	generation, err := d.m.generator.Generate(ctx, request, nil, false)
	if err != nil {
		return finished{identity: identity, err: err}
	}
	took := d.m.clock.Now().Sub(started) - generation.Queued()
	sample := Sample{
		Identity: identity, Text: generation.Text(), Versions: generation.Versions(), Tokens: generation.Tokens(),
		MilliCost: generation.MilliCost(), Endpoint: generation.Endpoint(),
	}
	if d.trainer.Judge != "" {
		score, err := d.m.generator.Judge(ctx, request, d.trainer.Judge, sample.Text)
		if err != nil {
			return finished{identity: identity, err: err}
		}
		sample.Score = &score
	}
	return finished{identity: identity, sample: sample, took: took, queued: generation.Queued()}
}

// wait takes results until a batch is full or its delay is over.
func (d *driver) wait(ctx context.Context) error {
	timer := d.m.clock.After(batchDelay)
	for {
		select {
		case f := <-d.results:
			d.finishes--
			if err := d.take(f); err != nil {
				return err
			}
			if len(d.ready) >= batchSize || (len(d.under) == 0 && len(d.missing) == 0) {
				return nil
			}
		case <-timer:
			d.hedge(ctx)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take notes a sample's end. The first attempt to end whole wins; the others
// are cancelled.
func (d *driver) take(f finished) error {
	r := d.under[f.identity]
	if r == nil {
		return nil
	}
	r.attempts--
	if f.err != nil {
		return d.failed(f, r)
	}
	r.cancel()
	d.ended(f.identity)
	d.group(f.identity).proven = true
	if f.sample.oldest() < d.floor() {
		d.missing = append(d.missing, f.identity)
		return nil
	}
	d.hedger.finished(f.identity.Group, f.took)
	d.resize(f.queued)
	d.ready = append(d.ready, f.sample)
	return nil
}

// resize adapts the number of samples under way to how long streams are waited
// for, so that waiting requests do not load the owners.
func (d *driver) resize(queued time.Duration) {
	switch {
	case queued < soon:
		d.window = min(d.window+1, maxRunning)
	case queued > late:
		d.window = max(d.window*windowShrink, firstWindow)
	}
}

// failed puts a sample back, unless another attempt still runs. A content that
// crashes endpoints ends the step, since it can never be whole.
func (d *driver) failed(f finished, r *running) error {
	kind := sesamepitch.KindOf(f.err)
	if kind == sesamepitch.KindQuarantined || kind == sesamepitch.KindDenied || kind == sesamepitch.KindInvalid {
		return &Error{Op: fmt.Sprintf("step.sample of group %d", f.identity.Group), Kind: kind, Err: f.err}
	}
	if r.attempts > 0 {
		return nil
	}
	r.cancel()
	d.ended(f.identity)
	d.missing = append(d.missing, f.identity)
	return nil
}

func (d *driver) ended(identity Identity) {
	delete(d.under, identity)
	d.group(identity).running--
}

// hedge gives stragglers a second attempt.
func (d *driver) hedge(ctx context.Context) {
	now := d.m.clock.Now()
	for identity, r := range d.under {
		first := r.placed.Load()
		if r.hedged || first == nil || !d.hedger.wants(identity.Group, now.Sub(first.at)) {
			continue
		}
		r.hedged = true
		d.m.log.Info("hedge", "trainer", d.trainer.Name, "step", d.open.Spec.Step, "group", identity.Group, "index", identity.Index, "first", first.endpoint)
		hedging, cancel := context.WithCancel(ctx)
		cancelFirst := r.cancel
		r.cancel = func() {
			cancelFirst()
			cancel()
		}
		d.start(hedging, identity, r, true)
	}
}

// flush commits what is ready, and delivers it.
func (d *driver) flush(ctx context.Context) error {
	if len(d.ready) > 0 {
		d.backlog = append(d.backlog, d.ledger.prepare(d.trainer.Workspace, d.ready))
		d.ready = nil
	}
	if d.m.clock.Now().Before(d.retryAt) {
		return d.deliverBacklog()
	}
	for len(d.backlog) > 0 {
		e := d.backlog[0]
		err := d.commit(ctx, e)
		if err != nil {
			return d.storeFailed(ctx, err)
		}
		d.m.noteTable(true)
		d.failing = time.Time{}
		d.backlog = d.backlog[1:]
		if err := d.deliver(e, true); err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) commit(ctx context.Context, e *entry) error {
	if !d.ledger.claimed() {
		if err := d.ledger.claim(ctx); err != nil {
			return err
		}
	}
	return d.ledger.commit(ctx, e)
}

// storeFailed decides what happens while the table does not answer: after a
// grace, samples are delivered before they are committed. The trainer's own
// list then keeps them from being sent twice.
func (d *driver) storeFailed(ctx context.Context, err error) error {
	kind := sesamepitch.KindOf(err)
	if kind == sesamepitch.KindConflict || kind == sesamepitch.KindInvalid {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	d.m.noteTable(false)
	now := d.m.clock.Now()
	if d.failing.IsZero() {
		d.failing = now
	}
	d.retryAt = now.Add(storeRetry)
	return d.deliverBacklog()
}

// deliverBacklog passes on what waits for the table, once the grace is over.
func (d *driver) deliverBacklog() error {
	if d.m.clock.Now().Sub(d.failing) < storeGrace {
		return nil
	}
	for _, e := range d.backlog {
		if err := d.deliver(e, false); err != nil {
			return err
		}
	}
	return nil
}

func (d *driver) deliver(e *entry, durable bool) error {
	if e.passed {
		return nil
	}
	e.passed = true
	for _, sample := range e.samples {
		had := d.have[sample.Identity]
		if err := d.pass(sample, durable); err != nil {
			return err
		}
		if !had && !d.have[sample.Identity] {
			d.missing = append(d.missing, sample.Identity)
		}
	}
	return nil
}
