package driver

import (
	"context"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/invariant"

	"github.com/go-logr/logr"
)

const (
	// loadPoll is the time between looks at an engine that loads weights.
	loadPoll = 200 * time.Millisecond
	// firstLook is the time from an order to the first look.
	firstLook = 1000 * time.Millisecond
	// firstUsual is how long a load is expected to take before any was seen;
	// the others bound and adapt that.
	firstUsual  = time.Second
	leastUsual  = 100 * time.Millisecond
	mostUsual   = 5 * time.Second
	usualShrink = 0.98
	usualGrow   = 1.05
	// scoutPause is the time after which another item may try.
	scoutPause = 50 * time.Millisecond
	// loadLimit is how long an engine may load before it is looked at as free.
	loadLimit = 8 * time.Second
	// orderAgain is the time after which an order without an answer is repeated.
	orderAgain = 1500 * time.Millisecond
	// reportLag is how old an engine's report may be.
	reportLag = 600 * time.Millisecond
	// brokenTime is within which an order fails whose kept connection the engine
	// had closed.
	brokenTime = 150 * time.Millisecond
	// leaseLead is how long the lease must still last for an order to go.
	leaseLead = 600 * time.Millisecond
)

// loader gives engines orders to load weights and watches them.
type loader struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	control sesamepitch.EngineControl
	lease   sesamepitch.LeaseHolder
	holder  string
	epoch   int64
	checks  *invariant.Recorder

	mu sync.Mutex
	// loads counts the orders by model and version.
	loads map[load]int
	// usual is how long a load is expected to take.
	usual time.Duration
}

// scouted takes into account whether weights were loaded when an item tried.
func (l *loader) scouted(loaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loaded {
		l.usual = max(time.Duration(usualShrink*float64(l.usual)), leastUsual)
		return
	}
	l.usual = min(time.Duration(usualGrow*float64(l.usual)), mostUsual)
}

func (l *loader) usualTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usual
}

func newLoader(clock sesamepitch.Clock, log logr.Logger, control sesamepitch.EngineControl, lease sesamepitch.LeaseHolder, holder string, epoch int64, checks *invariant.Recorder) *loader {
	return &loader{clock: clock, log: log, control: control, lease: lease, holder: holder, epoch: epoch, checks: checks, loads: map[load]int{}, usual: firstUsual}
}

// counts returns how many loads of each model's named version were ordered.
func (l *loader) counts(named map[string]int64) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for model, version := range named {
		counts[model] = l.loads[load{model: model, version: version}]
	}
	return counts
}

// mayOrder tells whether an order that goes now arrives under the lease.
func (l *loader) mayOrder() bool {
	epoch, until, held := l.lease.Held()
	return held && epoch == l.epoch && until.Sub(l.clock.Now()) > leaseLead
}

// begin orders one load; it needs the session's mutex.
func (l *loader) begin(ctx context.Context, s *session, e *engine, order load) {
	if !l.mayOrder() {
		return
	}
	e.beginLoad(order.model, order.version)
	l.mu.Lock()
	l.loads[load{model: order.model, version: order.version}]++
	l.mu.Unlock()
	to := sesamepitch.Destination{ID: e.entry.ID, Address: e.entry.Address}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		loaded := l.carryOut(ctx, s, e, to, order)
		s.endLoad(e, order, loaded)
	}()
}

// endLoad takes the outcome of an order.
func (s *session) endLoad(e *engine, order load, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	e.endLoad()
	if loaded {
		e.learn(map[string]int64{order.model: order.version})
		return
	}
	e.suspectUntil = s.clock.Now().Add(suspectTime)
}

// isLoaded tells whether an item has found the weights loaded.
func (s *session) isLoaded(e *engine, order load) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.versions[order.model] >= order.version
}

// accepted notes that the engine took an order and when the weights are expected
// to be loaded.
func (s *session) accepted(e *engine, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.orders.accepted(s.clock.Now())
	if e.loading != "" {
		e.readyAt = at
	}
}

// ordersOf returns how many orders an engine has accepted; known is false before
// it was asked.
func (s *session) ordersOf(e *engine) (count int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.orders.count, e.orders.known
}

// carryOut sends an order until it is accepted and waits until it is done.
func (l *loader) carryOut(ctx context.Context, s *session, e *engine, to sesamepitch.Destination, order load) bool {
	started := l.clock.Now()
	if _, known := s.ordersOf(e); !known {
		report, err := l.control.Report(ctx, to)
		if err != nil {
			l.log.Info("engine gives no report", "engine", to.ID, "cause", err.Error())
			return false
		}
		s.learnReport(e, report)
	}
	var progress delivery
	for l.clock.Now().Sub(started) < loadLimit && ctx.Err() == nil {
		if progress.isDue(l.clock.Now()) {
			if !l.mayOrder() {
				return false
			}
			if holds := l.deliver(ctx, s, e, to, order, &progress); holds {
				return true
			}
		}
		l.pause(ctx, progress.pause(l.clock.Now()))
		if s.isLoaded(e, order) {
			l.log.Info("weights loaded", "engine", to.ID, "model", order.model, "version", order.version, "by", "item")
			return true
		}
		report, err := l.control.Report(ctx, to)
		if err != nil {
			l.log.Info("engine gives no report", "engine", to.ID, "cause", err.Error())
			continue
		}
		s.learnReport(e, report)
		if report.Versions[order.model] >= order.version {
			l.log.Info("weights loaded", "engine", to.ID, "model", order.model, "version", order.version, "by", "report",
				"ms", l.clock.Now().Sub(started).Milliseconds())
			return true
		}
		progress.reported(report.Busy, l.clock.Now())
	}
	l.log.Info("weights not loaded", "engine", to.ID, "model", order.model, "version", order.version,
		"ms", l.clock.Now().Sub(started).Milliseconds())
	return false
}

// deliver sends an order once and notes its outcome; holds tells that the
// engine has the weights already.
func (l *loader) deliver(ctx context.Context, s *session, e *engine, to sesamepitch.Destination, order load, progress *delivery) (holds bool) {
	sentAt := l.clock.Now()
	progress.sentAt = sentAt
	after, _ := s.ordersOf(e)
	holds, err := l.send(ctx, to, order, after)
	switch {
	case holds:
	case err == nil:
		progress.accepted = true
		s.accepted(e, sentAt.Add(l.usualTime()))
	case sesamepitch.KindOf(err) == sesamepitch.KindConflict:
		progress.sentAt = time.Time{} // the report tells with which count to send again
	case l.clock.Now().Sub(sentAt) < brokenTime:
		progress.broke()
	}
	return holds
}

// send sends an order once.
func (l *loader) send(ctx context.Context, to sesamepitch.Destination, order load, after int64) (bool, error) {
	_, until, _ := l.lease.Held()
	l.checks.Check(l.clock.Now().Before(until), invariant.OrderUnderLease, "engine", to.ID, "fence", l.epoch, "until", until)
	holds, err := l.control.Order(ctx, to, sesamepitch.WeightOrder{
		Model: order.model, Version: order.version, Holder: l.holder, Fence: l.epoch, After: after,
	})
	l.log.Info("weights ordered", "engine", to.ID, "model", order.model, "version", order.version, "fence", l.epoch,
		"after", after, "kind", string(sesamepitch.KindOf(err)), "holds", holds, "cause", causeOf(err))
	return holds, err
}

func (l *loader) pause(ctx context.Context, d time.Duration) {
	select {
	case <-l.clock.After(d):
	case <-ctx.Done():
	}
}

// learnReport takes over what an engine says of itself.
func (s *session) learnReport(e *engine, report sesamepitch.EngineReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.learn(report.Versions)
	e.orders.reported(report.Orders, s.clock.Now())
}
