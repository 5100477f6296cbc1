package scaling

import (
	"maps"
	"slices"
	"time"

	"sesamepitch/src/registry"
)

const (
	// learnTime is how long a service is watched before its first strength counts.
	learnTime = 4 * time.Second
	// growAfter is how long more endpoints than wanted must last to be wanted.
	growAfter = 30 * time.Second
	// replaceAfter is how long endpoints must be missing from the list to be
	// ordered. An order names the whole number, so that one that comes back on its
	// own is not doubled.
	replaceAfter = 600 * time.Millisecond
	// startSlack is how long after an ordered endpoint's start its entry is due.
	startSlack = 5 * time.Second
	// refusedTime is how long a data centre that had no endpoints is not asked.
	refusedTime = 8 * time.Second
	// failedTime is the time until an order that failed is repeated.
	failedTime = 1500 * time.Millisecond
	// returnAfter is how long the endpoints must be whole before what was ordered
	// elsewhere is given back.
	returnAfter = 12 * time.Second
)

// order is a number of endpoints to ask for in a data centre.
type order struct {
	centre string
	count  int
}

// keeper decides what to order for one service. It is told the service's
// endpoints and what became of orders.
type keeper struct {
	scaling  registry.Scaling
	strength CapacityTarget
	// known is set once the strength was learnt or read.
	known   bool
	firstAt time.Time
	// missingSince and surplusSince are since when a data centre has had fewer or
	// more endpoints than it should, wholeSince since when none has had fewer.
	missingSince, surplusSince map[string]time.Time
	wholeSince                 time.Time
	// notBefore is when a data centre may be asked again, emptyUntil until when it
	// counts as having no endpoints.
	notBefore, emptyUntil map[string]time.Time
	// returned are the data centres whose extra endpoints are to be given back.
	returned map[string]bool
	// draining are the endpoints that were seen to leave as planned.
	draining map[string]bool
}

func newKeeper(scaling registry.Scaling) *keeper {
	return &keeper{
		scaling:      scaling,
		strength:     CapacityTarget{Configured: map[string]int{}, Replacement: map[string]int{}},
		missingSince: map[string]time.Time{}, surplusSince: map[string]time.Time{},
		notBefore: map[string]time.Time{}, emptyUntil: map[string]time.Time{}, returned: map[string]bool{}, draining: map[string]bool{},
	}
}

// adopt takes over a strength that is kept in the table.
func (k *keeper) adopt(s CapacityTarget) {
	k.strength = CapacityTarget{Configured: map[string]int{}, Replacement: map[string]int{}}
	maps.Copy(k.strength.Configured, s.Configured)
	maps.Copy(k.strength.Replacement, s.Replacement)
	k.known = true
}

// look takes the service's endpoints, of which those in data centres that were
// taken out count as well. It returns whether the strength has changed.
func (k *keeper) look(now time.Time, endpoints []registry.Endpoint) (changed bool) {
	present := presentOf(endpoints)
	if !k.known {
		return k.learn(now, present)
	}
	before := k.strength.clone()
	k.noteDraining(endpoints, present)
	k.noteCounts(now, present)
	k.giveBack(now)
	return !maps.Equal(before.Configured, k.strength.Configured) || !maps.Equal(before.Replacement, k.strength.Replacement)
}

// presentOf counts the ordinary endpoints that stay, by data centre.
func presentOf(endpoints []registry.Endpoint) map[string]int {
	present := map[string]int{}
	for _, e := range endpoints {
		if !e.Draining && !e.Reclaimable {
			present[e.Centre]++
		}
	}
	return present
}

// learn takes the most endpoints of the first moments for the strength.
func (k *keeper) learn(now time.Time, present map[string]int) bool {
	if len(present) == 0 {
		return false
	}
	if k.firstAt.IsZero() {
		k.firstAt = now
	}
	for centre, count := range present {
		k.strength.Configured[centre] = max(k.strength.Configured[centre], count)
	}
	k.known = now.Sub(k.firstAt) >= learnTime
	return k.known
}

// noteDraining lowers the strength by endpoints that leave as planned and are
// not replaced by whoever planned it.
func (k *keeper) noteDraining(endpoints []registry.Endpoint, present map[string]int) {
	seen := map[string]bool{}
	for _, e := range endpoints {
		if !e.Draining || e.Reclaimable {
			continue
		}
		seen[e.ID] = true
		if !k.draining[e.ID] && present[e.Centre] < k.strength.of(e.Centre) {
			k.lower(e.Centre)
		}
	}
	k.draining = seen
}

// lower takes one endpoint off a data centre's strength.
func (k *keeper) lower(centre string) {
	if k.strength.Replacement[centre] > 0 {
		k.setExtra(centre, k.strength.Replacement[centre]-1)
		return
	}
	k.strength.Configured[centre] = max(k.strength.Configured[centre]-1, k.scaling.Min)
}

func (k *keeper) setExtra(centre string, count int) {
	k.strength.Replacement[centre] = count
	if count <= 0 {
		delete(k.strength.Replacement, centre)
	}
}

// noteCounts keeps since when data centres have had too few or too many
// endpoints. What stays beyond the strength for long is wanted by somebody.
func (k *keeper) noteCounts(now time.Time, present map[string]int) {
	whole := true
	for _, centre := range k.centres(present) {
		wanted, count := k.strength.of(centre), present[centre]
		since(k.missingSince, centre, count < wanted, now)
		since(k.surplusSince, centre, count > wanted, now)
		whole = whole && count >= wanted
		if at := k.surplusSince[centre]; !at.IsZero() && now.Sub(at) >= growAfter {
			k.strength.Configured[centre] += count - wanted
			delete(k.surplusSince, centre)
		}
	}
	switch {
	case !whole:
		k.wholeSince = time.Time{}
	case k.wholeSince.IsZero():
		k.wholeSince = now
	}
}

// since keeps the time from which on something has held in a data centre.
func since(times map[string]time.Time, centre string, holds bool, now time.Time) {
	if !holds {
		delete(times, centre)
		return
	}
	if times[centre].IsZero() {
		times[centre] = now
	}
}

func (k *keeper) centres(present map[string]int) []string {
	all := map[string]bool{}
	for _, counts := range []map[string]int{present, k.strength.Configured, k.strength.Replacement} {
		for centre := range counts {
			all[centre] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// giveBack takes off what was ordered elsewhere, once the data centres for which
// it was have been whole for a while.
func (k *keeper) giveBack(now time.Time) {
	if len(k.strength.Replacement) == 0 || k.wholeSince.IsZero() || now.Sub(k.wholeSince) < returnAfter {
		return
	}
	for centre := range k.strength.Replacement {
		k.returned[centre] = true
	}
	k.strength.Replacement = map[string]int{}
}

// orders returns what to ask for now; out are the data centres that were taken
// out.
func (k *keeper) orders(now time.Time, out map[string]bool) []order {
	if !k.known {
		return nil
	}
	var orders []order
	for _, centre := range k.centres(nil) {
		if out[centre] || now.Before(k.notBefore[centre]) {
			continue
		}
		if k.isMissing(now, centre) || k.isReturned(centre) {
			orders = append(orders, order{centre: centre, count: min(k.strength.of(centre), k.scaling.Max)})
		}
	}
	return orders
}

// isMissing tells whether endpoints have been missing for long enough.
func (k *keeper) isMissing(now time.Time, centre string) bool {
	missing, found := k.missingSince[centre]
	return found && now.Sub(missing) >= replaceAfter
}

// isReturned tells whether what was ordered here for another data centre must
// still be given back.
func (k *keeper) isReturned(centre string) bool {
	_, surplus := k.surplusSince[centre]
	return k.returned[centre] && surplus
}

// ordered notes an order that was accepted.
func (k *keeper) ordered(now time.Time, o order) {
	k.notBefore[o.centre] = now.Add(k.scaling.StartTime + startSlack)
	delete(k.returned, o.centre)
}

// failed notes an order of which nothing is known, or that was not taken.
func (k *keeper) failed(now time.Time, o order) { k.notBefore[o.centre] = now.Add(failedTime) }

// refused notes that a data centre has no endpoints at present, and has those
// that are missing there ordered elsewhere. It returns whether the strength has
// changed.
func (k *keeper) refused(now time.Time, o order, present map[string]int, out map[string]bool) (changed bool) {
	k.notBefore[o.centre] = now.Add(refusedTime)
	k.emptyUntil[o.centre] = now.Add(refusedTime)
	for k.uncovered(present) > 0 {
		centre := k.cheapest(now, out)
		if centre == "" {
			return changed
		}
		k.strength.Replacement[centre]++
		changed = true
	}
	return changed
}

// uncovered counts the missing endpoints for which none was ordered elsewhere.
func (k *keeper) uncovered(present map[string]int) int {
	missing := 0
	for centre, count := range k.strength.Configured {
		missing += max(count-present[centre], 0)
	}
	for _, count := range k.strength.Replacement {
		missing -= count
	}
	return missing
}

// cheapest returns the data centre with the lowest price that may get one more
// endpoint; empty if there is none.
func (k *keeper) cheapest(now time.Time, out map[string]bool) string {
	best := ""
	for _, centre := range slices.Sorted(maps.Keys(k.strength.Configured)) {
		empty := now.Before(k.emptyUntil[centre])
		if out[centre] || empty || k.strength.of(centre) >= k.scaling.Max {
			continue
		}
		if best == "" || k.scaling.Prices[centre] < k.scaling.Prices[best] {
			best = centre
		}
	}
	return best
}

// missingFor returns for how long a data centre has had too few endpoints.
func (k *keeper) missingFor(now time.Time, centre string) time.Duration {
	if at, missing := k.missingSince[centre]; missing {
		return now.Sub(at)
	}
	return 0
}
