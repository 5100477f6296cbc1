package ratelimit

import (
	"testing"
	"time"

	sesamepitch "sesamepitch/src"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// settableClock is a clock that only tells the time it was set to.
type settableClock struct{ now time.Time }

func (c *settableClock) Now() time.Time { return c.now }

func (c *settableClock) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- c.now
	return ch
}

func named(perSecond float64) sesamepitch.StatedLimit {
	return sesamepitch.StatedLimit{Named: true, PerSecond: perSecond}
}

// TestHear gives answers in different orders of sending and arrival: a limit begins
// with any answer that names it, and ends with the first answer without it whose
// request was sent after that.
func TestHear(t *testing.T) {
	type answer struct {
		sent, arrived time.Duration
		limit         sesamepitch.StatedLimit
	}
	none := sesamepitch.StatedLimit{}
	const s = time.Second
	cases := []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"none", []answer{{0, s, none}}, 0},
		{"begins", []answer{{0, s, none}, {s, 2 * s, named(3)}}, 3},
		{"falls", []answer{{0, s, named(3)}, {s, 2 * s, named(1)}}, 1},
		{"rises", []answer{{0, s, named(1)}, {s, 2 * s, named(3)}}, 3},
		{"ends", []answer{{0, s, named(3)}, {2 * s, 3 * s, none}}, 0},
		{"older answer arrives later", []answer{{s, 2 * s, named(3)}, {0, 3 * s, none}}, 3},
		{"begins again", []answer{{0, s, named(3)}, {2 * s, 3 * s, none}, {3 * s, 4 * s, named(2)}}, 2},
		{"named by the answer to an older request", []answer{{s, 2 * s, none}, {0, 3 * s, named(3)}}, 3},
		{"zero", []answer{{0, s, named(0)}}, minRate},
		{"far too small", []answer{{0, s, named(1e-300)}}, minRate},
		{"far too large", []answer{{0, s, named(1e308)}}, 0},
		{"malformed says nothing", []answer{{0, s, named(3)}, {2 * s, 3 * s, sesamepitch.StatedLimit{Malformed: "NaN"}}}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := &settableClock{}
			statements := NewStatements(clock, logr.Discard())
			to := sesamepitch.Destination{ID: "e", Born: 1}
			for _, a := range c.answers {
				clock.now = start.Add(a.arrived)
				statements.Hear(to, start.Add(a.sent), a.limit)
			}
			assert.Equal(t, statements.perSecond(processOf(to)), c.want)
			assert.Equal(t, statements.perSecond(process{ID: "e", Born: 2}), 0.0, "a restarted endpoint has said nothing yet")
		})
	}
}

// TestMerge gives what one instance knows to another: the later statement counts,
// in both orders, and bad ones are ignored.
func TestMerge(t *testing.T) {
	at := func(perSecond float64, seconds int64) Statement {
		return Statement{ID: "e", Born: 1, PerSecond: perSecond, At: start.UnixMilli() + 1000*seconds}
	}
	cases := []struct {
		name       string
		statements []Statement
		want       float64
	}{
		{"later one", []Statement{at(3, 1), at(1, 2)}, 1},
		{"earlier one arrives late", []Statement{at(1, 2), at(3, 1)}, 1},
		{"end", []Statement{at(3, 1), at(0, 2)}, 0},
		{"end arrives late", []Statement{at(3, 2), at(0, 1)}, 3},
		{"end alone", []Statement{at(0, 2)}, 0},
		{"negative", []Statement{at(3, 1), at(-1, 2)}, 3},
		{"too large", []Statement{at(3, 1), at(1e308, 2)}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			statements := NewStatements(&settableClock{now: start}, logr.Discard())
			for _, said := range c.statements {
				statements.Merge([]Statement{said})
			}
			assert.Equal(t, statements.perSecond(process{ID: "e", Born: 1}), c.want)
		})
	}
}

// TestRetain keeps limits of registered processes, and the end of a limit for a
// while.
func TestRetain(t *testing.T) {
	clock := &settableClock{now: start}
	statements := NewStatements(clock, logr.Discard())
	limited, ended, gone := sesamepitch.Destination{ID: "a"}, sesamepitch.Destination{ID: "b"}, sesamepitch.Destination{ID: "c"}
	for _, to := range []sesamepitch.Destination{limited, ended, gone} {
		statements.Hear(to, start, named(2))
	}
	statements.Hear(ended, start.Add(time.Second), sesamepitch.StatedLimit{})
	retain := func() { statements.retain(func(id process) bool { return id.ID != "c" }) }
	retain()
	assert.Equal(t, len(statements.All()), 2)
	clock.now = start.Add(endedTTL + 2*time.Second)
	retain()
	assert.Equal(t, len(statements.All()), 1)
	assert.Equal(t, statements.perSecond(processOf(limited)), 2.0, "a limit without traffic goes on")
}
