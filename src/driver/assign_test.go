package driver

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelTime is the time of a load in simulations.
const modelTime = 900 * time.Millisecond

// finishLoads ends the loads that are due.
func finishLoads(engines map[string]*engine, now time.Time) {
	for _, e := range engines {
		if e.loadingModel != "" && !e.readyAt.IsZero() && !now.Before(e.readyAt) {
			e.mergeVersions(map[string]int64{e.loadingModel: e.loadingVersion})
			e.endLoad()
		}
	}
}

// loadPlanned begins the planned loads and returns how many there are. Those on
// engines in mute are never accepted.
func loadPlanned(in planInput, assigned map[string]string, mute map[string]bool) int {
	orders := planLoads(in, assigned)
	for _, l := range orders {
		e := in.engines[l.engine]
		e.beginLoad(l.model, l.version)
		e.loadingSince = in.now
		if !mute[l.engine] {
			e.readyAt = in.now.Add(modelTime)
		}
		in.loads[l.model]++
	}
	return len(orders)
}

// TestModelWithoutEngineStaysUnserved guards against one waiting item of a model that
// no engine serves, for which no engine ever loads the model.
func TestModelWithoutEngineStaysUnserved(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		// spoil makes the engines of model b unusable.
		spoil func(engines map[string]*engine)
		mute  map[string]bool
	}{
		{"fewer engines than models", 1, func(map[string]*engine) {}, nil},
		{"its engine is suspected again and again", 2, func(engines map[string]*engine) {
			engines["e01"].suspectedUntil = start.Add(time.Hour)
		}, nil},
		{"its engine never answers the order", 2, func(map[string]*engine) {}, map[string]bool{"e01": true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			models := []string{"a", "b"}
			engines := newTestEngines(c.engines, 1, models...)
			c.spoil(engines)
			assigned := assignModels(nil, engines, models)
			engines["e00"].mergeVersions(map[string]int64{"a": 3})
			served := time.Duration(0)
			in := testPlanInput(engines, map[string]int64{"a": 3, "b": 3})
			in.models, in.waiting, in.oldest = models, map[string]int{"b": 1}, map[string]time.Time{"b": start}
			for at := time.Duration(0); at < 10*time.Second && served == 0; at += tickInterval {
				in.now = start.Add(at)
				finishLoads(engines, in.now)
				loadPlanned(in, assigned, c.mute)
				if engines["e00"].versions["b"] == 3 {
					served = at
				}
			}
			assert.Assert(t, served > 0 && served < 5*time.Second, "served after %s", served)
		})
	}
}

// TestModelsTakeTurns names new versions of more models than there are engines: each
// model is served soon, and no engine loads a version twice.
func TestModelsTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 5).Draw(t, "models")
		var models []string
		newest := map[string]int64{}
		for i := range count {
			models = append(models, fmt.Sprint("m", i))
			newest[models[i]] = 1
		}
		engines := newTestEngines(rapid.IntRange(1, count).Draw(t, "engines"), 1, models...)
		in := testPlanInput(engines, newest)
		in.models, in.oldest = models, map[string]time.Time{}
		named, orders := 0, 0
		var assigned map[string]string
		for at := time.Duration(0); at < 60*time.Second; at += tickInterval {
			in.now = start.Add(at)
			finishLoads(engines, in.now)
			if at%(6*time.Second) == 0 {
				model := models[rapid.IntRange(0, count-1).Draw(t, "named")]
				newest[model]++
				in.needed[model], in.loads[model] = newest[model], 0
				named++
			}
			for _, model := range models {
				delete(in.oldest, model)
				in.waiting[model] = 0
				if in.needed[model] = newest[model]; !hasVersion(engines, model, newest[model]) {
					in.waiting[model], in.oldest[model] = 1, in.now.Add(-time.Second)
				}
			}
			assigned = assignModels(assigned, engines, models)
			orders += loadPlanned(in, assigned, nil)
			for _, e := range engines {
				if e.loadingModel != "" && e.versions[e.loadingModel] >= e.loadingVersion {
					t.Fatalf("engine %s loads %s again", e.entry.ID, e.loadingModel)
				}
			}
		}
		for _, model := range models {
			if in.waiting[model] > 0 && in.now.Sub(start)%(6*time.Second) > 3*time.Second {
				t.Fatalf("model %s is not served", model)
			}
		}
		if limit := named * len(engines); orders > limit {
			t.Fatalf("%d loads of %d named versions on %d engines", orders, named, len(engines))
		}
	})
}

func hasVersion(engines map[string]*engine, model string, version int64) bool {
	for _, e := range engines {
		if e.versions[model] >= version {
			return true
		}
	}
	return false
}
