package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/notice"
	"sesamepitch/src/operator"
	"sesamepitch/src/standin"
	"sesamepitch/src/step"

	"gotest.tools/v3/assert"
)

var (
	runMinutes = flag.Float64("run.minutes", 0, "length of the randomised run; 0 is 60 s in all")
	runSeed    = flag.Uint64("run.seed", 0, "seed of the randomised run; 0 runs the fixed seeds")
)

// fixedSeeds are the seeds that CI runs, each for fixedDuration.
var fixedSeeds = []uint64{1, 2, 3}

const fixedDuration = 20 * time.Second

// TestRandomised injects overlapping random faults under a mixed load on nine daemons
// in three data centres, and checks the recorded history at the end.
func TestRandomised(t *testing.T) {
	seeds, length := fixedSeeds, fixedDuration
	if *runSeed != 0 {
		seeds = []uint64{*runSeed}
	}
	if *runMinutes > 0 {
		length = time.Duration(*runMinutes * float64(time.Minute))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Logf("seed %d, %s", seed, length)
			r := newRandomRun(t, seed)
			r.execute(length)
			r.checkHistory()
		})
	}
}

// randomRun is one randomised run with its load, its faults and its history.
type randomRun struct {
	*cluster
	random *rand.Rand
	stop   chan struct{}
	wg     sync.WaitGroup

	mu sync.Mutex
	// frozen holds the daemons that were frozen since their last kill.
	frozen        map[*daemonProcess]bool
	withdrawnKeys map[string]time.Time
	delivered     int64
	billed        int64
	steps         int
	// lotsOutcomes maps the body of a call to "yes", "no" or "unknown": whether it ran.
	lotsOutcomes     map[string]string
	faultCounts      map[string]int
	served           atomic.Int64
	refused          atomic.Int64
	publishedVersion atomic.Int64
	// acceptedVersion is the latest document version that Apply returned.
	acceptedVersion atomic.Int64
}

// newRandomRun starts three data centres, each with three daemons, two engines, a
// judge and a service whose calls must not be repeated.
func newRandomRun(t *testing.T, seed uint64) *randomRun {
	t.Helper()
	c := newCluster(t)
	for centre := 1; centre <= 3; centre++ {
		for host := 1; host <= 2; host++ {
			c.startEngine(fmt.Sprintf("engine-%d-%d", centre, host), centre, host,
				"--cold-time", "300ms", "--cold-limit", "2", "--restart-time", "500ms", "--swap-time", "50ms", "--check-fence")
		}
		c.startService(fmt.Sprintf("judge-%d", centre), centre, 50)
		c.startService(fmt.Sprintf("lots-%d", centre), centre, 51)
	}
	for centre := 1; centre <= 3; centre++ {
		for host := 1; host <= 3; host++ {
			c.addDaemon(fmt.Sprintf("d%d%d", centre, host), fmt.Sprintf("dc-%d", centre), centre, host)
		}
	}
	r := &randomRun{
		cluster: c, random: rand.New(rand.NewPCG(seed, 11)), stop: make(chan struct{}), frozen: map[*daemonProcess]bool{},
		withdrawnKeys: map[string]time.Time{}, lotsOutcomes: map[string]string{}, faultCounts: map[string]int{},
	}
	r.publishedVersion.Store(1)
	c.apply(r.documentText(1))
	r.acceptedVersion.Store(1)
	return r
}

// spareKeys is the number of keys that the run may withdraw.
const spareKeys = 12

func (r *randomRun) documentText(weight int) string {
	text := r.standardDocument()
	text = strings.Replace(text, "weight: 1", fmt.Sprintf("weight: %d", weight), 1)
	text = strings.Replace(text, "  - {name: dc-2, region: south}\n", "  - {name: dc-2, region: south}\n  - {name: dc-3, region: south}\n", 1)
	var keys strings.Builder
	for i := range spareKeys {
		name := fmt.Sprint("spare", i)
		fmt.Fprintf(&keys, "  - {name: %s, workspace: field, hash: %s}\n", name, r.keyHash(name))
	}
	text = strings.Replace(text, "trainers:\n", keys.String()+"trainers:\n", 1)
	for host := 1; host <= 2; host++ {
		name := fmt.Sprintf("engine-3-%d", host)
		text += fmt.Sprintf("  - {name: %s, data_centre: dc-3, model: coach, address: \"%s\", knee: 8, cold_limit: 2, warm_after: 2, cold_time: 400ms, milli_price: 1000, checks_fence: true}\n", name, r.addresses[name])
	}
	for _, service := range []string{"judge", "lots"} {
		name := service + "-3"
		text += fmt.Sprintf("  - {name: %s, data_centre: dc-3, service: %s, address: \"%s\", knee: 16, cold_limit: 16, milli_price: 0}\n", name, service, r.addresses[name])
	}
	return strings.ReplaceAll(text, "cold_time: 300ms", "cold_time: 400ms")
}

// execute runs the load and injects faults for a duration; then it ends all faults
// and stops the load.
func (r *randomRun) execute(duration time.Duration) {
	for worker := range 6 {
		r.spawn(func(random *rand.Rand) { r.sendInteractive(worker, random) })
	}
	for worker := range 2 {
		r.spawn(func(random *rand.Rand) { r.repeatLotsCalls(worker, random) })
	}
	r.spawn(r.runTrainer)
	r.spawn(r.watchConfigVersions)
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		r.injectFault()
		r.sleep(time.Duration(300+r.random.IntN(1500)) * time.Millisecond)
	}
	r.heal()
	// Without faults, every accepted change must be in force everywhere after this time.
	time.Sleep(12 * time.Second)
	close(r.stop)
	r.wg.Wait()
}

func (r *randomRun) sleep(d time.Duration) { time.Sleep(d) }

// spawn runs work in a goroutine with its own source of random numbers.
func (r *randomRun) spawn(work func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(r.random.Uint64(), 13))
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		work(random)
	}()
}

func (r *randomRun) isStopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

func (r *randomRun) randomDaemon(random *rand.Rand) *daemonProcess {
	return r.daemons[random.IntN(len(r.daemons))]
}

// sendInteractive sends interactive requests and checks that every answer with
// status 200 is complete.
func (r *randomRun) sendInteractive(worker int, random *rand.Rand) {
	for n := 0; !r.isStopped(); n++ {
		tokens := 1 + random.IntN(12)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		got := send(ctx, http.MethodPost, r.randomDaemon(random).callers, "/v1/completions", r.key("field"), completionBody(tokens, false, fmt.Sprintf("member %d asks %d", worker, n)))
		cancel()
		if got.err == nil && got.status == http.StatusOK {
			r.served.Add(1)
			last := fmt.Sprintf("w%d\"", tokens-1)
			if !strings.Contains(got.body, last) {
				r.t.Errorf("an answer is incomplete: %s", got.body)
			}
			r.mu.Lock()
			r.delivered += int64(tokens)
			r.mu.Unlock()
			continue
		}
		r.refused.Add(1)
		time.Sleep(30 * time.Millisecond)
	}
}

// repeatLotsCalls calls the service whose calls must not be repeated, and sends each
// call up to four times with the same idempotency key through random daemons. It
// records whether the call ran, as far as the answers say.
func (r *randomRun) repeatLotsCalls(worker int, random *rand.Rand) {
	for n := 0; !r.isStopped(); n++ {
		body := fmt.Sprintf(`{"worker":%d,"lot":%d}`, worker, n)
		outcome := "no"
		for range 1 + random.IntN(4) {
			got := r.callLots(r.randomDaemon(random).callers, fmt.Sprintf("%d-%d", worker, n), body, 5*time.Second)
			switch {
			case got.err == nil && got.status == http.StatusOK:
				outcome = "yes"
			case got.err != nil || got.ran != "no":
				if outcome == "no" {
					outcome = "unknown"
				}
			}
		}
		r.mu.Lock()
		r.lotsOutcomes[body] = outcome
		r.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// runTrainer runs steps and publishes weights. Each step must be complete, without
// duplicate samples, and generated with weights within the allowed lag.
func (r *randomRun) runTrainer(random *rand.Rand) {
	for number := int64(1); !r.isStopped(); number++ {
		groups := makeGroups(2+random.IntN(5), 1+random.IntN(6), 1+random.IntN(20))
		policy := r.publishedVersion.Load()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		client := r.trainerClient()
		outcome, err := client.Run(ctx, number, groups, policy, func(s step.Sample) {
			if len(s.Versions) == 0 || s.Versions[0] < policy-1 {
				r.t.Errorf("step %d: versions %v under policy %d", number, s.Versions, policy)
			}
		})
		if err != nil {
			r.t.Errorf("step %d: %v", number, err)
		} else {
			checkComplete(r.t, outcome.Duplicates(), len(outcome.Samples()), groups)
		}
		_ = client.Acknowledge(ctx, number, nil, true)
		version := policy + 1
		if client.Publish(ctx, "coach", version, fmt.Sprint("weights-", version)) == nil {
			r.publishedVersion.Store(version)
		}
		cancel()
		r.mu.Lock()
		r.steps++
		r.mu.Unlock()
	}
}

// checkComplete reports an error unless every sample of the groups came exactly once.
func checkComplete(t *testing.T, doubled, received int, groups []step.Group) {
	expected := 0
	for _, group := range groups {
		expected += group.Samples
	}
	if doubled != 0 || received != expected {
		t.Errorf("%d of %d samples, %d doubled", received, expected, doubled)
	}
}

// watchConfigVersions asserts that no daemon returns to an earlier version of the
// configuration.
func (r *randomRun) watchConfigVersions(*rand.Rand) {
	last := map[string]int64{}
	for !r.isStopped() {
		for _, d := range r.daemons {
			version := r.versionOf(d)
			if version != 0 && version < last[d.name] {
				r.t.Errorf("%s went back from %d to %d", d.name, last[d.name], version)
			}
			if version != 0 {
				last[d.name] = version
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// injectFault injects one random fault, or ends faults.
func (r *randomRun) injectFault() {
	faults := []struct {
		name string
		do   func()
	}{
		{"kill a daemon", r.killDaemon},
		{"freeze a daemon", r.freezeDaemon},
		{"restart a daemon gracefully", r.restartDaemon},
		{"cut a data centre off", func() { r.cutOff(1 + r.random.IntN(3)) }},
		{"cut a daemon off the platform", func() { d := r.randomDaemon(r.random); r.net.addRule(d.ip, d.platform, hanging) }},
		{"heal the network", func() { r.net.heal() }},
		{"heal the network", func() { r.net.heal() }},
		{"platform down", func() { r.setFaults(standin.PlatformFaults{Down: true}) }},
		{"platform hangs", func() { r.setFaults(standin.PlatformFaults{Hang: true}) }},
		{"platform slow, loses answers", func() { r.setFaults(standin.PlatformFaults{SlowMillis: 150, LoseAnswers: 0.2, StaleList: true}) }},
		{"platform recovers", func() { r.setFaults(standin.PlatformFaults{}) }},
		{"platform recovers", func() { r.setFaults(standin.PlatformFaults{}) }},
		{"engine faults", r.setEngineFaults},
		{"engine crashes", r.crashEngine},
		{"engine turns cold", func() { r.postControl(r.addresses[r.randomEngine()], "cool", struct{}{}) }},
		{"endpoint leaves", r.markEndpointLeaving},
		{"poison", r.sendCrashingContent},
		{"withdraw a key", r.withdrawKey},
		{"data centre out or in", r.setCentreState},
		{"document", r.applyDocument},
		{"service faults", r.setServiceFaults},
	}
	chosen := faults[r.random.IntN(len(faults))]
	r.faultCounts[chosen.name]++
	chosen.do()
}

func (r *randomRun) killDaemon() {
	d := r.randomDaemon(r.random)
	d.kill()
	delete(r.frozen, d)
	r.sleep(time.Duration(r.random.IntN(800)) * time.Millisecond)
	r.startDaemon(d)
}

func (r *randomRun) restartDaemon() {
	d := r.randomDaemon(r.random)
	if r.frozen[d] {
		return
	}
	d.signal(termSignal)
	select {
	case <-d.exited:
	case <-time.After(40 * time.Second):
		r.t.Errorf("%s does not exit", d.name)
		d.kill()
	}
	r.startDaemon(d)
}

func (r *randomRun) freezeDaemon() {
	d := r.randomDaemon(r.random)
	d.signal(stopSignal)
	r.frozen[d] = true
	duration := time.Duration(500+r.random.IntN(8000)) * time.Millisecond
	process := d.process
	time.AfterFunc(duration, func() { process.signal(continueSignal) })
}

func (r *randomRun) randomEngine() string {
	return fmt.Sprintf("engine-%d-%d", 1+r.random.IntN(3), 1+r.random.IntN(2))
}

func (r *randomRun) setEngineFaults() {
	kinds := []standin.EngineFaults{
		{}, {}, {Slow: 5}, {SwapFails: true}, {SwapFails: true, MisreportSwap: true}, {CutAfter: 3}, {Truncate: true}, {CrossAnswers: true}, {Down: true},
	}
	r.postControl(r.addresses[r.randomEngine()], "faults", kinds[r.random.IntN(len(kinds))])
}

func (r *randomRun) setServiceFaults() {
	kinds := []standin.ServiceFaults{{}, {}, {Down: true}, {LoseAnswers: true}, {SlowMillis: 300}, {Truncate: true}}
	name := fmt.Sprintf("lots-%d", 1+r.random.IntN(3))
	r.postControl(r.addresses[name], "faults", kinds[r.random.IntN(len(kinds))])
}

func (r *randomRun) crashEngine() {
	r.postControl(r.addresses[r.randomEngine()], "crash", struct{}{})
}

func (r *randomRun) markEndpointLeaving() {
	name := r.randomEngine()
	centre := "dc-" + name[len("engine-"):len("engine-")+1]
	r.postControl(r.platform, "live", sesamepitch.Liveness{Name: name, Centre: centre, State: sesamepitch.StateLeaving})
	platform := r.platform
	time.AfterFunc(3*time.Second, func() {
		defer func() { _ = recover() }()
		r.postControl(platform, "live", sesamepitch.Liveness{Name: name})
	})
}

// sendCrashingContent sends a content that crashes engines through three random
// daemons.
func (r *randomRun) sendCrashingContent() {
	prompt := fmt.Sprintf("poison %d %s", r.random.Int(), standin.CrashMarker)
	for range 3 {
		address := r.randomDaemon(r.random).callers
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			send(ctx, http.MethodPost, address, "/v1/completions", r.key("field"), completionBody(3, false, prompt))
		}()
	}
}

func (r *randomRun) withdrawKey() {
	name := fmt.Sprint("spare", r.random.IntN(spareKeys))
	d := r.randomDaemon(r.random)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	confirmation, err := d.client().Withdraw(ctx, operator.Withdrawal{Hash: r.keyHash(name)})
	if err == nil && !confirmation.Local {
		r.withdrawnKeys[name] = time.Now()
	}
}

func (r *randomRun) setCentreState() {
	state := notice.In
	if r.random.IntN(2) == 0 {
		state = notice.Out
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	_, _ = r.randomDaemon(r.random).client().SetCentre(ctx, operator.CentreState{Name: fmt.Sprint("dc-", 1+r.random.IntN(3)), State: state})
}

func (r *randomRun) applyDocument() {
	d := r.randomDaemon(r.random)
	base := r.versionOf(d)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	confirmation, err := d.client().Apply(ctx, []byte(r.documentText(1+r.random.IntN(9))), base, "random")
	if err == nil && confirmation.Version > r.acceptedVersion.Load() {
		r.acceptedVersion.Store(confirmation.Version)
	}
}

// heal ends all faults and brings all data centres back in.
func (r *randomRun) heal() {
	r.net.heal()
	r.setFaults(standin.PlatformFaults{})
	for _, d := range r.daemons {
		d.signal(continueSignal)
	}
	for name, address := range r.addresses {
		switch {
		case strings.HasPrefix(name, "engine"):
			r.postControl(address, "faults", standin.EngineFaults{})
		default:
			r.postControl(address, "faults", standin.ServiceFaults{})
		}
	}
	for centre := 1; centre <= 3; centre++ {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		for _, d := range r.daemons {
			if _, err := d.client().SetCentre(ctx, operator.CentreState{Name: fmt.Sprint("dc-", centre), State: notice.In}); err == nil {
				break
			}
		}
		cancel()
	}
}

// checkHistory checks the recorded history of the run.
func (r *randomRun) checkHistory() {
	t := r.t
	t.Logf("served %d, refused %d, steps %d, versions %d, faults %v", r.served.Load(), r.refused.Load(), r.steps, r.publishedVersion.Load(), r.faultCounts)
	assert.Check(t, r.served.Load() > 0 && r.steps > 0)
	for body, ran := range r.lotsOutcomes {
		runs := r.cluster.serviceSeen("lots-1").Bodies[body] + r.cluster.serviceSeen("lots-2").Bodies[body] + r.cluster.serviceSeen("lots-3").Bodies[body]
		assert.Check(t, runs <= 1, "%s ran %d times", body, runs)
		assert.Check(t, ran != "no" || runs == 0, "%s was reported as not run, but ran", body)
		assert.Check(t, ran != "yes" || runs == 1, "%s was answered, but did not run", body)
	}
	for _, d := range r.daemons {
		assert.Check(t, r.versionOf(d) >= r.acceptedVersion.Load(), "%s has version %d, accepted %d", d.name, r.versionOf(d), r.acceptedVersion.Load())
		for name := range r.withdrawnKeys {
			got := sendCompletion(d.callers, r.key(name), 1)
			assert.Check(t, got.status == http.StatusUnauthorized, "%s serves the withdrawn key %s: %d", d.name, name, got.status)
		}
		got := sendCompletion(d.callers, r.key("field"), 1)
		assert.Check(t, got.status == http.StatusOK, "%s does not serve again: %d %s", d.name, got.status, got.body)
	}
	r.checkEndpoints()
	journal := r.platformJournal()
	assertSameFigures(t, journal.Reports)
	assertFencesIncrease(t, filter(journal.Orders, func(o standin.ReceivedOrder) bool { return o.Result != standin.ResultRefused }),
		func(o standin.ReceivedOrder) (string, string, int64) { return o.Centre, o.Holder, o.Fence })
	assertFencesIncrease(t, filter(journal.Reports, func(o standin.ReceivedReport) bool { return o.Result != standin.ResultRefused }),
		func(o standin.ReceivedReport) (string, string, int64) { return "usage", o.Holder, o.Fence })
	dump := r.dumpState()
	for name := range r.keys {
		assert.Check(t, !strings.Contains(dump, r.key(name)), "the key of %s is in a log, metric or row", name)
	}
}

// filter returns the items to keep.
func filter[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for _, item := range list {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

// checkEndpoints checks that no endpoint received a key and no engine was overloaded
// while cold.
func (r *randomRun) checkEndpoints() {
	for name := range r.engines {
		if !strings.HasPrefix(name, "engine") {
			assert.Check(r.t, len(r.cluster.serviceSeen(name).Secrets) == 0, "%s saw %v", name, r.cluster.serviceSeen(name).Secrets)
			continue
		}
		seen := r.engineSeen(name)
		assert.Check(r.t, len(seen.Secrets) == 0, "%s saw %v", name, seen.Secrets)
		assert.Check(r.t, seen.ColdOverloads == 0, "%s was overloaded in cold start %d times, last: %s", name, seen.ColdOverloads, seen.LastOverload)
	}
}
