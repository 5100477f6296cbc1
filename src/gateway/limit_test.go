package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"

	"gotest.tools/v3/assert"
)

// fakeLimits admits a number of requests to each limited endpoint; later ones may
// come after retryIn.
type fakeLimits struct {
	mu      sync.Mutex
	left    map[string]int
	retryIn map[string]time.Duration
	// waited are the endpoints that admitted a request which could wait.
	waited []string
	// asked counts the calls of Take, which may ask another instance.
	asked int
}

func (l *fakeLimits) Take(_ context.Context, to sesamepitch.Destination, patience time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	l.asked++
	l.mu.Unlock()
	retryIn, admitted := l.TryTake(to)
	if !admitted && retryIn <= patience {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.waited = append(l.waited, to.ID)
		return 0, true
	}
	return retryIn, admitted
}

func (l *fakeLimits) TryTake(to sesamepitch.Destination) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left, limited := l.left[to.ID]
	if !limited || left > 0 {
		l.left[to.ID]--
		if !limited {
			delete(l.left, to.ID)
		}
		return 0, true
	}
	return l.retryIn[to.ID], false
}

func (l *fakeLimits) Interval(to sesamepitch.Destination) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.left[to.ID]; limited {
		return time.Second
	}
	return 0
}

// TestLimitedEndpoints sends requests while endpoints take only some: those with
// room get the others, a short wait is waited, and what none takes in time is
// refused at once, with the time after which one will.
func TestLimitedEndpoints(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []string
		left      map[string]int
		retryIn   map[string]time.Duration
		// avoided is an endpoint that was late for another request.
		avoided string
		// served are the endpoints that may serve the request; empty if it is refused.
		served []string
		waited []string
		after  time.Duration
	}{
		{"another one is not limited", []string{"a", "b"}, map[string]int{"a": 0}, map[string]time.Duration{"a": time.Second}, "", []string{"b"}, nil, 0},
		{"another one is not limited, but avoided", []string{"a", "b"}, map[string]int{"a": 0}, map[string]time.Duration{"a": time.Second}, "b", []string{"b"}, nil, 0},
		{"its rate allows one", []string{"a"}, map[string]int{"a": 1}, nil, "", []string{"a"}, nil, 0},
		{"the first to take one again", []string{"a", "b"}, map[string]int{"a": 0, "b": 0}, map[string]time.Duration{"a": time.Second, "b": 20 * time.Millisecond}, "", []string{"b"}, []string{"b"}, 0},
		{"too late", []string{"a", "b"}, map[string]int{"a": 0, "b": 0}, map[string]time.Duration{"a": 3 * time.Second, "b": 2 * time.Second}, "", nil, nil, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forward := &forwarder{answer: func(context.Context, string) (sesamepitch.Answer, error) { return answered(200) }}
			g := newGateway(forward, &meter{}, c.endpoints...)
			limits := &fakeLimits{left: c.left, retryIn: c.retryIn}
			g.limits = limits
			if c.avoided != "" {
				g.stateOf(c.avoided).avoidUntil = time.Now().Add(time.Minute)
			}
			admission, err := g.Admit("h", "/safe/x", "k")
			assert.NilError(t, err)
			began := time.Now()
			_, err = g.Serve(context.Background(), admission, sesamepitch.Request{ID: "r", Deadline: began.Add(10 * time.Second)})
			assert.Assert(t, time.Since(began) < 200*time.Millisecond, "after %s", time.Since(began))
			assert.DeepEqual(t, forward.asked, c.served)
			assert.DeepEqual(t, limits.waited, c.waited)
			if len(c.served) > 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable)
			refused := func(err error) {
				t.Helper()
				refusal := err.(*Refusal)
				assert.ErrorIs(t, err, errLimited)
				assert.Assert(t, refusal.After > c.after-time.Second && refusal.After <= 2*c.after, "retry after %s", refusal.After)
			}
			refused(err)
			_, err = g.Serve(context.Background(), admission, sesamepitch.Request{ID: "next", Deadline: began.Add(10 * time.Second)})
			refused(err)
		})
	}
}

// TestRewardCallsAskNobody reserves reward calls at limited endpoints: the driver
// holds its lock meanwhile, so no other instance is asked, and a call goes to the
// endpoint whose rate allows it rather than wait.
func TestRewardCallsAskNobody(t *testing.T) {
	g := newGateway(&forwarder{answer: scored}, &meter{}, "a", "b")
	limits := &fakeLimits{left: map[string]int{"a": 1, "b": 2}, retryIn: map[string]time.Duration{"a": time.Minute, "b": time.Minute}}
	g.limits = limits
	for range 3 {
		_, err := g.ReserveReward(rewardCall, nil, nil)
		assert.NilError(t, err)
	}
	_, err := g.ReserveReward(rewardCall, nil, nil)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable)
	assert.Equal(t, limits.asked, 0)
}

// TestNoCheckOfLimitedEndpoint checks that no health check takes a request from an
// endpoint with a limit.
func TestNoCheckOfLimitedEndpoint(t *testing.T) {
	g := newGateway(&forwarder{answer: scored}, &meter{}, "a")
	g.stateOf("a").connUsedAt = time.Now().Add(-1700 * time.Millisecond)
	g.stateOf("a").servedAt = time.Now().Add(-1700 * time.Millisecond)
	_, due := g.nextKeepAlive("desk")
	assert.Assert(t, due)
	g.limits = &fakeLimits{left: map[string]int{"a": 5}}
	_, due = g.nextKeepAlive("desk")
	assert.Assert(t, !due)
}

// slowDenial denies each request after a while, as if another one had been quicker
// each time.
type slowDenial struct {
	sesamepitch.OpenGate
	asked int
}

func (l *slowDenial) Take(context.Context, sesamepitch.Destination, time.Duration) (time.Duration, bool) {
	l.asked++
	time.Sleep(3 * time.Millisecond)
	return time.Millisecond, false
}

// TestEndpointsAreAskedOnce has all endpoints' rates used up by others again and
// again: the request asks each of them once, and the first to take one again once
// more, and is refused.
func TestEndpointsAreAskedOnce(t *testing.T) {
	g := newGateway(&forwarder{answer: scored}, &meter{}, "a", "b", "c")
	limits := &slowDenial{}
	g.limits = limits
	admission, err := g.Admit("h", "/safe/x", "k")
	assert.NilError(t, err)
	_, err = g.Serve(context.Background(), admission, sesamepitch.Request{ID: "r"})
	assert.ErrorIs(t, err, errLimited)
	assert.Equal(t, limits.asked, 4)
}
