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
	loadsShare = 5
	leastLoads = 2
	// versionsBehind is how many versions an engine may be behind and still
	// serve the next step, where no job has shown another figure.
	versionsBehind = 1
	// crowded is how many items of a model wait before more loads are ordered
	// than are free.
	crowded = 6
	// idleShare is the part of its slots up to which an engine counts as idle.
	idleShare = 1.0 / 3
	// slowCost, nearCost and modelsCost make an engine worse to load: a slow one,
	// one in a data centre that has the model already, one that serves others.
	slowCost   = 2.0
	nearCost   = 0.5
	modelsCost = 0.5
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

// standing is how a model is served at present.
type standing struct {
	// usable engines have a version that is needed, fresh ones the newest.
	usable, fresh int
	// expiring engines are usable until the next version is named.
	expiring int
	// free is how many loads of the newest version cost nothing.
	free int
	// centres counts the usable engines by data centre.
	centres map[string]int
}

// planner adds loads one by one; each changes what the next one is decided on.
type planner struct {
	in        planInput
	standings map[string]*standing
	taken     map[string]bool
	median    time.Duration
}

// plan returns the loads to order now, the most urgent first. Each version is
// loaded at the engines whose own is too old, the free loads of a version at
// one part of them: those of the versions before serve until theirs expires.
func plan(in planInput) []load {
	p := newPlanner(in)
	var loads []load
	for room := loadsAtOnce(len(in.engines)) - loadingNow(in.engines, in.now); room > 0; room-- {
		next, found := p.next()
		if !found {
			break
		}
		p.take(next)
		loads = append(loads, next)
	}
	return loads
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

func newPlanner(in planInput) *planner {
	p := &planner{in: in, standings: map[string]*standing{}, taken: map[string]bool{}, median: medianPace(in.engines)}
	for _, model := range in.models {
		p.standings[model] = p.standingOf(model)
	}
	return p
}

func (p *planner) standingOf(model string) *standing {
	share := max(len(p.in.engines)/len(p.in.models), 1)
	s := &standing{free: share - p.in.loads[model], centres: map[string]int{}}
	for _, e := range p.in.engines {
		if !e.inUse() {
			continue
		}
		version := e.versionSoon(model)
		if version < p.in.needed[model] {
			continue
		}
		s.usable++
		s.centres[e.entry.Centre]++
		switch version {
		case p.in.named[model]:
			s.fresh++
		case p.in.needed[model]:
			s.expiring++
		}
	}
	return s
}

// inUse tells whether an engine may get items later.
func (e *engine) inUse() bool {
	return e.listed && !e.entry.Draining && e.entry.LeavesAt.IsZero()
}

// versionSoon returns the version that an engine has or is loading.
func (e *engine) versionSoon(model string) int64 {
	if e.loading == model {
		return max(e.target, e.versions[model])
	}
	return e.versions[model]
}

// mayLoad tells whether an engine can take an order now.
func (p *planner) mayLoad(e *engine) bool {
	return e.inUse() && e.loading == "" && !p.taken[e.entry.ID] && !p.in.now.Before(e.suspectUntil)
}

// next returns the load that the worst served model wants.
func (p *planner) next() (load, bool) {
	models := slices.Clone(p.in.models)
	slices.SortStableFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.rank(a), p.rank(b)), cmp.Compare(p.standings[a].fresh, p.standings[b].fresh), cmp.Compare(a, b))
	})
	for _, model := range models {
		if e := p.candidate(model); e != nil {
			return load{engine: e.entry.ID, model: model, version: p.in.named[model]}, true
		}
	}
	return load{}, false
}

// rank is smallest for the model with the fewest usable engines; models whose
// items wait come before all others.
func (p *planner) rank(model string) int {
	if p.in.waiting[model] == 0 {
		return p.standings[model].usable + len(p.in.engines)
	}
	return p.standings[model].usable
}

// candidate returns the engine to load for a model, nil if it wants no load.
func (p *planner) candidate(model string) *engine {
	s, named, needed := p.standings[model], p.in.named[model], p.in.needed[model]
	waiting := p.in.waiting[model]
	expired := func(e *engine) bool { return e.versions[model] < min(needed, named) }
	if s.free > 0 || waiting > 0 && s.usable == 0 {
		if e := p.best(model, expired); e != nil {
			return e
		}
	}
	if waiting >= crowded {
		return p.best(model, func(e *engine) bool {
			return expired(e) && float64(e.running) <= idleShare*float64(e.entry.Slots)
		})
	}
	lag := int(named - needed)
	if s.free > 0 && waiting == 0 && s.expiring*(lag+1) > s.usable {
		return p.best(model, func(e *engine) bool { return e.versions[model] == needed && needed < named })
	}
	return nil
}

// best returns the cheapest engine that can take an order and fits.
func (p *planner) best(model string, fits func(*engine) bool) *engine {
	var best *engine
	bestCost := 0.0
	for _, id := range slices.Sorted(maps.Keys(p.in.engines)) {
		e := p.in.engines[id]
		if !p.mayLoad(e) || !fits(e) {
			continue
		}
		if cost := p.cost(model, e); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// cost is smallest for an engine that has room, serves few other models and
// stands where the model has no engine yet.
func (p *planner) cost(model string, e *engine) float64 {
	s := p.standings[model]
	cost := float64(e.running) / float64(max(e.entry.Slots, 1))
	cost += nearCost * float64(s.centres[e.entry.Centre]) / float64(max(s.usable, 1))
	others := 0
	for _, other := range p.in.models {
		if other != model && e.versions[other] >= p.in.needed[other] {
			others++
		}
	}
	cost += modelsCost * float64(others) / float64(len(p.in.models))
	if e.isSlow(p.median) {
		cost += slowCost
	}
	return cost
}

// take counts a load as ordered.
func (p *planner) take(l load) {
	s, e := p.standings[l.model], p.in.engines[l.engine]
	p.taken[l.engine] = true
	s.free--
	s.fresh++
	if e.versions[l.model] >= p.in.needed[l.model] {
		s.expiring--
		return
	}
	s.usable++
	s.centres[e.entry.Centre]++
}
