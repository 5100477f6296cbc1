package driver

import (
	"cmp"
	"maps"
	"slices"
)

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

// assignment is an engine that is kept ready for a model.
type assignment struct{ engine, model string }

// assignments returns the engines to keep ready for each model: those assigned to
// it. With fewer engines than models, a model without an engine shares one with
// another model, best the one with its newest weights.
func (in planInput) assignments(assigned map[string]string) []assignment {
	var all []assignment
	counts, shared := map[string]int{}, map[string]int{}
	ids := slices.Sorted(maps.Keys(assigned))
	for _, id := range ids {
		all = append(all, assignment{id, assigned[id]})
		counts[assigned[id]]++
	}
	for _, model := range in.models {
		if counts[model] > 0 || len(ids) == 0 {
			continue
		}
		id := slices.MinFunc(ids, func(a, b string) int {
			byVersion := cmp.Compare(in.engines[b].upcomingVersion(model), in.engines[a].upcomingVersion(model))
			return cmp.Or(byVersion, cmp.Compare(shared[a], shared[b]))
		})
		all = append(all, assignment{id, model})
		shared[id]++
	}
	return all
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
