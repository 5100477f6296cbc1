package relay

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ranking remembers which peers have reached the store, so that calls keep to one
// that works. It is not safe for concurrent use.
type ranking struct {
	peers map[string]peerRecord
}

// peerRecord is when a peer last reached the store and last failed to.
type peerRecord struct {
	worked, failed time.Time
}

func (r peerRecord) isFailing() bool { return r.failed.After(r.worked) }

func newRanking() *ranking { return &ranking{peers: map[string]peerRecord{}} }

// choose returns the peer to try next, not one of tried, and whether there is one.
// A peer that worked last comes first, then one that was never tried, chosen at
// random so that instances spread over the peers, then the one whose failure is
// the oldest.
func (r *ranking) choose(peers []string, tried map[string]bool) (string, bool) {
	r.retain(peers)
	candidates := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool { return tried[peer] })
	if len(candidates) == 0 {
		return "", false
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(a, b string) int { return compareRecords(r.peers[a], r.peers[b]) }), true
}

func compareRecords(a, b peerRecord) int {
	switch {
	case a.isFailing() && b.isFailing():
		return a.failed.Compare(b.failed)
	case a.isFailing():
		return 1
	case b.isFailing():
		return -1
	}
	return b.worked.Compare(a.worked)
}

// retain forgets the peers that are gone.
func (r *ranking) retain(peers []string) {
	if len(r.peers) <= 2*len(peers) {
		return
	}
	for peer := range r.peers {
		if !slices.Contains(peers, peer) {
			delete(r.peers, peer)
		}
	}
}

// record records whether a call through a peer has reached the store.
func (r *ranking) record(peer string, reached bool, now time.Time) {
	record := r.peers[peer]
	if reached {
		record.worked = now
	} else {
		record.failed = now
	}
	r.peers[peer] = record
}
