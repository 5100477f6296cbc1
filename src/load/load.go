// Package load runs seeded experiments. It sends the load of trainers and
// interactive workspaces to a preset deployment under a scenario, through the
// daemons or through a baseline policy, and measures step times, latency, fairness
// and cost. It also sends mixed traffic to daemons that run already.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sesamepitch/src/deployment"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/step"

	"github.com/go-logr/logr"
)

// Scenarios that Settings.Scenario selects.
const (
	Steady     = "steady"
	Stragglers = "stragglers"
	Neighbour  = "neighbour"
	Weights    = "weights"
	Reclaim    = "reclaim"
	Cold       = "cold"
	CentreOut  = "centre"
	NoCheap    = "no-cheap"
	StoreDown  = "store-down"
	Light      = "light"
	// InteractiveOnly has no trainers, to measure the latency of interactive requests
	// alone.
	InteractiveOnly = "members-only"
)

const (
	groupsPerStep       = 16
	samplesPerGroup     = 8
	shortSampleTokens   = 16
	longSampleTokens    = 48
	defaultSteps        = 3
	interactiveInterval = 120 * time.Millisecond
	interactiveTokens   = 12
	neighbourFactor     = 10
	lightGroupsPerStep  = 1
	interactiveOnlyTime = 8 * time.Second
	scenarioColdTime    = 2 * time.Second
	publishInterval     = 3 * time.Second
	reclaimNotice       = 1500 * time.Millisecond
	stragglerSlowdown   = 6
	runTimeout          = 4 * time.Minute
	requestTimeout      = 20 * time.Second
	usageReportTime     = 6 * time.Second
	warmUpTime          = 2500 * time.Millisecond
)

// Settings selects an experiment.
type Settings struct {
	Preset   string
	Scenario string
	Policy   string
	Seed     uint64
	// Steps is the number of steps per trainer; zero means defaultSteps.
	Steps int
}

// experiment is one run of one policy; baseline is nil if the daemons place the
// requests.
type experiment struct {
	settings  Settings
	preset    preset
	running   *deployment.Deployment
	backend   backend
	baseline  *baseline
	info      map[string]engineInfo
	recorder  *recorder
	occupancy *occupancy
	started   time.Time
	version   int64
	mu        sync.Mutex
}

// Run runs one experiment and returns its report.
func Run(ctx context.Context, log logr.Logger, settings Settings) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	e := &experiment{settings: settings, preset: newPreset(settings.Preset), info: map[string]engineInfo{}, recorder: newRecorder(), version: 1}
	if e.settings.Steps == 0 {
		e.settings.Steps = defaultSteps
	}
	coldTime := engineColdTime
	if settings.Scenario == Cold {
		coldTime = scenarioColdTime
	}
	spec := e.preset.spec(settings.Scenario != NoCheap, coldTime)
	running, err := deployment.Start(ctx, log, spec)
	if err != nil {
		return Report{}, err
	}
	defer running.Stop()
	e.running = running
	e.setUp()
	if settings.Scenario != Cold {
		e.warmUp(ctx)
	}
	e.started = time.Now()
	e.recorder.started = e.started
	e.runObserved(ctx, e.runWorkload)
	return e.report(ctx), nil
}

// runObserved runs the workload and samples the occupancy of the engines meanwhile.
func (e *experiment) runObserved(ctx context.Context, workload func(context.Context)) {
	e.occupancy = e.newOccupancy()
	observeCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.occupancy.run(observeCtx)
	}()
	workload(ctx)
	stop()
	<-done
}

func (e *experiment) setUp() {
	pools := map[string][]*baselineEngine{}
	for _, d := range e.running.Document().Endpoints {
		info := engineInfo{centre: d.DataCentre, reclaimable: d.Reclaimable, price: d.MilliPrice}
		e.info[d.Name] = info
		if d.Model != "" {
			pools[d.Model] = append(pools[d.Model], &baselineEngine{name: d.Name, address: d.Address, info: info})
		}
	}
	switch e.settings.Policy {
	case PolicyRoundRobin:
		e.baseline = &baseline{engines: endpoint.New(), pools: pools, pick: roundRobin()}
	case PolicyTwoChoices:
		e.baseline = &baseline{engines: endpoint.New(), pools: pools, pick: twoChoices(e.settings.Seed)}
	default:
		e.backend = &daemonBackend{running: e.running, info: e.info, rotation: rotation{addresses: e.running.CallerAddresses()}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		return
	}
	e.backend = e.baseline
}

// warmUp brings every engine out of its cold start, so that the experiment begins
// in the state of a deployment that has run for a while. The daemons limit the
// load on cold engines by their own ramp; for a baseline, warmDirectly does.
func (e *experiment) warmUp(ctx context.Context) {
	if e.baseline != nil {
		e.warmDirectly(ctx)
		return
	}
	var wg sync.WaitGroup
	deadline := time.Now().Add(warmUpTime)
	for client := range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(deadline); n++ {
				prompt := fmt.Sprintf("warm up %d", client)
				if client%3 == 0 {
					_, _ = e.backend.complete(ctx, e.preset.workspace(e.preset.trainers), prompt, shortSampleTokens)
					continue
				}
				groups := []step.Group{{Prompt: prompt, Samples: 4, MaxTokens: shortSampleTokens}}
				i := client % e.preset.trainers
				_ = e.backend.step(ctx, e.preset.trainer(i), e.preset.workspace(i), int64(1000000+client*1000+n), groups, 1, func(completion) {})
			}
		}()
	}
	wg.Wait()
}

// warmDirectly sends requests to all engines, one at a time to each.
func (e *experiment) warmDirectly(ctx context.Context) {
	var wg sync.WaitGroup
	deadline := time.Now().Add(warmUpTime)
	for model, pool := range e.baseline.pools {
		for _, engine := range pool {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(deadline) {
					_, _ = e.baseline.runOnce(ctx, engine, model, "warm", engine.name, shortSampleTokens)
				}
			}()
		}
	}
	wg.Wait()
}

// runWorkload runs the trainers' steps. Interactive requests and the scenario's
// events go on until the last trainer has finished.
func (e *experiment) runWorkload(ctx context.Context) {
	stop := make(chan struct{})
	var background, training sync.WaitGroup
	for i := e.preset.trainers; i < len(e.preset.weights); i++ {
		background.Add(1)
		go func() {
			defer background.Done()
			e.runInteractive(ctx, i, stop)
		}()
	}
	background.Add(1)
	go func() {
		defer background.Done()
		e.runEvents(ctx, stop)
	}()
	for i := range e.preset.trainers {
		training.Add(1)
		go func() {
			defer training.Done()
			e.train(ctx, i)
		}()
	}
	training.Wait()
	e.recorder.recordEnd(time.Since(e.started))
	close(stop)
	background.Wait()
}

// stepGroups generates the groups of one step; the same seed gives the same groups.
func (e *experiment) stepGroups(trainerIndex, number int) []step.Group {
	random := rand.New(rand.NewPCG(e.settings.Seed, uint64(trainerIndex*1000+number)))
	count := groupsPerStep
	if e.settings.Scenario == Neighbour && trainerIndex == 0 {
		count *= neighbourFactor
	}
	if e.settings.Scenario == Light {
		count = lightGroupsPerStep
	}
	groups := make([]step.Group, count)
	for g := range groups {
		groups[g] = step.Group{
			Prompt:  fmt.Sprintf("trainer %d step %d group %d seed %d: describe the coat, the primer and the rust", trainerIndex, number, g, e.settings.Seed),
			Samples: samplesPerGroup, MaxTokens: shortSampleTokens + random.IntN(longSampleTokens-shortSampleTokens),
		}
	}
	return groups
}

func (e *experiment) train(ctx context.Context, i int) {
	steps := e.settings.Steps
	if e.settings.Scenario == Neighbour && i == 0 {
		steps = 1
	}
	if e.settings.Scenario == InteractiveOnly {
		time.Sleep(interactiveOnlyTime)
		return
	}
	for number := 1; number <= steps; number++ {
		groups := e.stepGroups(i, number)
		start := time.Now()
		version := e.currentVersion()
		err := e.backend.step(ctx, e.preset.trainer(i), e.preset.workspace(i), int64(number), groups, version, func(a completion) {
			e.recorder.recordSample(a, e.currentVersion())
		})
		e.recorder.recordStep(i, totalTokens(groups), time.Since(start), err)
	}
}

func totalTokens(groups []step.Group) int {
	tokens := 0
	for _, group := range groups {
		tokens += group.Samples * group.MaxTokens
	}
	return tokens
}

func (e *experiment) currentVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// runInteractive sends the requests of an interactive workspace at exponentially
// distributed intervals, independently of the trainers.
func (e *experiment) runInteractive(ctx context.Context, i int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(e.settings.Seed, uint64(7000+i)))
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		wait := time.Duration(random.ExpFloat64() * float64(interactiveInterval))
		tokens := interactiveTokens/2 + random.IntN(interactiveTokens)
		select {
		case <-time.After(wait):
		case <-stop:
			return
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			start := time.Now()
			a, err := e.backend.complete(requestCtx, e.preset.workspace(i), fmt.Sprintf("member %d asks %d", i, n), tokens)
			e.recorder.recordInteractive(i, a, time.Since(start), err)
		}()
	}
}
