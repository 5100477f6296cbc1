package driver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineAt returns an engine of service "lm" with 12 slots and a version of
// each model.
func engineAt(id, centre string, versions map[string]int64) *engine {
	return newEngine(registry.Endpoint{ID: id, Service: "lm", Centre: centre, Slots: 12, Versions: versions})
}

func pool(count int, version int64, models ...string) map[string]*engine {
	engines := map[string]*engine{}
	for i := range count {
		versions := map[string]int64{}
		for _, model := range models {
			versions[model] = version
		}
		id := fmt.Sprintf("e%02d", i)
		engines[id] = engineAt(id, fmt.Sprintf("dc-%d", i/3), versions)
	}
	return engines
}

func paced(e *engine, pace time.Duration) {
	for range paceSamples + 40 {
		e.sawEvent(pace)
	}
}

// TestChoose has for each reason why an engine must not or should not get an
// item a case in which the other engine has to be taken.
func TestChoose(t *testing.T) {
	wants := need{service: "lm", model: "coach", minVersion: 5, group: "g"}
	cases := []struct {
		name string
		// spoil makes engine e00 unfit or worse than e01.
		spoil func(e *engine)
	}{
		{"not listed", func(e *engine) { e.listed = false }},
		{"draining", func(e *engine) { e.entry.Draining = true }},
		{"another service", func(e *engine) { e.entry.Service = "desk" }},
		{"about to leave", func(e *engine) { e.entry.LeavesAt = start.Add(time.Second) }},
		{"full", func(e *engine) { e.running = 12 }},
		{"said it was full", func(e *engine) { e.fullUntil = start.Add(time.Millisecond) }},
		{"suspect", func(e *engine) { e.suspectUntil = start.Add(time.Second) }},
		{"weights too old", func(e *engine) { e.versions["coach"] = 4 }},
		{"loads these weights", func(e *engine) { e.beginLoad("coach", 6) }},
		{"cold and just used", func(e *engine) {
			e.entry.ColdUntil = start.Add(time.Second)
			e.coldFrom = start.Add(50 * time.Millisecond)
		}},
		{"busier", func(e *engine) { e.running = 3 }},
		{"slow", func(e *engine) { paced(e, 140*time.Millisecond) }},
		{"has just failed the item", func(_ *engine) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := pool(2, 5, "coach")
			paced(engines["e00"], 40*time.Millisecond)
			paced(engines["e01"], 40*time.Millisecond)
			engines["e00"].paces = 0
			c.spoil(engines["e00"])
			n := wants
			n.avoid = "e00"
			got := choose(engines, start, n)
			assert.Equal(t, got.entry.ID, "e01")
		})
	}
	t.Run("a group's prompt is read already", func(t *testing.T) {
		engines := pool(3, 5, "coach")
		engines["e02"].readPrompt("g")
		assert.Equal(t, choose(engines, start, wants).entry.ID, "e02")
	})
	t.Run("none fits", func(t *testing.T) {
		assert.Assert(t, choose(pool(3, 4, "coach"), start, wants) == nil)
	})
}

// TestLostCentre replays a data centre that is cut off: a text whose engine fell
// silent goes on in another one, although the engines beside it are less busy,
// and no engine that was silent gets it while others have room.
func TestLostCentre(t *testing.T) {
	engines := map[string]*engine{}
	for _, at := range []string{"cut-1", "cut-2", "far-1", "far-2"} {
		engines[at] = engineAt(at, at[:3], map[string]int64{"coach": 5})
	}
	engines["far-1"].running, engines["far-2"].running = 4, 5
	wants := need{service: "lm", model: "coach", minVersion: 5, avoid: "cut-1", avoidCentre: "cut"}
	engines["cut-1"].missed(start)
	assert.Equal(t, choose(engines, start, wants).entry.ID, "far-1")

	later := start.Add(suspectTime)
	engines["far-1"].running, engines["far-2"].running = 11, 12
	other := need{service: "lm", model: "coach", minVersion: 5}
	engines["cut-2"].missed(start)
	assert.Equal(t, choose(engines, later, other).entry.ID, "far-1", "silent engines are tried last")
	engines["far-1"].running = 12
	assert.Assert(t, choose(engines, later, other).entry.Centre == "cut", "but they are tried")
}

// TestMissed avoids an engine for longer with each silence, not with each run
// that notices the same one.
func TestMissed(t *testing.T) {
	e := engineAt("e", "dc", nil)
	now := start
	for _, avoided := range []time.Duration{suspectTime, 2 * suspectTime, 4 * suspectTime, 4 * suspectTime} {
		for range 12 {
			e.missed(now)
		}
		assert.Equal(t, e.suspectUntil.Sub(now), avoided)
		now = e.suspectUntil
	}
}

// TestSilenceLimit gives an engine as much time as its pace suggests.
func TestSilenceLimit(t *testing.T) {
	cases := []struct {
		name  string
		pace  time.Duration
		began bool
		limit time.Duration
	}{
		{"before the first event", 40 * time.Millisecond, false, firstEventTime},
		{"quick", 5 * time.Millisecond, true, gapLeast},
		{"usual", 50 * time.Millisecond, true, 500 * time.Millisecond},
		{"slow", 300 * time.Millisecond, true, gapMost},
		{"pace unknown", 0, true, gapLeast},
	}
	for _, c := range cases {
		r := run{engine: &engine{pace: c.pace}, gotEvent: c.began}
		assert.Equal(t, r.silenceLimit(), c.limit, c.name)
	}
}

// TestExpectedEvents goes by the trainer's estimate until the text is longer.
func TestExpectedEvents(t *testing.T) {
	cases := []struct {
		tokens   int64
		made     int
		expected int
	}{
		{0, 0, meanEvents},
		{59 * 50, 0, 50},
		{59 * 50, 40, 53},
		{59 * 50, 120, 160},
		{59, 1, 2},
	}
	for _, c := range cases {
		waits := &task{item: batch.Item{ExpectedTokens: c.tokens}, text: text{events: make([]string, c.made)}}
		assert.Equal(t, waits.expectedEvents(), c.expected, "estimate %d, made %d", c.tokens, c.made)
	}
}

// TestKeptTexts replays a step under way: of more texts than fit into one write,
// those are kept that take longest, and each is kept in its turn.
func TestKeptTexts(t *testing.T) {
	const items = 60
	s := &session{ledger: batch.NewLedger(sesamepitch.SystemClock{}, nil)}
	half := s.ledger.CheckpointSize() / 2
	j := &job{target: newTarget(batch.Job{})}
	for i := range items {
		waits := &task{job: j, index: i, item: batch.Item{ExpectedTokens: int64(i) * tokensPerEvent}}
		for range 20 {
			waits.text.add(sesamepitch.Event{Data: "an event", Version: 1})
		}
		j.open = append(j.open, waits)
	}
	first := s.takeProgress(j, keepEvents)
	assert.Equal(t, len(first), batch.MaxCheckpoints)
	for i, part := range first {
		assert.Equal(t, part.Item, items-1-i, "the longest first")
	}
	kept := map[int]bool{}
	for range items/batch.MaxCheckpoints + 1 {
		for _, part := range s.takeProgress(j, keepEvents) {
			kept[part.Item] = true
		}
	}
	assert.Equal(t, len(kept)+len(first), items)
	for _, each := range j.open {
		each.text.add(sesamepitch.Event{Data: strings.Repeat("x", half), Version: 1})
		each.text.add(sesamepitch.Event{Data: strings.Repeat("y", half), Version: 1})
	}
	bytes := 0
	for _, part := range s.takeProgress(j, 1) {
		bytes += part.Size()
	}
	assert.Assert(t, bytes > 0 && bytes <= batch.MaxCheckpointBytes, "%d bytes in one write", bytes)
}

// TestScout lets one item at a time try an engine once its load is due.
func TestScout(t *testing.T) {
	engines := pool(1, 4, "coach", "desk")
	e := engines["e00"]
	wants := need{service: "lm", model: "coach", minVersion: 5}
	e.beginLoad("coach", 5)
	assert.Assert(t, choose(engines, start, wants) == nil, "not accepted yet")
	e.readyAt = start.Add(time.Second)
	assert.Assert(t, choose(engines, start, wants) == nil, "not due yet")
	assert.Assert(t, choose(engines, start, need{service: "lm", model: "desk", minVersion: 4}) == e, "other models go on")
	assert.Assert(t, choose(engines, start.Add(time.Second), wants) == e)
	e.scouting = true
	assert.Assert(t, choose(engines, start.Add(time.Second), wants) == nil, "one at a time")
	assert.Assert(t, !e.isLoading(start.Add(time.Second)), "another engine may load")
}

// TestLongestFirst replays the arrival of a step: the items that take longest
// get the first places, and an older job's go before a newer one's. Estimates are
// often far off, so a long text that is about as long as its estimate counts as
// likely to go on.
func TestLongestFirst(t *testing.T) {
	older := &job{target: newTarget(batch.Job{}), due: start.Add(4 * time.Second)}
	newer := &job{target: newTarget(batch.Job{}), due: start.Add(8 * time.Second)}
	tasks := []*task{
		{job: newer, item: batch.Item{ID: "short", ExpectedTokens: 10 * tokensPerEvent}},
		{job: newer, item: batch.Item{ID: "long", ExpectedTokens: 150 * tokensPerEvent}},
		{job: newer, item: batch.Item{ID: "resumed", ExpectedTokens: 150 * tokensPerEvent}, text: text{events: make([]string, 145)}},
		{job: newer, item: batch.Item{ID: "almost whole", ExpectedTokens: 15 * tokensPerEvent}, text: text{events: make([]string, 12)}},
		{job: newer, item: batch.Item{ID: "unknown"}},
		{job: older, item: batch.Item{ID: "older", ExpectedTokens: 70 * tokensPerEvent}},
	}
	byUrgency(tasks, start, 40*time.Millisecond)
	var order []string
	for _, each := range tasks {
		order = append(order, each.item.ID)
	}
	assert.DeepEqual(t, order, []string{"older", "long", "resumed", "unknown", "short", "almost whole"})
}

func TestHomes(t *testing.T) {
	models := []string{"a", "b", "c"}
	engines := pool(12, 1, models...)
	home := homes(nil, engines, models)
	counts := map[string]int{}
	centres := map[string]map[string]bool{"a": {}, "b": {}, "c": {}}
	for id, model := range home {
		counts[model]++
		centres[model][engines[id].entry.Centre] = true
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.Equal(t, len(centres["a"]), 4, "a model's engines stand in different data centres")

	again := homes(home, engines, models)
	assert.DeepEqual(t, again, home)
	for i := range 3 {
		engines[fmt.Sprintf("e%02d", i)].listed = false
	}
	fewer := homes(home, engines, models)
	for id, model := range fewer {
		assert.Equal(t, model, home[id], "engines that stay keep their model")
	}
	assert.Equal(t, len(homes(nil, engines, nil)), 0)
}

// TestHomesBalanced draws engines that come and go: shares differ by one at
// most, and each engine in use has a model.
func TestHomesBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]
		engines := pool(rapid.IntRange(1, 30).Draw(t, "engines"), 1, models...)
		var home map[string]string
		for range 5 {
			for _, e := range engines {
				e.listed = rapid.Bool().Draw(t, "listed")
			}
			home = homes(home, engines, models)
			counts := map[string]int{}
			for _, model := range home {
				counts[model]++
			}
			if most, least := counts[most(models, counts)], counts[fewest(models, counts)]; most-least > 1 {
				t.Fatalf("shares %v", counts)
			}
			if len(home) != len(sortedEngines(engines)) {
				t.Fatalf("%d engines have a model", len(home))
			}
		}
	})
}

func planFor(engines map[string]*engine, named map[string]int64) planInput {
	return planInput{
		now: start, engines: engines, models: []string{"a", "b", "c"}, named: named,
		needed: map[string]int64{"a": named["a"] - 1, "b": named["b"] - 1, "c": named["c"] - 1}, waiting: map[string]int{}, loads: map[string]int{},
	}
}

// lastHome returns the last engine that belongs to a model.
func lastHome(home map[string]string, model string) string {
	last := ""
	for id := range home {
		if home[id] == model {
			last = max(last, id)
		}
	}
	return last
}

func TestPlan(t *testing.T) {
	models := []string{"a", "b", "c"}
	named := map[string]int64{"a": 3, "b": 3, "c": 3}
	t.Run("engines that the next step does not allow come first, of the model whose items wait", func(t *testing.T) {
		engines := pool(12, 1, models...)
		in := planFor(engines, named)
		in.waiting = map[string]int{"b": 20}
		loads := plan(in, homes(nil, engines, models))
		assert.Equal(t, len(loads), leastLoads)
		for _, l := range loads {
			assert.Equal(t, l.model, "b")
			assert.Equal(t, l.version, int64(3))
		}
	})
	t.Run("no more than the rate bears", func(t *testing.T) {
		engines := pool(12, 1, models...)
		engines["e00"].beginLoad("a", 3)
		engines["e01"].beginLoad("b", 3)
		assert.Equal(t, len(plan(planFor(engines, named), homes(nil, engines, models))), 0)
		engines["e01"].readyAt = start
		assert.Equal(t, len(plan(planFor(engines, named), homes(nil, engines, models))), 1, "a load that is due frees its place")
	})
	t.Run("engines that are merely behind load while that is free", func(t *testing.T) {
		engines := pool(12, 2, models...)
		in := planFor(engines, named)
		assert.Equal(t, len(plan(in, homes(nil, engines, models))), leastLoads)
		in.loads = map[string]int{"a": 4, "b": 4, "c": 4}
		home := homes(nil, engines, models)
		for _, id := range []string{"e00", "e01", "e02"} {
			engines[id].learn(map[string]int64{home[id]: 3})
		}
		assert.Equal(t, len(plan(in, homes(nil, engines, models))), 0)
	})
	t.Run("not while their model's items wait and one engine is ready for the next step", func(t *testing.T) {
		engines := pool(12, 2, models...)
		home := homes(nil, engines, models)
		in := planFor(engines, named)
		in.waiting = map[string]int{"a": 1, "b": 1, "c": 1}
		for _, id := range []string{"e00", "e01", "e02"} {
			engines[id].learn(map[string]int64{home[id]: 3})
		}
		assert.Equal(t, len(plan(in, home)), 0)
	})
	t.Run("one engine is made ready for the next step while items wait, the least busy one", func(t *testing.T) {
		engines := pool(12, 2, models...)
		home := homes(nil, engines, models)
		for id, e := range engines {
			e.running = 12
			if home[id] != "b" {
				e.learn(map[string]int64{home[id]: 3})
			}
		}
		idlest := lastHome(home, "b")
		engines[idlest].running = 4
		in := planFor(engines, named)
		in.waiting = map[string]int{"b": crowded - 1}
		loads := plan(in, home)
		assert.Equal(t, len(loads), 1)
		assert.Equal(t, loads[0], load{idlest, "b", 3})
		engines[idlest].beginLoad("b", 3)
		assert.Equal(t, len(plan(in, home)), 0, "one at a time")
	})
	t.Run("an idle engine of another model helps a crowded one", func(t *testing.T) {
		engines := pool(12, 3, models...)
		home := homes(nil, engines, models)
		for id, e := range engines {
			if home[id] != "a" {
				e.versions["a"] = 1
			}
		}
		in := planFor(engines, named)
		in.waiting = map[string]int{"a": crowded}
		loads := plan(in, home)
		assert.Equal(t, len(loads), 1)
		assert.Equal(t, loads[0].model, "a")
		assert.Assert(t, home[loads[0].engine] != "a")
	})
	t.Run("nothing for engines that are about to leave", func(t *testing.T) {
		engines := pool(3, 1, models...)
		for _, e := range engines {
			e.entry.LeavesAt = start.Add(time.Second)
		}
		assert.Equal(t, len(plan(planFor(engines, named), homes(nil, engines, models))), 0)
	})
}

// namedVersions decodes rows as named versions of model "a".
type namedVersions struct{ registry.Decoder }

func (namedVersions) Operation(row sesamepitch.Row) registry.Operation {
	return registry.Operation{Kind: registry.OperationVersion, Model: "a", Version: row.Version}
}

// TestNeeded takes two jobs over at once, in any order, while all engines have
// weights that only the older job allows and both have waiting items: those of
// the newer one are ordered.
func TestNeeded(t *testing.T) {
	known := registry.New(sesamepitch.SystemClock{}, namedVersions{})
	known.ApplyOperators([]sesamepitch.Row{{Key: "op//version", Version: 8}}, false)
	older := &job{target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "older", Model: "a", MinVersion: 6}}, open: []*task{{}}}
	newer := &job{target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "newer", Model: "a", MinVersion: 7}}, open: []*task{{}}}
	closed := &job{target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "closed", Model: "a", MinVersion: 7}}}
	future := &job{target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "future", Model: "a", MinVersion: 9}}, open: []*task{{}}}
	cases := []struct {
		name   string
		jobs   []*job
		needed int64
		loads  int
	}{
		{"newer last", []*job{older, newer}, 7, leastLoads},
		{"older last", []*job{newer, older}, 7, leastLoads},
		{"older alone", []*job{older}, 6, 1},
		{"the newer one has no open item, but shows what the next step allows", []*job{closed, older}, 7, leastLoads},
		{"a version that is not known to be named yet", []*job{older, future}, 8, leastLoads},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &session{registry: known, jobs: map[string]*job{}, lags: map[string]lag{}}
			for _, j := range c.jobs {
				s.jobs[j.ID] = j
				s.learnLag(j)
			}
			engines, named := pool(12, 6, "a"), known.Versions()
			needed := s.neededBy([]string{"a"}, named)
			assert.Equal(t, needed["a"], c.needed)
			loads := plan(planInput{
				now: start, engines: engines, models: []string{"a"}, named: named, needed: needed,
				waiting: map[string]int{"a": 1}, loads: map[string]int{},
			}, homes(nil, engines, []string{"a"}))
			assert.Equal(t, len(loads), c.loads)
		})
	}
}

// TestPlanKeepsPace replays new versions each four seconds for three models on
// twelve engines, loads of 0.9 s and two at once: each step finds at least two
// engines whose weights it allows.
func TestPlanKeepsPace(t *testing.T) {
	models := []string{"a", "b", "c"}
	engines := pool(12, 1, models...)
	named := map[string]int64{"a": 1, "b": 1, "c": 1}
	loads := map[string]int{}
	var home map[string]string
	for tenth := range 600 {
		now := start.Add(time.Duration(tenth) * 100 * time.Millisecond)
		for _, e := range engines {
			if e.loading != "" && !now.Before(e.readyAt) {
				e.learn(map[string]int64{e.loading: e.target})
				e.endLoad()
			}
		}
		if tenth > 0 && tenth%40 == 0 {
			for _, model := range models {
				named[model]++
				loads[model] = 0
			}
			for _, model := range models {
				fresh := 0
				for _, e := range engines {
					if e.versions[model] >= named[model]-1 {
						fresh++
					}
				}
				assert.Assert(t, fresh >= 2, "model %s has %d engines at %s", model, fresh, now.Sub(start))
			}
		}
		in := planFor(engines, named)
		in.now, in.loads = now, loads
		home = homes(home, engines, models)
		for _, l := range plan(in, home) {
			engines[l.engine].beginLoad(l.model, l.version)
			engines[l.engine].readyAt = now.Add(900 * time.Millisecond)
			loads[l.model]++
		}
	}
}

func TestEngineForgetsAtRestart(t *testing.T) {
	e := engineAt("e", "dc", map[string]int64{"a": 4})
	e.learn(map[string]int64{"a": 7})
	e.running = 2
	e.update(registry.Endpoint{ID: "e", Service: "lm", Slots: 12, Versions: map[string]int64{"a": 5}})
	assert.Equal(t, e.versions["a"], int64(7), "an older entry takes nothing back")
	e.update(registry.Endpoint{ID: "e", Service: "lm", Slots: 12, Born: 9, Versions: map[string]int64{"a": 5}})
	assert.Equal(t, e.versions["a"], int64(5))
	assert.Assert(t, !e.orders.known)
	assert.Equal(t, e.running, 2)
}

func TestTextAllowed(t *testing.T) {
	cases := []struct {
		versions []int64
		least    int64
		single   bool
		allowed  bool
	}{
		{nil, 5, true, true},
		{[]int64{5}, 5, true, true},
		{[]int64{4}, 5, false, false},
		{[]int64{4, 6}, 5, false, false},
		{[]int64{5, 6}, 5, false, true},
		{[]int64{5, 6}, 5, true, false},
	}
	for _, c := range cases {
		known := text{made: c.versions}
		assert.Equal(t, known.allowed(c.least, c.single), c.allowed, "%v from %d", c.versions, c.least)
	}
}

// TestAbandonedReservation gives the place back that was kept for a text whose
// job ends while it moves.
func TestAbandonedReservation(t *testing.T) {
	e := engineAt("e", "dc", nil)
	moving := &task{}
	moving.reserve(e)
	assert.Equal(t, e.running, 1)
	(&session{}).abandon(moving)
	assert.Equal(t, e.running, 0)
	assert.Assert(t, moving.release() == nil)
}

// TestReservationOfWholeText gives the place back that was kept for a text
// whose last event came just before the move.
func TestReservationOfWholeText(t *testing.T) {
	clock := sesamepitch.SystemClock{}
	s := &session{clock: clock, log: logr.Discard(), wake: make(chan struct{}, 1)}
	from, to := engineAt("from", "dc", nil), engineAt("to", "dc", nil)
	moving := &task{job: &job{target: newTarget(batch.Job{}), wake: make(chan struct{}, 1)}}
	moving.run = &run{task: moving, engine: from, started: clock.Now(), why: "moved to a faster engine"}
	from.running++
	moving.reserve(to)
	s.end(moving.run, sesamepitch.ErrComplete)
	assert.Assert(t, moving.finished)
	assert.Equal(t, from.running, 0)
	assert.Equal(t, to.running, 0)
}

// TestDrawOf spreads items evenly and always in the same way.
func TestDrawOf(t *testing.T) {
	low := 0
	for i := range 1000 {
		draw := drawOf(fmt.Sprint("item-", i))
		assert.Assert(t, draw >= 0 && draw < 1)
		assert.Equal(t, draw, drawOf(fmt.Sprint("item-", i)))
		if draw < 0.9 {
			low++
		}
	}
	assert.Assert(t, low > 850 && low < 950, "%d of 1000 below 0.9", low)
}

// TestOrderCount takes acceptances and reports in an order in which they come
// and compares the count that the next order would name.
func TestOrderCount(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name  string
		steps func(c *orderCount)
		count int64
		known bool
	}{
		{"never asked", func(*orderCount) {}, 0, false},
		{"asked", func(c *orderCount) { c.reported(3, at(0)) }, 3, true},
		{"accepted since", func(c *orderCount) { c.reported(3, at(0)); c.accepted(at(10)) }, 4, true},
		{"an older report", func(c *orderCount) { c.reported(3, at(0)); c.accepted(at(10)); c.reported(3, at(300)) }, 4, true},
		{"a repeat that was not counted", func(c *orderCount) { c.reported(3, at(0)); c.accepted(at(10)); c.reported(3, at(700)) }, 3, true},
		{"another holder's order", func(c *orderCount) { c.reported(3, at(0)); c.reported(5, at(10)) }, 5, true},
		{"accepted by a process before", func(c *orderCount) { c.accepted(at(0)); c.reported(0, at(10)) }, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var counted orderCount
			c.steps(&counted)
			assert.Equal(t, counted.count, c.count)
			assert.Equal(t, counted.known, c.known)
		})
	}
}

// TestTarget finishes items in turn and looks for the one with which the trainer
// has all that it waits for.
func TestTarget(t *testing.T) {
	cases := []struct {
		name string
		// groups are those of the items, target how many the trainer waits for.
		groups string
		target int
		// earlier are the groups that an earlier job has begun.
		earlier string
		// order is the items' groups as they finish, met the one that meets the target.
		order string
		met   int
	}{
		{"all groups", "aabb", 2, "", "abab", 3},
		{"one group is left out", "aabbcc", 2, "", "acbacb", 4},
		{"no target is all groups", "aab", 0, "", "aba", 2},
		{"more than there are", "aab", 9, "", "aba", 2},
		{"an earlier group is waited for", "aabbcc", 2, "c", "aabbcc", 5},
		{"an earlier group is among the target", "aabbcc", 2, "a", "aabcbc", 4},
		{"an earlier group that is not in the job", "ab", 1, "z", "ab", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := batch.Job{Header: batch.Header{GroupTarget: c.target}}
			for i, group := range strings.Split(c.groups, "") {
				j.Items = append(j.Items, batch.Item{ID: fmt.Sprint(i), Group: group})
			}
			waits := newTarget(j)
			for _, group := range c.earlier {
				waits.await(string(group))
			}
			for i, group := range strings.Split(c.order, "") {
				assert.Equal(t, waits.isMet(), i > c.met, "before item %d", i)
				waits.finish(group)
			}
			assert.Assert(t, waits.isMet())
		})
	}
}

// TestAfterBreaks runs a task that breaks off each of its runs before the first
// event: after the third one it gets three more, each later than the one before.
func TestAfterBreaks(t *testing.T) {
	suspect := &task{job: &job{giveUp: start.Add(40 * time.Second)}}
	var runs []time.Duration
	now := start
	for now.Before(suspect.job.giveUp) {
		runs = append(runs, now.Sub(start))
		suspect.breaks++
		if suspect.breaks >= suspiciousBreaks {
			now = suspect.afterBreaks(now)
		}
	}
	assert.DeepEqual(t, runs, []time.Duration{0, 0, 0, time.Second, 3 * time.Second, 7 * time.Second})
}

// TestDelivery says when an order is sent again after what became of it.
func TestDelivery(t *testing.T) {
	cases := []struct {
		name string
		// outcome notes what became of the order that was sent at the start.
		outcome func(d *delivery)
		// again is when it is due; zero for never within ten seconds.
		again time.Duration
	}{
		{"no answer", func(*delivery) {}, orderAgain + loadPoll/2},
		{"broken off at once", func(d *delivery) { d.broke() }, loadPoll / 2},
		{"broken off twice", func(d *delivery) { d.broke(); d.sentAt = start; d.broke() }, orderAgain + loadPoll/2},
		{"accepted", func(d *delivery) { d.accepted = true }, 0},
		{"accepted and dropped", func(d *delivery) { d.accepted = true; d.reported(false, start.Add(2*time.Second)) }, orderAgain + loadPoll/2},
		{"the engine is busy", func(d *delivery) { d.reported(true, start) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := delivery{sentAt: start}
			c.outcome(&d)
			again := time.Duration(0)
			for at := loadPoll / 2; at < 10*time.Second && again == 0; at += loadPoll / 2 {
				if d.isDue(start.Add(at)) {
					again = at
				}
			}
			assert.Equal(t, again, c.again)
		})
	}
}

// TestPartialProgress keeps a text whose last events were made by newer weights,
// in parts that do not take all of it: each part names the versions of its own
// events, and a driver that finds only the first part knows of no others.
func TestPartialProgress(t *testing.T) {
	long := &task{lineage: 7}
	for i := range 30 {
		version := int64(2)
		if i >= 20 {
			version = 4
		}
		long.text.add(sesamepitch.Event{Data: strings.Repeat("x", 100), Version: version})
	}
	first := long.progress(1000)
	assert.Equal(t, len(first.Events), 10)
	former := textOfProgress(first)
	assert.DeepEqual(t, former.versions(), []int64{2})
	former.add(sesamepitch.Event{Data: "y", Version: 2})
	assert.DeepEqual(t, former.versions(), []int64{2})
	whole := textOfProgress(long.progress(1_000_000))
	assert.DeepEqual(t, whole.versions(), []int64{2, 4})
	assert.Equal(t, len(textOfProgress(batch.Checkpoint{Events: []string{"a", "b"}, Versions: []int64{2}}).events), 0, "the version of an event is missing")
}
