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
	// model's engine is loaded for it.
	saturationThreshold = 6
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
	// loads counts the ordered loads of the newest version, by model.
	loads map[string]int
}

// assignModels assigns a model to each usable engine. An engine keeps its
// model, a new one gets the model with the fewest engines, and while the
// largest share exceeds the smallest by two or more, one of its engines moves
// to the smallest.
func assignModels(previous map[string]string, engines map[string]*engine, models []string) map[string]string {
	next := map[string]string{}
	if len(models) == 0 {
		return next
	}
	counts := map[string]int{}
	var unassigned []string
	for _, id := range usableEngines(engines) {
		model, found := previous[id]
		if found && slices.Contains(models, model) {
			next[id] = model
			counts[model]++
			continue
		}
		unassigned = append(unassigned, id)
	}
	for _, id := range unassigned {
		model := leastAssigned(models, counts)
		next[id] = model
		counts[model]++
	}
	for {
		small, large := leastAssigned(models, counts), mostAssigned(models, counts)
		if counts[large]-counts[small] < 2 {
			return next
		}
		id := lastAssigned(next, engines, large)
		next[id] = small
		counts[large]--
		counts[small]++
	}
}

// usableEngines returns the engines that are listed and not draining, sorted by
// data centre, so that a model's engines are spread over data centres.
func usableEngines(engines map[string]*engine) []string {
	var ids []string
	for id, e := range engines {
		if e.listed && !e.entry.Draining {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		byCentre := cmp.Compare(engines[a].entry.Centre, engines[b].entry.Centre)
		return cmp.Or(byCentre, cmp.Compare(a, b))
	})
	return ids
}

func leastAssigned(models []string, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
}

func mostAssigned(models []string, counts map[string]int) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
}

func lastAssigned(assigned map[string]string, engines map[string]*engine, model string) string {
	ids := usableEngines(engines)
	for i := len(ids) - 1; i >= 0; i-- {
		if assigned[ids[i]] == model {
			return ids[i]
		}
	}
	return ""
}

// planLoads returns the loads to order now, the most urgent first: those of
// engines whose version is older than needed, and one for each model without an
// engine for its next step; then those for models with many waiting items. Only
// if there are none of these, it returns loads of engines that are behind but
// still allowed, while free loads remain.
func planLoads(in planInput, assigned map[string]string) []loadOrder {
	room := maxLoads(len(in.engines)) - countLoading(in.engines, in.now)
	if room <= 0 {
		return nil
	}
	wanted := sortByRank(append(staleLoads(in, assigned), nextStepLoads(in, assigned)...))
	wanted = append(wanted, saturatedLoads(in, assigned)...)
	if len(wanted) == 0 {
		wanted = refreshLoads(in, assigned)
	}
	return firstPerEngine(wanted, room)
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
	return e.listed && !e.entry.Draining && e.loadingModel == "" && e.entry.LeavesAt.IsZero() && !in.now.Before(e.suspectedUntil)
}

// nextStepLoads returns a load for each model whose newest version no assigned
// engine has or loads: the next step may allow nothing older. The engine that
// serves the model least is chosen; its runs continue meanwhile.
func nextStepLoads(in planInput, assigned map[string]string) []ranked {
	best := map[string]*engine{}
	fresh := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(assigned)) {
		model, e := assigned[id], in.engines[id]
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
func staleLoads(in planInput, assigned map[string]string) []ranked {
	fresh := map[string]int{}
	var wanted []loadOrder
	for _, id := range slices.Sorted(maps.Keys(assigned)) {
		model, e := assigned[id], in.engines[id]
		if e.versions[model] >= in.needed[model] {
			fresh[model]++
			continue
		}
		if in.mayLoad(e) {
			wanted = append(wanted, loadOrder{id, model, in.newest[model]})
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

// sortByRank returns the loads, the most urgent first.
func sortByRank(order []ranked) []loadOrder {
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var loads []loadOrder
	for _, each := range order {
		loads = append(loads, each.load)
	}
	return loads
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

// refreshLoads returns loads for engines whose version of their assigned model
// is behind but still allowed, while free loads of the newest version remain:
// as many as the model's share of the engines.
func refreshLoads(in planInput, assigned map[string]string) []loadOrder {
	free := map[string]int{}
	for _, model := range in.models {
		free[model] = len(assigned)/max(len(in.models), 1) - in.loads[model]
	}
	current := map[string]int{}
	var wanted []loadOrder
	for _, id := range slices.Sorted(maps.Keys(assigned)) {
		model, e := assigned[id], in.engines[id]
		if e.versions[model] >= in.newest[model] {
			current[model]++
			continue
		}
		if !in.mayLoad(e) || free[model] <= 0 || in.waiting[model] > 0 {
			continue
		}
		free[model]--
		wanted = append(wanted, loadOrder{id, model, in.newest[model]})
	}
	return sortByRank(rankByModel(wanted, func(model string) int { return current[model] }))
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
