package driver

import (
	"fmt"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

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
	reg.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//version", Version: 8}}})
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
