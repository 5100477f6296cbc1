package scaling

import (
	"maps"
	"slices"
	"time"

	"sesamepitch/src/registry"
)

const (
	// initTime is how long a service is watched before its first strength counts.
	initTime = 4 * time.Second
	// growAfter is how long more endpoints than wanted must last to be wanted.
	growAfter = 30 * time.Second
	// replaceAfter is how long endpoints must be missing from the list to be
	// ordered. An order names the whole number, so that one that comes back on its
	// own is not doubled.
	replaceAfter = 600 * time.Millisecond
	// startSlack is how long after an ordered endpoint's start its entry is due.
	startSlack = 5 * time.Second
	// noCapacityTime is how long a data centre that had no endpoints is not asked.
	noCapacityTime = 8 * time.Second
	// retryDelay is the time until an order that failed is repeated.
	retryDelay = 1500 * time.Millisecond
	// releaseAfter is how long the endpoints must be whole before what was ordered
	// elsewhere is given back.
	releaseAfter = 12 * time.Second
)

// order is a number of endpoints to ask for in a data centre.
type order struct {
	centre string
	count  int
}

// planner decides what to order for one service. It is told the service's
// endpoints and what became of orders.
type planner struct {
	scaling registry.Scaling
	target  CapacityTarget
	// hasTarget is set once the strength was learnt or read.
	hasTarget bool
	firstSeen time.Time
	// missingSince and surplusSince are since when a data centre has had fewer or
	// more endpoints than it should, wholeSince since when none has had fewer.
	missingSince, surplusSince map[string]time.Time
	completeSince              time.Time
	// nextOrder is when a data centre may be asked again, noCapacityUntil until when it
	// counts as having no endpoints.
	nextOrder, noCapacityUntil map[string]time.Time
	// releasing are the data centres whose extra endpoints are to be given back.
	releasing map[string]bool
	// draining are the endpoints that were seen to leave as planned.
	draining map[string]bool
}

func newPlanner(scaling registry.Scaling) *planner {
	return &planner{
		scaling:      scaling,
		target:       CapacityTarget{Configured: map[string]int{}, Replacement: map[string]int{}},
		missingSince: map[string]time.Time{}, surplusSince: map[string]time.Time{},
		nextOrder: map[string]time.Time{}, noCapacityUntil: map[string]time.Time{}, releasing: map[string]bool{}, draining: map[string]bool{},
	}
}

// restore takes over a strength that is kept in the table.
func (p *planner) restore(s CapacityTarget) {
	p.target = CapacityTarget{Configured: map[string]int{}, Replacement: map[string]int{}}
	maps.Copy(p.target.Configured, s.Configured)
	maps.Copy(p.target.Replacement, s.Replacement)
	p.hasTarget = true
}

// observe takes the service's endpoints, of which those in data centres that were
// taken out count as well. It returns whether the strength has changed.
func (p *planner) observe(now time.Time, endpoints []registry.Endpoint) (changed bool) {
	present := countPresent(endpoints)
	if !p.hasTarget {
		return p.initTarget(now, present)
	}
	before := p.target.clone()
	p.applyDraining(endpoints, present)
	p.updateCounts(now, present)
	p.releaseReplacements(now)
	return !maps.Equal(before.Configured, p.target.Configured) || !maps.Equal(before.Replacement, p.target.Replacement)
}

// countPresent counts the ordinary endpoints that stay, by data centre.
func countPresent(endpoints []registry.Endpoint) map[string]int {
	present := map[string]int{}
	for _, e := range endpoints {
		if !e.Draining && !e.Reclaimable {
			present[e.Centre]++
		}
	}
	return present
}

// initTarget takes the most endpoints of the first moments for the strength.
func (p *planner) initTarget(now time.Time, present map[string]int) bool {
	if len(present) == 0 {
		return false
	}
	if p.firstSeen.IsZero() {
		p.firstSeen = now
	}
	for centre, count := range present {
		p.target.Configured[centre] = max(p.target.Configured[centre], count)
	}
	p.hasTarget = now.Sub(p.firstSeen) >= initTime
	return p.hasTarget
}

// applyDraining lowers the strength by endpoints that leave as planned and are
// not replaced by whoever planned it.
func (p *planner) applyDraining(endpoints []registry.Endpoint, present map[string]int) {
	seen := map[string]bool{}
	for _, e := range endpoints {
		if !e.Draining || e.Reclaimable {
			continue
		}
		seen[e.ID] = true
		if !p.draining[e.ID] && present[e.Centre] < p.target.total(e.Centre) {
			p.lowerTarget(e.Centre)
		}
	}
	p.draining = seen
}

// lowerTarget takes one endpoint off a data centre's strength.
func (p *planner) lowerTarget(centre string) {
	if p.target.Replacement[centre] > 0 {
		p.setReplacement(centre, p.target.Replacement[centre]-1)
		return
	}
	p.target.Configured[centre] = max(p.target.Configured[centre]-1, p.scaling.Min)
}

func (p *planner) setReplacement(centre string, count int) {
	p.target.Replacement[centre] = count
	if count <= 0 {
		delete(p.target.Replacement, centre)
	}
}

// updateCounts keeps since when data centres have had too few or too many
// endpoints. What stays beyond the strength for long is wanted by somebody.
func (p *planner) updateCounts(now time.Time, present map[string]int) {
	complete := true
	for _, centre := range p.centres(present) {
		wanted, count := p.target.total(centre), present[centre]
		trackSince(p.missingSince, centre, count < wanted, now)
		trackSince(p.surplusSince, centre, count > wanted, now)
		complete = complete && count >= wanted
		if at := p.surplusSince[centre]; !at.IsZero() && now.Sub(at) >= growAfter {
			p.target.Configured[centre] += count - wanted
			delete(p.surplusSince, centre)
		}
	}
	switch {
	case !complete:
		p.completeSince = time.Time{}
	case p.completeSince.IsZero():
		p.completeSince = now
	}
}

// trackSince keeps the time from which on something has held in a data centre.
func trackSince(times map[string]time.Time, centre string, holds bool, now time.Time) {
	if !holds {
		delete(times, centre)
		return
	}
	if times[centre].IsZero() {
		times[centre] = now
	}
}

func (p *planner) centres(present map[string]int) []string {
	all := map[string]bool{}
	for _, counts := range []map[string]int{present, p.target.Configured, p.target.Replacement} {
		for centre := range counts {
			all[centre] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// releaseReplacements takes off what was ordered elsewhere, once the data centres for which
// it was have been whole for a while.
func (p *planner) releaseReplacements(now time.Time) {
	if len(p.target.Replacement) == 0 || p.completeSince.IsZero() || now.Sub(p.completeSince) < releaseAfter {
		return
	}
	for centre := range p.target.Replacement {
		p.releasing[centre] = true
	}
	p.target.Replacement = map[string]int{}
}

// orders returns what to ask for now; out are the data centres that were taken
// out.
func (p *planner) orders(now time.Time, excluded map[string]bool) []order {
	if !p.hasTarget {
		return nil
	}
	var orders []order
	for _, centre := range p.centres(nil) {
		if excluded[centre] || now.Before(p.nextOrder[centre]) {
			continue
		}
		if p.isMissing(now, centre) || p.mustRelease(centre) {
			orders = append(orders, order{centre: centre, count: min(p.target.total(centre), p.scaling.Max)})
		}
	}
	return orders
}

// isMissing tells whether endpoints have been missing for long enough.
func (p *planner) isMissing(now time.Time, centre string) bool {
	missing, found := p.missingSince[centre]
	return found && now.Sub(missing) >= replaceAfter
}

// mustRelease tells whether what was ordered here for another data centre must
// still be given back.
func (p *planner) mustRelease(centre string) bool {
	_, surplus := p.surplusSince[centre]
	return p.releasing[centre] && surplus
}

// orderAccepted notes an order that was accepted.
func (p *planner) orderAccepted(now time.Time, o order) {
	p.nextOrder[o.centre] = now.Add(p.scaling.StartTime + startSlack)
	delete(p.releasing, o.centre)
}

// orderFailed notes an order of which nothing is known, or that was not taken.
func (p *planner) orderFailed(now time.Time, o order) { p.nextOrder[o.centre] = now.Add(retryDelay) }

// orderRefused notes that a data centre has no endpoints at present, and has those
// that are missing there ordered elsewhere. It returns whether the strength has
// changed.
func (p *planner) orderRefused(now time.Time, o order, present map[string]int, excluded map[string]bool) (changed bool) {
	p.nextOrder[o.centre] = now.Add(noCapacityTime)
	p.noCapacityUntil[o.centre] = now.Add(noCapacityTime)
	for p.unreplaced(present) > 0 {
		centre := p.cheapest(now, excluded)
		if centre == "" {
			return changed
		}
		p.target.Replacement[centre]++
		changed = true
	}
	return changed
}

// unreplaced counts the missing endpoints for which none was ordered elsewhere.
func (p *planner) unreplaced(present map[string]int) int {
	missing := 0
	for centre, count := range p.target.Configured {
		missing += max(count-present[centre], 0)
	}
	for _, count := range p.target.Replacement {
		missing -= count
	}
	return missing
}

// cheapest returns the data centre with the lowest price that may get one more
// endpoint; empty if there is none.
func (p *planner) cheapest(now time.Time, excluded map[string]bool) string {
	best := ""
	for _, centre := range slices.Sorted(maps.Keys(p.target.Configured)) {
		empty := now.Before(p.noCapacityUntil[centre])
		if excluded[centre] || empty || p.target.total(centre) >= p.scaling.Max {
			continue
		}
		if best == "" || p.scaling.Prices[centre] < p.scaling.Prices[best] {
			best = centre
		}
	}
	return best
}

// missingFor returns for how long a data centre has had too few endpoints.
func (p *planner) missingFor(now time.Time, centre string) time.Duration {
	if at, missing := p.missingSince[centre]; missing {
		return now.Sub(at)
	}
	return 0
}
