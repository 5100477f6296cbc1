package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
)

const (
	// suspectTime is how long an endpoint is avoided after it failed.
	suspectTime = 1500 * time.Millisecond
	// fullTime is how long an endpoint is avoided after it said it was full.
	fullTime = 100 * time.Millisecond
	// coldAgain is how long an endpoint was not seen cold if it is cold anew.
	coldAgain = 2 * time.Second
	// newConnectionCost, otherCentreCost and reclaimableCost are added to an
	// endpoint's load, in units of a full endpoint.
	newConnectionCost = 0.6
	otherCentreCost   = 0.1
	coldCost          = 0.5
)

// load is what this instance knows of an endpoint by its own requests.
type load struct {
	running int
	// usedAt is when a connection was last used, servedAt when for a request.
	usedAt       time.Time
	servedAt     time.Time
	suspectUntil time.Time
	// coldFrom is when the next request to a cold endpoint may go.
	coldFrom time.Time
	// coldSeen is when the endpoint was last seen cold.
	coldSeen time.Time
}

// candidate is an endpoint with what decides between candidates.
type candidate struct {
	endpoint registry.Endpoint
	running  int
	warm     bool
	suspect  bool
	cold     bool
	near     bool
}

// cost is smallest for the endpoint to take.
func (c candidate) cost() float64 {
	cost := float64(c.running) / float64(max(c.endpoint.Slots, 1))
	if !c.warm || c.running > 0 {
		cost += newConnectionCost
	}
	if !c.near {
		cost += otherCentreCost
	}
	if c.cold {
		cost += coldCost
	}
	return cost
}

// pick returns the cheapest candidate; a suspect one only if there is no other.
func pick(candidates []candidate) (candidate, bool) {
	if len(candidates) == 0 {
		return candidate{}, false
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		if a.suspect != b.suspect {
			if a.suspect {
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

// choose picks an endpoint of a service that was not tried yet.
func (g *Gateway) choose(service string, route registry.Route, tried map[string]bool) (registry.Endpoint, bool) {
	if len(route.Regions) > 0 && !slices.Contains(route.Regions, g.region) {
		return registry.Endpoint{}, false
	}
	endpoints := g.registry.Endpoints(service)
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	now := g.clock.Now()
	coldRate := g.coldRate(service)
	coldPause := time.Duration(0)
	if coldRate > 0 {
		coldPause = time.Duration(float64(time.Second) * float64(g.instances()) / coldRate)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []candidate
	for _, endpoint := range endpoints {
		if tried[endpoint.ID] {
			continue
		}
		known := g.loadOf(endpoint.ID)
		cold := now.Before(endpoint.ColdUntil) && coldRate > 0
		if cold && !known.mayGetCold(now, endpoint.ColdUntil, coldPause) {
			continue
		}
		candidates = append(candidates, candidate{
			endpoint: endpoint, running: known.running, warm: now.Sub(known.usedAt) < g.forward.IdleTimeout(destination(endpoint)),
			suspect: now.Before(known.suspectUntil), cold: cold, near: endpoint.Centre == g.centre,
		})
	}
	best, found := pick(candidates)
	if found && best.cold {
		g.loadOf(best.endpoint.ID).coldFrom = now.Add(coldPause)
	}
	return best.endpoint, found
}

// mayGetCold tells whether a cold endpoint may get a request of this instance
// now. Its share of what the endpoint bears is one request in each pause; the
// first one comes at a random time within it, so that not all instances send
// at once.
func (l *load) mayGetCold(now, coldUntil time.Time, pause time.Duration) bool {
	if now.Sub(l.coldSeen) > coldAgain {
		l.coldFrom = now.Add(rand.N(pause + 1))
	}
	l.coldSeen = now
	return !now.Before(l.coldFrom) && now.Before(coldUntil)
}

func (g *Gateway) coldRate(service string) float64 {
	config := g.registry.Config()
	if config == nil {
		return 0
	}
	return config.Services[service].ColdRate
}

func (g *Gateway) loadOf(id string) *load {
	known := g.loads[id]
	if known == nil {
		known = &load{}
		g.loads[id] = known
	}
	return known
}

// begin counts a request at an endpoint until the returned function is called
// with its outcome.
func (g *Gateway) begin(endpoint registry.Endpoint) func(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadOf(endpoint.ID).running++
	return func(err error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		known := g.loadOf(endpoint.ID)
		known.running--
		now := g.clock.Now()
		if err == nil {
			known.usedAt, known.servedAt = now, now
			known.suspectUntil = time.Time{}
			return
		}
		if sesamepitch.KindOf(err) != sesamepitch.KindTimeout {
			known.usedAt = time.Time{}
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindOverloaded {
			known.suspectUntil = now.Add(fullTime)
			return
		}
		known.suspectUntil = now.Add(suspectTime)
	}
}

// PruneEndpoints drops what is known of endpoints that are gone.
func (g *Gateway) PruneEndpoints() {
	present := g.registry.All()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, known := range g.loads {
		if _, found := present[id]; !found && known.running == 0 {
			delete(g.loads, id)
		}
	}
}
