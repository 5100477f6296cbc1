package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/load"
	"sesamepitch/src/notice"
	"sesamepitch/src/operator"
	"sesamepitch/src/standin"

	"gotest.tools/v3/assert"
)

// maxLeaveTime is the documented bound within which a leaving endpoint, or a data
// centre that is taken out, gets no more new work.
const maxLeaveTime = 3 * time.Second

// loadGenerator sends completions to all daemons until stopped.
type loadGenerator struct {
	stop      chan struct{}
	wg        sync.WaitGroup
	succeeded atomic.Int64
	failed    atomic.Int64
	mu        sync.Mutex
	failures  map[string]int
}

// startLoad starts concurrent workers that send completions of this many tokens.
func (c *cluster) startLoad(workers, tokens int) *loadGenerator {
	g := &loadGenerator{stop: make(chan struct{}), failures: map[string]int{}}
	for i := range workers {
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			for n := 0; ; n++ {
				select {
				case <-g.stop:
					return
				default:
				}
				g.sendOne(c, c.daemons[(i+n)%len(c.daemons)], i, n, tokens)
			}
		}()
	}
	return g
}

// sendOne sends one request if the daemon is ready, as a load balancer does.
func (g *loadGenerator) sendOne(c *cluster, d *daemonProcess, worker, number, tokens int) {
	if getStatus(d.callers, "/readyz") != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	got := send(ctx, http.MethodPost, d.callers, "/v1/completions", c.key("other"), completionBody(tokens, false, fmt.Sprintf("worker %d request %d", worker, number)))
	if got.status == http.StatusOK && got.err == nil {
		g.succeeded.Add(1)
		return
	}
	g.failed.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures[fmt.Sprintf("%s: %d %s %v", d.name, got.status, got.body, got.err)]++
}

// finish stops the workers and waits for their requests.
func (g *loadGenerator) finish() {
	close(g.stop)
	g.wg.Wait()
}

// TestColdStartIsNotOverloaded checks that no cold engine gets more work than its cold
// limit: all engines start cold under load, owners of cells are killed during the
// ramp, and warm engines turn cold. Promise P10.
func TestColdStartIsNotOverloaded(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t)
	clients := c.startLoad(40, 5)
	time.Sleep(600 * time.Millisecond)
	for _, d := range []int{1, 3} {
		c.daemons[d].kill()
	}
	time.Sleep(3 * time.Second)
	for _, d := range []int{1, 3} {
		c.startDaemon(c.daemons[d])
	}
	time.Sleep(6 * time.Second)
	for _, name := range []string{"engine-1-1", "engine-2-2"} {
		c.postControl(c.addresses[name], "cool", struct{}{})
	}
	time.Sleep(6 * time.Second)
	clients.finish()
	for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
		seen := c.engineSeen(name)
		assert.Equal(t, seen.ColdOverloads, 0, name)
		assert.Assert(t, seen.MaxRunning > 2, "%s was never warm: %d", name, seen.MaxRunning)
		assert.Assert(t, seen.MaxRunning <= 8, "%s exceeded its knee: %d", name, seen.MaxRunning)
	}
	assert.Assert(t, clients.succeeded.Load() > 100, "%d succeeded", clients.succeeded.Load())
}

// TestIdleEngineRestartsUnnoticed checks that engines that restart while idle are not
// overloaded by a burst of requests that arrives before the restart is reported.
// Promise P10.
func TestIdleEngineRestartsUnnoticed(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t)
	clients := c.startLoad(40, 5)
	time.Sleep(8 * time.Second)
	clients.finish()
	for round := range 3 {
		time.Sleep(time.Duration(400+150*round) * time.Millisecond)
		for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
			c.postControl(c.addresses[name], "crash", struct{}{})
		}
		// The engines restart cold within a second.
		time.Sleep(1050 * time.Millisecond)
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sendCompletion(c.daemons[i%4].callers, c.key("other"), 5)
			}()
		}
		wg.Wait()
	}
	for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
		seen := c.engineSeen(name)
		assert.Equal(t, seen.ColdOverloads, 0, "%s: %s", name, seen.LastOverload)
	}
}

// newColdCluster starts a standard cluster whose engines are cold for 2 s after a
// start, with a cold limit of two requests.
func newColdCluster(t *testing.T) *cluster {
	c := newStandardCluster(t, "--cold-time", "2s", "--cold-limit", "2")
	document := c.standardDocument()
	c.apply(strings.ReplaceAll(document, "cold_time: 300ms", "cold_time: 2200ms"))
	return c
}

// lastStart returns when any of the engines last got new work.
func (c *cluster) lastStart(names ...string) time.Time {
	var last time.Time
	for _, name := range names {
		if seen := c.engineSeen(name); seen.LastStart.After(last) {
			last = seen.LastStart
		}
	}
	return last
}

// TestLoadDrivesNineProcesses sends the mixed load of the load command to nine daemons
// in three data centres; nothing may fail or be delivered twice.
func TestLoadDrivesNineProcesses(t *testing.T) {
	t.Parallel()
	r := newRandomRun(t, 1)
	args := []string{"load", "--daemon", r.daemons[0].operators, "--for", "10s", "--json"}
	for _, d := range r.daemons {
		args = append(args, "--callers", d.callers)
	}
	for _, workspace := range []string{"coaching", "field", "other"} {
		args = append(args, "--key", workspace+"="+r.key(workspace))
	}
	command := r.startProcess("load", args...)
	select {
	case <-command.exited:
	case <-time.After(60 * time.Second):
		t.Fatal("the load command does not exit")
	}
	var seen load.TrafficReport
	assert.NilError(t, json.Unmarshal([]byte(command.log.String()), &seen), command.log.String())
	assert.Equal(t, command.command.ProcessState.ExitCode(), 0, command.log.String())
	assert.Equal(t, seen.Failed, int64(0), "%v", seen.Causes)
	assert.Equal(t, seen.Duplicates, int64(0))
	assert.Assert(t, seen.Completions > 50 && seen.Calls > 50 && seen.Steps > 1, "%+v", seen)
	t.Logf("%+v", seen)
}

// TestCentreTakenOut takes a data centre out under load through one instance while
// another one is cut off from the platform, and then brings it back and takes it out
// three times within ten seconds. No request may fail. Promise P11.
func TestCentreTakenOut(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	time.Sleep(6 * time.Second) // The leaders list each other every five seconds.
	clients := c.startLoad(16, 5)
	time.Sleep(time.Second)
	// One instance of the data centre reaches its peers but not the platform.
	c.net.addRule(c.daemons[1].ip, c.daemons[1].platform, cutting)
	started := time.Now()
	_, err := c.daemons[2].client().SetCentre(context.Background(), operator.CentreState{Name: "dc-1", State: notice.Out})
	assert.NilError(t, err)
	time.Sleep(maxLeaveTime + 2*time.Second)
	last := c.lastStart("engine-1-1", "engine-1-2")
	assert.Assert(t, last.Sub(started) < maxLeaveTime, "new work %s after", last.Sub(started))
	assert.Assert(t, time.Since(c.lastStart("engine-2-1", "engine-2-2")) < time.Second, "the other data centre serves")
	for i := range 6 {
		state := notice.In
		if i%2 == 1 {
			state = notice.Out
		}
		_, err := c.daemons[i%4].client().SetCentre(context.Background(), operator.CentreState{Name: "dc-1", State: state})
		assert.NilError(t, err)
		started = time.Now()
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(maxLeaveTime)
	last = c.lastStart("engine-1-1", "engine-1-2")
	assert.Assert(t, last.Sub(started) < maxLeaveTime, "new work %s after the last change", last.Sub(started))
	_, err = c.daemons[0].client().SetCentre(context.Background(), operator.CentreState{Name: "dc-1", State: notice.In})
	assert.NilError(t, err)
	eventually(t, maxLeaveTime, "dc-1 serves again", func() bool { return time.Since(c.lastStart("engine-1-1", "engine-1-2")) < 200*time.Millisecond })
	clients.finish()
	assert.Equal(t, clients.failed.Load(), int64(0), "%v", clients.failures)
}

// TestLeavingEndpoint checks that an endpoint that the platform lists as leaving gets
// no new work, and that the requests that run there finish. Promise P15.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	clients := c.startLoad(16, 5)
	time.Sleep(2 * time.Second)
	started := time.Now()
	c.postControl(c.platform, "live", sesamepitch.Liveness{Name: "engine-1-1", Centre: "dc-1", State: sesamepitch.StateLeaving})
	c.postControl(c.platform, "live", sesamepitch.Liveness{Name: "engine-2-2", Centre: "dc-2", State: sesamepitch.StateLeaving})
	time.Sleep(maxLeaveTime + 2*time.Second)
	last := c.lastStart("engine-1-1", "engine-2-2")
	if last.Sub(started) >= maxLeaveTime {
		c.logLines("engine-1-1", "engine-2-2", "leader", "owner", "platform")
	}
	assert.Assert(t, last.Sub(started) < maxLeaveTime, "new work %s after", last.Sub(started))
	c.engines["engine-1-1"].kill()
	c.engines["engine-2-2"].kill()
	time.Sleep(time.Second)
	clients.finish()
	assert.Equal(t, clients.failed.Load(), int64(0), "%v", clients.failures)
}

// TestGracefulShutdownCutsNothing restarts all daemons one after another, under
// streams, a step and queued requests, with a slow platform. No stream or request may
// be interrupted. Promise P16.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.setFaults(standin.PlatformFaults{SlowMillis: 100})
	clients := c.startLoad(24, 10)
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	groups := makeGroups(20, 6, 60)
	type result struct {
		doubled, samples int
		err              error
	}
	stepDone := make(chan result, 1)
	go func() {
		outcome, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
		stepDone <- result{outcome.Duplicates(), len(outcome.Samples()), err}
	}()
	for _, d := range c.daemons {
		stream := startStream(t, d.callers, c.key("field"), 150)
		d.signal(termSignal)
		select {
		case <-d.exited:
		case <-time.After(20 * time.Second):
			t.Fatalf("%s does not exit", d.name)
		}
		last, ended := stream.waitEnd(time.Second)
		assert.Assert(t, ended)
		assert.Equal(t, last, "[DONE]", "a stream was interrupted")
		c.startDaemon(d)
		eventually(t, 15*time.Second, d.name+" is ready", func() bool { return getStatus(d.callers, "/readyz") == http.StatusOK })
	}
	got := <-stepDone
	clients.finish()
	assert.NilError(t, got.err)
	assert.Equal(t, got.samples, 120)
	assert.Equal(t, got.doubled, 0)
	assert.Equal(t, clients.failed.Load(), int64(0), "%v", clients.failures)
}
