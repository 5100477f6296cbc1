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

// fixedSeeds are run in CI, for 20 s each.
var fixedSeeds = []uint64{1, 2, 3}

const fixedLength = 20 * time.Second

// TestRandomised draws all faults at random, overlapping, under a mixed load on
// nine daemons in three data centres, and checks the history at the end.
func TestRandomised(t *testing.T) {
	seeds, length := fixedSeeds, fixedLength
	if *runSeed != 0 {
		seeds = []uint64{*runSeed}
	}
	if *runMinutes > 0 {
		length = time.Duration(*runMinutes * float64(time.Minute))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Logf("seed %d, %s", seed, length)
			r := newRun(t, seed)
			r.play(length)
			r.check()
		})
	}
}

// run is one randomised run.
type run struct {
	*cluster
	random *rand.Rand
	stop   chan struct{}
	wg     sync.WaitGroup

	mu        sync.Mutex
	frozen    map[*daemonProcess]bool
	withdrawn map[string]time.Time
	delivered int64
	billed    int64
	steps     int
	lots      map[string]string
	faulted   map[string]int
	served    atomic.Int64
	refused   atomic.Int64
	published atomic.Int64
	// acceptedAt is when a version was last accepted.
	accepted atomic.Int64
}

func newRun(t *testing.T, seed uint64) *run {
	t.Helper()
	c := newCluster(t)
	for centre := 1; centre <= 3; centre++ {
		for host := 1; host <= 2; host++ {
			c.engine(fmt.Sprintf("engine-%d-%d", centre, host), centre, host,
				"--cold-time", "300ms", "--cold-limit", "2", "--restart-time", "500ms", "--swap-time", "50ms", "--check-fence")
		}
		c.service(fmt.Sprintf("judge-%d", centre), centre, 50)
		c.service(fmt.Sprintf("lots-%d", centre), centre, 51)
	}
	for centre := 1; centre <= 3; centre++ {
		for host := 1; host <= 3; host++ {
			c.daemon(fmt.Sprintf("d%d%d", centre, host), fmt.Sprintf("dc-%d", centre), centre, host)
		}
	}
	r := &run{
		cluster: c, random: rand.New(rand.NewPCG(seed, 11)), stop: make(chan struct{}), frozen: map[*daemonProcess]bool{},
		withdrawn: map[string]time.Time{}, lots: map[string]string{}, faulted: map[string]int{},
	}
	r.published.Store(1)
	c.apply(r.documentText(1))
	r.accepted.Store(1)
	return r
}

const keysOfRun = 12

func (r *run) documentText(weight int) string {
	text := r.standardDocument()
	text = strings.Replace(text, "weight: 1", fmt.Sprintf("weight: %d", weight), 1)
	text = strings.Replace(text, "  - {name: dc-2, region: south}\n", "  - {name: dc-2, region: south}\n  - {name: dc-3, region: south}\n", 1)
	var keys strings.Builder
	for i := range keysOfRun {
		name := fmt.Sprint("spare", i)
		fmt.Fprintf(&keys, "  - {name: %s, workspace: field, hash: %s}\n", name, r.keyHash(name))
	}
	text = strings.Replace(text, "trainers:\n", keys.String()+"trainers:\n", 1)
	for host := 1; host <= 2; host++ {
		name := fmt.Sprintf("engine-3-%d", host)
		text += fmt.Sprintf("  - {name: %s, data_centre: dc-3, model: coach, address: \"%s\", knee: 8, cold_limit: 2, warm_after: 2, cold_time: 400ms, milli_price: 1000, checks_fence: true}\n", name, r.address[name])
	}
	for _, service := range []string{"judge", "lots"} {
		name := service + "-3"
		text += fmt.Sprintf("  - {name: %s, data_centre: dc-3, service: %s, address: \"%s\", knee: 16, cold_limit: 16, milli_price: 0}\n", name, service, r.address[name])
	}
	return strings.ReplaceAll(text, "cold_time: 300ms", "cold_time: 400ms")
}

func (r *run) play(length time.Duration) {
	for worker := range 6 {
		r.spawn(func(random *rand.Rand) { r.member(worker, random) })
	}
	for worker := range 2 {
		r.spawn(func(random *rand.Rand) { r.callLots(worker, random) })
	}
	r.spawn(r.train)
	r.spawn(r.watchOrder)
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		r.fault()
		r.pause(time.Duration(300+r.random.IntN(1500)) * time.Millisecond)
	}
	r.heal()
	// A calm time at the end lets everything that was accepted come true.
	time.Sleep(12 * time.Second)
	close(r.stop)
	r.wg.Wait()
}

func (r *run) pause(d time.Duration) { time.Sleep(d) }

func (r *run) spawn(work func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(r.random.Uint64(), 13))
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		work(random)
	}()
}

func (r *run) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

func (r *run) any(random *rand.Rand) *daemonProcess {
	return r.daemons[random.IntN(len(r.daemons))]
}

// member sends interactive requests and checks every whole answer.
func (r *run) member(worker int, random *rand.Rand) {
	for n := 0; !r.stopped(); n++ {
		tokens := 1 + random.IntN(12)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		got := send(ctx, http.MethodPost, r.any(random).callers, "/v1/completions", r.key("field"), completion(tokens, false, fmt.Sprintf("member %d asks %d", worker, n)))
		cancel()
		if got.err == nil && got.status == http.StatusOK {
			r.served.Add(1)
			last := fmt.Sprintf("w%d\"", tokens-1)
			if !strings.Contains(got.body, last) {
				r.t.Errorf("an answer is not whole: %s", got.body)
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

// callLots calls the service that may not be repeated, and repeats each call
// under its key through other daemons.
func (r *run) callLots(worker int, random *rand.Rand) {
	for n := 0; !r.stopped(); n++ {
		body := fmt.Sprintf(`{"worker":%d,"lot":%d}`, worker, n)
		ran := "no"
		for range 1 + random.IntN(4) {
			got := r.lot(r.any(random).callers, fmt.Sprintf("%d-%d", worker, n), body, 5*time.Second)
			switch {
			case got.err == nil && got.status == http.StatusOK:
				ran = "yes"
			case got.err != nil || got.ran != "no":
				if ran == "no" {
					ran = "unknown"
				}
			}
		}
		r.mu.Lock()
		r.lots[body] = ran
		r.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// train runs steps and publishes weights; each step must be whole, without
// doubles, from weights within the bound.
func (r *run) train(random *rand.Rand) {
	for number := int64(1); !r.stopped(); number++ {
		groups := groupsOf(2+random.IntN(5), 1+random.IntN(6), 1+random.IntN(20))
		policy := r.published.Load()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		client := r.trainer()
		outcome, err := client.Run(ctx, number, groups, policy, func(s step.Sample) {
			if len(s.Versions) == 0 || s.Versions[0] < policy-1 {
				r.t.Errorf("step %d: versions %v under policy %d", number, s.Versions, policy)
			}
		})
		if err != nil {
			r.t.Errorf("step %d: %v", number, err)
		} else {
			assertWholeCheck(r.t, outcome.Duplicates(), len(outcome.Samples()), groups)
		}
		_ = client.Acknowledge(ctx, number, nil, true)
		version := policy + 1
		if client.Publish(ctx, "coach", version, fmt.Sprint("weights-", version)) == nil {
			r.published.Store(version)
		}
		cancel()
		r.mu.Lock()
		r.steps++
		r.mu.Unlock()
	}
}

func assertWholeCheck(t *testing.T, doubled, came int, groups []step.Group) {
	wanted := 0
	for _, group := range groups {
		wanted += group.Samples
	}
	if doubled != 0 || came != wanted {
		t.Errorf("%d of %d samples, %d doubled", came, wanted, doubled)
	}
}

// watchOrder asserts that no daemon's configuration goes back.
func (r *run) watchOrder(*rand.Rand) {
	last := map[string]int64{}
	for !r.stopped() {
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

// fault draws one fault, or ends some.
func (r *run) fault() {
	faults := []struct {
		name string
		do   func()
	}{
		{"kill a daemon", r.killDaemon},
		{"freeze a daemon", r.freezeDaemon},
		{"restart a daemon gracefully", r.restartDaemon},
		{"cut a data centre off", func() { r.cutOff(1 + r.random.IntN(3)) }},
		{"cut a daemon off the platform", func() { d := r.any(r.random); r.net.set(d.ip, d.platform, hanging) }},
		{"heal the network", func() { r.net.heal() }},
		{"heal the network", func() { r.net.heal() }},
		{"platform down", func() { r.faults(standin.PlatformFaults{Down: true}) }},
		{"platform hangs", func() { r.faults(standin.PlatformFaults{Hang: true}) }},
		{"platform slow, loses answers", func() { r.faults(standin.PlatformFaults{SlowMillis: 150, LoseAnswers: 0.2, StaleList: true}) }},
		{"platform well", func() { r.faults(standin.PlatformFaults{}) }},
		{"platform well", func() { r.faults(standin.PlatformFaults{}) }},
		{"engine faults", r.engineFaults},
		{"engine crashes", r.crashEngine},
		{"engine cools", func() { r.control(r.address[r.anyEngine()], "cool", struct{}{}) }},
		{"endpoint leaves", r.leaveEndpoint},
		{"poison", r.poison},
		{"withdraw a key", r.withdraw},
		{"data centre out or in", r.moveCentre},
		{"document", r.applyDocument},
		{"service faults", r.serviceFaults},
	}
	chosen := faults[r.random.IntN(len(faults))]
	r.faulted[chosen.name]++
	chosen.do()
}

func (r *run) killDaemon() {
	d := r.any(r.random)
	d.kill()
	delete(r.frozen, d)
	r.pause(time.Duration(r.random.IntN(800)) * time.Millisecond)
	r.run(d)
}

func (r *run) restartDaemon() {
	d := r.any(r.random)
	if r.frozen[d] {
		return
	}
	d.signal(termSignal)
	select {
	case <-d.ended:
	case <-time.After(40 * time.Second):
		r.t.Errorf("%s does not end", d.name)
		d.kill()
	}
	r.run(d)
}

func (r *run) freezeDaemon() {
	d := r.any(r.random)
	d.signal(stopSignal)
	r.frozen[d] = true
	length := time.Duration(500+r.random.IntN(8000)) * time.Millisecond
	process := d.process
	time.AfterFunc(length, func() { process.signal(continueSignal) })
}

func (r *run) anyEngine() string {
	return fmt.Sprintf("engine-%d-%d", 1+r.random.IntN(3), 1+r.random.IntN(2))
}

func (r *run) engineFaults() {
	kinds := []standin.EngineFaults{
		{}, {}, {Slow: 5}, {SwapFails: true}, {SwapFails: true, MisreportSwap: true}, {CutAfter: 3}, {Truncate: true}, {CrossAnswers: true}, {Down: true},
	}
	r.control(r.address[r.anyEngine()], "faults", kinds[r.random.IntN(len(kinds))])
}

func (r *run) serviceFaults() {
	kinds := []standin.ServiceFaults{{}, {}, {Down: true}, {LoseAnswers: true}, {SlowMillis: 300}, {Truncate: true}}
	name := fmt.Sprintf("lots-%d", 1+r.random.IntN(3))
	r.control(r.address[name], "faults", kinds[r.random.IntN(len(kinds))])
}

func (r *run) crashEngine() {
	r.control(r.address[r.anyEngine()], "crash", struct{}{})
}

func (r *run) leaveEndpoint() {
	name := r.anyEngine()
	centre := "dc-" + name[len("engine-"):len("engine-")+1]
	r.control(r.platform, "live", sesamepitch.Liveness{Name: name, Centre: centre, State: sesamepitch.StateLeaving})
	platform := r.platform
	time.AfterFunc(3*time.Second, func() {
		defer func() { _ = recover() }()
		r.control(platform, "live", sesamepitch.Liveness{Name: name})
	})
}

// poison sends one content that crashes engines through several daemons.
func (r *run) poison() {
	prompt := fmt.Sprintf("poison %d %s", r.random.Int(), standin.CrashMarker)
	for range 3 {
		address := r.any(r.random).callers
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			send(ctx, http.MethodPost, address, "/v1/completions", r.key("field"), completion(3, false, prompt))
		}()
	}
}

func (r *run) withdraw() {
	name := fmt.Sprint("spare", r.random.IntN(keysOfRun))
	d := r.any(r.random)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	confirmation, err := d.client().Withdraw(ctx, operator.Withdrawal{Hash: r.keyHash(name)})
	if err == nil && !confirmation.Local {
		r.withdrawn[name] = time.Now()
	}
}

func (r *run) moveCentre() {
	state := notice.In
	if r.random.IntN(2) == 0 {
		state = notice.Out
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	_, _ = r.any(r.random).client().SetCentre(ctx, operator.CentreState{Name: fmt.Sprint("dc-", 1+r.random.IntN(3)), State: state})
}

func (r *run) applyDocument() {
	d := r.any(r.random)
	base := r.versionOf(d)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	confirmation, err := d.client().Apply(ctx, []byte(r.documentText(1+r.random.IntN(9))), base, "random")
	if err == nil && confirmation.Version > r.accepted.Load() {
		r.accepted.Store(confirmation.Version)
	}
}

// heal ends all faults.
func (r *run) heal() {
	r.net.heal()
	r.faults(standin.PlatformFaults{})
	for _, d := range r.daemons {
		d.signal(continueSignal)
	}
	for name, address := range r.address {
		switch {
		case strings.HasPrefix(name, "engine"):
			r.control(address, "faults", standin.EngineFaults{})
		default:
			r.control(address, "faults", standin.ServiceFaults{})
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

// check reads the history of the run.
func (r *run) check() {
	t := r.t
	t.Logf("served %d, refused %d, steps %d, versions %d, faults %v", r.served.Load(), r.refused.Load(), r.steps, r.published.Load(), r.faulted)
	assert.Check(t, r.served.Load() > 0 && r.steps > 0)
	for body, ran := range r.lots {
		runs := r.cluster.served("lots-1").Bodies[body] + r.cluster.served("lots-2").Bodies[body] + r.cluster.served("lots-3").Bodies[body]
		assert.Check(t, runs <= 1, "%s ran %d times", body, runs)
		assert.Check(t, ran != "no" || runs == 0, "%s was said not to have run, and ran", body)
		assert.Check(t, ran != "yes" || runs == 1, "%s was answered and did not run", body)
	}
	for _, d := range r.daemons {
		assert.Check(t, r.versionOf(d) >= r.accepted.Load(), "%s has version %d, accepted %d", d.name, r.versionOf(d), r.accepted.Load())
		for name := range r.withdrawn {
			got := complete(d.callers, r.key(name), 1)
			assert.Check(t, got.status == http.StatusUnauthorized, "%s serves the withdrawn key %s: %d", d.name, name, got.status)
		}
		got := complete(d.callers, r.key("field"), 1)
		assert.Check(t, got.status == http.StatusOK, "%s serves again: %d %s", d.name, got.status, got.body)
	}
	r.checkEndpoints()
	journal := r.journal()
	assertSameFigures(t, journal.Reports)
	assertHandovers(t, taken(journal.Orders, func(o standin.ReceivedOrder) bool { return o.Result != standin.ResultRefused }),
		func(o standin.ReceivedOrder) (string, string, int64) { return o.Centre, o.Holder, o.Fence })
	assertHandovers(t, taken(journal.Reports, func(o standin.ReceivedReport) bool { return o.Result != standin.ResultRefused }),
		func(o standin.ReceivedReport) (string, string, int64) { return "usage", o.Holder, o.Fence })
	dump := r.dump()
	for name := range r.keys {
		assert.Check(t, !strings.Contains(dump, r.key(name)), "the key of %s is in a log, metric or row", name)
	}
}

func taken[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for _, item := range list {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

func (r *run) checkEndpoints() {
	for name := range r.engines {
		if !strings.HasPrefix(name, "engine") {
			assert.Check(r.t, len(r.cluster.served(name).Secrets) == 0, "%s saw %v", name, r.cluster.served(name).Secrets)
			continue
		}
		seen := r.seen(name)
		assert.Check(r.t, len(seen.Secrets) == 0, "%s saw %v", name, seen.Secrets)
		assert.Check(r.t, seen.ColdOverloads == 0, "%s was overloaded in cold start %d times, last: %s", name, seen.ColdOverloads, seen.LastOverload)
	}
}
