package driver

import (
	"slices"

	"sesamepitch/src/batch"
	"sesamepitch/src/recent"
)

// defaultEvents is the expected length of an output whose trainer gave no estimate,
// and of the median output before any is complete.
const defaultEvents = 30

// lengthModel learns how many tokens of a trainer's estimate make an event of a
// model's outputs. Estimates are right at the median, but often far off.
type lengthModel struct {
	// ratios are the tokens per event of the last complete outputs.
	ratios recent.Values[float64]
	// tokensPerEvent is their median; until there are enough, it is assumed.
	tokensPerEvent float64
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
	return &lengthModel{tokensPerEvent: float64(estimates[len(estimates)/2]) / defaultEvents}
}

// observe records a complete output.
func (l *lengthModel) observe(tokens int64, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	l.ratios.Add(float64(tokens) / float64(events))
	if sorted, enough := l.ratios.Sorted(); enough {
		l.tokensPerEvent = sorted[len(sorted)/2]
	}
}

// events returns the expected number of events of an output with this estimate in
// tokens, zero for none.
func (l *lengthModel) events(tokens int64) int {
	if tokens <= 0 || l.tokensPerEvent <= 0 {
		return defaultEvents
	}
	return int(float64(tokens) / l.tokensPerEvent)
}
