package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
)

const (
	// avoidFailedTime is how long an endpoint is avoided after a failed request.
	avoidFailedTime = 1500 * time.Millisecond
	// avoidFullTime is how long an endpoint is avoided after it reported overload.
	avoidFullTime = 100 * time.Millisecond
	// newConnectionCost, otherCentreCost and coldCost are added to an endpoint's
	// load; 1 is the load of a full endpoint.
	newConnectionCost = 0.6
	otherCentreCost   = 0.1
	coldCost          = 0.5
)

// endpointState is what this instance's own requests have shown of an endpoint.
type endpointState struct {
	running int
	// connUsedAt is the last use of a connection, also by a health check; servedAt
	// is the last request that succeeded.
	connUsedAt time.Time
	servedAt   time.Time
	avoidUntil time.Time
	// allowedAt is when the endpoint's rate is expected to allow another request;
	// until limitedUntil, which may be earlier, it is not asked for one.
	allowedAt    time.Time
	limitedUntil time.Time
}

// candidate is an endpoint with the properties that its cost depends on.
type candidate struct {
	endpoint   registry.Endpoint
	running    int
	connected  bool
	avoided    bool
	cold       bool
	sameCentre bool
}

// cost returns the endpoint's cost of a request; the cheapest candidate is chosen.
func (c candidate) cost() float64 {
	cost := float64(c.running) / float64(max(c.endpoint.Slots, 1))
	if !c.connected || c.running > 0 {
		cost += newConnectionCost
	}
	if !c.sameCentre {
		cost += otherCentreCost
	}
	if c.cold {
		cost += coldCost
	}
	return cost
}

// cheapest returns the candidate of the lowest cost; an avoided one only if all are.
func cheapest(candidates []candidate) (candidate, bool) {
	if len(candidates) == 0 {
		return candidate{}, false
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		if a.avoided != b.avoided {
			if a.avoided {
				return 1
			}
			return -1
		}
		switch {
		case a.cost() < b.cost():
			return -1
		case a.cost() > b.cost():
			return 1
		}
		return 0
	})
	return best, true
}

// choice restricts the endpoints that a request may be sent to.
type choice struct {
	service string
	route   registry.Route
	// asked is when the caller's request arrived.
	asked time.Time
	// tried are the endpoints that are not chosen again; avoided ones are chosen
	// only if there is no other.
	tried, avoided map[string]bool
	// slotShare is the share of an endpoint's slots that this instance's requests
	// may occupy; zero for no limit. A request with a limit waits for room rather
	// than go to an avoided endpoint: one that fails at once always has room.
	slotShare float64
	// patience is how long the request may wait for an endpoint's rate to allow it;
	// immediate requests ask no other instance about it either.
	patience  time.Duration
	immediate bool
	// denied are the endpoints whose rate did not allow the request just now.
	denied map[string]bool
}

// hasRoom reports whether an endpoint with this many running requests may get
// another one.
func (c choice) hasRoom(endpoint registry.Endpoint, running int) bool {
	return c.slotShare == 0 || running < max(1, int(c.slotShare*float64(endpoint.Slots)))
}

// choose returns an endpoint for a request, and whether there is one. Endpoints of
// equal cost are chosen at random.
func (g *Gateway) choose(c choice) (registry.Endpoint, bool) {
	if !g.mayServe(c.route) {
		return registry.Endpoint{}, false
	}
	endpoints := g.endpointsFor(c)
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []candidate
	goodWithoutRoom := false
	for _, endpoint := range endpoints {
		if c.tried[endpoint.ID] {
			continue
		}
		state := g.stateOf(endpoint.ID)
		avoided := now.Before(state.avoidUntil) || c.avoided[endpoint.ID]
		if now.Before(state.limitedUntil) || c.denied[endpoint.ID] {
			continue
		}
		if !c.hasRoom(endpoint, state.running) {
			goodWithoutRoom = goodWithoutRoom || !avoided
			continue
		}
		candidates = append(candidates, candidate{
			endpoint: endpoint, running: state.running, connected: now.Sub(state.connUsedAt) < g.forward.IdleTimeout(destination(endpoint)),
			avoided: avoided, cold: now.Before(endpoint.ColdUntil), sameCentre: endpoint.Centre == g.centre,
		})
	}
	best, found := cheapest(candidates)
	if found && best.avoided && goodWithoutRoom {
		return registry.Endpoint{}, false
	}
	return best.endpoint, found
}

// endpointsFor returns the endpoints of a service, or, if all are leaving, those
// that may still get the request.
func (g *Gateway) endpointsFor(c choice) []registry.Endpoint {
	if staying := g.registry.Endpoints(c.service); len(staying) > 0 {
		return staying
	}
	return g.registry.Departing(c.service, c.asked)
}

// acquire chooses an endpoint whose rate allows the request. Without one it waits
// for the first that will within c.patience. If there is none, retryIn is the time
// after which a request may be allowed, zero if it is not the rate that keeps it.
func (g *Gateway) acquire(ctx context.Context, c choice) (endpoint registry.Endpoint, retryIn time.Duration, found bool) {
	c.denied = map[string]bool{}
	for {
		endpoint, found = g.choose(c)
		if !found {
			break
		}
		c.denied[endpoint.ID] = true
		if _, admitted := g.admit(ctx, c, endpoint, 0); admitted {
			return endpoint, 0, true
		}
	}
	endpoint, retryIn, found = g.soonestAllowed(c)
	if !found || retryIn > c.patience {
		return registry.Endpoint{}, retryIn, false
	}
	retryIn, found = g.admit(ctx, c, endpoint, c.patience)
	return endpoint, retryIn, found
}

// soonestAllowed returns the endpoint that only its rate keeps from a request, and
// which is expected to allow one first.
func (g *Gateway) soonestAllowed(c choice) (soonest registry.Endpoint, wait time.Duration, found bool) {
	if !g.mayServe(c.route) {
		return soonest, 0, false
	}
	endpoints := g.endpointsFor(c)
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, endpoint := range endpoints {
		state := g.stateOf(endpoint.ID)
		limited := c.denied[endpoint.ID] || now.Before(state.limitedUntil)
		if !limited || c.tried[endpoint.ID] || !c.hasRoom(endpoint, state.running) {
			continue
		}
		if until := state.allowedAt.Sub(now); !found || until < wait {
			soonest, wait, found = endpoint, until, true
		}
	}
	return soonest, max(wait, 0), found
}

// admit asks whether an endpoint's rate allows a request within patience, and leaves
// the endpoint out for a while if not.
func (g *Gateway) admit(ctx context.Context, c choice, endpoint registry.Endpoint, patience time.Duration) (wait time.Duration, admitted bool) {
	if c.immediate {
		wait, admitted = g.limits.TryTake(destination(endpoint))
	} else {
		wait, admitted = g.limits.Take(ctx, destination(endpoint), patience)
	}
	if admitted {
		return 0, true
	}
	wait = max(wait, sesamepitch.MinDeniedTime)
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateOf(endpoint.ID)
	state.allowedAt, state.limitedUntil = now.Add(wait), now.Add(sesamepitch.DeniedTime(wait))
	return wait, false
}

// mayServe reports whether a route's requests may be served in this region.
func (g *Gateway) mayServe(route registry.Route) bool {
	return len(route.Regions) == 0 || slices.Contains(route.Regions, g.region)
}

func (g *Gateway) stateOf(id string) *endpointState {
	state := g.endpoints[id]
	if state == nil {
		state = &endpointState{}
		g.endpoints[id] = state
	}
	return state
}

// trackRequest counts a running request of an endpoint until the returned function
// is called with its outcome.
func (g *Gateway) trackRequest(endpoint registry.Endpoint) func(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stateOf(endpoint.ID).running++
	return func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		state := g.stateOf(endpoint.ID)
		state.running--
		now := g.clock.Now()
		if err == nil {
			state.connUsedAt, state.servedAt = now, now
			state.avoidUntil = time.Time{}
			return
		}
		if sesamepitch.KindOf(err) != sesamepitch.KindTimeout {
			state.connUsedAt = time.Time{}
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindOverloaded {
			state.avoidUntil = now.Add(avoidFullTime)
			return
		}
		state.avoidUntil = now.Add(avoidFailedTime)
	}
}

// Prune drops the state of unregistered endpoints that run no request, and of
// routes that are gone.
func (g *Gateway) Prune() {
	present := g.registry.All()
	config := g.registry.Config()
	if config == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range g.endpoints {
		if _, found := present[id]; !found && state.running == 0 {
			delete(g.endpoints, id)
		}
	}
	for name := range g.latencies {
		if _, found := config.RouteNamed(name); !found {
			delete(g.latencies, name)
		}
	}
}
