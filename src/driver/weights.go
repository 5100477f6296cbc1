package driver

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// At most one engine in enginesPerLoad loads at the same time, but minLoads
	// always may; more would make each load slower.
	enginesPerLoad = 6
	minLoads       = 2
	// defaultLag is how many versions an engine may be behind and still serve
	// the next step, until a job has shown another lag.
	defaultLag = 1
	// saturationThreshold is how many items of a model must wait before another
	// model's engine is loaded for it, if some engine serves the model.
	saturationThreshold = 6
	// unservedAfter is how long one item may wait while no engine serves its model.
	unservedAfter = time.Second
	// lateLoadTime is the time after which an engine that still loads is no longer
	// expected to serve the model soon.
	lateLoadTime = 3 * time.Second
	// nextStepRank ranks a model without an engine for its next step like one
	// that has one engine and waiting items.
	nextStepRank = 1
)

// loadOrder is a planned order to load weights.
type loadOrder struct {
	engine  string
	model   string
	version int64
}

// planInput is the state from which loads are planned.
type planInput struct {
	now time.Time
	// engines are those of one service, and models the ones that it holds.
	engines map[string]*engine
	models  []string
	// newest are the newest versions by model.
	newest map[string]int64
	// needed are the oldest versions that serve both the open jobs and the next
	// step, by model.
	needed map[string]int64
	// waiting counts the items that wait for an engine, by model.
	waiting map[string]int
	// oldest is since when the item that has waited longest waits, by model.
	oldest map[string]time.Time
	// loads counts the ordered loads of the newest version, by model.
	loads map[string]int
}

// planLoads returns the loads to order now, the most urgent first: those of
// engines whose version is older than needed, and one for each model without an
// engine for its next step; then those for models with many waiting items. Only
// if there are none of these, it returns loads of engines that are behind but
// still allowed, while free loads remain. A model that no engine serves gets its
// load also beyond the limit: the engines that load may not answer.
func planLoads(in planInput, assigned map[string]string) []loadOrder {
	all := in.assignments(assigned)
	room := maxLoads(len(in.engines)) - countLoading(in.engines, in.now)
	unserved := unservedLoads(in)
	if room <= 0 {
		return firstPerEngine(unserved, 1)
	}
	wanted := in.sortByRank(append(staleLoads(in, all), nextStepLoads(in, all)...))
	wanted = append(wanted, saturatedLoads(in, assigned)...)
	wanted = append(wanted, slices.DeleteFunc(unserved, func(l loadOrder) bool { return loadsModel(wanted, l.model) })...)
	if len(wanted) == 0 {
		wanted = refreshLoads(in, all, len(assigned))
	}
	return firstPerEngine(wanted, room)
}

func loadsModel(loads []loadOrder, model string) bool {
	return slices.ContainsFunc(loads, func(l loadOrder) bool { return l.model == model })
}

func maxLoads(engines int) int { return max(minLoads, engines/enginesPerLoad) }

func countLoading(engines map[string]*engine, now time.Time) int {
	count := 0
	for _, e := range engines {
		if e.isLoading(now) {
			count++
		}
	}
	return count
}

// mayLoad reports whether an engine can take an order now.
func (in planInput) mayLoad(e *engine) bool {
	return e.isUsable(in.now) && e.loadingModel == ""
}

// nextStepLoads returns a load for each model whose newest version no assigned
// engine has or loads: the next step may allow nothing older. The engine that
// serves the model least is chosen; its runs continue meanwhile.
func nextStepLoads(in planInput, all []assignment) []ranked {
	best := map[string]*engine{}
	fresh := map[string]bool{}
	for _, a := range all {
		model, e := a.model, in.engines[a.engine]
		if e.upcomingVersion(model) >= in.newest[model] {
			fresh[model] = true
		}
		if in.mayLoad(e) && (best[model] == nil || in.servesLess(model, e, best[model])) {
			best[model] = e
		}
	}
	var wanted []ranked
	for _, model := range slices.Sorted(maps.Keys(best)) {
		if !fresh[model] {
			wanted = append(wanted, ranked{loadOrder{best[model].entry.ID, model, in.newest[model]}, nextStepRank})
		}
	}
	return wanted
}

// servesLess reports whether an engine serves a model less than another one
// does: its version is too old, or fewer items run there.
func (in planInput) servesLess(model string, e, other *engine) bool {
	old, otherOld := e.versions[model] < in.needed[model], other.versions[model] < in.needed[model]
	if old != otherOld {
		return old
	}
	return e.running < other.running
}

// staleLoads returns loads for engines whose version of their assigned model is
// older than needed, the models with the fewest fresh engines first.
func staleLoads(in planInput, all []assignment) []ranked {
	fresh := map[string]int{}
	var wanted []loadOrder
	for _, a := range all {
		model, e := a.model, in.engines[a.engine]
		if e.versions[model] >= in.needed[model] {
			fresh[model]++
			continue
		}
		if in.mayLoad(e) {
			wanted = append(wanted, loadOrder{a.engine, model, in.newest[model]})
		}
	}
	return rankByModel(wanted, func(model string) int {
		if in.waiting[model] == 0 {
			return fresh[model] + len(in.engines) // after the models with waiting items
		}
		return fresh[model]
	})
}

// ranked is a load with its rank, the number of engines that its model has
// before it; a lower rank is more urgent.
type ranked struct {
	load loadOrder
	rank int
}

// rankByModel ranks loads so that each goes to the model with the fewest
// engines at that point: start returns how many a model has, and each load adds
// one.
func rankByModel(loads []loadOrder, start func(model string) int) []ranked {
	added := map[string]int{}
	order := make([]ranked, len(loads))
	for i, l := range loads {
		order[i] = ranked{load: l, rank: start(l.model) + added[l.model]}
		added[l.model]++
	}
	return order
}

// sortByRank returns the loads, the most urgent first. Of models with the same rank
// comes first the one whose items have waited longest, so that models that share an
// engine take turns.
func (in planInput) sortByRank(order []ranked) []loadOrder {
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), in.compareWait(a.load.model, b.load.model))
	})
	var loads []loadOrder
	for _, each := range order {
		loads = append(loads, each.load)
	}
	return loads
}

// compareWait is negative if an item of model a has waited longer than any of b.
func (in planInput) compareWait(a, b string) int {
	sinceA, waitsA := in.oldest[a]
	sinceB, waitsB := in.oldest[b]
	switch {
	case waitsA && waitsB:
		return sinceA.Compare(sinceB)
	case waitsA:
		return -1
	case waitsB:
		return 1
	}
	return 0
}

// unservedLoads returns a load for each model with an item that has waited for
// unservedAfter while no engine served it: on the engine with the fewest items.
func unservedLoads(in planInput) []loadOrder {
	var order []ranked
	for _, model := range in.models {
		if !in.isUnserved(model) {
			continue
		}
		var best *engine
		for id, e := range in.engines {
			if !in.mayLoad(e) {
				continue
			}
			if best == nil || e.running < best.running || e.running == best.running && id < best.entry.ID {
				best = e
			}
		}
		if best != nil {
			order = append(order, ranked{load: loadOrder{best.entry.ID, model, in.newest[model]}})
		}
	}
	return in.sortByRank(order)
}

// isUnserved reports whether an item of a model has waited for unservedAfter and no
// engine has, or will soon have, weights for it.
func (in planInput) isUnserved(model string) bool {
	since, waits := in.oldest[model]
	if !waits || in.now.Sub(since) < unservedAfter {
		return false
	}
	for _, e := range in.engines {
		if in.serves(e, model) {
			return false
		}
	}
	return true
}

// serves reports whether an engine takes items of a model now or soon.
func (in planInput) serves(e *engine, model string) bool {
	if !e.isUsable(in.now) {
		return false
	}
	version := e.versions[model]
	if !e.isLate(in.now) {
		version = e.upcomingVersion(model)
	}
	return version >= in.needed[model]
}

// saturatedLoads returns loads of idle engines of other models for models with
// many waiting items.
func saturatedLoads(in planInput, assigned map[string]string) []loadOrder {
	var wanted []loadOrder
	for _, model := range slices.Sorted(maps.Keys(in.waiting)) {
		if in.waiting[model] < saturationThreshold {
			continue
		}
		var best *engine
		for id, e := range in.engines {
			idle := e.running <= e.entry.Slots/3
			if assigned[id] == model || !idle || !in.mayLoad(e) || e.versions[model] >= in.needed[model] {
				continue
			}
			if best == nil || e.running < best.running || e.running == best.running && id < best.entry.ID {
				best = e
			}
		}
		if best != nil {
			wanted = append(wanted, loadOrder{best.entry.ID, model, in.newest[model]})
		}
	}
	return wanted
}

// refreshLoads returns loads for some of a number of engines whose version of their assigned model
// is behind but still allowed, while free loads of the newest version remain:
// as many as the model's share of the engines.
func refreshLoads(in planInput, all []assignment, engines int) []loadOrder {
	free := map[string]int{}
	for _, model := range in.models {
		free[model] = engines/max(len(in.models), 1) - in.loads[model]
	}
	current := map[string]int{}
	var wanted []loadOrder
	for _, a := range all {
		model, e := a.model, in.engines[a.engine]
		if e.versions[model] >= in.newest[model] {
			current[model]++
			continue
		}
		if !in.mayLoad(e) || free[model] <= 0 || in.waiting[model] > 0 {
			continue
		}
		free[model]--
		wanted = append(wanted, loadOrder{a.engine, model, in.newest[model]})
	}
	return in.sortByRank(rankByModel(wanted, func(model string) int { return current[model] }))
}

// firstPerEngine returns the first load of each engine, at most room of them.
func firstPerEngine(wanted []loadOrder, room int) []loadOrder {
	seen := map[string]bool{}
	var first []loadOrder
	for _, l := range wanted {
		if seen[l.engine] || len(first) >= room {
			continue
		}
		seen[l.engine] = true
		first = append(first, l)
	}
	return first
}
