package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRanking replays calls of an instance that the store turns away together with
// four of its nine peers, whose list comes in another order each time: after the
// first peer that works, all calls go through it, and when it fails through
// another one that works.
func TestRanking(t *testing.T) {
	peers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	bad := map[string]bool{"a": true, "b": true, "c": true, "d": true}
	r, now := newRanking(), time.Unix(0, 0)
	failures := 0
	call := func() string {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		tried := map[string]bool{}
		for {
			now = now.Add(10 * time.Millisecond)
			peer, found := r.choose(peers, tried)
			assert.Assert(t, found)
			r.record(peer, !bad[peer], now)
			if !bad[peer] {
				return peer
			}
			tried[peer] = true
			failures++
		}
	}
	working := call()
	assert.Assert(t, failures <= 4)
	failures = 0
	for range 50 {
		assert.Equal(t, call(), working)
	}
	assert.Equal(t, failures, 0)
	bad[working] = true
	next := call()
	assert.Assert(t, next != working)
	for range 50 {
		assert.Equal(t, call(), next)
	}
	for _, peer := range peers {
		bad[peer] = true
	}
	tried := map[string]bool{}
	for range peers {
		peer, found := r.choose(peers, tried)
		assert.Assert(t, found)
		tried[peer] = true
	}
	_, found := r.choose(peers, tried)
	assert.Assert(t, !found)
}
