package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/invariant"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

const (
	// tick is the time between looks at what stands still or has become due.
	tick = 50 * time.Millisecond
	// pause is the least time between two steps, so that many items that end at
	// once cost one.
	pause = 8 * time.Millisecond
	// ownDelay is how late a step is when this process was held up.
	ownDelay = 150 * time.Millisecond
	// adoptPause is the time between tries to take a job over.
	adoptPause = 100 * time.Millisecond
	// defaultDue is when results of a job are due whose route names no time.
	defaultDue = 10 * time.Second
	// defaultGiveUp is when items are given up where the route names no time.
	defaultGiveUp = 10 * time.Minute
)

// session is the time for which this instance holds the lease with one epoch.
type session struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	ledger   *batch.Ledger
	registry *registry.Registry
	engines  sesamepitch.Engines
	loader   *loader
	checks   *invariant.Recorder
	holder   string
	epoch    int64
	wake     chan struct{}
	running  sync.WaitGroup

	mu sync.Mutex
	// steppedAt is the time of the last step.
	steppedAt time.Time
	// tickedAt is the time of the last step that did more than place items.
	tickedAt time.Time
	jobs     map[string]*job
	states   map[string]*engine
	home     map[string]string
	// lags are how old the weights may be, by model.
	lags  map[string]lag
	carry *carry
	// leaving is set once texts are kept for the next driver.
	leaving bool
	// adopted are the jobs that were taken over or ended, over those that ended.
	adopted map[string]bool
	over    map[string]bool
	// heads are the jobs whose rows there are, readable is how long results must
	// stay readable after a job's submission.
	heads    map[string]batch.Header
	readable time.Duration
}

// run drives jobs until ctx ends.
func (s *session) run(ctx context.Context) {
	for {
		s.step(ctx)
		select {
		case <-s.clock.After(pause):
		case <-ctx.Done():
			return
		}
		select {
		case <-s.wake:
		case <-s.clock.After(tick):
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) wakeUp() { supervisor.Wake(s.wake) }

// step brings everything in line with the present: placements each time, the
// rest once a tick.
func (s *session) step(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return
	}
	now := s.clock.Now()
	s.forgiveOwnDelay(now)
	s.pruneTasks()
	if now.Sub(s.tickedAt) >= tick {
		s.tickedAt = now
		s.syncEngines()
		s.endStalled(now)
		s.migrate(now)
		s.giveUpDue(now)
		s.orderLoads(ctx, now)
		s.carry.forget(now)
	}
	s.place(ctx, now)
}

// pruneTasks drops finished tasks from what each step looks at.
func (s *session) pruneTasks() {
	for _, j := range s.jobs {
		j.open = slices.DeleteFunc(j.open, func(t *task) bool { return t.finished && t.run == nil })
	}
}

// forgiveOwnDelay keeps the time in which this process itself stood still from
// counting as an engine's silence.
func (s *session) forgiveOwnDelay(now time.Time) {
	delay := now.Sub(s.steppedAt) - tick - pause
	first := s.steppedAt.IsZero()
	s.steppedAt = now
	if first || delay < ownDelay {
		return
	}
	s.log.Info("driver was held up", "ms", delay.Milliseconds())
	for _, t := range s.runningTasks() {
		t.run.lastEvent = t.run.lastEvent.Add(delay)
		t.run.held = true
	}
}

// syncEngines takes over the list of endpoints of services that hold models.
func (s *session) syncEngines() {
	config := s.registry.Config()
	if config == nil {
		return
	}
	for _, e := range s.states {
		e.listed = false
	}
	for name, service := range config.Services {
		if len(service.Models) == 0 {
			continue
		}
		for _, entry := range s.registry.Endpoints(name) {
			if known := s.states[entry.ID]; known != nil {
				known.update(entry)
				continue
			}
			s.states[entry.ID] = newEngine(entry)
		}
	}
	for id, e := range s.states {
		if !e.listed && e.running == 0 && e.loading == "" {
			delete(s.states, id)
		}
	}
}

// needOf returns what a task asks of an engine. An empty service means that no
// route allows the task now.
func (s *session) needOf(t *task) need {
	n := need{model: t.job.Model, minVersion: t.job.MinVersion, group: t.item.Group, avoid: t.avoid, avoidCentre: t.avoidCentre}
	config := s.registry.Config()
	if config == nil {
		return n
	}
	if route, found := config.Match(t.job.Host, t.item.Path); found {
		n.service = route.Pick(drawOf(t.item.ID))
	}
	if t.job.single && len(t.text.made) > 0 {
		n.exact = t.text.made[0]
	}
	return n
}

// drawOf spreads items over the services of a split route, each item always to
// the same one.
func drawOf(item string) float64 {
	const bits = 53 // those of a float64's mantissa
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

// coldRate is how many items a second a cold engine bears, zero for no limit.
func (s *session) coldRate(e *engine) float64 {
	config := s.registry.Config()
	if config == nil {
		return 0
	}
	return config.Services[e.entry.Service].ColdRate
}

// sendCold notes an item for a cold engine and when the next one may go.
func (s *session) sendCold(e *engine, now time.Time) {
	rate := s.coldRate(e)
	if rate <= 0 {
		return
	}
	e.coldFrom = now.Add(time.Duration(float64(time.Second) / rate))
	e.coldSent = slices.DeleteFunc(e.coldSent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	e.coldSent = append(e.coldSent, now)
	s.checks.Check(float64(len(e.coldSent)) <= rate+1, invariant.ColdRate, "engine", e.entry.ID, "sent", len(e.coldSent), "rate", rate)
}

// place starts waiting tasks, the most urgent first.
func (s *session) place(ctx context.Context, now time.Time) {
	var waiting []*task
	for _, j := range s.jobs {
		for _, t := range j.open {
			if !t.finished && t.run == nil && !now.Before(t.notBefore) {
				waiting = append(waiting, t)
			}
		}
	}
	byUrgency(waiting, now, medianPace(s.states))
	for _, t := range waiting {
		n := s.needOf(t)
		reserved := t.release()
		if n.service == "" {
			continue
		}
		if reserved != nil && reserved.fits(now, n) {
			s.start(ctx, t, reserved)
			continue
		}
		if e := choose(s.states, now, n); e != nil {
			s.start(ctx, t, e)
		}
	}
}
