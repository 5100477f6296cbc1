package driver

import (
	"context"
	"errors"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/invariant"

	"github.com/go-logr/logr"
)

const (
	// loadPollInterval is the time between polls of an engine that loads
	// weights.
	loadPollInterval = 200 * time.Millisecond
	// firstPollDelay is the time from an order to the first poll.
	firstPollDelay = 1000 * time.Millisecond
	// initialLoadTime is the expected load time before the first probe. Each
	// probe then shrinks or grows the expected time, within minLoadTime and
	// maxLoadTime.
	initialLoadTime = time.Second
	minLoadTime     = 100 * time.Millisecond
	maxLoadTime     = 5 * time.Second
	loadTimeShrink  = 0.98
	loadTimeGrow    = 1.05
	// probeInterval is the time from a failed probe to the next one.
	probeInterval = 50 * time.Millisecond
	// loadTimeout is how long an engine may load until the order counts as
	// failed.
	loadTimeout = 8 * time.Second
	// orderRetryDelay is the time after which an unanswered order is repeated.
	orderRetryDelay = 1500 * time.Millisecond
	// maxReportAge is the greatest age of an engine's report.
	maxReportAge = 600 * time.Millisecond
	// controlPatience is how long an order or a poll may wait for an engine's rate to
	// allow it: it goes before items, which need the weights.
	controlPatience = 1500 * time.Millisecond
	// limitedPollFactor times the mean time between two requests that an engine's
	// rate allows is the least time between polls, so that items get the rest.
	limitedPollFactor = 4
	// closedConnectionTime is the time within which an order fails on a
	// kept-alive connection that the engine had closed.
	closedConnectionTime = 150 * time.Millisecond
)

// loader orders engines to load weights and polls them until they have.
type loader struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	control sesamepitch.EngineControl
	limits  sesamepitch.RateLimiter
	lease   sesamepitch.LeaseHolder
	holder  string
	epoch   int64
	checks  *invariant.Recorder

	mu sync.Mutex
	// ordered counts the orders by model and version.
	ordered map[loadOrder]int
	// loadTime is the expected duration of a load.
	loadTime time.Duration
}

// recordProbe adjusts the expected load time to whether a probe found the
// weights loaded.
func (l *loader) recordProbe(loaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loaded {
		l.loadTime = max(time.Duration(loadTimeShrink*float64(l.loadTime)), minLoadTime)
		return
	}
	l.loadTime = min(time.Duration(loadTimeGrow*float64(l.loadTime)), maxLoadTime)
}

func (l *loader) expectedLoadTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadTime
}

func newLoader(clock sesamepitch.Clock, log logr.Logger, control sesamepitch.EngineControl, limits sesamepitch.RateLimiter, lease sesamepitch.LeaseHolder, holder string, epoch int64, checks *invariant.Recorder) *loader {
	return &loader{clock: clock, log: log, control: control, limits: limits, lease: lease, holder: holder, epoch: epoch, checks: checks, ordered: map[loadOrder]int{}, loadTime: initialLoadTime}
}

// orderCounts returns how many loads of each model's newest version were
// ordered.
func (l *loader) orderCounts(newest map[string]int64) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for model, version := range newest {
		counts[model] = l.ordered[loadOrder{model: model, version: version}]
	}
	return counts
}

// mayOrder reports whether an order sent now arrives before the lease expires.
func (l *loader) mayOrder() bool {
	epoch, ok := l.lease.MayCall()
	return ok && epoch == l.epoch
}

// begin starts one load. The caller holds the session's mutex.
func (l *loader) begin(ctx context.Context, s *session, e *engine, order loadOrder) {
	if !l.mayOrder() {
		return
	}
	e.beginLoad(order.model, order.version)
	e.loadingSince = l.clock.Now()
	l.mu.Lock()
	l.ordered[loadOrder{model: order.model, version: order.version}]++
	l.mu.Unlock()
	to := e.destination()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		loaded := false
		s.guard("load of weights", func() { loaded = l.execute(ctx, s, e, to, order) })
		s.endLoad(e, order, loaded)
	}()
}

// endLoad records the outcome of an order.
func (s *session) endLoad(e *engine, order loadOrder, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	e.endLoad()
	if loaded {
		e.mergeVersions(map[string]int64{order.model: order.version})
		return
	}
	e.suspectedUntil = s.clock.Now().Add(suspectedTime)
}

// isLoaded reports whether the weights are known to be loaded, for example from
// a probe.
func (s *session) isLoaded(e *engine, order loadOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.versions[order.model] >= order.version
}

// orderAccepted records that the engine accepted an order and when the weights
// are expected to be loaded.
func (s *session) orderAccepted(e *engine, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.orders.accepted(s.clock.Now())
	if e.loadingModel != "" {
		e.readyAt = at
	}
}

// acceptedOrders returns how many orders an engine has accepted; known is false
// until the engine has reported its count.
func (s *session) acceptedOrders(e *engine) (count int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.orders.count, e.orders.known
}

// execute sends an order until the engine accepts it and polls until the
// weights are loaded. It reports whether they are.
func (l *loader) execute(ctx context.Context, s *session, e *engine, to sesamepitch.Destination, order loadOrder) bool {
	started := l.clock.Now()
	if _, known := s.acceptedOrders(e); !known {
		report, err := l.report(ctx, to)
		if err != nil {
			l.log.Info("engine report not available", "engine", to.ID, "cause", err.Error())
			return false
		}
		s.applyReport(e, report)
	}
	var sent delivery
	for l.clock.Now().Sub(started) < loadTimeout && ctx.Err() == nil {
		if sent.isDue(l.clock.Now()) {
			admitted, found := l.admit(ctx, to)
			if !found {
				return false
			}
			if !l.mayOrder() {
				return false
			}
			if holds := l.deliver(ctx, s, e, admitted, order, &sent); holds {
				return true
			}
		}
		l.wait(ctx, max(sent.pollDelay(l.clock.Now()), limitedPollFactor*l.limits.Interval(to)))
		if s.isLoaded(e, order) {
			l.log.Info("weights loaded", "engine", to.ID, "model", order.model, "version", order.version, "by", "item")
			return true
		}
		report, err := l.report(ctx, to)
		if err != nil {
			l.log.Info("engine report not available", "engine", to.ID, "cause", err.Error())
			continue
		}
		s.applyReport(e, report)
		if report.Versions[order.model] >= order.version {
			l.log.Info("weights loaded", "engine", to.ID, "model", order.model, "version", order.version, "by", "report",
				"ms", l.clock.Now().Sub(started).Milliseconds())
			return true
		}
		sent.reported(report.Busy, l.clock.Now())
	}
	l.log.Info("weights not loaded", "engine", to.ID, "model", order.model, "version", order.version,
		"ms", l.clock.Now().Sub(started).Milliseconds())
	return false
}

// admit returns the destination of a control request that the engine's rate allows,
// and whether there is one within controlPatience.
func (l *loader) admit(ctx context.Context, to sesamepitch.Destination) (sesamepitch.Destination, bool) {
	retryIn, admitted := l.limits.Take(ctx, to, controlPatience)
	if !admitted {
		l.log.Info("engine's rate allows no control request", "engine", to.ID, "retry_in_ms", retryIn.Milliseconds())
	}
	to.Admitted = admitted
	return to, admitted
}

// report requests an engine's state.
func (l *loader) report(ctx context.Context, to sesamepitch.Destination) (sesamepitch.EngineReport, error) {
	to, admitted := l.admit(ctx, to)
	if !admitted {
		return sesamepitch.EngineReport{}, &Error{Op: "driver.report", Kind: sesamepitch.KindUnavailable, Err: errLimited}
	}
	return l.control.Report(ctx, to)
}

var errLimited = errors.New("the engine's rate allows no request now")

// deliver sends an order once and records the outcome; holds reports that the
// engine already has the weights.
func (l *loader) deliver(ctx context.Context, s *session, e *engine, to sesamepitch.Destination, order loadOrder, sent *delivery) (holds bool) {
	sentAt := l.clock.Now()
	sent.sentAt = sentAt
	after, _ := s.acceptedOrders(e)
	holds, err := l.send(ctx, to, order, after)
	switch {
	case holds:
	case err == nil:
		sent.accepted = true
		s.orderAccepted(e, sentAt.Add(l.expectedLoadTime()))
	case sesamepitch.KindOf(err) == sesamepitch.KindConflict:
		sent.sentAt = time.Time{} // the next report has the count to send again with
	case l.clock.Now().Sub(sentAt) < closedConnectionTime:
		sent.retryOnce()
	}
	return holds
}

// send sends an order once and reports whether the engine already has the
// weights.
func (l *loader) send(ctx context.Context, to sesamepitch.Destination, order loadOrder, after int64) (bool, error) {
	_, until, _ := l.lease.Held()
	l.checks.Check(l.clock.Now().Before(until), invariant.OrderUnderLease, "engine", to.ID, "fence", l.epoch, "until", until)
	holds, err := l.control.Order(ctx, to, sesamepitch.WeightOrder{
		Model: order.model, Version: order.version, Holder: l.holder, Fence: l.epoch, After: after,
	})
	l.log.Info("weights ordered", "engine", to.ID, "model", order.model, "version", order.version, "fence", l.epoch,
		"after", after, "kind", string(sesamepitch.KindOf(err)), "holds", holds, "cause", causeOf(err))
	return holds, err
}

func (l *loader) wait(ctx context.Context, d time.Duration) {
	select {
	case <-l.clock.After(d):
	case <-ctx.Done():
	}
}

// applyReport applies an engine's own report of its versions and orders.
func (s *session) applyReport(e *engine, report sesamepitch.EngineReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.mergeVersions(report.Versions)
	e.orders.reported(report.Orders, s.clock.Now())
}
