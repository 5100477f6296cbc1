package registry_test

import (
	"encoding/json"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// processDecoder decodes rows of endpoints with the start of their process.
type processDecoder struct{ decoder }

func (processDecoder) Endpoint(row sesamepitch.Row, _ time.Time) (registry.Endpoint, error) {
	var endpoint registry.Endpoint
	err := json.Unmarshal(row.Value, &endpoint)
	endpoint.ID, endpoint.Service, endpoint.Centre, endpoint.Slots = row.Name(), "lm", "dc", 1
	return endpoint, err
}

// leavingWorld is a registry with one endpoint, e.
type leavingWorld struct {
	clock    *clockwork.FakeClock
	registry *registry.Registry
	revision int64
	booted   time.Time
}

const testDrainTime = 2 * time.Second

func newLeavingWorld() *leavingWorld {
	w := &leavingWorld{clock: clockwork.NewFakeClock()}
	w.booted = w.clock.Now().Add(-time.Minute)
	w.registry = registry.New(w.clock, processDecoder{}, registry.WithDrainTime(testDrainTime))
	w.row(0, false)
	return w
}

// row applies a row of e, whose process started a time after the first one.
func (w *leavingWorld) row(startedAfter time.Duration, draining bool) {
	w.revision++
	value, _ := json.Marshal(registry.Endpoint{Born: w.born(startedAfter), Draining: draining})
	w.registry.ApplyEndpoints([]sesamepitch.Row{{Key: "servers//e", Value: value, Version: w.revision}}, false, time.Time{})
}

func (w *leavingWorld) born(startedAfter time.Duration) int64 {
	return w.booted.Add(startedAfter).UnixMilli()
}

// to is the process of e that started a time after the first one.
func (w *leavingWorld) to(startedAfter time.Duration) sesamepitch.Destination {
	return sesamepitch.Destination{ID: "e", Address: "10.0.0.1:1", Born: w.born(startedAfter)}
}

// TestLeavingEndpointChosenAgain guards against rows, or words of another process,
// that make an endpoint count as staying or leaving when it is not.
func TestLeavingEndpointChosenAgain(t *testing.T) {
	const restart = 2 * time.Minute
	cases := []struct {
		name  string
		steps func(w *leavingWorld)
		// process is the start of the process that is asked about.
		process time.Duration
		by      registry.Source
	}{
		{"nothing said", func(*leavingWorld) {}, 0, ""},
		{"its row", func(w *leavingWorld) { w.row(0, true) }, 0, registry.SourceTable},
		{"its answer", func(w *leavingWorld) { w.registry.Hear(w.to(0)) }, 0, registry.SourceAnswer},
		{"another instance", func(w *leavingWorld) {
			w.registry.ReceiveWords([]registry.Word{{ID: "e", At: w.clock.Now().UnixMilli()}})
		}, 0, registry.SourceInstance},
		{"a later row says ready", func(w *leavingWorld) { w.registry.Hear(w.to(0)); w.row(0, false) }, 0, registry.SourceAnswer},
		{"its row goes and comes back", func(w *leavingWorld) {
			w.registry.Hear(w.to(0))
			w.registry.ApplyEndpoints(nil, true, time.Time{})
			w.row(0, false)
		}, 0, registry.SourceAnswer},
		{"the answer comes before the row", func(w *leavingWorld) {
			w.registry.ApplyEndpoints(nil, true, time.Time{})
			w.registry.Hear(w.to(0))
			w.row(0, false)
		}, 0, registry.SourceAnswer},
		{"a new process under the same ID", func(w *leavingWorld) {
			w.registry.Hear(w.to(0))
			w.clock.Advance(restart)
			w.row(restart, false)
		}, restart, ""},
		{"a late answer of the process before", func(w *leavingWorld) {
			w.clock.Advance(restart)
			w.row(restart, false)
			w.registry.ReceiveWords([]registry.Word{{ID: "e", At: w.born(0)}})
		}, restart, ""},
		{"the new process says so, too", func(w *leavingWorld) {
			w.registry.Hear(w.to(0))
			w.clock.Advance(restart)
			w.row(restart, false)
			w.registry.Hear(w.to(restart))
		}, restart, registry.SourceAnswer},
		{"its row is of the process before", func(w *leavingWorld) {
			w.clock.Advance(restart + time.Minute)
			w.registry.Hear(w.to(0))
			w.row(restart, false)
		}, restart, registry.SourceAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newLeavingWorld()
			c.steps(w)
			staying := len(w.registry.Endpoints("lm")) == 1
			assert.Equal(t, staying, c.by == "")
			now := w.clock.Now()
			by, _, closed := w.registry.Leaving(w.to(c.process), now)
			assert.Equal(t, by, c.by)
			assert.Assert(t, !closed, "callers that had asked before may still be served")
			assert.Equal(t, len(w.registry.Departing("lm", now)) == 1, c.by != "")
			_, _, closed = w.registry.Leaving(w.to(c.process), now.Add(testDrainTime))
			assert.Equal(t, closed, c.by != "")
			assert.Equal(t, len(w.registry.Departing("lm", now.Add(testDrainTime))), 0)
		})
	}
}

// TestWordsShared checks that an instance tells others only what it heard itself.
func TestWordsShared(t *testing.T) {
	w := newLeavingWorld()
	w.registry.ReceiveWords([]registry.Word{{ID: "other", At: 1}, {}})
	assert.Equal(t, len(w.registry.Words()), 0)
	assert.Assert(t, w.registry.Hear(w.to(0)))
	assert.Assert(t, !w.registry.Hear(w.to(0)), "no news")
	assert.Equal(t, len(w.registry.Words()), 1)
	w.clock.Advance(time.Hour)
	assert.Equal(t, len(w.registry.Words()), 0)
	assert.Equal(t, len(w.registry.Endpoints("lm")), 0, "it is never taken back")
}
