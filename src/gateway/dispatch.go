package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"
)

// dispatch is a plain request and the state of its tries.
type dispatch struct {
	gateway   *Gateway
	admission Admission
	request   sesamepitch.Request
	service   string
	// content is the fingerprint of the request's content, crashes the number of
	// endpoints that content is known to have crashed. It is empty for a reward call,
	// which is not suspected.
	content  string
	crashes  int
	start    time.Time
	deadline time.Time
	// sent counts the tries that reached an endpoint, unsent those that did not.
	sent, unsent int
	// mayHaveRun is set once an endpoint may have started the request.
	mayHaveRun   bool
	tried        map[string]bool
	lastEndpoint registry.Endpoint
	// retryIn is the time after which an endpoint's rate may allow the request, zero
	// if it was not the rate that kept the last try from being sent.
	retryIn time.Duration
}

// try is one send of the request to an endpoint, and its outcome.
type try struct {
	endpoint registry.Endpoint
	began    time.Time
	answer   sesamepitch.Answer
	err      error
}

// isGood reports whether the try has an answer for the caller. A server error is
// only passed on if no other try has a better answer.
func (t try) isGood() bool { return t.err == nil && t.answer.Status < http.StatusInternalServerError }

// begin returns the context of a caller's request, which ends at its deadline, or refuses
// the request if the instance stops before.
func (d *dispatch) begin(ctx context.Context) (context.Context, context.CancelFunc, error) {
	deadline, err := d.gateway.stopping.limit(d.deadline)
	if err != nil {
		return ctx, func() {}, err
	}
	d.deadline = deadline
	ctx, done := d.gateway.stopping.untilStop(ctx)
	if deadline.IsZero() {
		return ctx, done, nil
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(d.start))
	return ctx, func() {
		cancel()
		done()
	}, nil
}

// serve tries endpoints until one has a good answer. An idempotent request that is
// late at one endpoint also goes to another one; the first good answer counts.
func (d *dispatch) serve(ctx context.Context) (sesamepitch.Answer, error) {
	tryCtx, cancel := context.WithCancel(ctx)
	tries := make(chan try)
	running := 0
	defer func() {
		cancel()
		for range running {
			late := <-tries
			d.record(tryCtx, late)
			late.answer.Release()
		}
	}()
	var failed sesamepitch.Answer
	var cause error
	for {
		if ctx.Err() == nil && d.mayTry(running) && d.startTry(tryCtx, tries, running) {
			running++
		}
		if running == 0 {
			break
		}
		select {
		case ended := <-tries:
			running--
			d.record(tryCtx, ended)
			if ended.isGood() {
				failed.Release()
				return ended.answer, nil
			}
			if ended.err == nil {
				failed.Release()
				failed = ended.answer
			}
			cause = ended.err
		case <-d.gateway.clock.After(d.patience()):
		}
	}
	if failed.Status != 0 {
		return failed, nil
	}
	return sesamepitch.Answer{}, d.refusal(ctx, cause)
}

// mayTry reports whether to send the request to another endpoint while running
// tries are under way.
func (d *dispatch) mayTry(running int) bool {
	if d.sent+running >= d.admission.Route.MaxAttempts || d.unsent >= maxUnsent || d.isQuarantined() {
		return false
	}
	return !d.mayHaveRun && running == 0 || d.admission.Route.Kind == registry.Idempotent
}

// patience returns how long an endpoint may work on the request before another one
// gets it, too.
func (d *dispatch) patience() time.Duration {
	route := d.admission.Route
	return d.gateway.latencyOf(route.Name).Patience(initialPatience(route), minPatience)
}

// initialPatience returns how long a request may wait at one point while nothing is
// known of how long the route's answers take.
func initialPatience(route registry.Route) time.Duration {
	if route.LatencyTarget <= 0 {
		return defaultPatience
	}
	return route.LatencyTarget / 2
}

// acquire returns an endpoint for the next try. Only a request without any try under
// way waits for an endpoint's rate to allow it.
func (d *dispatch) acquire(ctx context.Context, running int) (registry.Endpoint, bool) {
	c := choice{service: d.service, route: d.admission.Route, asked: d.start, tried: d.tried}
	if running == 0 {
		c.patience = d.limitPatience()
	}
	endpoint, retryIn, found := d.gateway.acquire(ctx, c)
	d.retryIn = retryIn
	return endpoint, found
}

// limitPatience returns how long the request may wait for an endpoint's rate to
// allow it: it still has to be answered in time.
func (d *dispatch) limitPatience() time.Duration {
	patience := initialPatience(d.admission.Route)
	if !d.deadline.IsZero() {
		patience = min(patience, d.deadline.Sub(d.gateway.clock.Now())/2)
	}
	return patience
}

// startTry sends the request to another endpoint, and reports whether there is
// one. The try's outcome is sent to tries.
func (d *dispatch) startTry(ctx context.Context, tries chan<- try, running int) bool {
	endpoint, found := d.acquire(ctx, running)
	if !found {
		return false
	}
	d.tried[endpoint.ID] = true
	done := d.gateway.trackRequest(endpoint)
	go func() { tries <- d.send(ctx, endpoint, done) }()
	return true
}

// send sends the request to an endpoint; done ends the tracking of the request at
// that endpoint.
func (d *dispatch) send(ctx context.Context, endpoint registry.Endpoint, done func(error)) try {
	request := d.request
	request.Workspace = d.admission.Workspace
	began := d.gateway.clock.Now()
	var answer sesamepitch.Answer
	err := supervisor.Guard(func() (err error) {
		answer, err = d.gateway.forward.Forward(ctx, d.admitted(endpoint), request)
		return err
	})
	done(err)
	return try{endpoint: endpoint, began: began, answer: answer, err: err}
}

// record counts a try and updates mayHaveRun, the quarantine and the usage from its
// outcome.
func (d *dispatch) record(ctx context.Context, t try) {
	d.lastEndpoint = t.endpoint
	d.reportContent(ctx, t.err)
	kind := sesamepitch.KindOf(t.err)
	if kind == sesamepitch.KindUnavailable {
		d.unsent++
		return
	}
	d.sent++
	if kind == sesamepitch.KindOverloaded {
		return
	}
	d.mayHaveRun = true
	if kind != "" {
		return
	}
	if t.isGood() {
		d.gateway.latencyOf(d.admission.Route.Name).Observe(d.gateway.clock.Now().Sub(t.began))
	}
	if d.admission.Workspace != "" {
		d.gateway.meter.Count(d.admission.Workspace, t.began)
	}
}

// isQuarantined reports whether the content is quarantined, and updates crashes.
func (d *dispatch) isQuarantined() bool {
	if d.content == "" {
		return false
	}
	quarantined, crashes := d.gateway.quarantine.IsQuarantined(d.content)
	d.crashes = crashes
	return quarantined
}

// reportContent records in the quarantine whether the last endpoint answered the
// content or failed while it ran it. A try that ended with ctx says nothing of the
// content.
func (d *dispatch) reportContent(ctx context.Context, err error) {
	switch kind := sesamepitch.KindOf(err); {
	case d.content == "":
	case kind == "" && d.crashes > 0:
		d.gateway.quarantine.RecordAnswer(d.content)
	case (kind == sesamepitch.KindCrashed || kind == sesamepitch.KindUnknown) && ctx.Err() == nil:
		d.crashes = d.gateway.quarantine.RecordCrash(d.content, process(d.lastEndpoint))
		d.gateway.log.Info("content suspected", "request", d.request.ID, "content", d.content, "endpoint", d.lastEndpoint.ID, "crashes", d.crashes, "cause", err.Error())
	}
}

func (d *dispatch) refusal(ctx context.Context, cause error) error {
	// The last try's timeout can expire just before the request's.
	expired := ctx.Err() != nil || sesamepitch.KindOf(cause) == sesamepitch.KindTimeout
	switch {
	case expired && d.mayHaveRun:
		return &Refusal{Kind: sesamepitch.KindTimeout, Err: errDeadline}
	case d.mayHaveRun:
		return &Refusal{Kind: sesamepitch.KindUnknown, Err: cause}
	case d.isQuarantined():
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errQuarantined, After: retryQuarantined}
	case cause == nil && !d.gateway.registry.Complete():
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoEndpointList, After: retrySoon}
	case cause == nil && d.retryIn > 0:
		// Spread, so that those who are refused now don't all come back at once.
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errLimited, After: d.retryIn + rand.N(d.retryIn)}
	case cause == nil:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoEndpoint, After: retryLater}
	default:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: cause, After: max(retrySoon, d.retryIn)}
	}
}

// process names an endpoint's process: an endpoint may restart under its ID.
func process(e registry.Endpoint) string { return fmt.Sprint(e.ID, "@", e.Born) }

// admitted returns the destination of the request, which the endpoint's rate allows.
func (d *dispatch) admitted(e registry.Endpoint) sesamepitch.Destination {
	to := destination(e)
	to.Admitted, to.Asked = true, d.start
	return to
}

func destination(e registry.Endpoint) sesamepitch.Destination {
	return sesamepitch.Destination{ID: e.ID, Address: e.Address, Born: e.Born}
}
