package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// busiest returns the largest number of times within one window.
func busiest(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestSumWithoutGranter has the granter grant all that it may while every other
// instance uses all of its slots: in any 4 s the sum stays within one and a half
// times the rate and five requests, in any second, too.
func TestSumWithoutGranter(t *testing.T) {
	for _, perSecond := range []float64{minRate, 0.5, 1, 1.4, 2.6, 7, 11, 17, 60} {
		for _, instances := range []int{2, 10, 73} {
			t.Run(fmt.Sprint(perSecond, " a second, ", instances, " instances"), func(t *testing.T) {
				granter := newBudget(start, perSecond)
				used := make([]int64, instances)
				var sent []time.Time
				for now := start; now.Sub(start) < 60*time.Second; now = now.Add(5 * time.Millisecond) {
					if _, granted := granter.take(now, perSecond, 0); granted {
						sent = append(sent, now)
					}
					for rank := range instances {
						if slot, own, _ := slotOf(now, rank, instances, perSecond); own && used[rank] != slot {
							used[rank] = slot
							sent = append(sent, now)
						}
					}
				}
				for _, window := range []time.Duration{time.Second, 4 * time.Second} {
					allowed := 1.5*perSecond*window.Seconds() + 5
					most := busiest(sent, window)
					assert.Assert(t, float64(most) <= allowed, "%d in %s, %.1f allowed", most, window, allowed)
				}
			})
		}
	}
}

// TestSlotsInTurn checks that each slot is that of one instance, and that an
// instance is told when its next one begins.
func TestSlotsInTurn(t *testing.T) {
	const instances, perSecond = 7, 2.5
	for step := range 500 {
		now := start.Add(time.Duration(step) * 37 * time.Millisecond)
		owners := 0
		for rank := range instances {
			_, own, next := slotOf(now, rank, instances, perSecond)
			if own {
				owners++
			}
			_, ownThen, _ := slotOf(now.Add(next), rank, instances, perSecond)
			assert.Assert(t, ownThen, "the slot of instance %d does not begin in %s", rank, next)
		}
		assert.Equal(t, owners, 1)
	}
}

// TestBudget takes requests from a budget: bursts are small, waits are granted up to
// the patience, and a refused request takes nothing.
func TestBudget(t *testing.T) {
	const perSecond = 2.0
	b := newBudget(start, perSecond)
	cases := []struct {
		name     string
		at       time.Duration
		patience time.Duration
		granted  bool
		wait     time.Duration
	}{
		{"the first", 0, 0, true, 0},
		{"too soon", 0, 100 * time.Millisecond, false, 500 * time.Millisecond},
		{"too soon, again", 100 * time.Millisecond, 0, false, 400 * time.Millisecond},
		{"can wait", 100 * time.Millisecond, 400 * time.Millisecond, true, 400 * time.Millisecond},
		{"behind the one that waits", 200 * time.Millisecond, 0, false, 800 * time.Millisecond},
		{"after a pause", 20 * time.Second, 0, true, 0},
		{"burst", 20 * time.Second, 0, true, 0},
		{"the last of the burst", 20 * time.Second, 0, true, 0},
		{"no more burst", 20 * time.Second, 0, false, 500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wait, granted := b.take(start.Add(c.at), perSecond, c.patience)
			assert.Equal(t, granted, c.granted)
			assert.Assert(t, (wait-c.wait).Abs() < time.Millisecond, "%s", wait)
		})
	}
}

// TestBudgetOfChangedRate lowers and raises the rate of a budget in use.
func TestBudgetOfChangedRate(t *testing.T) {
	b := newBudget(start, 50)
	now, sent := start, 0
	takeFor := func(d time.Duration, perSecond float64) int {
		count := 0
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			if _, granted := b.take(now, perSecond, 0); granted {
				count++
			}
		}
		return count
	}
	sent = takeFor(10*time.Second, 50)
	assert.Assert(t, sent > 480 && sent < 520, "%d", sent)
	sent = takeFor(10*time.Second, 1)
	assert.Assert(t, sent >= 9 && sent <= 15, "%d", sent)
	sent = takeFor(10*time.Second, 20)
	assert.Assert(t, sent > 190 && sent < 210, "%d", sent)
}
