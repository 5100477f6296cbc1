package step

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHedger(t *testing.T) {
	spec := Spec{Groups: []Group{{Samples: 4}, {Samples: 4}}}
	cases := []struct {
		name  string
		whole []int
		group int
		took  time.Duration
		want  bool
	}{
		{"too few samples to know the median", []int{0, 0, 0}, 0, time.Minute, false},
		{"straggler of a group that is half whole", []int{0, 0, 1, 1}, 0, 2 * time.Second, true},
		{"not slow enough", []int{0, 0, 1, 1}, 0, 1700 * time.Millisecond, false},
		{"a group's first sample, which the others wait for", []int{0, 0, 0, 0}, 1, 2 * time.Second, true},
		{"group that has just begun", []int{0, 0, 0, 1}, 1, 2 * time.Second, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHedger(spec)
			for _, group := range test.whole {
				h.finished(group, time.Second)
			}
			assert.Equal(t, h.wants(test.group, test.took), test.want)
		})
	}
	t.Run("budget", func(t *testing.T) {
		h := newHedger(spec)
		for range 4 {
			h.finished(0, time.Second)
		}
		for range minHedges {
			assert.Assert(t, h.wants(0, time.Minute))
		}
		assert.Assert(t, !h.wants(0, time.Minute), "a small step has the least budget")
	})
}
