// Package load runs seeded experiments: trainers and members of a preset
// deployment under a scenario, through the daemons or through a baseline policy,
// and measures what the users measure.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/deployment"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/notice"
	"sesamepitch/src/operator"
	"sesamepitch/src/standin"
	"sesamepitch/src/step"

	"github.com/go-logr/logr"
)

// The scenarios.
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
	// InteractiveOnly has no trainers, for the members' latency alone.
	InteractiveOnly = "members-only"
)

const (
	groupsPerStep   = 16
	samplesPerGroup = 8
	shortSample     = 16
	longSample      = 48
	stepsOfRun      = 3
	memberEvery     = 120 * time.Millisecond
	memberTokens    = 12
	neighbourRate   = 10
	lightGroups     = 1
	aloneFor        = 8 * time.Second
	coldFor         = 2 * time.Second
	weightsEvery    = 3 * time.Second
	reclaimNotice   = 1500 * time.Millisecond
	straggleFactor  = 6
	runLimit        = 4 * time.Minute
	askLimit        = 20 * time.Second
	reportWait      = 6 * time.Second
	warmTime        = 2500 * time.Millisecond
)

// Settings choose an experiment.
type Settings struct {
	Preset   string
	Scenario string
	Policy   string
	Seed     uint64
	// Steps is how many steps each trainer runs.
	Steps int
}

// experiment is one run of one policy.
type experiment struct {
	settings Settings
	preset   preset
	running  *deployment.Deployment
	service  service
	base     *baseline
	info     map[string]engineInfo
	book     *book
	used     *occupancy
	started  time.Time
	version  int64
	mu       sync.Mutex
}

// Run runs one experiment and returns its report.
func Run(ctx context.Context, log logr.Logger, settings Settings) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	e := &experiment{settings: settings, preset: presetOf(settings.Preset), info: map[string]engineInfo{}, book: newBook(), version: 1}
	if e.settings.Steps == 0 {
		e.settings.Steps = stepsOfRun
	}
	cold := engineCold
	if settings.Scenario == Cold {
		cold = coldFor
	}
	spec := e.preset.spec(settings.Scenario != NoCheap, cold)
	running, err := deployment.Start(ctx, log, spec)
	if err != nil {
		return Report{}, err
	}
	defer running.Stop()
	e.running = running
	e.prepare()
	if settings.Scenario != Cold {
		e.warm(ctx)
	}
	e.started = time.Now()
	e.book.begun = e.started
	e.observed(ctx, e.play)
	return e.report(ctx), nil
}

// observed runs the play and samples the engines meanwhile.
func (e *experiment) observed(ctx context.Context, play func(context.Context)) {
	e.used = e.newOccupancy()
	watching, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.used.watch(watching)
	}()
	play(ctx)
	stop()
	<-ended
}

func (e *experiment) prepare() {
	pools := map[string][]*baseEngine{}
	for _, d := range e.running.Document().Endpoints {
		info := engineInfo{centre: d.DataCentre, cheap: d.Reclaimable, price: d.MilliPrice}
		e.info[d.Name] = info
		if d.Model != "" {
			pools[d.Model] = append(pools[d.Model], &baseEngine{name: d.Name, address: d.Address, info: info})
		}
	}
	switch e.settings.Policy {
	case PolicyRoundRobin:
		e.base = &baseline{engines: endpoint.New(), pools: pools, pick: roundRobin()}
	case PolicyTwoChoices:
		e.base = &baseline{engines: endpoint.New(), pools: pools, pick: twoChoices(e.settings.Seed)}
	default:
		e.service = &own{running: e.running, info: e.info, rotation: rotation{addresses: e.running.CallerAddresses()}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		return
	}
	e.service = e.base
}

// warm brings every engine out of its cold start, gently, as a deployment that
// has run for a while would be. The daemons do so by their own ramp; for a
// baseline it is done here.
func (e *experiment) warm(ctx context.Context) {
	if e.base != nil {
		e.warmDirectly(ctx)
		return
	}
	var wg sync.WaitGroup
	limit := time.Now().Add(warmTime)
	for worker := range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(limit); n++ {
				prompt := fmt.Sprintf("warm up %d", worker)
				if worker%3 == 0 {
					_, _ = e.service.ask(ctx, e.preset.workspace(e.preset.trainers), prompt, shortSample)
					continue
				}
				groups := []step.Group{{Prompt: prompt, Samples: 4, MaxTokens: shortSample}}
				i := worker % e.preset.trainers
				_ = e.service.step(ctx, e.preset.trainer(i), e.preset.workspace(i), int64(1000000+worker*1000+n), groups, 1, func(answer) {})
			}
		}()
	}
	wg.Wait()
}

// warmDirectly sends each engine one request after the other.
func (e *experiment) warmDirectly(ctx context.Context) {
	var wg sync.WaitGroup
	limit := time.Now().Add(warmTime)
	for model, pool := range e.base.pools {
		for _, engine := range pool {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(limit) {
					_, _ = e.base.once(ctx, engine, model, "warm", engine.name, shortSample)
				}
			}()
		}
	}
	wg.Wait()
}

// play runs the trainers' steps; members ask for as long as a trainer runs.
func (e *experiment) play(ctx context.Context) {
	stop := make(chan struct{})
	var asking, training sync.WaitGroup
	for i := e.preset.trainers; i < len(e.preset.weights); i++ {
		asking.Add(1)
		go func() {
			defer asking.Done()
			e.members(ctx, i, stop)
		}()
	}
	asking.Add(1)
	go func() {
		defer asking.Done()
		e.events(ctx, stop)
	}()
	for i := range e.preset.trainers {
		training.Add(1)
		go func() {
			defer training.Done()
			e.train(ctx, i)
		}()
	}
	training.Wait()
	e.book.end(time.Since(e.started))
	close(stop)
	asking.Wait()
}

// workOf draws the groups of one step; the same seed gives the same work.
func (e *experiment) workOf(trainerIndex, number int) []step.Group {
	random := rand.New(rand.NewPCG(e.settings.Seed, uint64(trainerIndex*1000+number)))
	count := groupsPerStep
	if e.settings.Scenario == Neighbour && trainerIndex == 0 {
		count *= neighbourRate
	}
	if e.settings.Scenario == Light {
		count = lightGroups
	}
	groups := make([]step.Group, count)
	for g := range groups {
		groups[g] = step.Group{
			Prompt:  fmt.Sprintf("trainer %d step %d group %d seed %d: describe the coat, the primer and the rust", trainerIndex, number, g, e.settings.Seed),
			Samples: samplesPerGroup, MaxTokens: shortSample + random.IntN(longSample-shortSample),
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
		time.Sleep(aloneFor)
		return
	}
	for number := 1; number <= steps; number++ {
		groups := e.workOf(i, number)
		begun := time.Now()
		version := e.currentVersion()
		err := e.service.step(ctx, e.preset.trainer(i), e.preset.workspace(i), int64(number), groups, version, func(a answer) {
			e.book.sample(a, e.currentVersion())
		})
		e.book.step(i, tokensOf(groups), time.Since(begun), err)
	}
}

func tokensOf(groups []step.Group) int {
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

// members ask at random times, whatever the trainers do.
func (e *experiment) members(ctx context.Context, i int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(e.settings.Seed, uint64(7000+i)))
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		wait := time.Duration(random.ExpFloat64() * float64(memberEvery))
		tokens := memberTokens/2 + random.IntN(memberTokens)
		select {
		case <-time.After(wait):
		case <-stop:
			return
		}
		open.Add(1)
		go func() {
			defer open.Done()
			asking, cancel := context.WithTimeout(ctx, askLimit)
			defer cancel()
			begun := time.Now()
			a, err := e.service.ask(asking, e.preset.workspace(i), fmt.Sprintf("member %d asks %d", i, n), tokens)
			e.book.member(i, a, time.Since(begun), err)
		}()
	}
}

// events plays the scenario's events.
func (e *experiment) events(ctx context.Context, stop <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-stop:
			return false
		}
	}
	switch e.settings.Scenario {
	case Stragglers:
		for _, name := range e.enginesOf(trainModel, 2) {
			e.running.Engine(name).SetFaults(standin.EngineFaults{Slow: straggleFactor})
		}
	case Weights:
		for wait(weightsEvery) {
			e.publish(ctx)
		}
	case Reclaim:
		if wait(1500 * time.Millisecond) {
			e.reclaim(wait)
		}
	case CentreOut:
		if wait(time.Second) {
			e.moveCentre(ctx, notice.Out)
			wait(4 * time.Second)
			e.moveCentre(ctx, notice.In)
		}
	case StoreDown:
		if wait(time.Second) {
			e.running.Platform().SetFaults(standin.PlatformFaults{Down: true})
			wait(4 * time.Second)
			e.running.Platform().SetFaults(standin.PlatformFaults{})
		}
	}
}

func (e *experiment) enginesOf(model string, count int) []string {
	var names []string
	for _, d := range e.running.Document().Endpoints {
		if d.Model == model && len(names) < count {
			names = append(names, d.Name)
		}
	}
	return names
}

// publish publishes the next weights. A baseline's engines load them at once.
func (e *experiment) publish(ctx context.Context) {
	e.mu.Lock()
	e.version++
	version := e.version
	e.mu.Unlock()
	if e.base == nil {
		_ = e.service.publish(ctx, e.preset.trainer(0), e.preset.workspace(0), version)
		return
	}
	for _, engine := range e.base.pools[trainModel] {
		go func() {
			_ = endpoint.OrderLoad(ctx, http.DefaultTransport, engine.address, version, version, time.Now().Add(time.Minute))
		}()
	}
}

// reclaim takes all cheap engines of the first data centre, with notice, and
// gives them back later.
func (e *experiment) reclaim(wait func(time.Duration) bool) {
	var names []string
	for name, info := range e.info {
		if info.cheap && info.centre == e.preset.centres[2] {
			names = append(names, name)
			e.running.Platform().SetLive(sesamepitch.Liveness{Name: name, Centre: info.centre, State: sesamepitch.StateLeaving})
		}
	}
	wait(reclaimNotice)
	for _, name := range names {
		e.running.Engine(name).SetFaults(standin.EngineFaults{Down: true})
	}
	wait(4 * time.Second)
	for _, name := range names {
		e.running.Engine(name).SetFaults(standin.EngineFaults{})
		e.running.Platform().SetLive(sesamepitch.Liveness{Name: name})
	}
}

// moveCentre takes the first data centre out or in. A baseline's balancer is
// told at the same moment.
func (e *experiment) moveCentre(ctx context.Context, state string) {
	centreName := e.preset.centres[0]
	e.book.centre(centreName, state == notice.Out)
	if e.base != nil {
		if state == notice.In {
			e.base.out.Store(nil)
			return
		}
		e.base.out.Store(&centreName)
		return
	}
	_, _ = e.running.Instances()[len(e.running.Instances())-1].Operator().SetCentre(ctx, operator.CentreState{Name: centreName, State: state})
}
