package gateway

import (
	"context"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
)

// run is one plain request on its way through endpoints.
type run struct {
	gateway   *Gateway
	admission Admission
	request   sesamepitch.Request
	service   string
	// content is the fingerprint of what the caller would send again, crashes is
	// how many endpoints it has crashed as far as this instance knows.
	content string
	crashes int
	start   time.Time
	due     time.Time
	// sent counts the endpoints that were sent the request, unsent those that
	// could not be reached.
	sent, unsent int
	// mayHaveRun is set once an endpoint may have begun to work on it.
	mayHaveRun bool
	tried      map[string]bool
	last       registry.Endpoint
}

// serve tries endpoints until one has answered.
func (r *run) serve(ctx context.Context) (sesamepitch.Answer, error) {
	var failed sesamepitch.Answer
	var cause error
	for r.mayTry() {
		endpoint, found := r.gateway.choose(r.service, r.admission.Route, r.tried)
		if !found {
			break
		}
		answer, err := r.try(ctx, endpoint)
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
	return sesamepitch.Answer{}, r.refusal(ctx, cause)
}

func (r *run) mayTry() bool {
	if r.sent >= r.admission.Route.MaxAttempts || r.unsent >= unsentTries || r.isHeld() {
		return false
	}
	return !r.mayHaveRun || r.admission.Route.Kind == registry.Idempotent
}

// isHeld tells whether the content has crashed too many endpoints.
func (r *run) isHeld() bool {
	held, crashes := r.gateway.suspects.IsQuarantined(r.content)
	r.crashes = crashes
	return held
}

// judge notes whether an endpoint broke off while it ran the content.
func (r *run) judge(ctx context.Context, err error) {
	switch kind := sesamepitch.KindOf(err); {
	case kind == "" && r.crashes > 0:
		r.gateway.suspects.RecordAnswer(r.content)
	case (kind == sesamepitch.KindCrashed || kind == sesamepitch.KindUnknown) && ctx.Err() == nil:
		r.crashes = r.gateway.suspects.RecordCrash(r.content)
		r.gateway.log.Info("content suspected", "request", r.request.ID, "content", r.content, "endpoint", r.last.ID, "crashes", r.crashes)
	}
}

func (r *run) try(ctx context.Context, endpoint registry.Endpoint) (sesamepitch.Answer, error) {
	r.tried[endpoint.ID] = true
	r.last = endpoint
	ctx, cancel := context.WithTimeout(ctx, r.tryTime())
	defer cancel()
	request := r.request
	request.Workspace = r.admission.Workspace
	done := r.gateway.begin(endpoint)
	began := r.gateway.clock.Now()
	answer, err := r.gateway.forward.Forward(ctx, destination(endpoint), request)
	done(err)
	r.judge(ctx, err)
	r.note(began, err)
	return answer, err
}

// note keeps what a try's outcome says about whether the request has run.
func (r *run) note(began time.Time, err error) {
	kind := sesamepitch.KindOf(err)
	if kind == sesamepitch.KindUnavailable {
		r.unsent++
		return
	}
	r.sent++
	if kind == sesamepitch.KindOverloaded {
		return
	}
	r.mayHaveRun = true
	if kind == "" && r.admission.Workspace != "" {
		r.gateway.meter.Count(r.admission.Workspace, began)
	}
}

// tryTime is how long the next try may take: the first one of a request that
// may be repeated leaves time for another.
func (r *run) tryTime() time.Duration {
	if r.due.IsZero() {
		return time.Hour
	}
	left := r.due.Sub(r.gateway.clock.Now())
	lastTry := r.sent+1 >= r.admission.Route.MaxAttempts || r.admission.Route.Kind != registry.Idempotent
	if lastTry {
		return left
	}
	return max(time.Duration(float64(left)*firstTryShare), min(shortestTry, left))
}

func (r *run) refusal(ctx context.Context, cause error) error {
	// A try that may take all the time left can end just before the request does.
	timeIsUp := ctx.Err() != nil || sesamepitch.KindOf(cause) == sesamepitch.KindTimeout
	switch {
	case timeIsUp && r.mayHaveRun:
		return &Refusal{Kind: sesamepitch.KindTimeout, Err: errTimeIsUp}
	case r.mayHaveRun:
		return &Refusal{Kind: sesamepitch.KindUnknown, Err: cause}
	case r.isHeld():
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errHeld, After: comeBackHeld}
	case cause == nil && !r.gateway.registry.Complete():
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoList, After: comeBackSoon}
	case cause == nil:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoEndpoint, After: comeBackLater}
	default:
		return &Refusal{Kind: sesamepitch.KindUnavailable, Err: cause, After: comeBackSoon}
	}
}

func destination(e registry.Endpoint) sesamepitch.Destination {
	return sesamepitch.Destination{ID: e.ID, Address: e.Address}
}

// ServeStream runs a streaming request at one endpoint; it is sent elsewhere
// only while it surely has not run.
func (g *Gateway) ServeStream(ctx context.Context, admission Admission, request sesamepitch.Request, sink sesamepitch.StreamSink) error {
	r := g.newRun(admission, request)
	if !r.due.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.due.Sub(r.start))
		defer cancel()
	}
	err := r.stream(ctx, sink)
	g.logOutcome(r, 0, err)
	return err
}

func (r *run) stream(ctx context.Context, sink sesamepitch.StreamSink) error {
	var cause error
	request := r.request
	request.Workspace = r.admission.Workspace
	for r.mayTry() && !r.mayHaveRun {
		endpoint, found := r.gateway.choose(r.service, r.admission.Route, r.tried)
		if !found {
			break
		}
		r.tried[endpoint.ID] = true
		r.last = endpoint
		done := r.gateway.begin(endpoint)
		began := r.gateway.clock.Now()
		cause = r.gateway.forward.Stream(ctx, destination(endpoint), request, sink)
		done(cause)
		r.judge(ctx, cause)
		r.note(began, cause)
		if cause == nil {
			return nil
		}
	}
	return r.refusal(ctx, cause)
}
