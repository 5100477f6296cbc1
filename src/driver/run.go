package driver

import (
	"context"
	"errors"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	// firstEventTime is how long an engine may be silent before the first event
	// until the run is given up: it connects, waits for others' prompts and reads
	// its own.
	firstEventTime = 800 * time.Millisecond
	// An engine may be silent between events for gapPaces times its pace, within
	// gapLeast, which bears the prompts of others, and gapMost.
	gapPaces = 10
	gapLeast = 400 * time.Millisecond
	gapMost  = 700 * time.Millisecond
	// failurePause holds a task back after its run failed.
	failurePause = 30 * time.Millisecond
	// suspiciousBreaks is after how many runs without any event a task waits
	// longer each time, since it may be what makes engines crash.
	suspiciousBreaks = 3
	breakPause       = time.Second
	// mostBreaks is after how many such runs a task gets no other one.
	mostBreaks = 6
)

// run is one generation of a task at an engine.
type run struct {
	task    *task
	engine  *engine
	started time.Time
	// lastEvent is the time of the last sign of life.
	lastEvent time.Time
	gotEvent  bool
	// held is set if this process stood still since the last event.
	held bool
	// scout runs find out whether the engine's weights are loaded.
	scout  bool
	events int
	cancel context.CancelFunc
	// why tells why the driver itself ended the run; empty if it did not.
	why string
}

// start begins a run; it needs s.mu.
func (s *session) start(ctx context.Context, t *task, e *engine) {
	now := s.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	r := &run{task: t, engine: e, started: now, lastEvent: now, cancel: cancel}
	t.run = r
	e.running++
	if e.loading == t.job.Model {
		e.scouting, r.scout = true, true
	}
	e.readPrompt(t.item.Group)
	if now.Before(e.entry.ColdUntil) {
		s.sendCold(e, now)
	}
	s.log.Info("item placed", "job", t.job.ID, "item", t.item.ID, "group", t.item.Group, "engine", e.entry.ID,
		"engine_row", e.entry.Revision, "running", e.running, "version", e.versions[t.job.Model],
		"min_version", t.job.MinVersion, "after", len(t.text.events), "waited_ms", now.Sub(t.waitSince).Milliseconds())
	to := sesamepitch.Destination{ID: e.entry.ID, Address: e.entry.Address}
	sample := sesamepitch.Sample{
		ID: t.item.ID, Host: t.job.Host, Path: t.item.Path, Headers: t.item.Headers, Body: t.item.Body,
		Workspace: t.job.Workspace, After: int64(len(t.text.events)),
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel()
		s.end(r, s.generate(ctx, r, to, sample))
	}()
}

// generate reads a generation to its end, ErrComplete if it is whole.
func (s *session) generate(ctx context.Context, r *run, to sesamepitch.Destination, sample sesamepitch.Sample) error {
	generation, err := s.engines.Generate(ctx, to, sample)
	if err != nil {
		return err
	}
	defer generation.Close()
	if err := s.began(r, generation.Version()); err != nil {
		return err
	}
	for {
		event, err := generation.Next()
		if err != nil {
			return err
		}
		if err := s.event(r, event); err != nil {
			return err
		}
	}
}

var (
	errStale     = errors.New("the engine's weights are older than the job allows")
	errTwo       = errors.New("the text would have two versions")
	errForgotten = errors.New("the run was ended meanwhile")
)

// began takes the version that an engine answers with.
func (s *session) began(r *run, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.lastEvent = s.clock.Now()
	model := r.task.job.Model
	if version < r.task.job.MinVersion {
		r.engine.versions[model] = version
		return &Error{Op: "driver.run", Kind: sesamepitch.KindStale, Err: errStale}
	}
	r.engine.learn(map[string]int64{model: version})
	if r.scout && version >= r.engine.target && r.engine.loading == model {
		s.loader.scouted(true)
		r.engine.endLoad()
		s.wakeUp()
	}
	return nil
}

// event appends an event to the task's text.
func (s *session) event(r *run, event sesamepitch.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.task.run != r || r.why != "" {
		return &Error{Op: "driver.run", Kind: sesamepitch.KindUnavailable, Err: errForgotten}
	}
	if event.Version < r.task.job.MinVersion {
		return &Error{Op: "driver.run", Kind: sesamepitch.KindStale, Err: errStale}
	}
	made := r.task.text.made
	if r.task.job.single && len(made) > 0 && made[0] != event.Version {
		r.task.restart()
		return &Error{Op: "driver.run", Kind: sesamepitch.KindStale, Err: errTwo}
	}
	now := s.clock.Now()
	if r.gotEvent && !r.held {
		r.engine.sawEvent(now.Sub(r.lastEvent))
	}
	r.held = false
	r.gotEvent = true
	r.lastEvent = now
	r.engine.misses = 0
	r.events++
	r.task.text.add(event)
	r.task.breaks = 0
	return nil
}

// end takes a run's outcome: the task is finished or waits again.
func (s *session) end(r *run, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	t, now := r.task, s.clock.Now()
	r.engine.running--
	s.endScout(r, now)
	if t.run != r {
		return
	}
	t.run = nil
	if t.finished || r.why == "" {
		t.release()
	}
	t.waitSince = now
	if t.finished {
		return // the job ended or gave the item up meanwhile
	}
	if errors.Is(err, sesamepitch.ErrComplete) {
		s.log.Info("item done", "job", t.job.ID, "item", t.item.ID, "engine", r.engine.entry.ID, "events", len(t.text.events),
			"ms", now.Sub(r.started).Milliseconds())
		t.whole = true
		s.finish(t, t.result())
		return
	}
	s.failed(r, err, now)
}

// endScout lets another item try if the weights were not loaded yet.
func (s *session) endScout(r *run, now time.Time) {
	e := r.engine
	if !r.scout || e.loading != r.task.job.Model || !e.scouting {
		return
	}
	e.scouting = false
	e.readyAt = now.Add(scoutPause)
	s.loader.scouted(false)
}

// failed decides what follows from a run that did not finish.
func (s *session) failed(r *run, err error, now time.Time) {
	t, e := r.task, r.engine
	kind := sesamepitch.KindOf(err)
	t.notBefore = now.Add(failurePause)
	switch {
	case r.why != "":
		t.notBefore = now
	case kind == sesamepitch.KindOverloaded && r.scout:
	case kind == sesamepitch.KindOverloaded:
		e.fullUntil = now.Add(fullTime)
	case kind == sesamepitch.KindUnavailable:
		e.missed(now)
		t.avoidCentre = e.entry.Centre
	case kind == sesamepitch.KindStale:
	case kind == sesamepitch.KindInvalid:
		s.finish(t, t.dead())
	case kind == sesamepitch.KindFailed:
		t.failures++
		t.avoid = e.entry.ID
		if t.failures >= s.maxAttempts(t) {
			s.finish(t, t.dead())
		}
	default:
		t.avoid = e.entry.ID
		if !r.gotEvent {
			t.breaks++
			e.suspectUntil = now.Add(suspectTime)
		}
		if t.breaks >= suspiciousBreaks {
			t.notBefore = t.afterBreaks(now)
		}
	}
	s.log.Info("run ended", "job", t.job.ID, "item", t.item.ID, "engine", e.entry.ID, "events", r.events, "why", r.why,
		"kind", string(kind), "cause", causeOf(err), "failures", t.failures, "breaks", t.breaks,
		"ms", now.Sub(r.started).Milliseconds())
}

// afterBreaks returns when a task that may be what makes engines crash gets its
// next run: never, once it has broken off too many.
func (t *task) afterBreaks(now time.Time) time.Time {
	if t.breaks >= mostBreaks {
		return t.job.giveUp
	}
	return now.Add(breakPause << (t.breaks - suspiciousBreaks))
}

func causeOf(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}
