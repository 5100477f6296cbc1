package share_test

import (
	"fmt"
	"testing"
	"time"

	"sesamepitch/src/share"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func always(share.Request) bool { return true }

func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name  string
		items []share.Request
		want  []string
	}{
		{"interactive before training", []share.Request{
			{ID: "train", Workspace: "a", Tokens: 1},
			{ID: "member", Workspace: "b", Tokens: 1, Interactive: true},
		}, []string{"member", "train"}},
		{"least slack first", []share.Request{
			{ID: "late", Workspace: "a", Tokens: 1, Deadline: now.Add(2 * time.Second)},
			{ID: "soon", Workspace: "a", Tokens: 1, Deadline: now.Add(time.Second)},
		}, []string{"soon", "late"}},
		{"by weight", []share.Request{
			{ID: "a1", Workspace: "a", Weight: 2, Tokens: 10, Arrived: now},
			{ID: "a2", Workspace: "a", Weight: 2, Tokens: 10, Arrived: now.Add(1)},
			{ID: "a3", Workspace: "a", Weight: 2, Tokens: 10, Arrived: now.Add(2)},
			{ID: "b1", Workspace: "b", Weight: 1, Tokens: 10, Arrived: now.Add(3)},
			{ID: "b2", Workspace: "b", Weight: 1, Tokens: 10, Arrived: now.Add(4)},
		}, []string{"a1", "b1", "a2", "a3", "b2"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			q := share.NewQueue()
			for _, item := range test.items {
				q.Push(item)
			}
			var got []string
			for q.Len() > 0 {
				item, found := q.Next(always)
				assert.Assert(t, found)
				got = append(got, item.ID)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestBackloggedWorkspacesGetTheirShares checks that of workspaces that always
// wait none falls behind its share by more than one item of each.
func TestBackloggedWorkspacesGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := share.NewQueue()
		count := rapid.IntRange(2, 6).Draw(t, "workspaces")
		weights, sum, largest := make([]int, count), 0, 0
		for w := range weights {
			weights[w] = rapid.IntRange(1, 8).Draw(t, "weight")
			sum += weights[w]
		}
		push := func(w, n int) {
			tokens := rapid.IntRange(1, 500).Draw(t, "tokens")
			largest = max(largest, tokens)
			q.Push(share.Request{ID: fmt.Sprintf("%d/%d", w, n), Workspace: fmt.Sprint(w), Weight: weights[w], Tokens: tokens})
		}
		for w := range weights {
			push(w, 0)
		}
		had, total := make([]int, count), 0
		for n := 1; n < 200; n++ {
			item, found := q.Next(always)
			if !found {
				t.Fatal("nothing waits")
			}
			var w int
			_, _ = fmt.Sscan(item.Workspace, &w)
			had[w] += item.Tokens
			total += item.Tokens
			push(w, n)
		}
		for w, tokens := range had {
			fair := float64(total) * float64(weights[w]) / float64(sum)
			if float64(tokens) < fair-float64(largest*(weights[w]+count)) {
				t.Fatalf("workspace %d of weight %d had %d, fair is %.0f", w, weights[w], tokens, fair)
			}
		}
	})
}

// TestReturningWorkspaceCatchesUp checks that a workspace that comes back gets
// what becomes free until it uses its share.
func TestReturningWorkspaceCatchesUp(t *testing.T) {
	q := share.NewQueue()
	for i := range 40 {
		q.Push(share.Request{ID: fmt.Sprint("busy", i), Workspace: "busy", Weight: 1, Tokens: 10})
	}
	for range 12 {
		_, _ = q.Next(always)
	}
	for i := range 20 {
		q.Push(share.Request{ID: fmt.Sprint("back", i), Workspace: "back", Weight: 1, Tokens: 10})
	}
	for range 6 {
		q.Done("busy", 1, 10)
		item, _ := q.Next(always)
		assert.Equal(t, item.Workspace, "back")
	}
}

func TestIdleWorkspaceSavesNothingUp(t *testing.T) {
	q := share.NewQueue()
	for i := range 100 {
		q.Push(share.Request{ID: fmt.Sprint("busy", i), Workspace: "busy", Weight: 1, Tokens: 10})
	}
	for range 50 {
		item, _ := q.Next(always)
		q.Done(item.Workspace, item.Weight, item.Tokens)
	}
	for i := range 50 {
		q.Push(share.Request{ID: fmt.Sprint("idle", i), Workspace: "idle", Weight: 1, Tokens: 10})
	}
	busy := 0
	for range 20 {
		item, _ := q.Next(always)
		q.Done(item.Workspace, item.Weight, item.Tokens)
		if item.Workspace == "busy" {
			busy++
		}
	}
	assert.Assert(t, busy >= 9 && busy <= 11, "busy had %d of 20", busy)
}
