package step

import (
	"sort"
	"time"
)

const (
	// hedgeWhenWhole is the share of a group that must be there before its
	// stragglers are hedged.
	hedgeWhenWhole = 0.5
	// hedgeSlower is how many times the median a straggler must have taken.
	hedgeSlower = 1.8
	// hedgeBudget is the share of a step's samples that may be hedged.
	hedgeBudget = 0.12
	minHedges   = 4
	minMedianOf = 4
)

// hedger decides when a straggler gets a second attempt. It keeps no clock.
type hedger struct {
	durations []time.Duration
	whole     map[int]int
	sizes     map[int]int
	budget    int
}

func newHedger(spec Spec) *hedger {
	h := &hedger{whole: map[int]int{}, sizes: map[int]int{}}
	total := 0
	for i, group := range spec.Groups {
		h.sizes[i] = group.Samples
		total += group.Samples
	}
	h.budget = max(int(hedgeBudget*float64(total)), minHedges)
	return h
}

// finished notes a sample that took d.
func (h *hedger) finished(group int, d time.Duration) {
	h.whole[group]++
	at := sort.Search(len(h.durations), func(i int) bool { return h.durations[i] >= d })
	h.durations = append(h.durations, 0)
	copy(h.durations[at+1:], h.durations[at:])
	h.durations[at] = d
}

// wants tells whether a sample of the group that has run for d gets a second
// attempt, and takes it from the budget. While no sample of a group is whole the
// others wait for it, so its first ones are hedged, too.
func (h *hedger) wants(group int, d time.Duration) bool {
	if h.budget == 0 || len(h.durations) < minMedianOf {
		return false
	}
	median := h.durations[len(h.durations)/2]
	nearlyWhole := float64(h.whole[group]) >= hedgeWhenWhole*float64(h.sizes[group])
	awaited := h.whole[group] == 0
	if (!nearlyWhole && !awaited) || float64(d) < hedgeSlower*float64(median) {
		return false
	}
	h.budget--
	return true
}
