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

// newTestEngine returns an engine of service "lm" with 12 slots and the given
// version of each model.
func newTestEngine(id, centre string, versions map[string]int64) *engine {
	return newEngine(registry.Endpoint{ID: id, Service: "lm", Centre: centre, Slots: 12, Versions: versions})
}

func newTestEngines(count int, version int64, models ...string) map[string]*engine {
	engines := map[string]*engine{}
	for i := range count {
		versions := map[string]int64{}
		for _, model := range models {
			versions[model] = version
		}
		id := fmt.Sprintf("e%02d", i)
		engines[id] = newTestEngine(id, fmt.Sprintf("dc-%d", i/3), versions)
	}
	return engines
}

// testTokensPerEvent is the ratio of testLengths.
const testTokensPerEvent = 59

func testLengths() *lengthModel { return &lengthModel{tokensPerEvent: testTokensPerEvent} }

func setEventTime(e *engine, eventTime time.Duration) {
	for range minEventSamples + 40 {
		e.recordEventTime(eventTime)
	}
}

// TestChoose has one case for each reason to reject or avoid an engine; the
// other engine must be chosen.
func TestChoose(t *testing.T) {
	required := requirement{service: "lm", model: "coach", minVersion: 5, group: "g"}
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
		{"reported an overload", func(e *engine) { e.overloadedUntil = start.Add(time.Millisecond) }},
		{"suspect", func(e *engine) { e.suspectedUntil = start.Add(time.Second) }},
		{"weights too old", func(e *engine) { e.versions["coach"] = 4 }},
		{"loads these weights", func(e *engine) { e.beginLoad("coach", 6) }},
		{"cold and recently used", func(e *engine) {
			e.entry.ColdUntil = start.Add(time.Second)
			e.coldNextAt = start.Add(50 * time.Millisecond)
		}},
		{"busier", func(e *engine) { e.running = 3 }},
		{"slow", func(e *engine) { setEventTime(e, 140*time.Millisecond) }},
		{"just failed the item", func(_ *engine) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := newTestEngines(2, 5, "coach")
			setEventTime(engines["e00"], 40*time.Millisecond)
			setEventTime(engines["e01"], 40*time.Millisecond)
			engines["e00"].eventSamples = 0
			c.spoil(engines["e00"])
			req := required
			req.avoid = "e00"
			got := choose(engines, start, req)
			assert.Equal(t, got.entry.ID, "e01")
		})
	}
	t.Run("has read the group's prompt", func(t *testing.T) {
		engines := newTestEngines(3, 5, "coach")
		engines["e02"].recordPrompt("g")
		assert.Equal(t, choose(engines, start, required).entry.ID, "e02")
	})
	t.Run("none fits", func(t *testing.T) {
		assert.Assert(t, choose(newTestEngines(3, 4, "coach"), start, required) == nil)
	})
}

// TestLostCentre cuts a data centre off: an item whose engine became
// unresponsive moves to another data centre, although the engines beside it are
// less busy, and unresponsive engines get no items while others have room.
func TestLostCentre(t *testing.T) {
	engines := map[string]*engine{}
	for _, at := range []string{"cut-1", "cut-2", "far-1", "far-2"} {
		engines[at] = newTestEngine(at, at[:3], map[string]int64{"coach": 5})
	}
	engines["far-1"].running, engines["far-2"].running = 4, 5
	required := requirement{service: "lm", model: "coach", minVersion: 5, avoid: "cut-1", avoidCentre: "cut"}
	engines["cut-1"].recordMiss(start)
	assert.Equal(t, choose(engines, start, required).entry.ID, "far-1")

	later := start.Add(suspectedTime)
	engines["far-1"].running, engines["far-2"].running = 11, 12
	other := requirement{service: "lm", model: "coach", minVersion: 5}
	engines["cut-2"].recordMiss(start)
	assert.Equal(t, choose(engines, later, other).entry.ID, "far-1", "unresponsive engines are tried last")
	engines["far-1"].running = 12
	assert.Assert(t, choose(engines, later, other).entry.Centre == "cut", "but they are tried")
}

// TestMissed avoids an engine for longer with each stall, but not with each run
// that detects the same stall.
func TestMissed(t *testing.T) {
	e := newTestEngine("e", "dc", nil)
	now := start
	for _, avoided := range []time.Duration{suspectedTime, 2 * suspectedTime, 4 * suspectedTime, 4 * suspectedTime} {
		for range 12 {
			e.recordMiss(now)
		}
		assert.Equal(t, e.suspectedUntil.Sub(now), avoided)
		now = e.suspectedUntil
	}
}

// TestSilenceLimit checks that the stall limit follows the engine's time per
// event within its bounds.
func TestSilenceLimit(t *testing.T) {
	cases := []struct {
		name      string
		eventTime time.Duration
		began     bool
		limit     time.Duration
	}{
		{"before the first event", 40 * time.Millisecond, false, firstEventTimeout},
		{"quick", 5 * time.Millisecond, true, minStallTime},
		{"usual", 50 * time.Millisecond, true, 500 * time.Millisecond},
		{"slow", 300 * time.Millisecond, true, maxStallTime},
		{"time per event unknown", 0, true, minStallTime},
		{"slower than any stall", 1200 * time.Millisecond, true, 2400 * time.Millisecond},
		{"slower than any stall, before the first event", 1200 * time.Millisecond, false, 2400 * time.Millisecond},
	}
	for _, c := range cases {
		r := run{engine: &engine{eventTime: c.eventTime}, gotEvent: c.began}
		assert.Equal(t, r.stallLimit(), c.limit, c.name)
	}
}

// TestExpectedEvents uses the trainer's estimate until the output grows beyond
// it.
func TestExpectedEvents(t *testing.T) {
	cases := []struct {
		tokens    int64
		generated int
		expected  int
	}{
		{0, 0, defaultEvents},
		{testTokensPerEvent * 50, 0, 50},
		{testTokensPerEvent * 50, 40, 53},
		{testTokensPerEvent * 50, 120, 160},
		{testTokensPerEvent, 1, 2},
	}
	for _, c := range cases {
		estimated := &task{job: &job{lengths: testLengths()}, item: batch.Item{ExpectedTokens: c.tokens}, output: output{events: make([]string, c.generated)}}
		assert.Equal(t, estimated.expectedEvents(), c.expected, "estimate %d, generated %d", c.tokens, c.generated)
	}
}

// TestKeptTexts checkpoints a step with more outputs than fit into one write:
// the longest are written first, and all are written eventually.
func TestKeptTexts(t *testing.T) {
	const items = 60
	s := &session{ledger: batch.NewLedger(sesamepitch.SystemClock{}, nil)}
	half := s.ledger.CheckpointSize() / 2
	j := &job{target: newTarget(batch.Job{}), lengths: testLengths()}
	for i := range items {
		running := &task{job: j, index: i, item: batch.Item{ExpectedTokens: int64(i) * testTokensPerEvent}}
		for range 20 {
			running.output.add(sesamepitch.Event{Data: "an event", Version: 1})
		}
		j.open = append(j.open, running)
	}
	first := s.takeCheckpoints(j, minCheckpointEvents)
	assert.Equal(t, len(first), batch.MaxCheckpoints)
	for i, part := range first {
		assert.Equal(t, part.Item, items-1-i, "the longest first")
	}
	checkpointed := map[int]bool{}
	for range items/batch.MaxCheckpoints + 1 {
		for _, part := range s.takeCheckpoints(j, minCheckpointEvents) {
			checkpointed[part.Item] = true
		}
	}
	assert.Equal(t, len(checkpointed)+len(first), items)
	for _, each := range j.open {
		each.output.add(sesamepitch.Event{Data: strings.Repeat("x", half), Version: 1})
		each.output.add(sesamepitch.Event{Data: strings.Repeat("y", half), Version: 1})
	}
	bytes := 0
	for _, part := range s.takeCheckpoints(j, 1) {
		bytes += part.Size()
	}
	assert.Assert(t, bytes > 0 && bytes <= batch.MaxCheckpointBytes, "%d bytes in one write", bytes)
}

// TestProbe lets one item at a time probe an engine once its load is due.
func TestProbe(t *testing.T) {
	engines := newTestEngines(1, 4, "coach", "desk")
	e := engines["e00"]
	required := requirement{service: "lm", model: "coach", minVersion: 5}
	e.beginLoad("coach", 5)
	assert.Assert(t, choose(engines, start, required) == nil, "not accepted yet")
	e.readyAt = start.Add(time.Second)
	assert.Assert(t, choose(engines, start, required) == nil, "not due yet")
	assert.Assert(t, choose(engines, start, requirement{service: "lm", model: "desk", minVersion: 4}) == e, "other models go on")
	assert.Assert(t, choose(engines, start.Add(time.Second), required) == e)
	e.probing = true
	assert.Assert(t, choose(engines, start.Add(time.Second), required) == nil, "one at a time")
	assert.Assert(t, !e.isLoading(start.Add(time.Second)), "another engine may load")
}

// TestLongestFirst checks the order in which the items of a step are placed:
// the longest first, and an older job's before a newer one's. Estimates are
// often far off, so an output that is about as long as its estimate counts as
// likely to go on.
func TestLongestFirst(t *testing.T) {
	older := &job{lengths: testLengths(), target: newTarget(batch.Job{}), deadline: start.Add(4 * time.Second)}
	newer := &job{lengths: testLengths(), target: newTarget(batch.Job{}), deadline: start.Add(8 * time.Second)}
	tasks := []*task{
		{job: newer, item: batch.Item{ID: "short", ExpectedTokens: 10 * testTokensPerEvent}},
		{job: newer, item: batch.Item{ID: "long", ExpectedTokens: 150 * testTokensPerEvent}},
		{job: newer, item: batch.Item{ID: "resumed", ExpectedTokens: 150 * testTokensPerEvent}, output: output{events: make([]string, 145)}},
		{job: newer, item: batch.Item{ID: "almost complete", ExpectedTokens: 15 * testTokensPerEvent}, output: output{events: make([]string, 12)}},
		{job: newer, item: batch.Item{ID: "unknown"}},
		{job: older, item: batch.Item{ID: "older", ExpectedTokens: 70 * testTokensPerEvent}},
	}
	byUrgency(tasks, start, 40*time.Millisecond)
	var order []string
	for _, each := range tasks {
		order = append(order, each.item.ID)
	}
	assert.DeepEqual(t, order, []string{"older", "long", "resumed", "unknown", "short", "almost complete"})
}

func TestAssignModels(t *testing.T) {
	models := []string{"a", "b", "c"}
	engines := newTestEngines(12, 1, models...)
	assigned := assignModels(nil, engines, models)
	counts := map[string]int{}
	centres := map[string]map[string]bool{"a": {}, "b": {}, "c": {}}
	for id, model := range assigned {
		counts[model]++
		centres[model][engines[id].entry.Centre] = true
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 4, "b": 4, "c": 4})
	assert.Equal(t, len(centres["a"]), 4, "a model's engines are in different data centres")

	again := assignModels(assigned, engines, models)
	assert.DeepEqual(t, again, assigned)
	for i := range 3 {
		engines[fmt.Sprintf("e%02d", i)].listed = false
	}
	fewer := assignModels(assigned, engines, models)
	for id, model := range fewer {
		assert.Equal(t, model, assigned[id], "remaining engines keep their model")
	}
	assert.Equal(t, len(assignModels(nil, engines, nil)), 0)
}

// TestHomesBalanced draws engines that join and leave: shares differ by one at
// most, and each engine in use has a model.
func TestHomesBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]
		engines := newTestEngines(rapid.IntRange(1, 30).Draw(t, "engines"), 1, models...)
		var assigned map[string]string
		for range 5 {
			for _, e := range engines {
				e.listed = rapid.Bool().Draw(t, "listed")
			}
			assigned = assignModels(assigned, engines, models)
			counts := map[string]int{}
			for _, model := range assigned {
				counts[model]++
			}
			if most, least := counts[mostAssigned(models, counts)], counts[leastAssigned(models, counts)]; most-least > 1 {
				t.Fatalf("shares %v", counts)
			}
			if len(assigned) != len(usableEngines(engines)) {
				t.Fatalf("%d engines have a model", len(assigned))
			}
		}
	})
}

func testPlanInput(engines map[string]*engine, newest map[string]int64) planInput {
	return planInput{
		now: start, engines: engines, models: []string{"a", "b", "c"}, newest: newest,
		needed: map[string]int64{"a": newest["a"] - 1, "b": newest["b"] - 1, "c": newest["c"] - 1}, waiting: map[string]int{}, loads: map[string]int{},
	}
}

// lastAssignedTo returns the last engine that is assigned to a model.
func lastAssignedTo(assigned map[string]string, model string) string {
	last := ""
	for id := range assigned {
		if assigned[id] == model {
			last = max(last, id)
		}
	}
	return last
}

func TestPlan(t *testing.T) {
	models := []string{"a", "b", "c"}
	newest := map[string]int64{"a": 3, "b": 3, "c": 3}
	t.Run("engines too old for the next step come first, of the model whose items wait", func(t *testing.T) {
		engines := newTestEngines(12, 1, models...)
		in := testPlanInput(engines, newest)
		in.waiting = map[string]int{"b": 20}
		loads := planLoads(in, assignModels(nil, engines, models))
		assert.Equal(t, len(loads), minLoads)
		for _, l := range loads {
			assert.Equal(t, l.model, "b")
			assert.Equal(t, l.version, int64(3))
		}
	})
	t.Run("no more than the limit of concurrent loads", func(t *testing.T) {
		engines := newTestEngines(12, 1, models...)
		engines["e00"].beginLoad("a", 3)
		engines["e01"].beginLoad("b", 3)
		assert.Equal(t, len(planLoads(testPlanInput(engines, newest), assignModels(nil, engines, models))), 0)
		engines["e01"].readyAt = start
		assert.Equal(t, len(planLoads(testPlanInput(engines, newest), assignModels(nil, engines, models))), 1, "a load that is due frees its place")
	})
	t.Run("engines that are behind but allowed load while free loads remain", func(t *testing.T) {
		engines := newTestEngines(12, 2, models...)
		in := testPlanInput(engines, newest)
		assert.Equal(t, len(planLoads(in, assignModels(nil, engines, models))), minLoads)
		in.loads = map[string]int{"a": 4, "b": 4, "c": 4}
		assigned := assignModels(nil, engines, models)
		for _, id := range []string{"e00", "e01", "e02"} {
			engines[id].mergeVersions(map[string]int64{assigned[id]: 3})
		}
		assert.Equal(t, len(planLoads(in, assignModels(nil, engines, models))), 0)
	})
	t.Run("none while their model's items wait and one engine is ready for the next step", func(t *testing.T) {
		engines := newTestEngines(12, 2, models...)
		assigned := assignModels(nil, engines, models)
		in := testPlanInput(engines, newest)
		in.waiting = map[string]int{"a": 1, "b": 1, "c": 1}
		for _, id := range []string{"e00", "e01", "e02"} {
			engines[id].mergeVersions(map[string]int64{assigned[id]: 3})
		}
		assert.Equal(t, len(planLoads(in, assigned)), 0)
	})
	t.Run("the least busy engine is prepared for the next step while items wait", func(t *testing.T) {
		engines := newTestEngines(12, 2, models...)
		assigned := assignModels(nil, engines, models)
		for id, e := range engines {
			e.running = 12
			if assigned[id] != "b" {
				e.mergeVersions(map[string]int64{assigned[id]: 3})
			}
		}
		idlest := lastAssignedTo(assigned, "b")
		engines[idlest].running = 4
		in := testPlanInput(engines, newest)
		in.waiting = map[string]int{"b": saturationThreshold - 1}
		loads := planLoads(in, assigned)
		assert.Equal(t, len(loads), 1)
		assert.Equal(t, loads[0], loadOrder{idlest, "b", 3})
		engines[idlest].beginLoad("b", 3)
		assert.Equal(t, len(planLoads(in, assigned)), 0, "one at a time")
	})
	t.Run("an idle engine of another model helps a saturated one", func(t *testing.T) {
		engines := newTestEngines(12, 3, models...)
		assigned := assignModels(nil, engines, models)
		for id, e := range engines {
			if assigned[id] != "a" {
				e.versions["a"] = 1
			}
		}
		in := testPlanInput(engines, newest)
		in.waiting = map[string]int{"a": saturationThreshold}
		loads := planLoads(in, assigned)
		assert.Equal(t, len(loads), 1)
		assert.Equal(t, loads[0].model, "a")
		assert.Assert(t, assigned[loads[0].engine] != "a")
	})
	t.Run("none for engines that are about to leave", func(t *testing.T) {
		engines := newTestEngines(3, 1, models...)
		for _, e := range engines {
			e.entry.LeavesAt = start.Add(time.Second)
		}
		assert.Equal(t, len(planLoads(testPlanInput(engines, newest), assignModels(nil, engines, models))), 0)
	})
}

// versionDecoder decodes rows as versions of model "a".
type versionDecoder struct{ registry.Decoder }

func (versionDecoder) Operation(row sesamepitch.Row) registry.Operation {
	return registry.Operation{Kind: registry.OperationVersion, Model: "a", Version: row.Version}
}

// TestNeeded takes two jobs over in either order while all engines have weights
// that only the older job allows and both have waiting items: the weights for
// the newer job must be ordered.
func TestNeeded(t *testing.T) {
	reg := registry.New(sesamepitch.SystemClock{}, versionDecoder{})
	reg.ApplyOperators([]sesamepitch.Row{{Key: "op//version", Version: 8}}, false)
	older := &job{lengths: testLengths(), target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "older", Model: "a", MinVersion: 6}}, open: []*task{{}}}
	newer := &job{lengths: testLengths(), target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "newer", Model: "a", MinVersion: 7}}, open: []*task{{}}}
	closed := &job{target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "closed", Model: "a", MinVersion: 7}}}
	future := &job{target: newTarget(batch.Job{}), Job: batch.Job{Header: batch.Header{ID: "future", Model: "a", MinVersion: 9}}, open: []*task{{}}}
	cases := []struct {
		name   string
		jobs   []*job
		needed int64
		loads  int
	}{
		{"newer last", []*job{older, newer}, 7, minLoads},
		{"older last", []*job{newer, older}, 7, minLoads},
		{"older alone", []*job{older}, 6, 1},
		{"the newer one has no open item, but its lag applies to the next step", []*job{closed, older}, 7, minLoads},
		{"a version that is not known yet", []*job{older, future}, 8, minLoads},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &session{registry: reg, jobs: map[string]*job{}, lags: map[string]lag{}}
			for _, j := range c.jobs {
				s.jobs[j.ID] = j
				s.recordLag(j)
			}
			engines, newest := newTestEngines(12, 6, "a"), reg.Versions()
			needed := s.neededBy([]string{"a"}, newest)
			assert.Equal(t, needed["a"], c.needed)
			loads := planLoads(planInput{
				now: start, engines: engines, models: []string{"a"}, newest: newest, needed: needed,
				waiting: map[string]int{"a": 1}, loads: map[string]int{},
			}, assignModels(nil, engines, []string{"a"}))
			assert.Equal(t, len(loads), c.loads)
		})
	}
}

// TestPlanKeepsPace publishes a new version every 4 s for three models on
// twelve engines, with loads of 0.9 s and two at once: each step must find at
// least two engines whose weights it allows.
func TestPlanKeepsPace(t *testing.T) {
	models := []string{"a", "b", "c"}
	engines := newTestEngines(12, 1, models...)
	newest := map[string]int64{"a": 1, "b": 1, "c": 1}
	loads := map[string]int{}
	var assigned map[string]string
	for tenth := range 600 {
		now := start.Add(time.Duration(tenth) * 100 * time.Millisecond)
		for _, e := range engines {
			if e.loadingModel != "" && !now.Before(e.readyAt) {
				e.mergeVersions(map[string]int64{e.loadingModel: e.loadingVersion})
				e.endLoad()
			}
		}
		if tenth > 0 && tenth%40 == 0 {
			for _, model := range models {
				newest[model]++
				loads[model] = 0
			}
			for _, model := range models {
				fresh := 0
				for _, e := range engines {
					if e.versions[model] >= newest[model]-1 {
						fresh++
					}
				}
				assert.Assert(t, fresh >= 2, "model %s has %d engines at %s", model, fresh, now.Sub(start))
			}
		}
		in := testPlanInput(engines, newest)
		in.now, in.loads = now, loads
		assigned = assignModels(assigned, engines, models)
		for _, l := range planLoads(in, assigned) {
			engines[l.engine].beginLoad(l.model, l.version)
			engines[l.engine].readyAt = now.Add(900 * time.Millisecond)
			loads[l.model]++
		}
	}
}

func TestEngineForgetsAtRestart(t *testing.T) {
	e := newTestEngine("e", "dc", map[string]int64{"a": 4})
	e.mergeVersions(map[string]int64{"a": 7})
	e.running = 2
	e.update(registry.Endpoint{ID: "e", Service: "lm", Slots: 12, Versions: map[string]int64{"a": 5}})
	assert.Equal(t, e.versions["a"], int64(7), "an older entry does not lower a version")
	e.update(registry.Endpoint{ID: "e", Service: "lm", Slots: 12, Born: 9, Versions: map[string]int64{"a": 5}})
	assert.Equal(t, e.versions["a"], int64(5))
	assert.Assert(t, !e.orders.known)
	assert.Equal(t, e.running, 2)
}

func TestTextAllowed(t *testing.T) {
	cases := []struct {
		versions      []int64
		minVersion    int64
		singleVersion bool
		allowed       bool
	}{
		{nil, 5, true, true},
		{[]int64{5}, 5, true, true},
		{[]int64{4}, 5, false, false},
		{[]int64{4, 6}, 5, false, false},
		{[]int64{5, 6}, 5, false, true},
		{[]int64{5, 6}, 5, true, false},
	}
	for _, c := range cases {
		checked := output{eventVersions: c.versions}
		assert.Equal(t, checked.allowed(c.minVersion, c.singleVersion), c.allowed, "%v from %d", c.versions, c.minVersion)
	}
}

// TestAbandonedReservation checks that the reserved slot is released when a job
// ends while its task moves.
func TestAbandonedReservation(t *testing.T) {
	e := newTestEngine("e", "dc", nil)
	moving := &task{}
	moving.reserve(e)
	assert.Equal(t, e.running, 1)
	(&session{}).cancelTask(moving)
	assert.Equal(t, e.running, 0)
	assert.Assert(t, moving.release() == nil)
}

// TestReservationOfWholeText checks that the reserved slot is released when the
// output's last event arrives just before the move.
func TestReservationOfWholeText(t *testing.T) {
	clock := sesamepitch.SystemClock{}
	s := &session{clock: clock, log: logr.Discard(), wake: make(chan struct{}, 1)}
	from, to := newTestEngine("from", "dc", nil), newTestEngine("to", "dc", nil)
	moving := &task{job: &job{target: newTarget(batch.Job{}), wake: make(chan struct{}, 1)}}
	moving.run = &run{task: moving, engine: from, started: clock.Now(), endReason: "moved to another engine"}
	from.running++
	moving.reserve(to)
	s.endRun(moving.run, sesamepitch.ErrComplete)
	assert.Assert(t, moving.finished)
	assert.Equal(t, from.running, 0)
	assert.Equal(t, to.running, 0)
}

// TestDrawOf checks that items are spread evenly and that an item's draw never
// changes.
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

// TestOrderCount applies acceptances and reports in different orders and
// compares the count that the next order would name.
func TestOrderCount(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name  string
		steps func(c *orderCount)
		count int64
		known bool
	}{
		{"not reported yet", func(*orderCount) {}, 0, false},
		{"asked", func(c *orderCount) { c.reported(3, at(0)) }, 3, true},
		{"accepted since the report", func(c *orderCount) { c.reported(3, at(0)); c.accepted(at(10)) }, 4, true},
		{"an older report", func(c *orderCount) { c.reported(3, at(0)); c.accepted(at(10)); c.reported(3, at(300)) }, 4, true},
		{"a repeat that was not counted", func(c *orderCount) { c.reported(3, at(0)); c.accepted(at(10)); c.reported(3, at(700)) }, 3, true},
		{"another holder's order", func(c *orderCount) { c.reported(3, at(0)); c.reported(5, at(10)) }, 5, true},
		{"accepted by an earlier process", func(c *orderCount) { c.accepted(at(0)); c.reported(0, at(10)) }, 0, true},
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

// TestTarget finishes items in order and finds the one that meets the target.
func TestTarget(t *testing.T) {
	cases := []struct {
		name string
		// groups are the groups of the items, target how many the trainer waits
		// for.
		groups string
		target int
		// earlier are the groups that an earlier job began.
		earlier string
		// order is the groups of the items as they finish, met the index of the
		// item that meets the target.
		order string
		met   int
	}{
		{"all groups", "aabb", 2, "", "abab", 3},
		{"one group is left out", "aabbcc", 2, "", "acbacb", 4},
		{"no target means all groups", "aab", 0, "", "aba", 2},
		{"more than there are", "aab", 9, "", "aba", 2},
		{"an earlier group is waited for", "aabbcc", 2, "c", "aabbcc", 5},
		{"an earlier group counts towards the target", "aabbcc", 2, "a", "aabcbc", 4},
		{"an earlier group that is not in the job", "ab", 1, "z", "ab", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := batch.Job{Header: batch.Header{GroupTarget: c.target}}
			for i, group := range strings.Split(c.groups, "") {
				j.Items = append(j.Items, batch.Item{ID: fmt.Sprint(i), Group: group})
			}
			awaited := newTarget(j)
			for _, group := range c.earlier {
				awaited.await(string(group))
			}
			for i, group := range strings.Split(c.order, "") {
				assert.Equal(t, awaited.isMet(), i > c.met, "before item %d", i)
				awaited.finish(group)
			}
			assert.Assert(t, awaited.isMet())
		})
	}
}

// TestAfterBreaks interrupts each run of a task before the first event: after
// the third run it gets three more, each after a longer delay.
func TestAfterBreaks(t *testing.T) {
	crashing := &task{job: &job{expiresAt: start.Add(40 * time.Second)}}
	var runs []time.Duration
	now := start
	for now.Before(crashing.job.expiresAt) {
		runs = append(runs, now.Sub(start))
		crashing.interruptions++
		if crashing.interruptions >= suspiciousInterruptions {
			now = crashing.retryAfterInterruptions(now)
		}
	}
	assert.DeepEqual(t, runs, []time.Duration{0, 0, 0, time.Second, 3 * time.Second, 7 * time.Second})
}

// TestDelivery checks when an order is sent again after each outcome.
func TestDelivery(t *testing.T) {
	cases := []struct {
		name string
		// outcome applies the outcome of the order that was sent at the start.
		outcome func(d *delivery)
		// again is when the order is due; zero for never within 10 s.
		again time.Duration
	}{
		{"no answer", func(*delivery) {}, orderRetryDelay + loadPollInterval/2},
		{"connection closed immediately", func(d *delivery) { d.retryOnce() }, loadPollInterval / 2},
		{"connection closed immediately twice", func(d *delivery) { d.retryOnce(); d.sentAt = start; d.retryOnce() }, orderRetryDelay + loadPollInterval/2},
		{"accepted", func(d *delivery) { d.accepted = true }, 0},
		{"accepted and dropped", func(d *delivery) { d.accepted = true; d.reported(false, start.Add(2*time.Second)) }, orderRetryDelay + loadPollInterval/2},
		{"the engine is busy", func(d *delivery) { d.reported(true, start) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := delivery{sentAt: start}
			c.outcome(&d)
			again := time.Duration(0)
			for at := loadPollInterval / 2; at < 10*time.Second && again == 0; at += loadPollInterval / 2 {
				if d.isDue(start.Add(at)) {
					again = at
				}
			}
			assert.Equal(t, again, c.again)
		})
	}
}

// TestPartialCheckpoint checkpoints an output whose last events have newer
// weights, in parts: each part has the versions of its own events, so a driver
// that reads only the first part restores no others.
func TestPartialCheckpoint(t *testing.T) {
	long := &task{attempt: 7}
	for i := range 30 {
		version := int64(2)
		if i >= 20 {
			version = 4
		}
		long.output.add(sesamepitch.Event{Data: strings.Repeat("x", 100), Version: version})
	}
	first := long.nextCheckpoint(1000)
	assert.Equal(t, len(first.Events), 10)
	restored := outputOfCheckpoint(first)
	assert.DeepEqual(t, restored.versions(), []int64{2})
	restored.add(sesamepitch.Event{Data: "y", Version: 2})
	assert.DeepEqual(t, restored.versions(), []int64{2})
	complete := outputOfCheckpoint(long.nextCheckpoint(1_000_000))
	assert.DeepEqual(t, complete.versions(), []int64{2, 4})
	assert.Equal(t, len(outputOfCheckpoint(batch.Checkpoint{Events: []string{"a", "b"}, Versions: []int64{2}}).events), 0, "the version of an event is missing")
}
