package reward

import (
	"slices"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestCompare orders the calls of a busy moment.
func TestCompare(t *testing.T) {
	due := func(seconds, left int, met bool) Priority {
		return Priority{TargetMet: met, Deadline: start.Add(time.Duration(seconds) * time.Second), GroupLeft: left}
	}
	calls := []Priority{due(1, 3, true), due(8, 1, false), due(4, 5, false), due(4, 1, false), due(-1, 8, false)}
	slices.SortFunc(calls, Compare)
	assert.DeepEqual(t, calls, []Priority{due(-1, 8, false), due(4, 1, false), due(4, 5, false), due(8, 1, false), due(1, 3, true)})
}

// TestFail checks when a call is due again after each kind of failure, and which
// endpoints it avoids.
func TestFail(t *testing.T) {
	cases := []struct {
		name  string
		kinds []sesamepitch.Kind
		delay time.Duration
	}{
		{"ran and failed", []sesamepitch.Kind{sesamepitch.KindFailed}, 0},
		{"refused", []sesamepitch.Kind{sesamepitch.KindOverloaded}, overloadBackoff},
		{"not reached", []sesamepitch.Kind{sesamepitch.KindUnavailable}, unsentBackoff},
		{"lost", []sesamepitch.Kind{sesamepitch.KindUnknown}, lostBackoff},
		{"lost again", []sesamepitch.Kind{sesamepitch.KindCrashed, sesamepitch.KindTimeout}, 2 * lostBackoff},
		{"lost, then failed", []sesamepitch.Kind{sesamepitch.KindUnknown, sesamepitch.KindFailed}, 0},
		{"lost often", slices.Repeat([]sesamepitch.Kind{sesamepitch.KindUnknown}, 100), maxLostBackoff},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var call Call
			for _, kind := range c.kinds {
				call.Begin("s0", start)
				assert.Assert(t, !call.IsDue(start, time.Second))
				call.Fail("s0", kind, start)
			}
			assert.Equal(t, call.NotBefore().Sub(start), c.delay)
			assert.Assert(t, call.IsDue(start.Add(c.delay), time.Second))
			assert.Assert(t, slices.Contains(call.Avoided(), "s0"))
			assert.Equal(t, len(call.Busy()), 0)
		})
	}
}

// TestLate gives a late call to one further endpoint, and no third one.
func TestLate(t *testing.T) {
	const patience = 200 * time.Millisecond
	var call Call
	call.Begin("s0", start)
	assert.Assert(t, !call.IsDue(start.Add(patience-1), patience))
	assert.Assert(t, call.IsDue(start.Add(patience), patience))
	call.Begin("s1", start.Add(patience))
	assert.DeepEqual(t, call.Busy(), []string{"s0", "s1"})
	assert.Assert(t, !call.IsDue(start.Add(time.Minute), patience))
	call.Fail("s1", sesamepitch.KindFailed, start.Add(time.Minute))
	assert.Assert(t, call.IsDue(start.Add(time.Minute), patience))
}

// TestIsHopeless gives a call up once it has failed as often as allowed, but not by
// the word of one endpoint among several.
func TestIsHopeless(t *testing.T) {
	cases := []struct {
		name      string
		failedAt  []string
		endpoints int
		hopeless  bool
	}{
		{"too few", []string{"a", "b", "c"}, 3, false},
		{"everywhere", []string{"a", "b", "c", "a"}, 3, true},
		{"one bad endpoint among three", []string{"a", "a", "a", "a"}, 3, false},
		{"the only endpoint", []string{"a", "a", "a", "a"}, 1, true},
		{"no other endpoint answers", []string{"a", "a", "a", "a", "a", "a", "a", "a"}, 3, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := Call{failedAt: c.failedAt}
			assert.Equal(t, call.IsHopeless(sesamepitch.RewardRoute{MaxAttempts: 4}, c.endpoints), c.hopeless)
		})
	}
}

// TestTimeout derives the timeout of a try from the route's latency target.
func TestTimeout(t *testing.T) {
	assert.Equal(t, Timeout(0), 2*time.Second)
	assert.Equal(t, Timeout(300*time.Millisecond), 1500*time.Millisecond)
	assert.Equal(t, Timeout(time.Minute), maxTimeout)
	assert.Equal(t, Timeout(time.Millisecond), minTimeout)
}
