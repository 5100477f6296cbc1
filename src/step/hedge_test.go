package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHedger(t *testing.T) {
	spec := Spec{Groups: []Group{{Samples: 4}, {Samples: 4}}}
	cases := []struct {
		name     string
		complete []int
		group    int
		took     time.Duration
		want     bool
	}{
		{"too few samples for a median", []int{0, 0, 0}, 0, time.Minute, false},
		{"straggler of a group that is half complete", []int{0, 0, 1, 1}, 0, 2 * time.Second, true},
		{"not slow enough", []int{0, 0, 1, 1}, 0, 1700 * time.Millisecond, false},
		{"first sample of a group, for which the others wait", []int{0, 0, 0, 0}, 1, 2 * time.Second, true},
		{"group with few complete samples", []int{0, 0, 0, 1}, 1, 2 * time.Second, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHedger(spec)
			for _, group := range test.complete {
				h.record(group, time.Second)
			}
			assert.Equal(t, h.take(test.group, test.took), test.want)
		})
	}
	t.Run("budget", func(t *testing.T) {
		h := newHedger(spec)
		for range 4 {
			h.record(0, time.Second)
		}
		for range minHedges {
			assert.Assert(t, h.take(0, time.Minute))
		}
		assert.Assert(t, !h.take(0, time.Minute), "the budget of a small step is minHedges")
	})
}
