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

// attemptResult is the result of one attempt at a sample.
type attemptResult struct {
	identity Identity
	sample   Sample
	// took is the time of the generation without queued, its wait for a stream.
	took   time.Duration
	queued time.Duration
	err    error
}

// activeSample is a sample under way.
type activeSample struct {
	cancel context.CancelFunc
	// attempts is the number of attempts that have not ended.
	attempts int
	hedged   bool
	placed   atomic.Pointer[placement]
}

// placement is the endpoint of a sample's first attempt and when it was sent there.
type placement struct {
	endpoint string
	at       time.Time
}

// launch starts missing samples, up to the limits of concurrency and backlog. Samples
// whose prompt's endpoint is not known yet are passed over.
func (d *driver) launch(ctx context.Context) {
	if d.m.draining() {
		return
	}
	var kept []Identity
	for i, identity := range d.missing {
		if len(d.active) >= int(d.concurrency) || len(d.backlog)*batchSize >= maxBacklogSamples {
			kept = append(kept, d.missing[i:]...)
			break
		}
		affinity := d.affinity(identity)
		if !affinity.canStart(identity) {
			kept = append(kept, identity)
			continue
		}
		affinity.add(identity)
		sampleCtx, cancel := context.WithCancel(ctx)
		active := &activeSample{cancel: cancel}
		d.active[identity] = active
		d.startAttempt(sampleCtx, identity, active, false)
	}
	d.missing = kept
}

// affinity returns the affinity of the sample's prompt.
func (d *driver) affinity(identity Identity) *promptAffinity {
	affinity := d.affinities[identity.Group]
	if affinity == nil {
		affinity = newAffinity()
		d.affinities[identity.Group] = affinity
	}
	return affinity
}

func (d *driver) startAttempt(ctx context.Context, identity Identity, active *activeSample, hedge bool) {
	active.attempts++
	d.outstanding++
	request := d.newRequest(identity, active, hedge)
	go func() { d.results <- d.runAttempt(ctx, identity, request) }()
}

// newRequest returns the request of an attempt. A hedge is not subject to the prompt's
// affinity and avoids the first attempt's endpoint.
func (d *driver) newRequest(identity Identity, active *activeSample, hedge bool) rollout.Request {
	group, affinity := d.request.Spec.Groups[identity.Group], d.affinity(identity)
	remaining := d.deadline.Sub(d.m.clock.Now())
	request := rollout.Request{
		ID: fmt.Sprintf("%s/%d/%d.%d", d.trainer.Name, d.request.Spec.Step, identity.Group, identity.Index), Workspace: d.trainer.Workspace, Weight: d.weight, Model: d.trainer.Model,
		Prompt: group.Prompt, MaxTokens: group.MaxTokens, Deadline: d.deadline,
		Urgent: hedge || remaining < d.trainer.StepDuration()/urgentDivisor, CostSensitive: d.costSensitive, MinVersion: d.minVersion, CallerKey: d.request.Secret,
		Filter: filter{affinity: affinity, identity: identity}, WaitContext: d.m.serving,
		OnPlaced: func(endpoint string) {
			affinity.setEndpoint(identity, endpoint)
			active.placed.Store(&placement{endpoint: endpoint, at: d.m.clock.Now()})
			supervisor.Wake(d.placements)
		},
	}
	if first := active.placed.Load(); hedge && first != nil {
		request.Avoid = []string{first.endpoint}
		request.OnPlaced, request.Filter = nil, nil
	}
	return request
}

// runAttempt generates a sample and has it judged.
func (d *driver) runAttempt(ctx context.Context, identity Identity, request rollout.Request) attemptResult {
	started := d.m.clock.Now()
	generation, err := d.m.generator.Generate(ctx, request, nil, false)
	if err != nil {
		return attemptResult{identity: identity, err: err}
	}
	took := d.m.clock.Now().Sub(started) - generation.QueueTime()
	sample := Sample{
		Identity: identity, Text: generation.Text(), Versions: generation.Versions(), Tokens: generation.Tokens(),
		MilliCost: generation.MilliCost(), Endpoint: generation.Endpoint(),
	}
	if d.trainer.Judge != "" {
		score, err := d.m.generator.Judge(ctx, request, d.trainer.Judge, sample.Text)
		if err != nil {
			return attemptResult{identity: identity, err: err}
		}
		sample.Score = &score
	}
	return attemptResult{identity: identity, sample: sample, took: took, queued: generation.QueueTime()}
}

// handleResult records the end of an attempt. The first complete attempt wins and the
// others are cancelled. A sample whose weights have become too old is generated again.
func (d *driver) handleResult(result attemptResult) error {
	active := d.active[result.identity]
	if active == nil {
		return nil
	}
	active.attempts--
	if result.err != nil {
		return d.handleFailure(result, active)
	}
	active.cancel()
	d.removeActive(result.identity)
	d.affinity(result.identity).markProven()
	if result.sample.oldestVersion() < d.minVersion() {
		d.missing = append(d.missing, result.identity)
		return nil
	}
	d.hedger.record(result.identity.Group, result.took)
	d.adjustConcurrency(result.queued)
	d.ready = append(d.ready, result.sample)
	return nil
}

// adjustConcurrency adapts the number of samples under way to the time that a stream was
// waited for, so that waiting requests do not load the cells' owners.
func (d *driver) adjustConcurrency(queued time.Duration) {
	switch {
	case queued < shortWait:
		d.concurrency = min(d.concurrency+1, maxConcurrency)
	case queued > longWait:
		d.concurrency = max(d.concurrency*concurrencyDecrease, minConcurrency)
	}
}

// handleFailure puts the sample back into missing, unless another attempt is still
// running. A quarantined, denied or invalid request ends the step, since the step can
// never be complete.
func (d *driver) handleFailure(result attemptResult, active *activeSample) error {
	kind := sesamepitch.KindOf(result.err)
	if kind == sesamepitch.KindQuarantined || kind == sesamepitch.KindDenied || kind == sesamepitch.KindInvalid {
		return &Error{Op: fmt.Sprintf("step.sample of group %d", result.identity.Group), Kind: kind, Err: result.err}
	}
	if active.attempts > 0 {
		return nil
	}
	active.cancel()
	d.removeActive(result.identity)
	d.missing = append(d.missing, result.identity)
	return nil
}

// removeActive removes a sample that is no longer under way.
func (d *driver) removeActive(identity Identity) {
	delete(d.active, identity)
	d.affinity(identity).remove(identity)
}

// hedgeStragglers starts a second attempt for each straggler.
func (d *driver) hedgeStragglers(ctx context.Context) {
	now := d.m.clock.Now()
	for identity, active := range d.active {
		first := active.placed.Load()
		if active.hedged || first == nil || !d.affinity(identity).canHedge(identity) || !d.hedger.take(identity.Group, now.Sub(first.at)) {
			continue
		}
		active.hedged = true
		d.m.log.Info("hedge", "trainer", d.trainer.Name, "step", d.request.Spec.Step, "group", identity.Group, "index", identity.Index, "first", first.endpoint)
		hedgeCtx, cancel := context.WithCancel(ctx)
		cancelFirst := active.cancel
		active.cancel = func() {
			cancelFirst()
			cancel()
		}
		d.startAttempt(hedgeCtx, identity, active, true)
	}
}
