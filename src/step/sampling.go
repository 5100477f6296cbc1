package step

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rollout"
	"sesamepitch/src/supervisor"
)

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

// launch starts missing samples up to the limit.
func (d *driver) launch(ctx context.Context) {
	if d.m.draining() {
		return
	}
	var kept []Identity
	for i, identity := range d.missing {
		if len(d.under) >= int(d.window) || len(d.backlog)*batchSize >= maxBacklog {
			kept = append(kept, d.missing[i:]...)
			break
		}
		group := d.group(identity)
		if !group.mayStart(identity) {
			kept = append(kept, identity)
			continue
		}
		group.start(identity)
		sampling, cancel := context.WithCancel(ctx)
		r := &running{cancel: cancel}
		d.under[identity] = r
		d.start(sampling, identity, r, false)
	}
	d.missing = kept
}

func (d *driver) group(identity Identity) *pins {
	group := d.groups[identity.Group]
	if group == nil {
		group = newPins()
		d.groups[identity.Group] = group
	}
	return group
}

func (d *driver) start(ctx context.Context, identity Identity, r *running, hedge bool) {
	r.attempts++
	d.finishes++
	request := d.request(identity, r, hedge)
	go func() { d.results <- d.sample(ctx, identity, request) }()
}

func (d *driver) request(identity Identity, r *running, hedge bool) rollout.Request {
	group, where := d.open.Spec.Groups[identity.Group], d.group(identity)
	left := d.deadline.Sub(d.m.clock.Now())
	request := rollout.Request{
		ID: fmt.Sprintf("%s/%d/%d.%d", d.trainer.Name, d.open.Spec.Step, identity.Group, identity.Index), Workspace: d.trainer.Workspace, Weight: d.weight, Model: d.trainer.Model,
		Prompt: group.Prompt, MaxTokens: group.MaxTokens, Deadline: d.deadline,
		Urgent: hedge || left < d.trainer.StepDuration()/urgentShare, CostSensitive: d.thrifty, MinVersion: d.floor, CallerKey: d.open.Secret,
		Filter: limiter{pins: where, identity: identity}, WaitContext: d.m.serving,
		OnPlaced: func(endpoint string) {
			where.place(identity, endpoint)
			r.placed.Store(&placed{endpoint: endpoint, at: d.m.clock.Now()})
			supervisor.Wake(d.placements)
		},
	}
	if first := r.placed.Load(); hedge && first != nil {
		request.Avoid = []string{first.endpoint}
		request.OnPlaced, request.Filter = nil, nil
	}
	return request
}

// sample generates and judges one sample.
func (d *driver) sample(ctx context.Context, identity Identity, request rollout.Request) finished {
	started := d.m.clock.Now()
	generation, err := d.m.generator.Generate(ctx, request, nil, false)
	if err != nil {
		return finished{identity: identity, err: err}
	}
	took := d.m.clock.Now().Sub(started) - generation.QueueTime()
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
	return finished{identity: identity, sample: sample, took: took, queued: generation.QueueTime()}
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
	d.group(f.identity).prove()
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
	d.group(identity).end(identity)
}

// hedge gives stragglers a second attempt.
func (d *driver) hedge(ctx context.Context) {
	now := d.m.clock.Now()
	for identity, r := range d.under {
		first := r.placed.Load()
		if r.hedged || first == nil || !d.group(identity).mayHedge(identity) || !d.hedger.wants(identity.Group, now.Sub(first.at)) {
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
