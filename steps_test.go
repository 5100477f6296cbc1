package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"sesamepitch/src/standin"
	"sesamepitch/src/step"
	"sesamepitch/src/trainer"

	"gotest.tools/v3/assert"
)

// trainerClient returns a client of the trainer that uses all daemons in turn.
func (c *cluster) trainerClient() *trainer.Client {
	var addresses []string
	for _, d := range c.daemons {
		addresses = append(addresses, d.callers)
	}
	return trainer.New("painter", c.key("coaching"), addresses...)
}

// assertComplete asserts that every sample of the groups came exactly once and has its
// full length.
func assertComplete(t *testing.T, outcome trainer.Outcome, groups []step.Group) {
	t.Helper()
	assert.Equal(t, outcome.Duplicates(), 0)
	for g, group := range groups {
		for i := range group.Samples {
			sample, found := outcome.Samples()[step.Identity{Group: g, Index: i}]
			assert.Assert(t, found, "group %d sample %d is missing", g, i)
			assert.Equal(t, sample.Tokens, group.MaxTokens)
		}
	}
}

// reportedTokens returns the sum of the tokens in the usage reports of a workspace that
// the platform accepted.
func (c *cluster) reportedTokens(workspace string) int64 {
	tokens := int64(0)
	for _, report := range c.platformJournal().Reports {
		for _, figure := range report.Figures {
			if figure.Workspace == workspace && report.Result == standin.ResultAccepted {
				tokens += figure.Tokens
			}
		}
	}
	return tokens
}

// TestExactlyOnceThroughKills kills one daemon after another, so also the driver, while
// results of a step are committed, delivered and acknowledged. The trainer continues at
// other daemons and must get every sample exactly once. Promise P3.
func TestExactlyOnceThroughKills(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := newStandardCluster(t)
			random := rand.New(rand.NewPCG(seed, 1))
			ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
			defer cancel()
			groups := makeGroups(20, 8, 60)
			stop := make(chan struct{})
			killCount := make(chan int)
			go func() {
				count := 0
				for {
					select {
					case <-stop:
						killCount <- count
						return
					case <-time.After(time.Duration(1000+random.IntN(2000)) * time.Millisecond):
					}
					victim := c.daemons[count%len(c.daemons)]
					victim.kill()
					c.startDaemon(victim)
					count++
				}
			}()
			outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
			close(stop)
			kills := <-killCount
			assert.NilError(t, err)
			assertComplete(t, outcome, groups)
			t.Logf("%d kills, %d resumes, %s", kills, outcome.Resumes(), outcome.Elapsed())
		})
	}
}

// TestExactlyOnceWithLostAnswers checks delivery and usage when the table applies
// commits but 30 % of its answers are lost. Promise P3.
func TestExactlyOnceWithLostAnswers(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.setFaults(standin.PlatformFaults{LoseAnswers: 0.3})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(8, 6, 10)
	outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	c.setFaults(standin.PlatformFaults{})
	eventually(t, 20*time.Second, "usage equals what was delivered", func() bool { return c.reportedTokens("coaching") == 480 })
	time.Sleep(4 * time.Second)
	assert.Equal(t, c.reportedTokens("coaching"), int64(480))
}

// TestExactlyOnceWhileStoreIsDown checks a step during which the table is down and one
// daemon is frozen for 3 s, so that the trainer may have to continue at another one.
// The delivered samples are committed and reported as usage once the table is back.
// Promise P3.
func TestExactlyOnceWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.setFaults(standin.PlatformFaults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(8, 6, 20)
	var count atomic.Int64
	outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, func(s step.Sample) {
		assert.Assert(t, !s.Durable)
		if count.Add(1) == 20 {
			go c.net.addRule("127.0.0.1", "nothing", cutting)
			c.daemons[0].signal(stopSignal)
			go func() {
				time.Sleep(3 * time.Second)
				c.daemons[0].signal(continueSignal)
			}()
		}
	})
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	c.setFaults(standin.PlatformFaults{})
	eventually(t, 30*time.Second, "usage of what was delivered is reported", func() bool { return c.reportedTokens("coaching") >= 960 })
}

// TestBothSidesOfACutFinishTheSameSamples checks a step that is driven on both sides of
// a network partition: a restarted trainer opens the step in a data centre that is cut
// off, while the first driver continues the same step. Promise P3.
func TestBothSidesOfACutFinishTheSameSamples(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(6, 6, 40)
	// The stream of the first client stays open, so that its driver continues. The
	// second client stands for the same trainer after a restart, and opens the step in
	// the other data centre.
	first := make(chan trainer.Outcome, 1)
	go func() {
		firstCtx, stop := context.WithTimeout(ctx, 20*time.Second)
		defer stop()
		outcome, _ := trainer.New("painter", c.key("coaching"), c.daemons[0].callers).Run(firstCtx, 1, groups, 1, nil)
		first <- outcome
	}()
	time.Sleep(400 * time.Millisecond)
	c.cutOff(2)
	outcome, err := trainer.New("painter", c.key("coaching"), c.daemons[2].callers).Run(ctx, 1, groups, 1, nil)
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	c.net.heal()
	<-first
	// The table has each sample identity only once, in a commit of the last epoch.
	again, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
	assert.NilError(t, err)
	assertComplete(t, again, groups)
}

// TestSamplesNameTheirVersions checks that samples name the weights that generated them
// when a swap fails without an error, an engine reports a version that it does not run,
// or weights are swapped during a stream. Promise P1.
func TestSamplesNameTheirVersions(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--token-time", "20ms", "--swap-time", "50ms")
	c.postControl(c.addresses["engine-1-1"], "faults", standin.EngineFaults{SwapFails: true, MisreportSwap: true})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(12, 4, 20)
	client := c.trainerClient()
	var count atomic.Int64
	outcome, err := client.Run(ctx, 1, groups, 1, func(step.Sample) {
		if count.Add(1) == 8 {
			go func() { _ = c.trainerClient().Publish(ctx, "coach", 2, "weights-2") }()
		}
	})
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	mixed := 0
	for identity, sample := range outcome.Samples() {
		assert.Assert(t, len(sample.Versions) > 0, "%v", identity)
		if sample.Endpoint == "engine-1-1" {
			assert.DeepEqual(t, sample.Versions, []int64{1})
		}
		if len(sample.Versions) > 1 {
			mixed++
		}
	}
	assert.Assert(t, mixed > 0, "no sample was generated during a swap")
}

// TestNoSampleIsTooStale publishes new versions while samples are queued, running,
// hedged or committed. One engine reports a version that it does not run, and must soon
// get no more work. No sample may be older than the allowed lag when it is delivered;
// a committed one that becomes too old is generated again. Promise P2.
func TestNoSampleIsTooStale(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--token-time", "20ms", "--swap-time", "100ms")
	c.postControl(c.addresses["engine-1-1"], "faults", standin.EngineFaults{SwapFails: true, MisreportSwap: true})
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	groups := makeGroups(30, 4, 40)
	published := atomic.Int64{}
	published.Store(1)
	stop := make(chan struct{})
	go func() {
		for version := int64(2); ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
			if c.trainerClient().Publish(ctx, "coach", version, fmt.Sprint("weights-", version)) == nil {
				published.Store(version)
			}
		}
	}()
	var maxLag atomic.Int64
	outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, func(s step.Sample) {
		// The bound applies at delivery, to the versions that a daemon had confirmed.
		lag := published.Load() - s.Versions[0]
		if lag > maxLag.Load() {
			maxLag.Store(lag)
		}
	})
	close(stop)
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	assert.Assert(t, published.Load() >= 3, "too few versions for the test: %d", published.Load())
	// One version of lag is allowed, and one more may be published while a
	// sample is on its way from the daemon to this test.
	assert.Assert(t, maxLag.Load() <= 2, "a sample lagged %d versions", maxLag.Load())
}

// TestCommittedSampleThatBecomesStaleIsMadeAnew checks that a resumed step generates
// committed samples again that have become too old. Promise P2.
func TestCommittedSampleThatBecomesStaleIsMadeAnew(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--swap-time", "50ms")
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(4, 4, 4)
	outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	assert.NilError(t, c.trainerClient().Publish(ctx, "coach", 3, "weights-3"))
	eventually(t, 22*time.Second, "all engines run version 3", func() bool {
		for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
			if c.engineSeen(name).Version != 3 {
				return false
			}
		}
		return true
	})
	// A trainer that opens the step again gets no sample of version 1.
	again, err := c.trainerClient().Run(ctx, 1, groups, 3, nil)
	assert.NilError(t, err)
	assertComplete(t, again, groups)
	for identity, sample := range again.Samples() {
		assert.DeepEqual(t, sample.Versions, []int64{3})
		assert.Assert(t, outcome.Samples()[identity].Versions[0] == 1)
	}
}
