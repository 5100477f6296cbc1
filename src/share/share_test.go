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
		name     string
		requests []share.Request
		want     []string
	}{
		{"interactive before training", []share.Request{
			{ID: "train", Workspace: "a", Tokens: 1},
			{ID: "member", Workspace: "b", Tokens: 1, Interactive: true},
		}, []string{"member", "train"}},
		{"earliest deadline first", []share.Request{
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
			for _, request := range test.requests {
				q.Push(request)
			}
			var got []string
			for q.Len() > 0 {
				request, found := q.Next(always)
				assert.Assert(t, found)
				got = append(got, request.ID)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestBackloggedWorkspacesGetTheirShares checks that no workspace with requests
// always waiting falls behind its weighted share by more than about one request
// of each workspace.
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
		used, total := make([]int, count), 0
		for n := 1; n < 200; n++ {
			request, found := q.Next(always)
			if !found {
				t.Fatal("no request is waiting")
			}
			var w int
			_, _ = fmt.Sscan(request.Workspace, &w)
			used[w] += request.Tokens
			total += request.Tokens
			push(w, n)
		}
		for w, tokens := range used {
			fair := float64(total) * float64(weights[w]) / float64(sum)
			if float64(tokens) < fair-float64(largest*(weights[w]+count)) {
				t.Fatalf("workspace %d of weight %d used %d tokens, its fair share is %.0f", w, weights[w], tokens, fair)
			}
		}
	})
}

// TestReturningWorkspaceCatchesUp checks that a workspace that was idle gets the
// freed streams until it uses its share.
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
		request, _ := q.Next(always)
		assert.Equal(t, request.Workspace, "back")
	}
}

// TestIdleWorkspaceSavesNothingUp checks that a workspace that was idle while
// another was served does not get more than its share afterwards.
func TestIdleWorkspaceSavesNothingUp(t *testing.T) {
	q := share.NewQueue()
	for i := range 100 {
		q.Push(share.Request{ID: fmt.Sprint("busy", i), Workspace: "busy", Weight: 1, Tokens: 10})
	}
	for range 50 {
		request, _ := q.Next(always)
		q.Done(request.Workspace, request.Weight, request.Tokens)
	}
	for i := range 50 {
		q.Push(share.Request{ID: fmt.Sprint("idle", i), Workspace: "idle", Weight: 1, Tokens: 10})
	}
	busy := 0
	for range 20 {
		request, _ := q.Next(always)
		q.Done(request.Workspace, request.Weight, request.Tokens)
		if request.Workspace == "busy" {
			busy++
		}
	}
	assert.Assert(t, busy >= 9 && busy <= 11, "the busy workspace got %d of 20", busy)
}
