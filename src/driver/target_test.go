package driver

import (
	"fmt"
	"strings"
	"testing"

	"sesamepitch/src/batch"

	"gotest.tools/v3/assert"
)

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
