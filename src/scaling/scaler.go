package scaling

import (
	"context"
	"maps"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	lookEvery = 500 * time.Millisecond
	// callTime bounds one call of the table.
	callTime = time.Second
	// leaseLead is how long the lease must still last for an order to go.
	leaseLead = 650 * time.Millisecond
	// strengthPrefix is where the strengths of services are kept, by service.
	strengthPrefix = "strength//"
)

// Scaler orders endpoints while its instance holds the lease.
type Scaler struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	table    sesamepitch.Table
	registry *registry.Registry
	duties   sesamepitch.FencedCalls
	lease    sesamepitch.LeaseHolder
	instance string
	// epoch is that of the lease for which the keepers were made.
	epoch   int64
	keepers map[string]*kept
}

// kept is a service's keeper and its row's version.
type kept struct {
	*keeper
	version int64
}

// New returns the scaler of an instance.
func New(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, known *registry.Registry, duties sesamepitch.FencedCalls, lease sesamepitch.LeaseHolder, instance string) *Scaler {
	return &Scaler{
		clock: clock, log: log, table: table, registry: known, duties: duties, lease: lease, instance: instance,
		keepers: map[string]*kept{},
	}
}

// Run keeps services at their strength until ctx ends.
func (s *Scaler) Run(ctx context.Context) error {
	return supervisor.Every(ctx, s.clock, lookEvery, s.look)
}

// look goes through the services whose endpoints may be ordered.
func (s *Scaler) look(ctx context.Context) {
	config := s.registry.Config()
	epoch, held := s.authority()
	if !held || config == nil || !s.registry.Complete() {
		return
	}
	if epoch != s.epoch {
		s.epoch = epoch
		clear(s.keepers)
	}
	for name, service := range config.Services {
		if service.Scaling == nil {
			continue
		}
		k, err := s.keeperOf(ctx, name, *service.Scaling)
		if err != nil {
			s.log.Info("strength not read", "service", name, "cause", err.Error())
			continue
		}
		s.tend(ctx, name, k)
	}
}

func (s *Scaler) authority() (epoch int64, held bool) {
	epoch, until, held := s.lease.Held()
	return epoch, held && until.Sub(s.clock.Now()) > leaseLead
}

// keeperOf returns a service's keeper; the first time it reads what former
// holders of the lease have kept.
func (s *Scaler) keeperOf(ctx context.Context, service string, scaling registry.Scaling) (*kept, error) {
	if k := s.keepers[service]; k != nil {
		k.scaling = scaling
		return k, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var strength CapacityTarget
	version, err := rowstore.Read(ctx, s.table, strengthPrefix+service, &strength)
	if err != nil {
		return nil, &Error{Op: "scaling.read", Kind: sesamepitch.KindOf(err), Err: err}
	}
	k := &kept{keeper: newKeeper(scaling), version: version}
	if version > 0 {
		k.adopt(strength)
	}
	s.keepers[service] = k
	return k, nil
}

// tend looks after one service. The strength is kept in the table before anything
// is ordered by it.
func (s *Scaler) tend(ctx context.Context, service string, k *kept) {
	endpoints := s.endpointsOf(service)
	if k.look(s.clock.Now(), endpoints) && !s.keep(ctx, service, k) {
		return
	}
	out := s.registry.CentresOut()
	for _, o := range k.orders(s.clock.Now(), out) {
		if epoch, held := s.authority(); !held || epoch != s.epoch {
			return
		}
		err := s.order(ctx, service, k, o)
		switch sesamepitch.KindOf(err) {
		case "":
			k.ordered(s.clock.Now(), o)
		case sesamepitch.KindConflict:
			if k.refused(s.clock.Now(), o, presentOf(endpoints), out) && !s.keep(ctx, service, k) {
				return
			}
		default:
			k.failed(s.clock.Now(), o)
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

// order asks for a number of endpoints.
func (s *Scaler) order(ctx context.Context, service string, k *kept, o order) error {
	err := s.duties.OrderCount(ctx, sesamepitch.EndpointCount{
		Service: service, Centre: o.centre, Count: o.count, Holder: s.instance, Fence: s.epoch,
	})
	outcome := "ok"
	if err != nil {
		outcome = err.Error()
	}
	s.log.Info("endpoints ordered", "service", service, "data_centre", o.centre, "count", o.count, "fence", s.epoch,
		"missing_ms", k.missingFor(s.clock.Now(), o.centre).Milliseconds(), "outcome", outcome)
	return err
}

// keep writes a service's strength and tells whether that is done.
func (s *Scaler) keep(ctx context.Context, service string, k *kept) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	key := strengthPrefix + service
	version, err := s.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: key, Version: k.version}},
		Writes: []sesamepitch.Write{{Key: key, Value: rowstore.Encode(k.strength)}},
	})
	if err != nil {
		// What the row holds is not known: it is read again.
		delete(s.keepers, service)
		s.log.Info("strength not kept", "service", service, "cause", err.Error())
		return false
	}
	k.version = version
	s.log.Info("strength", "service", service, "base", maps.Clone(k.strength.Configured), "extra", maps.Clone(k.strength.Replacement), "row", version)
	return true
}
