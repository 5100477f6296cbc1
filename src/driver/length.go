package driver

import (
	"slices"

	"sesamepitch/src/batch"
)

const (
	// defaultEvents is the expected length of an output whose trainer gave no
	// estimate, and of the median output before any is complete.
	defaultEvents = 30
	// lengthWindow is the number of complete outputs that a lengthModel remembers.
	lengthWindow = 64
	// minLengths is the number of complete outputs from which on they count.
	minLengths = 8
)

// lengthModel learns how many tokens of a trainer's estimate make an event of a
// model's outputs. Estimates are right at the median, but often far off.
type lengthModel struct {
	// ratios are the tokens per event of the last complete outputs.
	ratios []float64
	next   int
	// initial is the assumed ratio until then.
	initial float64
}

// newLengthModel returns a model that takes the median item of a job to have
// defaultEvents events.
func newLengthModel(items []batch.Item) *lengthModel {
	var estimates []int64
	for _, item := range items {
		if item.ExpectedTokens > 0 {
			estimates = append(estimates, item.ExpectedTokens)
		}
	}
	if len(estimates) == 0 {
		return &lengthModel{}
	}
	slices.Sort(estimates)
	return &lengthModel{initial: float64(estimates[len(estimates)/2]) / defaultEvents}
}

// observe records a complete output.
func (l *lengthModel) observe(tokens int64, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	ratio := float64(tokens) / float64(events)
	if len(l.ratios) < lengthWindow {
		l.ratios = append(l.ratios, ratio)
		return
	}
	l.ratios[l.next] = ratio
	l.next = (l.next + 1) % lengthWindow
}

// events returns the expected number of events of an output with this estimate in
// tokens, zero for none.
func (l *lengthModel) events(tokens int64) int {
	ratio := l.tokensPerEvent()
	if tokens <= 0 || ratio <= 0 {
		return defaultEvents
	}
	return int(float64(tokens) / ratio)
}

func (l *lengthModel) tokensPerEvent() float64 {
	if len(l.ratios) < minLengths {
		return l.initial
	}
	sorted := slices.Clone(l.ratios)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
