// Package gateway serves callers: it decides who may ask what, where a plain
// request runs, and takes and reads batch jobs.
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
	"sesamepitch/src/quarantine"
	"sesamepitch/src/registry"

	"github.com/go-logr/logr"
)

const (
	// firstTryFraction of the time left goes to an idempotent request's first try,
	// so that another endpoint can still answer in time.
	firstTryFraction = 0.45
	// minTryTime is the least time that a try gets before it is given up.
	minTryTime = 250 * time.Millisecond
	// retrySoon is advised when another instance or a moment later may help.
	retrySoon = 100 * time.Millisecond
	// retryLater is advised when nothing is known to serve the request.
	retryLater = 400 * time.Millisecond
	// retryQuarantined is advised for a content that has crashed endpoints.
	retryQuarantined = 10 * time.Second
	// deadlineMargin is how long before the caller's deadline the answer is given.
	deadlineMargin = 15 * time.Millisecond
	// maxUnsent bounds tries that never reached an endpoint.
	maxUnsent = 4
)

var (
	errNoConfig       = errors.New("no configuration is known yet")
	errNoEndpointList = errors.New("the list of endpoints is not known yet")
	errNoRoute        = errors.New("no route matches")
	errNoKey          = errors.New("the key is missing or unknown")
	errNoEndpoint     = errors.New("no endpoint is available")
	errDeadline       = errors.New("the time is up")
	errQuarantined    = errors.New("the content crashes endpoints")
	errNotRollout     = errors.New("the route takes no batch jobs")
)

// Meter counts requests that began to run.
type Meter interface {
	// Count counts one request of a workspace that began at a time.
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
	// instances returns the number of instances that share what endpoints bear.
	instances func() int
	// notify tells the driver of a job that was accepted or ended.
	notify       func(batch.Header)
	connectivity sesamepitch.Connectivity
	// quarantine are the contents that have crashed endpoints.
	quarantine *quarantine.List

	mu        sync.Mutex
	endpoints map[string]*endpointState
}

// Option changes a gateway.
type Option func(*Gateway)

// WithChecks notes violated invariants.
func WithChecks(checks *invariant.Recorder) Option {
	return func(g *Gateway) { g.checks = checks }
}

// WithInstances tells the gateway how many instances share what cold endpoints
// bear; without it there is one.
func WithInstances(instances func() int) Option {
	return func(g *Gateway) { g.instances = instances }
}

// WithNotify has each job that was accepted or ended here told to the driver;
// notify must not block.
func WithNotify(notify func(batch.Header)) Option {
	return func(g *Gateway) { g.notify = notify }
}

// WithQuarantine shares the contents that crash endpoints with other instances.
func WithQuarantine(list *quarantine.List) Option {
	return func(g *Gateway) { g.quarantine = list }
}

// New returns a gateway of an instance in a data centre of a region.
func New(clock sesamepitch.Clock, log logr.Logger, reg *registry.Registry, forward sesamepitch.Forwarder, ledger *batch.Ledger, meter Meter, centre, region string, options ...Option) *Gateway {
	g := &Gateway{
		clock: clock, log: log, registry: reg, forward: forward, ledger: ledger, meter: meter,
		centre: centre, region: region, endpoints: map[string]*endpointState{},
		instances:    func() int { return 1 },
		notify:       func(batch.Header) {},
		connectivity: alwaysConnected{},
		quarantine:   quarantine.New(clock),
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Refusal is why a request gets no endpoint's answer. Its kind says whether
// the request has run: KindUnavailable and KindOverloaded promise that it has
// not and never will; KindUnknown and KindTimeout promise nothing.
type Refusal struct {
	Kind sesamepitch.Kind
	Err  error
	// After is when it is worth to come back, zero for no advice.
	After time.Duration
}

// Error formats kind and cause.
func (r *Refusal) Error() string { return sesamepitch.FormatError("gateway", r.Kind, r.Err) }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// ErrorKind returns the kind.
func (r *Refusal) ErrorKind() sesamepitch.Kind { return r.Kind }

// Admission is what a request may do.
type Admission struct {
	Route     registry.Route
	Workspace string
	// Config is the version of the configuration that allowed it.
	Config int64
}

// Ready tells whether this instance knows enough to serve.
func (g *Gateway) Ready() bool { return g.registry.Complete() }

// Limits returns what callers may send; zero while no configuration is known.
func (g *Gateway) Limits() registry.Limits {
	config := g.registry.Config()
	if config == nil {
		return registry.Limits{}
	}
	return config.Limits
}

// Admit finds the route of a request and the workspace of its key.
func (g *Gateway) Admit(host, path, key string) (Admission, error) {
	config := g.registry.Config()
	if config == nil {
		return Admission{}, &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoConfig, After: retrySoon}
	}
	route, found := config.Match(host, path)
	if !found {
		return Admission{}, &Refusal{Kind: sesamepitch.KindNotFound, Err: errNoRoute}
	}
	admission := Admission{Route: route, Config: config.Version}
	if route.Public || !config.NeedsKeys() {
		return admission, nil
	}
	workspace, err := g.AdmitKey(key)
	admission.Workspace = workspace
	return admission, err
}

// AdmitKey returns the workspace of a key.
func (g *Gateway) AdmitKey(key string) (string, error) {
	config := g.registry.Config()
	if config == nil {
		return "", &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoConfig, After: retrySoon}
	}
	if !config.NeedsKeys() {
		return "", nil
	}
	workspace, known := config.Workspace(key)
	if !known {
		return "", &Refusal{Kind: sesamepitch.KindDenied, Err: errNoKey}
	}
	return workspace, nil
}

// deadlineOf returns when a request's final answer is due; zero for never.
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

// Serve runs a plain request at an endpoint and returns its whole answer.
func (g *Gateway) Serve(ctx context.Context, admission Admission, request sesamepitch.Request) (sesamepitch.Answer, error) {
	d := g.newDispatch(admission, request)
	if !d.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.deadline.Sub(d.start))
		defer cancel()
	}
	answer, err := d.serve(ctx)
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
		"endpoint", d.endpoint.ID, "endpoint_row", d.endpoint.Revision, "crashes", d.crashes, "ms", g.clock.Now().Sub(d.start).Milliseconds(),
		"status", status,
	}
	if err != nil {
		notRun := sesamepitch.KindOf(err) == sesamepitch.KindUnavailable
		g.checks.Check(!notRun || !d.mayHaveRun, invariant.RefusalTrue, "request", d.request.ID, "tries", d.sent)
		fields = append(fields, "kind", string(sesamepitch.KindOf(err)), "cause", err.Error())
	}
	g.log.Info("request", fields...)
}
