package scaling

import (
	"maps"
	"slices"
	"time"

	"sesamepitch/src/registry"
)

const (
	// initTime is how long a service's endpoints are counted to set its first
	// capacity target.
	initTime = 4 * time.Second
	// growAfter is how long surplus endpoints must stay to be added to the target.
	growAfter = 30 * time.Second
	// replaceAfter is how long endpoints must be missing from the list before they
	// are ordered. An order states the total number of endpoints, so that one that
	// returns on its own is not doubled.
	replaceAfter = 600 * time.Millisecond
	// startSlack is how long after its start time an ordered endpoint may still be
	// missing from the list.
	startSlack = 5 * time.Second
	// noCapacityTime is how long a data centre without free endpoints gets no order.
	noCapacityTime = 8 * time.Second
	// retryDelay is the time until a failed order is repeated.
	retryDelay = 1500 * time.Millisecond
	// releaseAfter is how long no endpoint must be missing before replacements in
	// other data centres are released.
	releaseAfter = 12 * time.Second
)

// order asks for a total number of endpoints in a data centre.
type order struct {
	centre string
	count  int
}

// planner decides which endpoints to order for one service, from the service's
// current endpoints and the outcomes of earlier orders.
type planner struct {
	scaling registry.Scaling
	target  CapacityTarget
	// hasTarget is set once the target is measured or read from the table.
	hasTarget bool
	firstSeen time.Time
	// missingSince and surplusSince are the times since which a data centre has had
	// fewer or more endpoints than its target; completeSince is the time since which
	// none has had fewer and no endpoint has a rate limit.
	missingSince, surplusSince map[string]time.Time
	completeSince              time.Time
	// nextOrder is the earliest time of a data centre's next order; noCapacityUntil
	// is the time until which it counts as having no free endpoints.
	nextOrder, noCapacityUntil map[string]time.Time
	// releasing holds the data centres whose replacement endpoints are to be
	// released.
	releasing map[string]bool
	// draining holds the draining endpoints of the last observation.
	draining map[string]bool
	// shortSince is the time since which endpoints' rate limits keep work waiting;
	// zero if they don't.
	shortSince time.Time
	// limited is the number of endpoints with a rate limit.
	limited int
}

func newPlanner(scaling registry.Scaling) *planner {
	return &planner{
		scaling:      scaling,
		target:       CapacityTarget{Configured: map[string]int{}, Replacement: map[string]int{}},
		missingSince: map[string]time.Time{}, surplusSince: map[string]time.Time{},
		nextOrder: map[string]time.Time{}, noCapacityUntil: map[string]time.Time{}, releasing: map[string]bool{}, draining: map[string]bool{},
	}
}

// restore sets the target that was read from the table.
func (p *planner) restore(target CapacityTarget) {
	p.target = CapacityTarget{Configured: map[string]int{}, Replacement: map[string]int{}}
	maps.Copy(p.target.Configured, target.Configured)
	maps.Copy(p.target.Replacement, target.Replacement)
	p.hasTarget = true
}

// observe updates the planner with the service's endpoints, including those in
// data centres that operators took out. It reports whether the target has changed.
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

// countPresent returns the number of endpoints by data centre that are neither
// draining nor reclaimable.
func countPresent(endpoints []registry.Endpoint) map[string]int {
	present := map[string]int{}
	for _, e := range endpoints {
		if !e.Draining && !e.Reclaimable {
			present[e.Centre]++
		}
	}
	return present
}

// initTarget sets the target to the largest numbers of endpoints seen within
// initTime, and reports whether it is set.
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

// applyDraining lowers the target by endpoints that have started to drain, unless
// others have replaced them.
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

// lowerTarget lowers a data centre's target by one endpoint: a replacement if there
// is one, else a configured one, but not below the configured minimum.
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

// updateCounts updates since when data centres have had too few or too many
// endpoints. Surplus endpoints that stay for growAfter count as added on purpose
// and raise the target.
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
	case !complete || p.limited > 0:
		p.completeSince = time.Time{}
	case p.completeSince.IsZero():
		p.completeSince = now
	}
}

// trackSince sets a data centre's time to now when the condition begins to hold,
// and removes it when it no longer holds.
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

// releaseReplacements removes the replacements from the target once no endpoint
// has been missing for releaseAfter.
func (p *planner) releaseReplacements(now time.Time) {
	if len(p.target.Replacement) == 0 || p.completeSince.IsZero() || now.Sub(p.completeSince) < releaseAfter {
		return
	}
	for centre := range p.target.Replacement {
		p.releasing[centre] = true
	}
	p.target.Replacement = map[string]int{}
}

// orders returns the orders that are due; excluded holds the data centres that
// operators took out.
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

// isMissing reports whether a data centre's endpoints have been missing for
// replaceAfter.
func (p *planner) isMissing(now time.Time, centre string) bool {
	missing, found := p.missingSince[centre]
	return found && now.Sub(missing) >= replaceAfter
}

// mustRelease reports whether a data centre still has replacement endpoints to
// release.
func (p *planner) mustRelease(centre string) bool {
	_, surplus := p.surplusSince[centre]
	return p.releasing[centre] && surplus
}

// orderAccepted records an accepted order; the next one waits until the endpoints
// are due.
func (p *planner) orderAccepted(now time.Time, o order) {
	p.nextOrder[o.centre] = now.Add(p.scaling.StartTime + startSlack)
	delete(p.releasing, o.centre)
}

// orderFailed records an order that was not accepted or whose outcome is unknown.
func (p *planner) orderFailed(now time.Time, o order) { p.nextOrder[o.centre] = now.Add(retryDelay) }

// orderRefused records that a data centre has no free endpoints, and adds
// replacements for missing endpoints to the targets of other data centres. It
// reports whether the target has changed.
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

// unreplaced returns the number of missing configured endpoints without a
// replacement.
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
// endpoint; empty if none may.
func (p *planner) cheapest(now time.Time, excluded map[string]bool) string {
	best := ""
	for _, centre := range slices.Sorted(maps.Keys(p.target.Configured)) {
		noCapacity := now.Before(p.noCapacityUntil[centre])
		if excluded[centre] || noCapacity || p.target.total(centre) >= p.scaling.Max {
			continue
		}
		if best == "" || p.scaling.Prices[centre] < p.scaling.Prices[best] {
			best = centre
		}
	}
	return best
}

// missingFor returns how long a data centre has had too few endpoints.
func (p *planner) missingFor(now time.Time, centre string) time.Duration {
	if at, missing := p.missingSince[centre]; missing {
		return now.Sub(at)
	}
	return 0
}
