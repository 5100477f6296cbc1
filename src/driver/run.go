package driver

import (
	"context"
	"errors"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/supervisor"
)

const (
	// firstEventTimeout bounds the time until a run's first event: the engine
	// accepts the connection, reads the prompts of other items and then this
	// one's.
	firstEventTimeout = 800 * time.Millisecond
	// A run stalls once no event has arrived for stallFactor times the engine's
	// time per event, but at least minStallTime, which allows for the prompts
	// of other items, and at most maxStallTime.
	stallFactor  = 10
	minStallTime = 400 * time.Millisecond
	maxStallTime = 700 * time.Millisecond
	// slowEventFactor times the engine's time per event is never a stall.
	slowEventFactor = 2
	// failureRetryDelay is the time from a failed run to the task's next one.
	failureRetryDelay = 30 * time.Millisecond
)

// run is one generation of a task at an engine.
type run struct {
	task    *task
	engine  *engine
	started time.Time
	// lastActivity is when the engine last sent anything, or the run's start.
	lastActivity time.Time
	gotEvent     bool
	// delayed is set if this process stalled since the last event, so that the
	// time to the next one is not attributed to the engine.
	delayed bool
	// probe is set if the run finds out whether the engine's weights are
	// loaded.
	probe  bool
	events int
	// first is the number of events that the output had at the start, bytes the
	// size of the output.
	first, bytes int
	cancel       context.CancelFunc
	// endReason is why the driver itself ended the run; empty if it did not.
	endReason string
	// held is the memory reserved for the item's body, unread is set if it could not be
	// read.
	held   int64
	unread bool
}

// startRun starts a run that the engine's rate allows, with memory held for the item's
// body. The caller holds s.mu.
func (s *session) startRun(ctx context.Context, t *task, e *engine, held int64) {
	now := s.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	r := &run{task: t, engine: e, started: now, lastActivity: now, cancel: cancel, first: len(t.output.events), bytes: t.output.size(), held: held}
	t.run = r
	e.running++
	if e.loadingModel == t.job.Model {
		e.probing, r.probe = true, true
	}
	e.recordPrompt(t.item.Group)
	s.log.Info("item placed", "job", t.job.ID, "item", t.item.ID, "group", t.item.Group, "engine", e.entry.ID,
		"engine_row", e.entry.Revision, "running", e.running, "version", e.versions[t.job.Model],
		"min_version", t.job.MinVersion, "after", len(t.output.events), "waited_ms", now.Sub(t.waitingSince).Milliseconds())
	to := e.destination()
	to.Admitted = true
	sample := sesamepitch.Sample{
		ID: t.item.ID, Host: t.job.Host, Path: t.item.Path, Headers: t.item.Headers, Body: t.item.Body,
		Workspace: t.job.Workspace, After: int64(len(t.output.events)),
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel()
		defer s.freeBody(r)
		s.endRun(r, supervisor.Guard(func() error { return s.generate(ctx, r, to, sample) }))
	}()
}

// generate reads a generation to its end. It returns ErrComplete if the output
// is complete.
func (s *session) generate(ctx context.Context, r *run, to sesamepitch.Destination, sample sesamepitch.Sample) error {
	err := s.readBody(ctx, r, &sample)
	if err != nil {
		return err
	}
	generation, err := s.engines.Generate(ctx, to, sample)
	s.freeBody(r)
	if err != nil {
		return err
	}
	defer generation.Close()
	if err := s.recordVersion(r, generation.Version()); err != nil {
		return err
	}
	for {
		event, err := generation.Next()
		if err != nil {
			return err
		}
		if err := s.appendEvent(r, event); err != nil {
			return err
		}
	}
}

// readBody reads a sample's body from the store, unless it is in memory.
func (s *session) readBody(ctx context.Context, r *run, sample *sesamepitch.Sample) error {
	item, err := s.readItem(ctx, r.task, &r.held)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		r.unread = true
		return err
	}
	if r.task.job.spans != nil {
		sample.Body = item.Body
		r.lastActivity = s.clock.Now()
	}
	return nil
}

// freeBody gives back the memory of the body of a run's item, which only the run's
// goroutine uses.
func (s *session) freeBody(r *run) {
	s.memory.Free(r.held)
	r.held = 0
}

var (
	errStale         = errors.New("the engine's weights are older than the job allows")
	errMixedVersions = errors.New("the output would mix weight versions")
	errRunEnded      = errors.New("the run has already ended")
	errTooLarge      = errors.New("the output exceeds the size of a result")
)

// recordVersion checks and records the weight version that an engine answers
// with.
func (s *session) recordVersion(r *run, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.lastActivity = s.clock.Now()
	model := r.task.job.Model
	if version < r.task.job.MinVersion {
		r.engine.versions[model] = version
		return &Error{Op: "driver.run", Kind: sesamepitch.KindStale, Err: errStale}
	}
	r.engine.mergeVersions(map[string]int64{model: version})
	if r.probe && version >= r.engine.loadingVersion && r.engine.loadingModel == model {
		s.loader.recordProbe(true)
		r.engine.endLoad()
		s.wakeUp()
	}
	return nil
}

// appendEvent appends an event to the task's output.
func (s *session) appendEvent(r *run, event sesamepitch.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.task.run != r || r.endReason != "" {
		return &Error{Op: "driver.run", Kind: sesamepitch.KindUnavailable, Err: errRunEnded}
	}
	if event.Version < r.task.job.MinVersion {
		return &Error{Op: "driver.run", Kind: sesamepitch.KindStale, Err: errStale}
	}
	versions := r.task.output.eventVersions
	if r.task.job.singleVersion && len(versions) > 0 && versions[0] != event.Version {
		r.task.restart()
		return &Error{Op: "driver.run", Kind: sesamepitch.KindStale, Err: errMixedVersions}
	}
	if r.bytes += len(event.Data) + 1; r.bytes > batch.MaxOutputBytes {
		s.discardRun(r)
		return &Error{Op: "driver.run", Kind: sesamepitch.KindCrashed, Err: errTooLarge}
	}
	now := s.clock.Now()
	if r.gotEvent && !r.delayed {
		r.engine.recordEventTime(now.Sub(r.lastActivity))
	}
	r.delayed = false
	r.gotEvent = true
	r.lastActivity = now
	r.engine.misses = 0
	r.events++
	r.task.output.add(event)
	r.task.unproven = false
	r.task.interruptions = 0
	if r.events > 1 {
		r.task.stalls = 0
	}
	return nil
}

// discardRun removes the events of a run whose engine sends without end, so that
// another engine continues where the run began. What is checkpointed of them
// already is part of an attempt that is not continued.
func (s *session) discardRun(r *run) {
	t := r.task
	t.output.truncate(min(r.first, len(t.output.events)))
	if t.checkpointed > len(t.output.events) {
		t.attempt++
		t.checkpointed = 0
	}
	r.gotEvent = false
}

// endRun handles a run's outcome: the task is finished or waits for another
// run.
func (s *session) endRun(r *run, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	t, now := r.task, s.clock.Now()
	r.engine.running--
	s.endProbe(r, now)
	if t.run != r {
		return
	}
	t.run = nil
	if t.finished || r.endReason == "" {
		t.release()
	}
	t.waitingSince = now
	if t.finished {
		return // the job ended or the item was abandoned during the run
	}
	if r.completes(err) {
		s.log.Info("item done", "job", t.job.ID, "item", t.item.ID, "engine", r.engine.entry.ID, "events", len(t.output.events),
			"ms", now.Sub(r.started).Milliseconds(), "confirmed", t.unproven)
		t.complete = true
		t.job.lengths.observe(t.item.ExpectedTokens, len(t.output.events))
		s.finishComplete(t, now)
		return
	}
	s.handleFailure(r, err, now)
}

// completes reports whether the end of a run proves that its output is complete: by
// itself, or since an end without a proof is confirmed by a run that has nothing to add.
func (r *run) completes(err error) bool {
	if errors.Is(err, sesamepitch.ErrComplete) {
		return true
	}
	return errors.Is(err, sesamepitch.ErrUnproven) && r.task.unproven && r.events == 0
}

// endProbe lets another item probe the engine if the weights were not loaded
// yet.
func (s *session) endProbe(r *run, now time.Time) {
	e := r.engine
	if !r.probe || e.loadingModel != r.task.job.Model || !e.probing {
		return
	}
	e.probing = false
	e.readyAt = now.Add(probeInterval)
	s.loader.recordProbe(false)
}

// handleFailure decides when and where a task runs again after a run that did
// not complete it.
func (s *session) handleFailure(r *run, err error, now time.Time) {
	t, e := r.task, r.engine
	kind := sesamepitch.KindOf(err)
	t.notBefore = now.Add(failureRetryDelay)
	switch {
	case r.endReason != "":
		t.notBefore = now
	case r.unread:
		t.notBefore = now.Add(unreadRetryDelay)
	case errors.Is(err, sesamepitch.ErrUnproven):
		t.unproven, t.avoid, t.notBefore = true, e.entry.ID, now
	case kind == sesamepitch.KindOverloaded && r.probe:
	case kind == sesamepitch.KindOverloaded:
		e.overloadedUntil = now.Add(overloadBackoff)
	case kind == sesamepitch.KindUnavailable:
		e.recordMiss(now)
		t.avoidCentre = e.entry.Centre
	case kind == sesamepitch.KindStale:
	case kind == sesamepitch.KindInvalid:
		s.finish(t, t.abandonedResult())
	case kind == sesamepitch.KindFailed:
		t.failures++
		t.avoid = e.entry.ID
		if t.failures >= s.maxAttempts(t) {
			s.finish(t, t.abandonedResult())
		}
	default:
		t.avoid = e.entry.ID
		if !r.gotEvent {
			t.interruptions++
			e.suspectedUntil = now.Add(suspectedTime)
		}
	}
	s.log.Info("run ended", "job", t.job.ID, "item", t.item.ID, "engine", e.entry.ID, "events", r.events, "why", r.endReason,
		"kind", string(kind), "cause", causeOf(err), "failures", t.failures, "unproven", t.unproven, "breaks", t.interruptions,
		"ms", now.Sub(r.started).Milliseconds(), "next_run_in_ms", max(t.notBefore.Sub(now), 0).Milliseconds())
}

func causeOf(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}
