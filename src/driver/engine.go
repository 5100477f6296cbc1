// Package driver runs batch jobs. One instance at a time, the holder of a
// lease, places items on engines, keeps the engines' weights sufficiently new
// and records the results.
package driver

import (
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
)

const (
	// eventTimeWeight is the weight of the newest event in an engine's moving
	// average of the time per event.
	eventTimeWeight = 0.1
	// minEventSamples is how many events an engine's average needs before it is
	// compared.
	minEventSamples = 8
	// slowFactor is the multiple of the median time per event from which an
	// engine counts as slow.
	slowFactor = 1.7
	// suspectedTime is how long a failed engine gets no new items.
	suspectedTime = 1200 * time.Millisecond
	// maxDoublings bounds the doublings of suspectedTime.
	maxDoublings = 2
	// overloadBackoff is how long an engine gets no new items after it reported
	// an overload.
	overloadBackoff = 60 * time.Millisecond
	// promptCacheBonus is deducted from the cost of an engine that has read the
	// group's prompt, in units of the load of a full engine.
	promptCacheBonus = 0.12
	// slownessCost weighs the relative excess of an engine's time per event
	// over the median.
	slownessCost = 0.8
	// reclaimableCost is the cost of an engine that may be reclaimed.
	reclaimableCost = 0.05
	// missCost is the cost of each connection failure or stall of an engine
	// since its last event.
	missCost = 1.0
	// lostCentreCost is the cost of an engine in the data centre of the engine
	// that the item just lost: the data centre may be cut off.
	lostCentreCost = 0.5
)

// engine is an engine's registry entry and what the driver has observed of the
// engine.
type engine struct {
	entry registry.Endpoint
	// listed is set while the registry lists the engine; others get no new
	// items.
	listed  bool
	running int
	// versions are the newest known weight versions by model.
	versions map[string]int64
	// loadingModel is the model whose weights are being loaded, empty for none,
	// and loadingVersion their version.
	loadingModel   string
	loadingVersion int64
	// loadingSince is when that load was ordered.
	loadingSince time.Time
	// readyAt is when the weights are expected to be loaded; zero until the
	// engine accepts the order. From then on one item at a time probes the
	// engine.
	readyAt        time.Time
	probing        bool
	orders         orderCount
	suspectedUntil time.Time
	// misses counts connection failures and stalls since the last event.
	misses          int
	overloadedUntil time.Time
	// limitedUntil is when the engine's rate may allow another item.
	limitedUntil time.Time
	// eventTime is the moving average of the time between events, over
	// eventSamples events.
	eventTime    time.Duration
	eventSamples int
	// prompts are the groups whose prompt the engine has read, newest last.
	prompts []string
}

// maxPrompts bounds the prompts remembered for an engine.
const maxPrompts = 64

// destination returns where the engine's requests go.
func (e *engine) destination() sesamepitch.Destination {
	return sesamepitch.Destination{ID: e.entry.ID, Address: e.entry.Address, Born: e.entry.Born}
}

func newEngine(entry registry.Endpoint) *engine {
	e := &engine{}
	e.reset(entry)
	return e
}

// reset discards the state of the engine's earlier process; only the runs stay
// counted.
func (e *engine) reset(entry registry.Endpoint) {
	running := e.running
	*e = engine{entry: entry, listed: true, running: running, versions: map[string]int64{}}
	e.mergeVersions(entry.Versions)
}

// update applies a newer registry entry.
func (e *engine) update(entry registry.Endpoint) {
	if entry.Born != e.entry.Born {
		e.reset(entry)
		return
	}
	e.listed = true
	e.entry = entry
	e.mergeVersions(entry.Versions)
}

// mergeVersions keeps the newer of the known and the given version of each
// model.
func (e *engine) mergeVersions(versions map[string]int64) {
	for model, version := range versions {
		e.versions[model] = max(e.versions[model], version)
	}
}

// recordEventTime adds the time since the previous event to the moving average.
func (e *engine) recordEventTime(gap time.Duration) {
	e.eventSamples++
	if e.eventSamples == 1 {
		e.eventTime = gap
		return
	}
	e.eventTime += time.Duration(eventTimeWeight * float64(gap-e.eventTime))
}

func (e *engine) recordPrompt(group string) {
	if slices.Contains(e.prompts, group) {
		return
	}
	e.prompts = append(e.prompts, group)
	if len(e.prompts) > maxPrompts {
		e.prompts = e.prompts[1:]
	}
}

// recordMiss records a connection failure or a stall; each one in a row makes
// the engine avoided for longer.
func (e *engine) recordMiss(now time.Time) {
	if now.Before(e.suspectedUntil) {
		return
	}
	e.suspectedUntil = now.Add(suspectedTime << min(e.misses, maxDoublings))
	e.misses++
}

// isSlow compares the engine's time per event with the median of all engines.
func (e *engine) isSlow(median time.Duration) bool {
	return median > 0 && e.eventSamples >= minEventSamples && float64(e.eventTime) > slowFactor*float64(median)
}

// medianEventTime returns the median time per event of the engines with enough
// samples, zero if there are none.
func medianEventTime(engines map[string]*engine) time.Duration {
	var times []time.Duration
	for _, e := range engines {
		if e.eventSamples >= minEventSamples && e.listed {
			times = append(times, e.eventTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// requirement is what an item requires of an engine.
type requirement struct {
	service    string
	model      string
	minVersion int64
	group      string
	// exact is the only allowed version; zero allows any from minVersion on.
	exact int64
	// avoid is the engine that just failed the item; avoidCentre is its data
	// centre if the engine was unreachable or stalled.
	avoid       string
	avoidCentre string
}

// fits reports whether an engine may get an item now.
func (e *engine) fits(now time.Time, req requirement) bool {
	return !now.Before(e.limitedUntil) && e.fitsButForRate(now, req)
}

// fitsButForRate reports whether an engine may get an item as soon as its rate
// allows one.
func (e *engine) fitsButForRate(now time.Time, req requirement) bool {
	version := e.versions[req.model]
	if e.loadingModel == req.model {
		version = e.loadingVersion
	}
	switch {
	case !e.listed || e.entry.Draining || e.entry.Service != req.service || !e.entry.LeavesAt.IsZero():
		return false
	case e.running >= e.entry.Slots || now.Before(e.overloadedUntil) || now.Before(e.suspectedUntil):
		return false
	case version < req.minVersion || req.exact > 0 && version != req.exact:
		return false
	case e.loadingModel == req.model && !e.mayProbe(now):
		return false
	}
	return true
}

// mayProbe reports whether an item may probe whether the weights are loaded.
func (e *engine) mayProbe(now time.Time) bool {
	return !e.probing && !e.readyAt.IsZero() && !now.Before(e.readyAt)
}

// upcomingVersion returns the version that an engine has or is loading.
func (e *engine) upcomingVersion(model string) int64 {
	if e.loadingModel == model {
		return max(e.loadingVersion, e.versions[model])
	}
	return e.versions[model]
}

// isLoading reports whether the engine counts as one of the concurrent loads.
func (e *engine) isLoading(now time.Time) bool {
	return e.loadingModel != "" && (e.readyAt.IsZero() || now.Before(e.readyAt))
}

// isUsable reports whether the engine is neither leaving nor suspected.
func (e *engine) isUsable(now time.Time) bool {
	return e.listed && !e.entry.Draining && e.entry.LeavesAt.IsZero() && !now.Before(e.suspectedUntil)
}

// isLate reports whether the engine has been loading for lateLoadTime.
func (e *engine) isLate(now time.Time) bool {
	return e.loadingModel != "" && !e.loadingSince.IsZero() && now.Sub(e.loadingSince) >= lateLoadTime
}

// beginLoad records an order for weights.
func (e *engine) beginLoad(model string, version int64) {
	e.loadingModel, e.loadingVersion, e.readyAt, e.probing = model, version, time.Time{}, false
}

// endLoad records that an order has succeeded or failed.
func (e *engine) endLoad() { e.beginLoad("", 0) }

// cost returns the cost of placing an item on the engine; the lowest is
// preferred. median is the median time per event of all engines.
func (e *engine) cost(req requirement, median time.Duration) float64 {
	cost := float64(e.running) / float64(e.entry.Slots)
	if median > 0 && e.eventSamples >= minEventSamples && e.eventTime > median {
		cost += slownessCost * (float64(e.eventTime)/float64(median) - 1)
	}
	if slices.Contains(e.prompts, req.group) {
		cost -= promptCacheBonus
	}
	if e.entry.Reclaimable {
		cost += reclaimableCost
	}
	if e.entry.ID == req.avoid {
		cost++
	}
	if req.avoidCentre != "" && e.entry.Centre == req.avoidCentre {
		cost += lostCentreCost
	}
	cost += missCost * float64(e.misses)
	return cost
}

// choose returns the cheapest engine that fits, nil if there is none. A slow
// engine is chosen only if no other one fits.
func choose(engines map[string]*engine, now time.Time, req requirement) *engine {
	median := medianEventTime(engines)
	var best *engine
	bestCost, bestSlow := 0.0, false
	for _, e := range engines {
		if !e.fits(now, req) {
			continue
		}
		cost, slow := e.cost(req, median), e.isSlow(median)
		better := best == nil || bestSlow && !slow || bestSlow == slow && (cost < bestCost || cost == bestCost && e.entry.ID < best.entry.ID)
		if better {
			best, bestCost, bestSlow = e, cost, slow
		}
	}
	return best
}
