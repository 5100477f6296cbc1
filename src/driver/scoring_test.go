package driver_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"

	"gotest.tools/v3/assert"
)

// rewardScript is what one endpoint does with a reward call: it answers after a
// time, with a score unless err is set.
type rewardScript struct {
	after time.Duration
	err   error
}

// rewardSend is a reward call that reached an endpoint.
type rewardSend struct {
	call, endpoint string
	// runs is the number of the item's generations that had begun by then.
	runs      int
	cancelled bool
}

// fakeRewards are endpoints that score outputs. A call's scripts are used one for
// each try, the last one repeatedly; a bad endpoint fails each call.
type fakeRewards struct {
	mu        sync.Mutex
	endpoints []string
	bad       map[string]error
	noRoute   bool
	scripts   map[string][]rewardScript
	running   map[string]int
	slots     int
	sends     []rewardSend
	engines   *fakeEngines
}

func newFakeRewards(endpoints ...string) *fakeRewards {
	return &fakeRewards{endpoints: endpoints, bad: map[string]error{}, scripts: map[string][]rewardScript{}, running: map[string]int{}, slots: 4}
}

func (r *fakeRewards) RewardRoute(sesamepitch.RewardCall) (sesamepitch.RewardRoute, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noRoute {
		return sesamepitch.RewardRoute{}, false
	}
	return sesamepitch.RewardRoute{MaxAttempts: 4, LatencyTarget: 100 * time.Millisecond}, true
}

func (r *fakeRewards) RewardEndpoints(sesamepitch.RewardCall) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noRoute {
		return 0
	}
	return len(r.endpoints)
}

func (r *fakeRewards) ReserveReward(call sesamepitch.RewardCall, excluded, avoided []string) (sesamepitch.RewardTry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	choose := func(unwanted []string) string {
		for _, endpoint := range r.endpoints {
			if !slices.Contains(unwanted, endpoint) && r.running[endpoint] < r.slots {
				return endpoint
			}
		}
		return ""
	}
	endpoint := choose(append(slices.Clone(excluded), avoided...))
	if endpoint == "" {
		endpoint = choose(excluded)
	}
	if endpoint == "" {
		return nil, failure{sesamepitch.KindUnavailable, nil}
	}
	r.running[endpoint]++
	return &fakeTry{rewards: r, call: call, endpoint: endpoint}, nil
}

// removeRoute removes the route of all calls, or sets it again.
func (r *fakeRewards) removeRoute(removed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noRoute = removed
}

func (r *fakeRewards) sendsOf(call string) []rewardSend {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sends []rewardSend
	for _, send := range r.sends {
		if send.call == call {
			sends = append(sends, send)
		}
	}
	return sends
}

type fakeTry struct {
	rewards  *fakeRewards
	call     sesamepitch.RewardCall
	endpoint string
}

func (t *fakeTry) Endpoint() string { return t.endpoint }

func (t *fakeTry) Send(ctx context.Context) (string, error) {
	r := t.rewards
	r.mu.Lock()
	var todo rewardScript
	tries := 0
	for _, send := range r.sends {
		if send.call == t.call.ID {
			tries++
		}
	}
	if scripts := r.scripts[t.call.ID]; len(scripts) > 0 {
		todo = scripts[min(tries, len(scripts)-1)]
	}
	if err := r.bad[t.endpoint]; err != nil {
		todo = rewardScript{err: err}
	}
	index := len(r.sends)
	r.sends = append(r.sends, rewardSend{call: t.call.ID, endpoint: t.endpoint, runs: len(r.engines.runsOf(string(t.call.Body)))})
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running[t.endpoint]--
	}()
	select {
	case <-time.After(todo.after):
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.sends[index].cancelled = true
		return "", failure{sesamepitch.KindTimeout, ctx.Err()}
	}
	if todo.err != nil {
		return "", todo.err
	}
	return fmt.Sprintf("score of %s by %s", t.call.ID, t.endpoint), nil
}

// submitScored submits a job whose items have a reward call "r-" and the item's ID.
func (f *fixture) submitScored(id string, items ...string) {
	f.t.Helper()
	job := batch.Job{Header: batch.Header{ID: id, Workspace: "w", Route: "train", Host: "h", Model: "coach", MinVersion: 1, Submitted: time.Now()}}
	for _, item := range items {
		call := &sesamepitch.RewardCall{ID: "r-" + item, Host: "h", Path: "/score/1", Body: []byte(item)}
		job.Items = append(job.Items, batch.Item{ID: item, Path: "/p/1", Group: "g", Reward: call})
	}
	assert.NilError(f.t, f.ledger.Accept(context.Background(), job))
}

// TestRewardCalls checks for each course of a reward call what becomes of its item
// and which endpoints get the call.
func TestRewardCalls(t *testing.T) {
	kind := func(kind sesamepitch.Kind) error { return failure{kind, nil} }
	slow := 5 * time.Second
	cases := []struct {
		name    string
		scripts []rewardScript
		bad     map[string]error
		// endpoints are those that get the call, in order; score is the result's,
		// empty if the item is abandoned.
		endpoints []string
		score     string
	}{
		{"answered", nil, nil, []string{"s0"}, "score of r-x by s0"},
		{
			"one bad endpoint does not make an item dead", nil,
			map[string]error{"s0": kind(sesamepitch.KindFailed)},
			[]string{"s0", "s1"},
			"score of r-x by s1",
		},
		{
			"fails everywhere: given up after as many failures as allowed",
			[]rewardScript{{err: kind(sesamepitch.KindFailed)}},
			nil,
			[]string{"s0", "s1", "s2", "s0"},
			"",
		},
		{"refused by a full endpoint", []rewardScript{{err: kind(sesamepitch.KindOverloaded)}, {}}, nil, []string{"s0", "s1"}, "score of r-x by s1"},
		{"not reached", []rewardScript{{err: kind(sesamepitch.KindUnavailable)}, {}}, nil, []string{"s0", "s1"}, "score of r-x by s1"},
		{"answer broke off", []rewardScript{{err: kind(sesamepitch.KindUnknown)}, {}}, nil, []string{"s0", "s1"}, "score of r-x by s1"},
		{"late: another endpoint answers first", []rewardScript{{after: slow}, {}}, nil, []string{"s0", "s1"}, "score of r-x by s1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2)
			f.rewards.scripts["r-x"] = c.scripts
			f.rewards.bad = c.bad
			f.startDriver("a")
			f.submitScored("j", "x")
			result := f.results("j", 1, 4*time.Second)["x"]
			assert.Equal(t, result.Score, c.score)
			assert.Equal(t, result.State == batch.Done, c.score != "")
			var endpoints []string
			for _, send := range f.rewards.sendsOf("r-x") {
				endpoints = append(endpoints, send.endpoint)
				assert.Equal(t, send.runs, 1, "the call is sent after the output is complete")
			}
			assert.DeepEqual(t, endpoints, c.endpoints)
			assert.Equal(t, len(f.engines.runsOf("x")), 1)
		})
	}
}

// TestRewardAfterInterruption interrupts the generation: the call is sent once,
// after the last event.
func TestRewardAfterInterruption(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.engines.scripts["x"] = []script{{last: 4, err: failure{sesamepitch.KindCrashed, nil}}, complete}
	f.startDriver("a")
	f.submitScored("j", "x")
	f.results("j", 1, 4*time.Second)
	sends := f.rewards.sendsOf("r-x")
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, sends[0].runs, 2, "sent after the second generation began")
}

// TestRewardSurvivesDriver kills the driver while a reward call is under way: the
// next driver sends the call without a second generation.
func TestRewardSurvivesDriver(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.rewards.scripts["r-x"] = []rewardScript{{after: time.Minute}, {after: time.Minute}, {}}
	_, kill := f.startDriver("a")
	f.submitScored("j", "x")
	eventually(t, func() bool {
		checkpoints, _, err := f.ledger.Checkpoints(context.Background(), "j", []int{0})
		return err == nil && checkpoints[0].Complete
	})
	kill()
	f.startDriver("b")
	result := f.results("j", 1, 12*time.Second)["x"]
	assert.Equal(t, result.Output, outputOf("x"))
	assert.Assert(t, result.Score != "")
	assert.Equal(t, len(f.engines.runsOf("x")), 1, "the output is not made again")
}

// TestRewardOfEndedJob ends a job while its reward calls are under way or wait:
// those under way are cancelled, and no other one is sent.
func TestRewardOfEndedJob(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.rewards.endpoints = []string{"s0"}
	f.rewards.slots = 1
	for _, call := range []string{"r-x", "r-y"} {
		f.rewards.scripts[call] = []rewardScript{{after: time.Minute}}
	}
	f.startDriver("a")
	f.submitScored("j", "x", "y")
	sent := func() []rewardSend { return append(f.rewards.sendsOf("r-x"), f.rewards.sendsOf("r-y")...) }
	eventually(t, func() bool { return len(sent()) == 1 })
	assert.NilError(t, f.ledger.End(context.Background(), "j"))
	eventually(t, func() bool { return sent()[0].cancelled })
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(sent()), 1)
}

// TestRewardRouteRemoved removes the route of a waiting call: the call is sent once
// there is a route again.
func TestRewardRouteRemoved(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.rewards.removeRoute(true)
	f.startDriver("a")
	f.submitScored("j", "x")
	eventually(t, func() bool {
		checkpoints, _, err := f.ledger.Checkpoints(context.Background(), "j", []int{0})
		return err == nil && checkpoints[0].Complete
	})
	assert.Equal(t, len(f.rewards.sendsOf("r-x")), 0)
	f.rewards.removeRoute(false)
	assert.Assert(t, f.results("j", 1, 4*time.Second)["x"].Score != "")
}

// TestRewardRouteRemovedUnderWay removes the route while the call is under way and
// fails: without a route nothing says how often it may fail, so the item waits and
// is scored once there is a route again.
func TestRewardRouteRemovedUnderWay(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.rewards.scripts["r-x"] = []rewardScript{{after: 300 * time.Millisecond, err: failure{sesamepitch.KindFailed, nil}}, {}}
	f.startDriver("a")
	f.submitScored("j", "x")
	eventually(t, func() bool { return len(f.rewards.sendsOf("r-x")) == 1 })
	f.rewards.removeRoute(true)
	time.Sleep(600 * time.Millisecond)
	f.rewards.removeRoute(false)
	result := f.results("j", 1, 4*time.Second)["x"]
	assert.Equal(t, result.State, batch.Done)
	assert.Assert(t, result.Score != "")
}

// TestRewardOfResubmittedItem submits the items of an ended job's incomplete group
// again: a known score is used for the same call, and a new call is sent for
// another one.
func TestRewardOfResubmittedItem(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.engines.scripts["z"] = []script{{last: 2, eventTime: 300 * time.Millisecond, err: failure{sesamepitch.KindCrashed, nil}}, complete}
	f.startDriver("a")
	f.submitScored("j1", "x", "z")
	f.results("j1", 1, 4*time.Second)
	assert.NilError(t, f.ledger.End(context.Background(), "j1"))
	f.submitScored("j2", "x", "z")
	assert.Equal(t, f.results("j2", 2, 6*time.Second)["x"].Score, "score of r-x by s0")
	assert.Equal(t, len(f.rewards.sendsOf("r-x")), 1, "the score of the same call is used")
	assert.Equal(t, len(f.engines.runsOf("x")), 1)
}

// TestRewardBurst completes 92 outputs of three jobs within a moment, when one of
// three endpoints never answers: no endpoint gets more calls at a time than it has
// room for, and all are scored.
func TestRewardBurst(t *testing.T) {
	t.Parallel()
	const outputs = 92
	f := newFixture(t, 40)
	f.rewards.bad["s2"] = failure{sesamepitch.KindUnavailable, nil}
	var items []string
	for i := range outputs {
		item := fmt.Sprintf("x%02d", i)
		items = append(items, item)
		f.rewards.scripts["r-"+item] = []rewardScript{{after: 80 * time.Millisecond}}
	}
	f.startDriver("a")
	f.submitScored("j1", items[:30]...)
	time.Sleep(20 * time.Millisecond)
	f.submitScored("j2", items[30:60]...)
	time.Sleep(20 * time.Millisecond)
	f.submitScored("j3", items[60:]...)
	for id, count := range map[string]int{"j1": 30, "j2": 30, "j3": 32} {
		for item, result := range f.results(id, count, 10*time.Second) {
			assert.Equal(t, result.State, batch.Done, item)
			assert.Assert(t, result.Score != "", item)
		}
	}
}
