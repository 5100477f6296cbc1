package driver

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// loadsShare is one over the part of the engines that load at the same time;
	// more would make each load slower.
	loadsShare = 6
	leastLoads = 2
	// versionsBehind is how many versions an engine may be behind and still
	// serve the next step, where no job has shown another figure.
	versionsBehind = 1
	// crowded is how many items of a model wait before an engine beyond its own
	// is loaded for it.
	crowded = 6
	// aheadRank ranks a model without an engine for its next step with those that
	// have one engine and waiting items.
	aheadRank = 1
)

// load is an order that the plan asks for.
type load struct {
	engine  string
	model   string
	version int64
}

// planInput is what decides which engines load which weights.
type planInput struct {
	now time.Time
	// engines of one service, and the models that they hold.
	engines map[string]*engine
	models  []string
	// named are the newest versions by model.
	named map[string]int64
	// needed are the oldest versions that serve both the open jobs and the next
	// step, by model.
	needed map[string]int64
	// waiting counts the items that wait for an engine, by model.
	waiting map[string]int
	// loads counts the loads of the newest version, by model.
	loads map[string]int
}

// homes deals the engines out to the models: an engine keeps its model, a new
// one gets the model with the fewest, and the largest share gives one away
// while it has two more than the smallest.
func homes(old map[string]string, engines map[string]*engine, models []string) map[string]string {
	next := map[string]string{}
	if len(models) == 0 {
		return next
	}
	counts := map[string]int{}
	var fresh []string
	for _, id := range sortedEngines(engines) {
		model, known := old[id]
		if known && slices.Contains(models, model) {
			next[id] = model
			counts[model]++
			continue
		}
		fresh = append(fresh, id)
	}
	for _, id := range fresh {
		model := fewest(models, counts)
		next[id] = model
		counts[model]++
	}
	for {
		small, large := fewest(models, counts), most(models, counts)
		if counts[large]-counts[small] < 2 {
			return next
		}
		id := lastOf(next, engines, large)
		next[id] = small
		counts[large]--
		counts[small]++
	}
}

// sortedEngines lists the usable engines by data centre, so that a model's
// engines stand in different ones.
func sortedEngines(engines map[string]*engine) []string {
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

func fewest(models []string, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
}

func most(models []string, counts map[string]int) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
}

func lastOf(homes map[string]string, engines map[string]*engine, model string) string {
	ids := sortedEngines(engines)
	for i := len(ids) - 1; i >= 0; i-- {
		if homes[ids[i]] == model {
			return ids[i]
		}
	}
	return ""
}

// plan returns the loads to order now, the most urgent first: engines whose
// version is older than needed, and one for each model that has none for its
// next step; then engines for models whose items wait; then engines that are
// merely behind, as far as loads are free.
func plan(in planInput, home map[string]string) []load {
	room := loadsAtOnce(len(in.engines)) - loadingNow(in.engines, in.now)
	if room <= 0 {
		return nil
	}
	wanted := byRank(append(expired(in, home), ahead(in, home)...))
	wanted = append(wanted, extra(in, home)...)
	if len(wanted) == 0 {
		wanted = refresh(in, home)
	}
	return distinct(wanted, room)
}

func loadsAtOnce(engines int) int { return max(leastLoads, engines/loadsShare) }

func loadingNow(engines map[string]*engine, now time.Time) int {
	count := 0
	for _, e := range engines {
		if e.isLoading(now) {
			count++
		}
	}
	return count
}

// mayLoad tells whether an engine can take an order now.
func (in planInput) mayLoad(e *engine) bool {
	return e.listed && !e.entry.Draining && e.loading == "" && e.entry.LeavesAt.IsZero() && !in.now.Before(e.suspectUntil)
}

// ahead lists one home engine for each model of which no engine has the newest
// version: the next step may allow nothing older. The one that serves least is
// taken; what runs there goes on meanwhile.
func ahead(in planInput, home map[string]string) []ranked {
	best := map[string]*engine{}
	fresh := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(home)) {
		model, e := home[id], in.engines[id]
		if e.versionSoon(model) >= in.named[model] {
			fresh[model] = true
		}
		if in.mayLoad(e) && (best[model] == nil || in.servesLess(model, e, best[model])) {
			best[model] = e
		}
	}
	var wanted []ranked
	for _, model := range slices.Sorted(maps.Keys(best)) {
		if !fresh[model] {
			wanted = append(wanted, ranked{load{best[model].entry.ID, model, in.named[model]}, aheadRank})
		}
	}
	return wanted
}

// servesLess tells whether an engine serves a model less than another one does:
// its version is too old, or fewer items run there.
func (in planInput) servesLess(model string, e, other *engine) bool {
	old, otherOld := e.versions[model] < in.needed[model], other.versions[model] < in.needed[model]
	if old != otherOld {
		return old
	}
	return e.running < other.running
}

// expired lists home engines whose version is older than needed, the models
// with the fewest fresh engines first.
func expired(in planInput, home map[string]string) []ranked {
	fresh := map[string]int{}
	var wanted []load
	for _, id := range slices.Sorted(maps.Keys(home)) {
		model, e := home[id], in.engines[id]
		if e.versions[model] >= in.needed[model] {
			fresh[model]++
			continue
		}
		if in.mayLoad(e) {
			wanted = append(wanted, load{id, model, in.named[model]})
		}
	}
	return inTurn(wanted, func(model string) int {
		if in.waiting[model] == 0 {
			return fresh[model] + len(in.engines) // after those whose items wait
		}
		return fresh[model]
	})
}

// ranked is a load with its urgency: how many engines its model has by then.
type ranked struct {
	load load
	rank int
}

// inTurn ranks loads so that each takes the model that is worst off by then:
// start is what a model has, and each load adds one.
func inTurn(loads []load, start func(model string) int) []ranked {
	given := map[string]int{}
	order := make([]ranked, len(loads))
	for i, l := range loads {
		order[i] = ranked{load: l, rank: start(l.model) + given[l.model]}
		given[l.model]++
	}
	return order
}

// byRank returns the loads, the most urgent first.
func byRank(order []ranked) []load {
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var loads []load
	for _, each := range order {
		loads = append(loads, each.load)
	}
	return loads
}

// extra lists idle engines of other models for models whose items wait.
func extra(in planInput, home map[string]string) []load {
	var wanted []load
	for _, model := range slices.Sorted(maps.Keys(in.waiting)) {
		if in.waiting[model] < crowded {
			continue
		}
		var best *engine
		for id, e := range in.engines {
			idle := e.running <= e.entry.Slots/3
			if home[id] == model || !idle || !in.mayLoad(e) || e.versions[model] >= in.needed[model] {
				continue
			}
			if best == nil || e.running < best.running || e.running == best.running && id < best.entry.ID {
				best = e
			}
		}
		if best != nil {
			wanted = append(wanted, load{best.entry.ID, model, in.named[model]})
		}
	}
	return wanted
}

// refresh lists home engines that are behind but still allowed, while loads of
// the newest version are free.
func refresh(in planInput, home map[string]string) []load {
	free := map[string]int{}
	for _, model := range in.models {
		free[model] = len(home)/max(len(in.models), 1) - in.loads[model]
	}
	newest := map[string]int{}
	var wanted []load
	for _, id := range slices.Sorted(maps.Keys(home)) {
		model, e := home[id], in.engines[id]
		if e.versions[model] >= in.named[model] {
			newest[model]++
			continue
		}
		if !in.mayLoad(e) || free[model] <= 0 || in.waiting[model] > 0 {
			continue
		}
		free[model]--
		wanted = append(wanted, load{id, model, in.named[model]})
	}
	return byRank(inTurn(wanted, func(model string) int { return newest[model] }))
}

// distinct keeps the first load of each engine, up to room of them.
func distinct(wanted []load, room int) []load {
	seen := map[string]bool{}
	var kept []load
	for _, l := range wanted {
		if seen[l.engine] || len(kept) >= room {
			continue
		}
		seen[l.engine] = true
		kept = append(kept, l)
	}
	return kept
}
