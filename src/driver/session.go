package driver

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/invariant"
	"sesamepitch/src/latency"
	"sesamepitch/src/memory"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

const (
	// tickInterval is the time between checks for stalled runs, expired jobs
	// and loads.
	tickInterval = 50 * time.Millisecond
	// minStepInterval is the least time between two steps, so that many items
	// that end together cost one step.
	minStepInterval = 8 * time.Millisecond
	// maxOwnDelay is the delay of a step from which on this process counts as
	// stalled.
	maxOwnDelay = 150 * time.Millisecond
	// takeoverRetryDelay is the time between attempts to take a job over.
	takeoverRetryDelay = 100 * time.Millisecond
	// defaultResultDeadline applies to jobs whose route sets no result
	// deadline.
	defaultResultDeadline = 10 * time.Second
	// defaultQueueTTL applies to jobs whose route sets no queue TTL; later,
	// items are abandoned.
	defaultQueueTTL = 10 * time.Minute
)

// session is the state of one lease epoch held by this instance.
type session struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	ledger   *batch.Ledger
	registry *registry.Registry
	engines  sesamepitch.Engines
	rewards  sesamepitch.RewardCaller
	loader   *loader
	limits   sesamepitch.RateLimiter
	// memory is that of bodies of items, resident how much of it the bodies of whole jobs
	// take, in bytes. reads bounds the jobs that are read at once.
	memory   *memory.Share
	resident atomic.Int64
	reads    readQueue
	checks   *invariant.Recorder
	holder   string
	epoch    int64
	wake     chan struct{}
	running  sync.WaitGroup

	mu sync.Mutex
	// steppedAt is the time of the last step.
	steppedAt time.Time
	// tickedAt is the time of the last step that did more than place items.
	tickedAt     time.Time
	jobs         map[string]*job
	engineStates map[string]*engine
	// assigned are the models that engines are assigned to, by service and engine.
	assigned map[string]map[string]string
	// lags are how far behind the newest version jobs allow weights to be, by
	// model.
	lags  map[string]lag
	cache *outputCache
	// lengths estimate the lengths of outputs, by model.
	lengths map[string]*lengthModel
	// shortOfRate is when engines' rate limits last kept a service's items waiting.
	shortOfRate map[string]time.Time
	// rewardLatency is how long answers to reward calls take.
	rewardLatency latency.Window
	observeReward RewardObserver
	// leaving is set once outputs are checkpointed for the next driver.
	leaving bool
	// takenOver are the jobs that were taken over or have ended; ended are
	// those that have ended.
	takenOver map[string]bool
	ended     map[string]bool
	// headers are the headers of the jobs in the table; retention is how long
	// results must stay readable after a job's submission.
	headers   map[string]batch.Header
	retention time.Duration
}

// run places items and tracks runs until ctx ends.
func (s *session) run(ctx context.Context) {
	for {
		s.guard("step", func() { s.step(ctx) })
		select {
		case <-s.clock.After(minStepInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-s.wake:
		case <-s.clock.After(tickInterval):
		case <-ctx.Done():
			return
		}
	}
}

// guard calls task; a panic is logged and costs only this task.
func (s *session) guard(name string, task func()) {
	err := supervisor.Guard(func() error {
		task()
		return nil
	})
	if err != nil {
		s.log.Info("driver task failed", "task", name, "cause", err.Error())
	}
}

func (s *session) wakeUp() { supervisor.Wake(s.wake) }

// step places waiting items, and once per tick also updates engines, runs, jobs
// and loads.
func (s *session) step(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	now := s.clock.Now()
	s.excludeOwnDelay(now)
	s.pruneTasks()
	if now.Sub(s.tickedAt) >= tickInterval {
		s.tickedAt = now
		s.syncEngines()
		s.endStalled(now)
		s.migrate(now)
		s.abandonExpired(now)
		s.orderLoads(ctx, now)
		s.cache.evict(now)
	}
	s.sendRewardCalls(ctx, now)
	s.place(ctx, now)
}

// pruneTasks removes finished tasks from the open ones.
func (s *session) pruneTasks() {
	for _, j := range s.jobs {
		j.open = slices.DeleteFunc(j.open, func(t *task) bool { return t.finished && t.run == nil })
	}
}

// excludeOwnDelay keeps a stall of this process from counting as a stall of
// engines.
func (s *session) excludeOwnDelay(now time.Time) {
	delay := now.Sub(s.steppedAt) - tickInterval - minStepInterval
	first := s.steppedAt.IsZero()
	s.steppedAt = now
	if first || delay < maxOwnDelay {
		return
	}
	s.log.Info("driver process stalled", "ms", delay.Milliseconds())
	for _, t := range s.runningTasks() {
		t.run.lastActivity = t.run.lastActivity.Add(delay)
		t.run.delayed = true
	}
}

// syncEngines updates the engines from the registry's endpoints of services
// that hold models.
func (s *session) syncEngines() {
	config := s.registry.Config()
	if config == nil {
		return
	}
	for _, e := range s.engineStates {
		e.listed = false
	}
	for name, service := range config.Services {
		if len(service.Models) == 0 {
			continue
		}
		for _, entry := range s.registry.Endpoints(name) {
			if tracked := s.engineStates[entry.ID]; tracked != nil {
				tracked.update(entry)
				continue
			}
			s.engineStates[entry.ID] = newEngine(entry)
		}
	}
	for id, e := range s.engineStates {
		if entry, found := s.registry.Endpoint(id); found && !e.listed && entry.Born == e.entry.Born {
			e.entry = entry // it may be leaving: its runs are moved in time
		}
		if !e.listed && e.running == 0 && e.loadingModel == "" {
			delete(s.engineStates, id)
		}
	}
}

// requirementOf returns what a task requires of an engine. An empty service
// means that no route matches the task now.
func (s *session) requirementOf(t *task) requirement {
	req := requirement{model: t.job.Model, minVersion: t.job.MinVersion, group: t.item.Group, avoid: t.avoid, avoidCentre: t.avoidCentre}
	config := s.registry.Config()
	if config == nil {
		return req
	}
	if route, found := config.Match(t.job.Host, t.item.Path); found {
		req.service = route.Pick(drawOf(t.item.ID))
	}
	if t.job.singleVersion && len(t.output.eventVersions) > 0 {
		req.exact = t.output.eventVersions[0]
	}
	return req
}

// drawOf returns a number in [0, 1) by which an item is assigned to a service
// of a split route; it is always the same for an item.
func drawOf(item string) float64 {
	const bits = 53 // the mantissa of a float64
	return float64(xxhash.Sum64String(item)>>(64-bits)) / (1 << bits)
}

func (s *session) maxAttempts(t *task) int {
	config := s.registry.Config()
	if config == nil {
		return 1
	}
	route, _ := config.Match(t.job.Host, t.item.Path)
	return max(route.MaxAttempts, 1)
}

// place starts runs of waiting tasks, the most urgent first.
func (s *session) place(ctx context.Context, now time.Time) {
	var waiting []*task
	for _, j := range s.jobs {
		for _, t := range j.open {
			if t.needsRun() && !now.Before(t.notBefore) {
				waiting = append(waiting, t)
			}
		}
	}
	byUrgency(waiting, now, medianEventTime(s.engineStates))
	for _, t := range waiting {
		s.placeWaiting(ctx, t, now)
	}
}

// placeWaiting starts a run of a waiting task if there is an engine for it, and memory for
// its body.
func (s *session) placeWaiting(ctx context.Context, t *task, now time.Time) {
	req := s.requirementOf(t)
	if s.isUnservable(t, req, now) {
		s.log.Info("output discarded, no engine has its version", "job", t.job.ID, "item", t.item.ID, "version", req.exact, "events", len(t.output.events))
		t.restart()
		req.exact = 0
	}
	reserved := t.release()
	if req.service == "" {
		return
	}
	held, ok := s.holdBody(t)
	if !ok {
		return // until the bodies of other items are sent
	}
	if reserved != nil && reserved.fits(now, req) && s.admit(reserved, now) {
		s.startRun(ctx, t, reserved, held)
		return
	}
	if s.placeTask(ctx, t, req, now, held) {
		return
	}
	s.memory.Free(held)
	if now.Sub(t.waitingSince) >= shortageWait && s.hasLimited(now, req) {
		s.shortOfRate[req.service] = now
	}
}

// isUnservable reports whether an output must continue under a weight version which no
// usable engine has any more: the item would wait for ever.
func (s *session) isUnservable(t *task, req requirement, now time.Time) bool {
	if req.exact == 0 || now.Sub(t.waitingSince) < unservedAfter {
		return false
	}
	for _, e := range s.engineStates {
		if e.entry.Service == req.service && e.isUsable(now) && e.upcomingVersion(req.model) == req.exact {
			return false
		}
	}
	return true
}

// placeTask starts a run of a task, with memory held for its body, at the cheapest engine
// whose rate allows it, and reports whether there is one.
func (s *session) placeTask(ctx context.Context, t *task, req requirement, now time.Time, held int64) bool {
	for e := choose(s.engineStates, now, req); e != nil; e = choose(s.engineStates, now, req) {
		if s.admit(e, now) {
			s.startRun(ctx, t, e, held)
			return true
		}
	}
	return false
}

// hasLimited reports whether an engine would fit if its rate allowed the item.
func (s *session) hasLimited(now time.Time, req requirement) bool {
	for _, e := range s.engineStates {
		if now.Before(e.limitedUntil) && e.fitsButForRate(now, req) {
			return true
		}
	}
	return false
}

const (
	// shortageWait is how long an item must have waited for an engine's rate to count
	// as a shortage, and shortageTime how long one counts: work comes in bursts.
	shortageWait = 1500 * time.Millisecond
	shortageTime = 5 * time.Second
)

// ShortOfRate reports whether engines' rate limits keep items of a service waiting,
// as far as this instance drives them.
func (d *Driver) ShortOfRate(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		return false
	}
	s := d.current.session
	s.mu.Lock()
	defer s.mu.Unlock()
	at, short := s.shortOfRate[service]
	return short && s.clock.Now().Sub(at) < shortageTime
}

// admit reports whether an engine's rate allows an item now.
func (s *session) admit(e *engine, now time.Time) bool {
	retryIn, admitted := s.limits.TryTake(e.destination())
	if !admitted {
		e.limitedUntil = now.Add(sesamepitch.DeniedTime(retryIn))
	}
	return admitted
}
