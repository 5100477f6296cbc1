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

// trainerOf returns a client that goes round all daemons.
func (c *cluster) trainerClient() *trainer.Client {
	var addresses []string
	for _, d := range c.daemons {
		addresses = append(addresses, d.callers)
	}
	return trainer.New("painter", c.key("coaching"), addresses...)
}

// assertWhole asserts that every sample of the groups came exactly once.
func assertComplete(t *testing.T, outcome trainer.Outcome, groups []step.Group) {
	t.Helper()
	assert.Equal(t, outcome.Doubled(), 0)
	for g, group := range groups {
		for i := range group.Samples {
			sample, found := outcome.Samples()[step.Identity{Group: g, Index: i}]
			assert.Assert(t, found, "group %d sample %d is missing", g, i)
			assert.Equal(t, sample.Tokens, group.MaxTokens)
		}
	}
}

// reportedTokens sums the tokens that the platform took reports of.
func (c *cluster) reportedTokens(workspace string) int64 {
	tokens := int64(0)
	for _, report := range c.platformJournal().Reports {
		for _, figure := range report.Figures {
			if figure.Workspace == workspace && report.Result == standin.ResultTaken {
				tokens += figure.Tokens
			}
		}
	}
	return tokens
}

// TestExactlyOnceThroughKills is P3: the driver is killed again and again while
// results are committed, delivered and acknowledged; the trainer goes on at
// other daemons.
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
			t.Logf("%d kills, %d resumes, %s", kills, outcome.Resumes(), outcome.Took())
		})
	}
}

// TestExactlyOnceWithLostAnswers is P3: the table takes commits and loses its
// answers.
func TestExactlyOnceWithLostAnswers(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.setPlatformFaults(standin.PlatformFaults{LoseAnswers: 0.3})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(8, 6, 10)
	outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
	assert.NilError(t, err)
	assertComplete(t, outcome, groups)
	c.setPlatformFaults(standin.PlatformFaults{})
	eventually(t, 20*time.Second, "usage equals what was delivered", func() bool { return c.reportedTokens("coaching") == 480 })
	time.Sleep(4 * time.Second)
	assert.Equal(t, c.reportedTokens("coaching"), int64(480))
}

// TestExactlyOnceWhileStoreIsDown is P3: the table is down for the whole step;
// the trainer changes the daemon amid it, and what was delivered is committed
// and billed once the table is back.
func TestExactlyOnceWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.setPlatformFaults(standin.PlatformFaults{Down: true})
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
	c.setPlatformFaults(standin.PlatformFaults{})
	eventually(t, 30*time.Second, "usage of what was delivered is reported", func() bool { return c.reportedTokens("coaching") >= 960 })
}

// TestBothSidesOfACutFinishTheSameSamples is P3: the trainer moves to the other
// side of a cut while the old driver, cut off from the trainer only in its
// answers, goes on with the same step.
func TestBothSidesOfACutFinishTheSameSamples(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	groups := makeGroups(6, 6, 40)
	// The first trainer's stream stays open and drives on; a second one, the
	// same trainer after a restart, opens the step at the other data centre.
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
	// The table holds each identity in one commit of the last epoch only.
	again, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
	assert.NilError(t, err)
	assertComplete(t, again, groups)
}

// TestSamplesNameTheirVersions is P1: swaps that fail silently, engines that
// report a version they do not run, and swaps amid a stream.
func TestSamplesNameTheirVersions(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--token-time", "20ms", "--swap-time", "50ms")
	c.postControl(c.addresses["engine-1-1"], "faults", standin.EngineFaults{SwapFails: true, SwapLies: true})
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
	assert.Assert(t, mixed > 0, "no sample was made amid a swap")
}

// TestNoSampleIsTooStale is P2: the bound passes while samples wait, run, are
// hedged and committed; an engine that lies about its version gets no work for
// long; what was committed and became stale is made anew.
func TestNoSampleIsTooStale(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--token-time", "20ms", "--swap-time", "100ms")
	c.postControl(c.addresses["engine-1-1"], "faults", standin.EngineFaults{SwapFails: true, SwapLies: true})
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
		// The bound holds at delivery: the daemon knew of what it had confirmed.
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

// TestCommittedSampleThatBecomesStaleIsMadeAnew is P2 at a resume.
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
	// A trainer without memory of the step gets no sample of version 1.
	again, err := c.trainerClient().Run(ctx, 1, groups, 3, nil)
	assert.NilError(t, err)
	assertComplete(t, again, groups)
	for identity, sample := range again.Samples() {
		assert.DeepEqual(t, sample.Versions, []int64{3})
		assert.Assert(t, outcome.Samples()[identity].Versions[0] == 1)
	}
}
