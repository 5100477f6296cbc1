package driver

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"
	"sesamepitch/src/rowstore"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
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
		{"its rate allows no item", func(e *engine) { e.limitedUntil = start.Add(50 * time.Millisecond) }},
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

// TestAfterBreaks interrupts each run of a task before the first event, more often
// than there are engines: the task may always run again as soon as after one break.
func TestAfterBreaks(t *testing.T) {
	s := &session{clock: sesamepitch.SystemClock{}, log: logr.Discard(), wake: make(chan struct{}, 1)}
	crashing := &task{job: &job{expiresAt: start.Add(40 * time.Second)}}
	for range 20 {
		engine := newTestEngine("e", "dc", nil)
		crashing.run = &run{task: crashing, engine: engine}
		before := s.clock.Now()
		s.endRun(crashing.run, &Error{Op: "run", Kind: sesamepitch.KindCrashed, Err: errors.New("reset")})
		assert.Assert(t, crashing.needsRun())
		assert.Assert(t, crashing.notBefore.Sub(before) < 2*failureRetryDelay, "waits for %s", crashing.notBefore.Sub(before))
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
	escaped := &task{output: output{events: slices.Repeat([]string{strings.Repeat("<", 100)}, 50), eventVersions: make([]int64, 50)}}
	assert.Assert(t, len(rowstore.Encode(escaped.nextCheckpoint(10_000))) < 11_000, "JSON makes a checkpoint too large for a row")
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
