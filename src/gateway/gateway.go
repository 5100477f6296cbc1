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
	// firstTryShare of the time left goes to an idempotent request's first try,
	// so that another endpoint can still answer in time.
	firstTryShare = 0.45
	// shortestTry is the least time that a try gets before it is given up.
	shortestTry = 250 * time.Millisecond
	// comeBackSoon is advised when another instance or a moment later may help.
	comeBackSoon = 100 * time.Millisecond
	// comeBackLater is advised when nothing is known to serve the request.
	comeBackLater = 400 * time.Millisecond
	// comeBackHeld is advised for a content that has crashed endpoints.
	comeBackHeld = 10 * time.Second
	// timeoutLead is how long before the caller's deadline the answer is given.
	timeoutLead = 15 * time.Millisecond
	// unsentTries bounds tries that never reached an endpoint.
	unsentTries = 4
)

var (
	errNoConfig   = errors.New("no configuration is known yet")
	errNoList     = errors.New("the list of endpoints is not known yet")
	errNoRoute    = errors.New("no route matches")
	errNoKey      = errors.New("the key is missing or unknown")
	errNoEndpoint = errors.New("no endpoint is available")
	errTimeIsUp   = errors.New("the time is up")
	errHeld       = errors.New("the content crashes endpoints")
	errNotRollout = errors.New("the route takes no batch jobs")
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
	notify func(batch.Header)
	reach  sesamepitch.Connectivity
	// suspects are the contents that have crashed endpoints.
	suspects *quarantine.List

	mu    sync.Mutex
	loads map[string]*load
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
func WithQuarantine(suspects *quarantine.List) Option {
	return func(g *Gateway) { g.suspects = suspects }
}

// New returns a gateway of an instance in a data centre of a region.
func New(clock sesamepitch.Clock, log logr.Logger, known *registry.Registry, forward sesamepitch.Forwarder, ledger *batch.Ledger, meter Meter, centre, region string, options ...Option) *Gateway {
	g := &Gateway{
		clock: clock, log: log, registry: known, forward: forward, ledger: ledger, meter: meter,
		centre: centre, region: region, loads: map[string]*load{},
		instances: func() int { return 1 },
		notify:    func(batch.Header) {},
		reach:     everywhere{},
		suspects:  quarantine.New(clock),
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
		return Admission{}, &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoConfig, After: comeBackSoon}
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
		return "", &Refusal{Kind: sesamepitch.KindUnavailable, Err: errNoConfig, After: comeBackSoon}
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
	due := request.Deadline
	if route.Timeout > 0 {
		if limit := now.Add(route.Timeout); due.IsZero() || limit.Before(due) {
			due = limit
		}
	}
	if due.IsZero() {
		return due
	}
	return due.Add(-timeoutLead)
}

// Serve runs a plain request at an endpoint and returns its whole answer.
func (g *Gateway) Serve(ctx context.Context, admission Admission, request sesamepitch.Request) (sesamepitch.Answer, error) {
	run := g.newRun(admission, request)
	if !run.due.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, run.due.Sub(run.start))
		defer cancel()
	}
	answer, err := run.serve(ctx)
	g.logOutcome(run, answer.Status, err)
	return answer, err
}

func (g *Gateway) newRun(admission Admission, request sesamepitch.Request) *run {
	now := g.clock.Now()
	return &run{
		gateway: g, admission: admission, request: request, start: now,
		due:     deadlineOf(now, admission.Route, request),
		service: admission.Route.Pick(rand.Float64()),
		content: quarantine.Fingerprint(admission.Workspace, request.URI, request.Body),
		tried:   map[string]bool{},
	}
}

func (g *Gateway) logOutcome(r *run, status int, err error) {
	fields := []any{
		"request", r.request.ID, "route", r.admission.Route.Name, "workspace", r.admission.Workspace,
		"config", r.admission.Config, "service", r.service, "tries", r.sent, "unsent", r.unsent,
		"endpoint", r.last.ID, "endpoint_row", r.last.Revision, "crashes", r.crashes, "ms", g.clock.Now().Sub(r.start).Milliseconds(),
		"status", status,
	}
	if err != nil {
		notRun := sesamepitch.KindOf(err) == sesamepitch.KindUnavailable
		g.checks.Check(!notRun || !r.mayHaveRun, invariant.RefusalTrue, "request", r.request.ID, "tries", r.sent)
		fields = append(fields, "kind", string(sesamepitch.KindOf(err)), "cause", err.Error())
	}
	g.log.Info("request", fields...)
}
