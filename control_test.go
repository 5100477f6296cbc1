package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/standin"
	"sesamepitch/src/trainer"

	"gotest.tools/v3/assert"
)

// leaderOf returns the daemon that leads a data centre.
func (c *cluster) leaderOf(centre string) *daemonProcess {
	var leader *daemonProcess
	eventually(c.t, 15*time.Second, "a leader of "+centre, func() bool {
		for _, d := range c.daemons {
			if d.centre != centre {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, err := d.client().Status(ctx)
			cancel()
			if err == nil && status.Leader {
				leader = d
				return true
			}
		}
		return false
	})
	return leader
}

// unlistEndpoints removes the engines from the platform's live list every 150 ms,
// so that the leader of their data centre keeps sending orders.
func (c *cluster) unlistEndpoints(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			for centre := 1; centre <= 2; centre++ {
				for host := 1; host <= 2; host++ {
					name := fmt.Sprintf("engine-%d-%d", centre, host)
					c.postControl(c.platform, "live", sesamepitch.Liveness{Name: name})
				}
			}
		}
	}()
	return &wg
}

// TestOneProcessInCharge freezes lease holders past their leases while answers are
// lost and receivers ignore fencing numbers. No order or report of an earlier
// holder may arrive after one of its successor, and no usage window may be
// reported with different figures. Promises P7, P8 and P9.
func TestOneProcessInCharge(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--swap-time", "50ms")
	c.setFaults(standin.PlatformFaults{IgnoreFence: true, LoseAnswers: 0.1, SlowMillis: 250})
	random := rand.New(rand.NewPCG(7, 7))
	stop := make(chan struct{})
	background := c.unlistEndpoints(stop)
	background.Add(1)
	go func() {
		defer background.Done()
		c.publishVersions(stop)
	}()
	clients := c.startLoad(6, 4)
	for range 4 {
		time.Sleep(time.Duration(3500+random.IntN(2000)) * time.Millisecond)
		var frozen []*daemonProcess
		for _, centre := range []string{"dc-1", "dc-2"} {
			leader := c.leaderOf(centre)
			leader.signal(stopSignal)
			frozen = append(frozen, leader)
		}
		time.Sleep(time.Duration(6000+random.IntN(2500)) * time.Millisecond)
		for _, d := range frozen {
			d.signal(continueSignal)
		}
	}
	time.Sleep(4 * time.Second)
	clients.finish()
	close(stop)
	background.Wait()
	journal := c.platformJournal()
	holders := assertFencesIncrease(t, journal.Orders, func(o standin.ReceivedOrder) (string, string, int64) { return o.Centre, o.Holder, o.Fence })
	reporters := assertFencesIncrease(t, journal.Reports, func(r standin.ReceivedReport) (string, string, int64) { return "usage", r.Holder, r.Fence })
	t.Logf("%d orders by %d holders, %d reports by %d", len(journal.Orders), holders, len(journal.Reports), reporters)
	assertSameFigures(t, journal.Reports)
	fences := map[string]bool{}
	for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
		orders := c.engineSeen(name).Orders
		assert.Assert(t, len(orders) > 0, name)
		last := int64(0)
		for i, order := range orders {
			assert.Assert(t, order.Fence >= last, "%s: order %d of %d has fence %d after %d", name, i, len(orders), order.Fence, last)
			last = order.Fence
			fences[fmt.Sprint(name[:len("engine-1")], order.Fence)] = true
		}
	}
	assert.Assert(t, len(fences) >= 5, "too few changes of the lease holder for the test: %v", fences)
}

// publishVersions publishes new weights every 400 ms, so that the leaders keep
// ordering loads.
func (c *cluster) publishVersions(stop <-chan struct{}) {
	for version := int64(2); ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		for _, d := range c.daemons {
			if trainer.New("painter", c.key("coaching"), d.callers).Publish(ctx, "coach", version, "weights") == nil {
				break
			}
		}
		cancel()
	}
}

// assertFencesIncrease asserts, for each role, that fencing numbers never decrease
// and that each belongs to one holder. It returns the number of distinct pairs of
// role and fencing number.
func assertFencesIncrease[T any](t *testing.T, received []T, describe func(T) (role, holder string, fence int64)) int {
	t.Helper()
	last := map[string]int64{}
	holders := map[string]string{}
	for i, item := range received {
		role, holder, fence := describe(item)
		assert.Assert(t, fence >= last[role], "%d: %s by %s with fence %d after %d", i, role, holder, fence, last[role])
		key := fmt.Sprint(role, fence)
		if earlier, found := holders[key]; found {
			assert.Equal(t, earlier, holder, "two holders used one fencing number")
		}
		holders[key] = holder
		last[role] = fence
	}
	return len(holders)
}

// assertSameFigures asserts that all reports with the same ID, which names a usage
// window, have the same figures.
func assertSameFigures(t *testing.T, reports []standin.ReceivedReport) {
	t.Helper()
	figures := map[string][]sesamepitch.UsageFigure{}
	for _, report := range reports {
		if earlier, found := figures[report.ID]; found {
			assert.DeepEqual(t, report.Figures, earlier)
		}
		figures[report.ID] = report.Figures
	}
}

// TestUsageSurvivesKills kills daemons under load. All tokens of complete answers
// must be reported, and none twice. Promise P8.
func TestUsageSurvivesKills(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	const tokens = 5
	clients := c.startLoad(12, tokens)
	for round := range 4 {
		time.Sleep(2 * time.Second)
		victim := c.daemons[round]
		victim.kill()
		time.Sleep(time.Second)
		c.startDaemon(victim)
	}
	time.Sleep(2 * time.Second)
	clients.finish()
	succeeded, failed := clients.succeeded.Load()*tokens, clients.failed.Load()*tokens
	time.Sleep(25 * time.Second)
	reported := c.reportedTokens("other")
	t.Logf("delivered %d tokens, failed requests up to %d, reported %d", succeeded, failed, reported)
	assert.Assert(t, reported >= succeeded, "reported %d of %d", reported, succeeded)
	assert.Assert(t, reported <= succeeded+failed, "reported %d, delivered %d and at most %d more", reported, succeeded, failed)
	assertSameFigures(t, c.platformJournal().Reports)
}

// TestConfigurationInForce checks that a document is in force on every reachable
// instance within the bound, also when a leader is killed or an instance is frozen,
// and that no instance returns to an earlier version through restarts and network
// partitions. Promise P17.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	const bound = 4 * time.Second
	c := newStandardCluster(t)
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, d := range c.daemons {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			c.watchVersions(d, stop)
		}()
	}
	apply := func(version int, through *daemonProcess) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		document := strings.Replace(c.standardDocument(), "weight: 1", fmt.Sprintf("weight: %d", version), 1)
		confirmation, err := through.client().Apply(ctx, []byte(document), int64(version-1), "test")
		assert.NilError(t, err)
		assert.Equal(t, confirmation.Version, int64(version))
	}
	awaitInForce := func(version int64, timeout time.Duration, daemons ...*daemonProcess) {
		t.Helper()
		started := time.Now()
		for _, d := range daemons {
			eventually(t, timeout-time.Since(started), fmt.Sprintf("%s has version %d", d.name, version), func() bool { return c.versionOf(d) >= version })
		}
	}
	apply(2, c.daemons[3])
	awaitInForce(2, bound, c.daemons...)
	// A frozen instance does not delay the others, and catches up when it resumes.
	c.daemons[1].signal(stopSignal)
	apply(3, c.daemons[0])
	awaitInForce(3, bound, c.daemons[0], c.daemons[2], c.daemons[3])
	c.daemons[1].signal(continueSignal)
	awaitInForce(3, bound, c.daemons...)
	// A leader is killed right after the change.
	leader := c.leaderOf("dc-2")
	apply(4, c.daemons[0])
	leader.kill()
	awaitInForce(4, bound+4*time.Second, except(c.daemons, leader)...)
	c.startDaemon(leader)
	awaitInForce(4, bound+4*time.Second, c.daemons...)
	// A data centre is partitioned while the document changes outside it. One of its
	// instances restarts while the platform's live list is stale, and then the
	// partition ends.
	c.cutOff(2)
	c.setFaults(standin.PlatformFaults{StaleList: true})
	apply(5, c.daemons[0])
	awaitInForce(4, bound, c.daemons...)
	c.daemons[2].kill()
	c.startDaemon(c.daemons[2])
	time.Sleep(8 * time.Second)
	c.net.heal()
	awaitInForce(5, bound+4*time.Second, c.daemons...)
	close(stop)
	watchers.Wait()
}

// except returns all daemons but one.
func except(all []*daemonProcess, excluded *daemonProcess) []*daemonProcess {
	var list []*daemonProcess
	for _, d := range all {
		if d != excluded {
			list = append(list, d)
		}
	}
	return list
}

// versionOf returns the document version in force at a daemon, or 0 if it does not
// answer.
func (c *cluster) versionOf(d *daemonProcess) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	versioned, err := d.client().Document(ctx)
	if err != nil {
		return 0
	}
	return versioned.Version
}

// watchVersions asserts that the version in force at a daemon never decreases,
// also through restarts.
func (c *cluster) watchVersions(d *daemonProcess, stop <-chan struct{}) {
	last := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		version := c.versionOf(d)
		if version == 0 {
			continue
		}
		if version < last {
			c.t.Errorf("%s went back from %d to %d", d.name, last, version)
		}
		last = version
	}
}

// TestOperatorsRace checks that of two concurrent changes to the same trainer one is
// refused, and that a concurrent change to another section of the document is applied.
// Promise P17.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	base := c.standardDocument()
	variants := []string{
		strings.Replace(base, "max_lag: 1", "max_lag: 2", 1),
		strings.Replace(base, "region: south", "region: north", 1),
		strings.Replace(base, "step_time: 60s", "step_time: 61s", 1),
	}
	errs := make([]error, len(variants))
	var wg sync.WaitGroup
	for i, variant := range variants {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, errs[i] = c.daemons[i].client().Apply(ctx, []byte(variant), 1, fmt.Sprint("team-", i))
		}()
	}
	wg.Wait()
	assert.NilError(t, errs[1], "another section is no conflict")
	refused := 0
	for _, i := range []int{0, 2} {
		if sesamepitch.KindOf(errs[i]) == sesamepitch.KindConflict {
			refused++
		} else {
			assert.NilError(t, errs[i])
		}
	}
	assert.Equal(t, refused, 1, "the trainer was changed twice: %v", errs)
	versioned, err := c.daemons[0].client().Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, versioned.Version, int64(3))
	assert.Equal(t, versioned.Document.DataCentres[0].Region, "north")
	bad := strings.Replace(base, "workspace: coaching, model", "workspace: nobody, model", 1)
	_, err = c.daemons[0].client().Apply(ctx, []byte(bad), 3, "test")
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindInvalid)
	assert.Assert(t, strings.Contains(err.Error(), `line 10: trainers painter: workspace "nobody" is not in section workspaces`), err.Error())
}

// TestServesWhilePlatformIsDown checks that a data centre keeps serving while the
// platform is down, also when its leader is killed and an instance starts.
func TestServesWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.setFaults(standin.PlatformFaults{Hang: true})
	time.Sleep(2 * time.Second)
	leader := c.leaderOf("dc-1")
	other := except(c.daemons[:2], leader)[0]
	assert.Equal(t, sendCompletion(other.callers, c.key("field"), 4).status, http.StatusOK)
	leader.kill()
	eventually(t, 20*time.Second, "the remaining instance serves", func() bool { return sendCompletion(other.callers, c.key("field"), 4).status == http.StatusOK })
	c.startDaemon(leader)
	eventually(t, 20*time.Second, "the restarted instance serves", func() bool { return sendCompletion(leader.callers, c.key("field"), 4).status == http.StatusOK })
	c.setFaults(standin.PlatformFaults{})
	time.Sleep(6 * time.Second)
	for _, d := range c.daemons {
		assert.Equal(t, sendCompletion(d.callers, c.key("field"), 4).status, http.StatusOK, d.name)
	}
	assert.Assert(t, c.leaderOf("dc-1") != nil)
}
