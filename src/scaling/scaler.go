package scaling

import (
	"context"
	"maps"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	pollInterval = 500 * time.Millisecond
	// callTimeout is the timeout of one table call.
	callTimeout = time.Second
	// targetPrefix is the key prefix of the capacity targets; the service's name
	// follows.
	targetPrefix = "strength//"
)

// Scaler keeps services at their capacity targets while its instance holds the
// lease.
type Scaler struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	table    sesamepitch.Table
	registry *registry.Registry
	calls    sesamepitch.FencedCalls
	lease    sesamepitch.LeaseHolder
	instance string
	// isShort reports whether endpoints' rate limits keep a service's work waiting,
	// isLimited whether an endpoint has one.
	isShort   func(service string) bool
	isLimited func(endpoint registry.Endpoint) bool
	// epoch is the lease epoch in which the planners were created.
	epoch    int64
	planners map[string]*storedPlanner
}

// storedPlanner is a service's planner with the version of its target's row.
type storedPlanner struct {
	*planner
	version int64
}

// Option configures a Scaler.
type Option func(*Scaler)

// WithLimits sets the functions that report whether endpoints' rate limits keep a
// service's work waiting, and whether an endpoint has such a limit.
func WithLimits(isShort func(service string) bool, isLimited func(endpoint registry.Endpoint) bool) Option {
	return func(s *Scaler) { s.isShort, s.isLimited = isShort, isLimited }
}

// New returns the scaler of an instance.
func New(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, reg *registry.Registry, calls sesamepitch.FencedCalls, lease sesamepitch.LeaseHolder, instance string, options ...Option) *Scaler {
	s := &Scaler{
		clock: clock, log: log, table: table, registry: reg, calls: calls, lease: lease, instance: instance,
		planners: map[string]*storedPlanner{},
		isShort:  func(string) bool { return false }, isLimited: func(registry.Endpoint) bool { return false },
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run keeps services at their capacity targets until ctx ends.
func (s *Scaler) Run(ctx context.Context) error {
	return supervisor.Every(ctx, s.clock, pollInterval, s.poll)
}

// poll reconciles the services that have scaling settings.
func (s *Scaler) poll(ctx context.Context) {
	config := s.registry.Config()
	epoch, held := s.lease.MayCall()
	if !held || config == nil || !s.registry.Complete() {
		return
	}
	if epoch != s.epoch {
		s.epoch = epoch
		clear(s.planners)
	}
	for name, service := range config.Services {
		if service.Scaling == nil {
			continue
		}
		p, err := s.plannerOf(ctx, name, *service.Scaling)
		if err != nil {
			s.log.Info("capacity target read failed", "service", name, "cause", err.Error())
			continue
		}
		s.reconcile(ctx, name, p)
	}
}

// plannerOf returns a service's planner. The first call reads the target that an
// earlier lease holder has stored.
func (s *Scaler) plannerOf(ctx context.Context, service string, scaling registry.Scaling) (*storedPlanner, error) {
	if p := s.planners[service]; p != nil {
		p.scaling = scaling
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var target CapacityTarget
	version, err := rowstore.Read(ctx, s.table, targetPrefix+service, &target)
	if err != nil {
		return nil, &Error{Op: "scaling.read", Kind: sesamepitch.KindOf(err), Err: err}
	}
	p := &storedPlanner{planner: newPlanner(scaling), version: version}
	if version > 0 {
		p.restore(target)
	}
	s.planners[service] = p
	return p, nil
}

// reconcile updates a service's target and places the orders that are due. A
// changed target is stored before endpoints are ordered for it.
func (s *Scaler) reconcile(ctx context.Context, service string, p *storedPlanner) {
	endpoints := s.endpointsOf(service)
	limited := slices.DeleteFunc(slices.Clone(endpoints), func(e registry.Endpoint) bool { return !s.isLimited(e) })
	replaced := p.observeLimits(s.clock.Now(), limited, s.isShort(service))
	if (p.observe(s.clock.Now(), endpoints) || replaced) && !s.saveTarget(ctx, service, p) {
		return
	}
	excluded := s.registry.CentresOut()
	for _, o := range p.orders(s.clock.Now(), excluded) {
		if epoch, held := s.lease.MayCall(); !held || epoch != s.epoch {
			return
		}
		err := s.placeOrder(ctx, service, p, o)
		switch sesamepitch.KindOf(err) {
		case "":
			p.orderAccepted(s.clock.Now(), o)
		case sesamepitch.KindConflict:
			if p.orderRefused(s.clock.Now(), o, countPresent(endpoints), excluded) && !s.saveTarget(ctx, service, p) {
				return
			}
		default:
			p.orderFailed(s.clock.Now(), o)
		}
	}
}

func (s *Scaler) endpointsOf(service string) []registry.Endpoint {
	var endpoints []registry.Endpoint
	for _, e := range s.registry.All() {
		if e.Service == service {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// placeOrder sends an order to the platform and logs its outcome.
func (s *Scaler) placeOrder(ctx context.Context, service string, p *storedPlanner, o order) error {
	err := s.calls.OrderCount(ctx, sesamepitch.EndpointCount{
		Service: service, Centre: o.centre, Count: o.count, Holder: s.instance, Fence: s.epoch,
	})
	outcome := "ok"
	if err != nil {
		outcome = err.Error()
	}
	s.log.Info("endpoints ordered", "service", service, "data_centre", o.centre, "count", o.count, "fence", s.epoch,
		"missing_ms", p.missingFor(s.clock.Now(), o.centre).Milliseconds(), "outcome", outcome)
	return err
}

// saveTarget stores a service's target and reports whether it succeeded.
func (s *Scaler) saveTarget(ctx context.Context, service string, p *storedPlanner) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := targetPrefix + service
	version, err := s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: key, Version: p.version}},
		Writes: []sesamepitch.Write{{Key: key, Value: rowstore.Encode(p.target)}},
	})
	if err != nil {
		// The row may or may not have been written; the next poll reads it again.
		delete(s.planners, service)
		s.log.Info("capacity target write failed", "service", service, "cause", err.Error())
		return false
	}
	p.version = version
	s.log.Info("strength", "service", service, "base", maps.Clone(p.target.Configured), "extra", maps.Clone(p.target.Replacement), "row", version)
	return true
}
