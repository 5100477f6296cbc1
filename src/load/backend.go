package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/deployment"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/step"
	"sesamepitch/src/trainer"
)

// Policies that an experiment can run.
const (
	PolicySesamepitch = "sesamepitch"
	PolicyRoundRobin  = "round-robin"
	PolicyTwoChoices  = "two-choices"
)

// completion is one complete output of an engine.
type completion struct {
	tokens      int
	versions    []int64
	milliCost   int64
	reclaimable bool
	endpoint    string
	centre      string
}

// backend runs the requests of an experiment: through the daemons or a baseline.
type backend interface {
	// step runs a step until it is complete and calls onSample for every sample.
	step(ctx context.Context, trainerName, workspace string, number int64, groups []step.Group, version int64, onSample func(completion)) error
	// complete runs one interactive completion request.
	complete(ctx context.Context, workspace, prompt string, tokens int) (completion, error)
	// publish publishes a weight version.
	publish(ctx context.Context, trainerName, workspace string, version int64) error
}

// daemonBackend sends requests through the daemons.
type daemonBackend struct {
	running *deployment.Deployment
	info    map[string]engineInfo
	http    *http.Client
	rotation
}

// engineInfo holds the properties of an engine that the report uses. The price is
// the cost of a token in thousandths.
type engineInfo struct {
	centre      string
	reclaimable bool
	price       int64
}

// rotation selects daemons in turn, as a load balancer does.
type rotation struct {
	addresses []string
	next      atomic.Int64
}

func (r *rotation) callers() []string {
	start := int(r.next.Add(1)) % len(r.addresses)
	return slices.Concat(r.addresses[start:], r.addresses[:start])
}

func (d *daemonBackend) step(ctx context.Context, trainerName, workspace string, number int64, groups []step.Group, version int64, onSample func(completion)) error {
	client := trainer.New(trainerName, d.running.Key(workspace), d.callers()...)
	_, err := client.Run(ctx, number, groups, version, func(s step.Sample) {
		info := d.info[s.Endpoint]
		onSample(completion{tokens: s.Tokens, versions: s.Versions, milliCost: s.MilliCost, reclaimable: info.reclaimable, endpoint: s.Endpoint, centre: info.centre})
	})
	return err
}

func (d *daemonBackend) complete(ctx context.Context, workspace, prompt string, tokens int) (completion, error) {
	return requestCompletion(ctx, d.http, d.callers()[0], d.running.Key(workspace), completionRequest{Model: interactiveModel, Prompt: prompt, MaxTokens: tokens})
}

func (d *daemonBackend) publish(ctx context.Context, trainerName, workspace string, version int64) error {
	client := trainer.New(trainerName, d.running.Key(workspace), d.callers()...)
	return client.Publish(ctx, trainingModel, version, "weights")
}

// baseline sends each request directly to an engine, without a queue. It has exact
// counts of the running requests of all engines, which a real balancer lacks.
type baseline struct {
	engines *endpoint.Client
	pools   map[string][]*baselineEngine
	pick    func(pool []*baselineEngine, avoid *baselineEngine) *baselineEngine
	// excludedCentre names a data centre that gets no new requests; nil if all do.
	excludedCentre atomic.Pointer[string]
	wastedTokens   atomic.Int64
}

// baselineEngine is an engine with the number of its running requests.
type baselineEngine struct {
	name, address string
	info          engineInfo
	running       atomic.Int64
}

const (
	maxBaselineTries   = 20
	baselineRetryDelay = 100 * time.Millisecond
	maxStepStreams     = 256
)

// roundRobin returns a policy that picks the engines in turn.
func roundRobin() func([]*baselineEngine, *baselineEngine) *baselineEngine {
	var next atomic.Int64
	return func(pool []*baselineEngine, _ *baselineEngine) *baselineEngine {
		return pool[int(next.Add(1))%len(pool)]
	}
}

// twoChoices returns a policy that picks the less loaded of two random engines.
func twoChoices(seed uint64) func([]*baselineEngine, *baselineEngine) *baselineEngine {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 17))
	return func(pool []*baselineEngine, avoid *baselineEngine) *baselineEngine {
		mu.Lock()
		a, b := pool[random.IntN(len(pool))], pool[random.IntN(len(pool))]
		mu.Unlock()
		if a == avoid || (b != avoid && b.running.Load() < a.running.Load()) {
			return b
		}
		return a
	}
}

func (b *baseline) complete(ctx context.Context, workspace, prompt string, tokens int) (completion, error) {
	return b.run(ctx, interactiveModel, workspace, prompt, tokens, 0)
}

func (b *baseline) publish(context.Context, string, string, int64) error { return nil }

func (b *baseline) run(ctx context.Context, model, workspace, prompt string, tokens int, floor int64) (completion, error) {
	var failed *baselineEngine
	var err error
	for range maxBaselineTries {
		engine := b.pick(b.inService(model), failed)
		var a completion
		a, err = b.runOnce(ctx, engine, model, workspace, prompt, tokens)
		if err == nil && len(a.versions) > 0 && a.versions[0] >= floor {
			return a, nil
		}
		b.wastedTokens.Add(int64(a.tokens))
		failed = engine
		select {
		case <-time.After(baselineRetryDelay):
		case <-ctx.Done():
			return completion{}, ctx.Err()
		}
	}
	return completion{}, &Error{Op: "load.baseline", Kind: sesamepitch.KindUnavailable, Err: err}
}

// inService returns the model's engines outside the excluded data centre.
func (b *baseline) inService(model string) []*baselineEngine {
	out := b.excludedCentre.Load()
	if out == nil {
		return b.pools[model]
	}
	var list []*baselineEngine
	for _, engine := range b.pools[model] {
		if engine.info.centre != *out {
			list = append(list, engine)
		}
	}
	return list
}

func (b *baseline) runOnce(ctx context.Context, engine *baselineEngine, model, workspace, prompt string, tokens int) (completion, error) {
	engine.running.Add(1)
	defer engine.running.Add(-1)
	a := completion{reclaimable: engine.info.reclaimable, endpoint: engine.name, centre: engine.info.centre}
	id := workspace + "/" + prompt
	seen := map[int64]bool{}
	err := b.engines.Complete(ctx, engine.address, endpoint.Completion{ID: id, Model: model, Prompt: prompt, MaxTokens: tokens}, func(chunk endpoint.Chunk) error {
		a.tokens += chunk.Tokens
		if !seen[chunk.Version] {
			seen[chunk.Version] = true
			a.versions = append(a.versions, chunk.Version)
		}
		return nil
	})
	a.milliCost = int64(a.tokens) * engine.info.price
	return a, err
}

// step runs all samples of a step concurrently, up to maxStepStreams at a time.
// Each is retried until it is complete and at most one weight version old.
func (b *baseline) step(ctx context.Context, _, workspace string, _ int64, groups []step.Group, version int64, onSample func(completion)) error {
	slots := make(chan struct{}, maxStepStreams)
	results := make(chan error)
	count := 0
	var mu sync.Mutex
	for _, group := range groups {
		for range group.Samples {
			count++
			go func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				a, err := b.run(ctx, trainingModel, workspace, group.Prompt, group.MaxTokens, version-1)
				if err == nil {
					mu.Lock()
					onSample(a)
					mu.Unlock()
				}
				results <- err
			}()
		}
	}
	var first error
	for range count {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}
