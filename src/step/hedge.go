package step

import (
	"sort"
	"time"
)

const (
	// minCompleteShare is the share of a group that must be complete before its
	// stragglers are hedged.
	minCompleteShare = 0.5
	// minSlowdown is the multiple of the median duration that a straggler must have
	// run for.
	minSlowdown = 1.8
	// hedgeBudgetShare is the share of a step's samples that may be hedged, but at
	// least minHedges samples may be.
	hedgeBudgetShare = 0.12
	minHedges        = 4
	// minDurations is the number of samples needed to compute a median.
	minDurations = 4
)

// hedger decides when a straggler gets a second attempt. It reads no clock.
type hedger struct {
	// durations holds the durations of the step's complete samples in ascending order.
	durations []time.Duration
	// complete counts the complete samples by group.
	complete   map[int]int
	groupSizes map[int]int
	// budget is the number of hedges that are left.
	budget int
}

func newHedger(spec Spec) *hedger {
	h := &hedger{complete: map[int]int{}, groupSizes: map[int]int{}}
	total := 0
	for i, group := range spec.Groups {
		h.groupSizes[i] = group.Samples
		total += group.Samples
	}
	h.budget = max(int(hedgeBudgetShare*float64(total)), minHedges)
	return h
}

// record adds a complete sample that took d.
func (h *hedger) record(group int, d time.Duration) {
	h.complete[group]++
	at := sort.Search(len(h.durations), func(i int) bool { return h.durations[i] >= d })
	h.durations = append(h.durations, 0)
	copy(h.durations[at+1:], h.durations[at:])
	h.durations[at] = d
}

// take reports whether a sample of the group that has run for d gets a second attempt,
// and if so takes it from the budget. While no sample of a group is complete the others
// may wait for the first one, so the first ones are hedged, too.
func (h *hedger) take(group int, d time.Duration) bool {
	if h.budget == 0 || len(h.durations) < minDurations {
		return false
	}
	median := h.durations[len(h.durations)/2]
	mostlyComplete := float64(h.complete[group]) >= minCompleteShare*float64(h.groupSizes[group])
	noneComplete := h.complete[group] == 0
	if (!mostlyComplete && !noneComplete) || float64(d) < minSlowdown*float64(median) {
		return false
	}
	h.budget--
	return true
}
