package driver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sesamepitch/src/batch"

	"gotest.tools/v3/assert"
)

// TestLengthsAreLearned places a step's items on engines whose events have 20, 55
// and 120 tokens and take 10 to 90 ms. Estimates are right at the median only. The
// order of the items doesn't depend on the engine, and once outputs are complete
// the expected length and time are about right.
func TestLengthsAreLearned(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	for _, tokensPerEvent := range []int{20, 55, 120} {
		for _, eventTime := range []time.Duration{10 * time.Millisecond, 35 * time.Millisecond, 90 * time.Millisecond} {
			t.Run(fmt.Sprint(tokensPerEvent, " tokens an event, ", eventTime), func(t *testing.T) {
				var items []batch.Item
				for i := range 60 {
					items = append(items, batch.Item{ID: fmt.Sprint(i), ExpectedTokens: int64((i + 1) * tokensPerEvent)})
				}
				lengths := newLengthModel(items)
				assert.Equal(t, lengths.events(items[30].ExpectedTokens), defaultEvents, "the median item")
				j := &job{lengths: lengths, target: newTarget(batch.Job{}), deadline: start.Add(8 * time.Second)}
				var tasks []*task
				for _, item := range items {
					tasks = append(tasks, &task{job: j, item: item})
				}
				byUrgency(tasks, start, eventTime)
				assert.Equal(t, tasks[0].item.ID, "59", "the longest first")
				for _, item := range items {
					off := 0.5 + draw.Float64() // the estimate against the real length
					lengths.observe(int64(off*float64(item.ExpectedTokens)), int(item.ExpectedTokens)/tokensPerEvent)
				}
				expected := lengths.events(int64(40 * tokensPerEvent))
				assert.Assert(t, expected >= 30 && expected <= 50, "%d events expected, 40 are right", expected)
				longest := tasks[0].remainingTime(eventTime)
				assert.Assert(t, longest >= 45*eventTime && longest <= 75*eventTime, "%s expected", longest)
			})
		}
	}
	assert.Equal(t, newLengthModel([]batch.Item{{ID: "no estimate"}}).events(0), defaultEvents)
}
