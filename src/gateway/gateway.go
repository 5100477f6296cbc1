// Package gateway serves callers: it admits requests, sends plain requests to
// endpoints, and accepts, reads and ends batch jobs.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/invariant"
	"sesamepitch/src/latency"
	"sesamepitch/src/memory"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/registry"

	"github.com/go-logr/logr"
)

const (
	// defaultPatience is how long an endpoint may work on an idempotent request
	// before another one gets it, too, while neither answers nor the route's latency
	// target tell; minPatience is above the delays of a busy instance.
	defaultPatience = 250 * time.Millisecond
	minPatience     = 40 * time.Millisecond
	// retrySoon is the advised delay when another instance can probably serve the
	// request, or this one shortly.
	retrySoon = 100 * time.Millisecond
	// retryLater is the advised delay when no endpoint or store can serve the request.
	retryLater = 400 * time.Millisecond
	// retryQuarantined is the advised delay for quarantined content.
	retryQuarantined = 10 * time.Second
	// deadlineMargin is how long before the deadline the final answer is given.
	deadlineMargin = 15 * time.Millisecond
	// maxUnsent is the maximum number of tries per request that reach no endpoint.
	maxUnsent = 4
)

var (
	errNoConfig       = errors.New("no configuration loaded yet")
	errPaused         = errors.New("the process was paused and has not read the configuration again")
	errNoEndpointList = errors.New("endpoint list not loaded yet")
	errNoRoute        = errors.New("no route matches the host and path")
	errNoKey          = errors.New("missing or unknown API key")
	errNoEndpoint     = errors.New("no endpoint available")
	errLimited        = errors.New("the endpoints take no more requests now")
	errDeadline       = errors.New("request deadline exceeded")
	errQuarantined    = errors.New("content is quarantined after crashing endpoints")
	errNotRollout     = errors.New("route does not accept batch jobs")
)

// Meter counts the requests that endpoints answered.
type Meter interface {
	// Count adds one request of a workspace, sent at began.
	Count(workspace string, began time.Time)
}

// Gateway serves callers' requests.
type Gateway struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	registry *registry.Registry
	forward  sesamepitch.Forwarder
	ledger   *batch.Ledger
	meter    Meter
	centre   string
	region   string
	checks   *invariant.Recorder
	// notify passes the header of an accepted or ended job to the driver.
	notify       func(batch.Header)
	connectivity sesamepitch.Connectivity
	// isFresh reports whether the configuration may decide about callers.
	isFresh func() bool
	// quarantine lists the contents that have crashed endpoints.
	quarantine *quarantine.List
	limits     sesamepitch.RateLimiter
	stopping   *stopping
	pages      pages

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// latencies are those of good answers, by route.
	latencies map[string]*latency.Window
}

// latencyOf returns the latencies of a route's answers.
func (g *Gateway) latencyOf(route string) *latency.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.latencies[route]
	if window == nil {
		window = &latency.Window{}
		g.latencies[route] = window
	}
	return window
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithChecks sets the recorder of invariant violations.
func WithChecks(checks *invariant.Recorder) Option {
	return func(g *Gateway) { g.checks = checks }
}

// WithNotify sets the function that passes each accepted or ended job to the
// driver; notify must not block.
func WithNotify(notify func(batch.Header)) Option {
	return func(g *Gateway) { g.notify = notify }
}

// WithQuarantine sets the list of crashing contents, which other instances share.
func WithQuarantine(list *quarantine.List) Option {
	return func(g *Gateway) { g.quarantine = list }
}

// WithRateLimiter sets what admits requests to endpoints whose rate is limited;
// without it none is.
func WithRateLimiter(limits sesamepitch.RateLimiter) Option {
	return func(g *Gateway) { g.limits = limits }
}

// New returns a Gateway for an instance in a data centre of a region.
func New(clock sesamepitch.Clock, log logr.Logger, reg *registry.Registry, forward sesamepitch.Forwarder, ledger *batch.Ledger, meter Meter, centre, region string, options ...Option) *Gateway {
	g := &Gateway{
		clock: clock, log: log, registry: reg, forward: forward, ledger: ledger, meter: meter,
		centre: centre, region: region, endpoints: map[string]*endpointState{}, latencies: map[string]*latency.Window{},
		notify:       func(batch.Header) {},
		connectivity: reachable{},
		isFresh:      func() bool { return true },
		quarantine:   quarantine.New(clock),
		limits:       sesamepitch.OpenGate{},
		stopping:     newStopping(),
		pages:        newPages(memory.NewShare("answers", defaultPageMemory)),
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// WithFreshness sets the function that reports whether the configuration may
// decide about callers: not after a pause of the process, until it is read again.
func WithFreshness(isFresh func() bool) Option {
	return func(g *Gateway) { g.isFresh = isFresh }
}

// Refusal is the error of a request that no endpoint has answered. Its kind says
// whether the request has run: KindUnavailable and KindOverloaded guarantee that
// it has not and will not; KindUnknown and KindTimeout guarantee nothing.
type Refusal struct {
	Kind sesamepitch.Kind
	Err  error
	// After is the advised delay before a retry; zero for none.
	After time.Duration
}

// RefuseWithoutMemory returns the refusal of a request for which there is no memory here.
func RefuseWithoutMemory(cause error) error {
	return &Refusal{Kind: sesamepitch.KindUnavailable, Err: cause, After: retryLater}
}

// Error formats kind and cause.
func (r *Refusal) Error() string { return sesamepitch.FormatError("gateway", r.Kind, r.Err) }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// ErrorKind returns the kind.
func (r *Refusal) ErrorKind() sesamepitch.Kind { return r.Kind }

// Admission is the route and workspace under which a request is admitted.
type Admission struct {
	Route     registry.Route
	Workspace string
	// Config is the version of the configuration that admitted the request.
	Config int64
}

// Ready reports whether the configuration and the endpoint list are loaded.
func (g *Gateway) Ready() bool { return g.registry.Complete() }

// Limits returns the limits of callers' requests; zero while no configuration
// is loaded.
func (g *Gateway) Limits() registry.Limits {
	config := g.registry.Config()
	if config == nil {
		return registry.Limits{}
	}
	return config.Limits
}

// Admit returns the route of a request and the workspace of its key.
func (g *Gateway) Admit(host, path, key string) (Admission, error) {
	config, err := g.freshConfig()
	if err != nil {
		return Admission{}, err
	}
	route, found := config.Match(host, path)
	if !found {
		return Admission{}, &Refusal{Kind: sesamepitch.KindNotFound, Err: errNoRoute}
	}
	admission := Admission{Route: route, Config: config.Version}
	if route.Public || !config.NeedsKeys() {
		return admission, nil
	}
	admission.Workspace, err = workspaceOf(config, key)
	return admission, err
}

// AdmitKey returns the workspace of a key.
func (g *Gateway) AdmitKey(key string) (string, error) {
	config, err := g.freshConfig()
	if err != nil {
		return "", err
	}
	return workspaceOf(config, key)
}

// freshConfig returns the configuration that decides about callers.
func (g *Gateway) freshConfig() (*registry.Config, error) {
	config := g.registry.Config()
	if config == nil {
		return nil, &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoConfig, After: retrySoon}
	}
	if !g.isFresh() {
		return nil, &Refusal{Kind: sesamepitch.KindUnavailable, Err: errPaused, After: retrySoon}
	}
	return config, nil
}

// workspaceOf returns the workspace of a key, none if no keys are needed.
func workspaceOf(config *registry.Config, key string) (string, error) {
	if !config.NeedsKeys() {
		return "", nil
	}
	workspace, found := config.Workspace(key)
	if !found {
		return "", &Refusal{Kind: sesamepitch.KindDenied, Err: errNoKey}
	}
	return workspace, nil
}

// deadlineOf returns when a request must have its final answer: the earlier of
// the caller's deadline and the route's timeout, less deadlineMargin. Zero means
// no deadline.
func deadlineOf(now time.Time, route registry.Route, request sesamepitch.Request) time.Time {
	deadline := request.Deadline
	if route.Timeout > 0 {
		if limit := now.Add(route.Timeout); deadline.IsZero() || limit.Before(deadline) {
			deadline = limit
		}
	}
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-deadlineMargin)
}

// Serve sends a plain request to an endpoint and returns the complete answer.
func (g *Gateway) Serve(ctx context.Context, admission Admission, request sesamepitch.Request) (sesamepitch.Answer, error) {
	d := g.newDispatch(admission, request)
	ctx, done, err := d.begin(ctx)
	defer done()
	var answer sesamepitch.Answer
	if err == nil {
		answer, err = d.serve(ctx)
	}
	g.logOutcome(d, answer.Status, err)
	return answer, err
}

func (g *Gateway) newDispatch(admission Admission, request sesamepitch.Request) *dispatch {
	now := g.clock.Now()
	return &dispatch{
		gateway: g, admission: admission, request: request, start: now,
		deadline: deadlineOf(now, admission.Route, request),
		service:  admission.Route.Pick(rand.Float64()),
		content:  quarantine.Fingerprint(admission.Workspace, request.URI, request.Body),
		tried:    map[string]bool{},
	}
}

func (g *Gateway) logOutcome(d *dispatch, status int, err error) {
	fields := []any{
		"request", d.request.ID, "route", d.admission.Route.Name, "workspace", d.admission.Workspace,
		"config", d.admission.Config, "service", d.service, "tries", d.sent, "unsent", d.unsent,
		"endpoint", d.lastEndpoint.ID, "endpoint_row", d.lastEndpoint.Revision, "crashes", d.crashes, "ms", g.clock.Now().Sub(d.start).Milliseconds(),
		"status", status,
	}
	if err != nil {
		notRun := sesamepitch.KindOf(err) == sesamepitch.KindUnavailable
		g.checks.Check(!notRun || !d.mayHaveRun, invariant.RefusalTrue, "request", d.request.ID, "tries", d.sent)
		fields = append(fields, "kind", string(sesamepitch.KindOf(err)), "cause", err.Error())
	}
	g.log.Info("request", fields...)
}
