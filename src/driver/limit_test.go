package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/driver"
	"sesamepitch/src/registry"

	"gotest.tools/v3/assert"
)

// pacedLimits admits requests to limited engines one interval apart.
type pacedLimits struct {
	mu       sync.Mutex
	interval map[string]time.Duration
	nextAt   map[string]time.Time
	admitted map[string]int
}

func (l *pacedLimits) TryTake(to sesamepitch.Destination) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if wait := l.nextAt[to.ID].Sub(now); wait > 0 {
		return wait, false
	}
	l.nextAt[to.ID] = now.Add(l.interval[to.ID])
	l.admitted[to.ID]++
	return 0, true
}

func (l *pacedLimits) Take(_ context.Context, to sesamepitch.Destination, patience time.Duration) (time.Duration, bool) {
	for until := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		wait, admitted := l.TryTake(to)
		if admitted || !time.Now().Before(until) {
			return wait, admitted
		}
	}
}

func (l *pacedLimits) Interval(to sesamepitch.Destination) time.Duration { return l.interval[to.ID] }

// TestItemsOfLimitedEngines runs a job on engines of which some or all take few
// requests: these get their part and no more, the others the rest, and the job is
// done, however late.
func TestItemsOfLimitedEngines(t *testing.T) {
	const items, interval = 12, 100 * time.Millisecond
	cases := []struct {
		name     string
		interval map[string]time.Duration
		// limited are the runs that a limited engine gets at least.
		limited int
	}{
		{"one of two", map[string]time.Duration{"e0": interval}, 1},
		{"both", map[string]time.Duration{"e0": interval, "e1": interval}, items / 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2)
			limits := &pacedLimits{interval: c.interval, nextAt: map[string]time.Time{}, admitted: map[string]int{}}
			var ids []string
			for i := range items {
				id := fmt.Sprint("x", i)
				ids = append(ids, id)
				f.engines.scripts[id] = []script{{last: outputEvents, err: sesamepitch.ErrComplete, eventTime: 10 * time.Millisecond}}
			}
			f.startDriverWith("a", driver.WithRateLimiter(limits))
			f.submit("j", 1, ids...)
			began := time.Now()
			for _, result := range f.results("j", items, 5*time.Second) {
				assert.Equal(t, result.State, batch.Done)
			}
			allowed := int(time.Since(began)/interval) + 2
			limits.mu.Lock()
			defer limits.mu.Unlock()
			for id := range c.interval {
				assert.Assert(t, limits.admitted[id] <= allowed && limits.admitted[id] >= c.limited, "%s got %d, %d allowed", id, limits.admitted[id], allowed)
			}
		})
	}
}

// TestWeightsOfLimitedEngine orders weights for an engine whose rate items use up:
// the order and its poll go before them.
func TestWeightsOfLimitedEngine(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	limits := &pacedLimits{interval: map[string]time.Duration{"e0": 150 * time.Millisecond}, nextAt: map[string]time.Time{}, admitted: map[string]int{}}
	f.startDriverWith("a", driver.WithRateLimiter(limits))
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprint("x", i))
	}
	f.submit("old", 1, ids...)
	f.registry.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//version", Version: 2}}})
	f.submit("new", 2, "y")
	assert.Equal(t, f.results("new", 1, 8*time.Second)["y"].State, batch.Done)
}

// TestShortOfRate has engines take less than a job needs: the driver says so, and
// says nothing of a service whose items don't wait.
func TestShortOfRate(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	limits := &pacedLimits{interval: map[string]time.Duration{"e0": 900 * time.Millisecond, "e1": 900 * time.Millisecond}, nextAt: map[string]time.Time{}, admitted: map[string]int{}}
	d := f.newDriver("a", "", driver.WithRateLimiter(limits))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	assert.Assert(t, !d.ShortOfRate("lm"))
	f.submit("j", 1, "a", "b", "c", "d", "e", "f", "g", "h")
	eventually(t, func() bool { return d.ShortOfRate("lm") })
	assert.Assert(t, !d.ShortOfRate("desk"))
}
