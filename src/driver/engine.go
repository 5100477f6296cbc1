// Package driver makes the samples of batch jobs: one instance at a time, under
// a lease, places items on engines, keeps the engines' weights fresh enough and
// lists the results.
package driver

import (
	"slices"
	"time"

	"sesamepitch/src/registry"
)

const (
	// paceWeight is the weight of the newest event in an engine's mean pace.
	eventTimeWeight = 0.1
	// paceSamples is how many events make a pace worth comparing.
	minEventSamples = 8
	// slowFactor is how many times the median pace makes an engine slow.
	slowFactor = 1.7
	// suspectTime is how long an engine gets no new item after it failed.
	suspectedTime = 1200 * time.Millisecond
	// maxMisses bounds the doublings of suspectTime.
	maxDoublings = 2
	// fullTime is how long an engine gets no new item after it said it was full.
	overloadBackoff = 60 * time.Millisecond
	// affinity is what an engine that has read a group's prompt is worth, in
	// units of a full engine.
	promptCacheBonus = 0.12
	// paceCost is what an engine's pace beyond the median costs.
	slownessCost = 0.8
	// reclaimCost is what an engine that may be taken away costs.
	reclaimableCost = 0.05
	// missCost is what an engine that was silent or out of reach costs for each
	// time, until it has made an event again.
	missCost = 1.0
	// centreCost is what an engine costs in the data centre of one that the item
	// has just lost: the data centre may be cut off.
	lostCentreCost = 0.5
)

// engine is what the driver knows of an engine beside its entry in the list.
type engine struct {
	entry registry.Endpoint
	// listed engines may get new items as far as the list says.
	listed  bool
	running int
	// versions are the newest known weight versions by model.
	versions map[string]int64
	// loading is the model whose weights are being loaded, empty for none, and
	// target the version.
	loadingModel   string
	loadingVersion int64
	// readyAt is when the weights are expected to be loaded, zero before the
	// engine has accepted the order. From then on one item at a time finds out.
	readyAt        time.Time
	probing        bool
	orders         orderCount
	suspectedUntil time.Time
	// misses counts connections that failed and silences in a row.
	misses          int
	overloadedUntil time.Time
	// pace is the mean time between events, over paces events.
	eventTime    time.Duration
	eventSamples int
	// coldFrom is when the next item may go to the engine while it is cold.
	coldNextAt time.Time
	// coldSent are the times of the items sent to it while cold, of the last
	// second.
	coldSentAt []time.Time
	// prompts are the groups whose prompt it has read, newest last.
	prompts []string
}

// keptPrompts bounds the prompts remembered for an engine.
const maxPrompts = 64

func newEngine(entry registry.Endpoint) *engine {
	e := &engine{}
	e.reset(entry)
	return e
}

// reset forgets all that an earlier process of the engine held.
func (e *engine) reset(entry registry.Endpoint) {
	running := e.running
	*e = engine{entry: entry, listed: true, running: running, versions: map[string]int64{}}
	e.mergeVersions(entry.Versions)
}

// update takes over a newer entry of the list.
func (e *engine) update(entry registry.Endpoint) {
	if entry.Born != e.entry.Born {
		e.reset(entry)
		return
	}
	e.listed = true
	e.entry = entry
	e.mergeVersions(entry.Versions)
}

// learn takes over newer weight versions.
func (e *engine) mergeVersions(versions map[string]int64) {
	for model, version := range versions {
		e.versions[model] = max(e.versions[model], version)
	}
}

// sawEvent takes the time since the event before into the mean pace.
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

// missed notes that no connection could be made or that the engine fell silent;
// it is avoided for longer each time.
func (e *engine) recordMiss(now time.Time) {
	if now.Before(e.suspectedUntil) {
		return
	}
	e.suspectedUntil = now.Add(suspectedTime << min(e.misses, maxDoublings))
	e.misses++
}

// isSlow compares the engine's pace with the median of all.
func (e *engine) isSlow(median time.Duration) bool {
	return median > 0 && e.eventSamples >= minEventSamples && float64(e.eventTime) > slowFactor*float64(median)
}

// medianPace returns the median pace of engines with enough events, zero if
// there are none.
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

// need is what an item asks of an engine.
type requirement struct {
	service    string
	model      string
	minVersion int64
	group      string
	// exact asks for one version, zero for any from minVersion on.
	exact int64
	// avoid is an engine that just failed the item; avoidCentre is its data
	// centre if it could not be reached.
	avoid       string
	avoidCentre string
}

// fits tells whether an engine may get an item now.
func (e *engine) fits(now time.Time, n requirement) bool {
	version := e.versions[n.model]
	if e.loadingModel == n.model {
		version = e.loadingVersion
	}
	switch {
	case !e.listed || e.entry.Draining || e.entry.Service != n.service || !e.entry.LeavesAt.IsZero():
		return false
	case e.running >= e.entry.Slots || now.Before(e.overloadedUntil) || now.Before(e.suspectedUntil):
		return false
	case version < n.minVersion || n.exact > 0 && version != n.exact:
		return false
	case e.loadingModel == n.model && !e.mayProbe(now):
		return false
	case now.Before(e.entry.ColdUntil) && now.Before(e.coldNextAt):
		return false
	}
	return true
}

// mayScout tells whether an item may find out if the weights are loaded.
func (e *engine) mayProbe(now time.Time) bool {
	return !e.probing && !e.readyAt.IsZero() && !now.Before(e.readyAt)
}

// versionSoon returns the version that an engine has or is loading.
func (e *engine) upcomingVersion(model string) int64 {
	if e.loadingModel == model {
		return max(e.loadingVersion, e.versions[model])
	}
	return e.versions[model]
}

// isLoading tells whether the engine takes part of the rate at which weights
// can be loaded.
func (e *engine) isLoading(now time.Time) bool {
	return e.loadingModel != "" && (e.readyAt.IsZero() || now.Before(e.readyAt))
}

// beginLoad notes an order for weights.
func (e *engine) beginLoad(model string, version int64) {
	e.loadingModel, e.loadingVersion, e.readyAt, e.probing = model, version, time.Time{}, false
}

// endLoad notes that an order is done or given up.
func (e *engine) endLoad() { e.beginLoad("", 0) }

// cost is smallest for the engine to take; median is the engines' median pace.
func (e *engine) cost(n requirement, median time.Duration) float64 {
	cost := float64(e.running) / float64(e.entry.Slots)
	if median > 0 && e.eventSamples >= minEventSamples && e.eventTime > median {
		cost += slownessCost * (float64(e.eventTime)/float64(median) - 1)
	}
	if slices.Contains(e.prompts, n.group) {
		cost -= promptCacheBonus
	}
	if e.entry.Reclaimable {
		cost += reclaimableCost
	}
	if e.entry.ID == n.avoid {
		cost++
	}
	if n.avoidCentre != "" && e.entry.Centre == n.avoidCentre {
		cost += lostCentreCost
	}
	cost += missCost * float64(e.misses)
	return cost
}

// choose returns the cheapest engine that fits, nil if there is none. A slow
// engine is taken only if no other one fits.
func choose(engines map[string]*engine, now time.Time, n requirement) *engine {
	median := medianEventTime(engines)
	var best *engine
	bestCost, bestSlow := 0.0, false
	for _, e := range engines {
		if !e.fits(now, n) {
			continue
		}
		cost, slow := e.cost(n, median), e.isSlow(median)
		better := best == nil || bestSlow && !slow || bestSlow == slow && (cost < bestCost || cost == bestCost && e.entry.ID < best.entry.ID)
		if better {
			best, bestCost, bestSlow = e, cost, slow
		}
	}
	return best
}
