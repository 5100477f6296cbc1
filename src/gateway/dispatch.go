package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
)

// dispatch is a plain request and the state of its tries.
type dispatch struct {
	gateway   *Gateway
	admission Admission
	request   sesamepitch.Request
	service   string
	// content is the fingerprint of the request's content, crashes the number of
	// endpoints that content is known to have crashed.
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
}

// serve tries endpoints until one answers without a server error. A server error
// is returned if no other try succeeds.
func (d *dispatch) serve(ctx context.Context) (sesamepitch.Answer, error) {
	var failed sesamepitch.Answer
	var cause error
	for d.mayTry() {
		endpoint, found := d.gateway.choose(choice{service: d.service, route: d.admission.Route, tried: d.tried})
		if !found {
			break
		}
		answer, err := d.try(ctx, endpoint)
		if err == nil && answer.Status < http.StatusInternalServerError {
			return answer, nil
		}
		if err == nil {
			failed = answer
		}
		cause = err
		if ctx.Err() != nil {
			break
		}
	}
	if failed.Status != 0 {
		return failed, nil
	}
	return sesamepitch.Answer{}, d.refusal(ctx, cause)
}

func (d *dispatch) mayTry() bool {
	if d.sent >= d.admission.Route.MaxAttempts || d.unsent >= maxUnsent || d.isQuarantined() {
		return false
	}
	return !d.mayHaveRun || d.admission.Route.Kind == registry.Idempotent
}

// isQuarantined reports whether the content is quarantined, and updates crashes.
func (d *dispatch) isQuarantined() bool {
	quarantined, crashes := d.gateway.quarantine.IsQuarantined(d.content)
	d.crashes = crashes
	return quarantined
}

// reportContent records in the quarantine whether an endpoint answered the content
// or failed while it ran it. A try that ended with ctx says nothing of the content.
func (d *dispatch) reportContent(ctx context.Context, err error) {
	switch kind := sesamepitch.KindOf(err); {
	case kind == "" && d.crashes > 0:
		d.gateway.quarantine.RecordAnswer(d.content)
	case (kind == sesamepitch.KindCrashed || kind == sesamepitch.KindUnknown) && ctx.Err() == nil:
		d.crashes = d.gateway.quarantine.RecordCrash(d.content, process(d.lastEndpoint))
		d.gateway.log.Info("content suspected", "request", d.request.ID, "content", d.content, "endpoint", d.lastEndpoint.ID, "crashes", d.crashes)
	}
}

func (d *dispatch) try(ctx context.Context, endpoint registry.Endpoint) (sesamepitch.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, d.tryTime())
	defer cancel()
	return d.send(ctx, endpoint, d.gateway.trackRequest(endpoint))
}

// send sends the request to an endpoint and records the outcome; done ends the
// tracking of the request at that endpoint.
func (d *dispatch) send(ctx context.Context, endpoint registry.Endpoint, done func(error)) (sesamepitch.Answer, error) {
	d.tried[endpoint.ID] = true
	d.lastEndpoint = endpoint
	request := d.request
	request.Workspace = d.admission.Workspace
	began := d.gateway.clock.Now()
	answer, err := d.gateway.forward.Forward(ctx, destination(endpoint), request)
	done(err)
	d.reportContent(ctx, err)
	d.recordOutcome(began, err)
	return answer, err
}

// recordOutcome counts a try and updates mayHaveRun from its outcome.
func (d *dispatch) recordOutcome(began time.Time, err error) {
	kind := sesamepitch.KindOf(err)
	if kind == sesamepitch.KindUnavailable {
		d.unsent++
		return
	}
	d.sent++
	if kind == sesamepitch.KindOverloaded {
		return
	}
	d.mayHaveRun = true
	if kind == "" && d.admission.Workspace != "" {
		d.gateway.meter.Count(d.admission.Workspace, began)
	}
}

// tryTime returns the timeout of the next try. A try that may be repeated leaves
// time for another.
func (d *dispatch) tryTime() time.Duration {
	if d.deadline.IsZero() {
		return time.Hour
	}
	left := d.deadline.Sub(d.gateway.clock.Now())
	lastTry := d.sent+1 >= d.admission.Route.MaxAttempts || d.admission.Route.Kind != registry.Idempotent
	if lastTry {
		return left
	}
	return max(time.Duration(float64(left)*firstTryFraction), min(minTryTime, left))
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
	case cause == nil:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoEndpoint, After: retryLater}
	default:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: cause, After: retrySoon}
	}
}

// process names an endpoint's process: an endpoint may restart under its ID.
func process(e registry.Endpoint) string { return fmt.Sprint(e.ID, "@", e.Born) }

func destination(e registry.Endpoint) sesamepitch.Destination {
	return sesamepitch.Destination{ID: e.ID, Address: e.Address}
}

// ServeStream sends a streaming request to an endpoint. It tries another one only
// as long as the request cannot have run.
func (g *Gateway) ServeStream(ctx context.Context, admission Admission, request sesamepitch.Request, sink sesamepitch.StreamSink) error {
	d := g.newDispatch(admission, request)
	if !d.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.deadline.Sub(d.start))
		defer cancel()
	}
	err := d.stream(ctx, sink)
	g.logOutcome(d, 0, err)
	return err
}

func (d *dispatch) stream(ctx context.Context, sink sesamepitch.StreamSink) error {
	var cause error
	request := d.request
	request.Workspace = d.admission.Workspace
	for d.mayTry() && !d.mayHaveRun {
		endpoint, found := d.gateway.choose(choice{service: d.service, route: d.admission.Route, tried: d.tried})
		if !found {
			break
		}
		d.tried[endpoint.ID] = true
		d.lastEndpoint = endpoint
		done := d.gateway.trackRequest(endpoint)
		began := d.gateway.clock.Now()
		cause = d.gateway.forward.Stream(ctx, destination(endpoint), request, sink)
		done(cause)
		d.reportContent(ctx, cause)
		d.recordOutcome(began, cause)
		if cause == nil {
			return nil
		}
	}
	return d.refusal(ctx, cause)
}
