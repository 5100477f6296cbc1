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

// The policies that a run compares.
const (
	PolicySesamepitch = "sesamepitch"
	PolicyRoundRobin  = "round-robin"
	PolicyTwoChoices  = "two-choices"
)

// answer is one whole answer.
type answer struct {
	tokens    int
	versions  []int64
	milliCost int64
	cheap     bool
	endpoint  string
	centre    string
}

// service is what trainers and members use: the daemons, or a baseline.
type service interface {
	// step runs a step whole and tells each sample as it comes.
	step(ctx context.Context, trainerName, workspace string, number int64, groups []step.Group, version int64, each func(answer)) error
	// ask runs one interactive request.
	ask(ctx context.Context, workspace, prompt string, tokens int) (answer, error)
	// publish publishes a weight version.
	publish(ctx context.Context, trainerName, workspace string, version int64) error
}

// own is the service through the daemons.
type own struct {
	running *deployment.Deployment
	info    map[string]engineInfo
	http    *http.Client
	rotation
}

// engineInfo is what the report needs to know of an engine.
type engineInfo struct {
	centre string
	cheap  bool
	price  int64
}

// rotation lists daemons, another one first each time, as a balancer would.
type rotation struct {
	addresses []string
	next      atomic.Int64
}

func (r *rotation) callers() []string {
	start := int(r.next.Add(1)) % len(r.addresses)
	return slices.Concat(r.addresses[start:], r.addresses[:start])
}

func (o *own) step(ctx context.Context, trainerName, workspace string, number int64, groups []step.Group, version int64, each func(answer)) error {
	client := trainer.New(trainerName, o.running.Key(workspace), o.callers()...)
	_, err := client.Run(ctx, number, groups, version, func(s step.Sample) {
		info := o.info[s.Endpoint]
		each(answer{tokens: s.Tokens, versions: s.Versions, milliCost: s.MilliCost, cheap: info.cheap, endpoint: s.Endpoint, centre: info.centre})
	})
	return err
}

func (o *own) ask(ctx context.Context, workspace, prompt string, tokens int) (answer, error) {
	return askDaemon(ctx, o.http, o.callers()[0], o.running.Key(workspace), question{Model: memberModel, Prompt: prompt, MaxTokens: tokens})
}

func (o *own) publish(ctx context.Context, trainerName, workspace string, version int64) error {
	client := trainer.New(trainerName, o.running.Key(workspace), o.callers()...)
	return client.Publish(ctx, trainModel, version, "weights")
}

// baseline sends each request straight to an engine, as it comes. It knows all
// engines and every request under way, which a real balancer would not.
type baseline struct {
	engines *endpoint.Client
	pools   map[string][]*baseEngine
	pick    func(pool []*baseEngine, avoid *baseEngine) *baseEngine
	// out names a data centre that gets no new work; none if empty.
	out    atomic.Pointer[string]
	wasted atomic.Int64
}

// baseEngine is an engine as a baseline sees it.
type baseEngine struct {
	name, address string
	info          engineInfo
	running       atomic.Int64
}

const (
	baselineTries = 20
	baselinePause = 100 * time.Millisecond
	stepStreams   = 256
)

// roundRobin takes the engines in turn.
func roundRobin() func([]*baseEngine, *baseEngine) *baseEngine {
	var next atomic.Int64
	return func(pool []*baseEngine, _ *baseEngine) *baseEngine {
		return pool[int(next.Add(1))%len(pool)]
	}
}

// twoChoices takes the less busy of two random engines.
func twoChoices(seed uint64) func([]*baseEngine, *baseEngine) *baseEngine {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 17))
	return func(pool []*baseEngine, avoid *baseEngine) *baseEngine {
		mu.Lock()
		a, b := pool[random.IntN(len(pool))], pool[random.IntN(len(pool))]
		mu.Unlock()
		if a == avoid || (b != avoid && b.running.Load() < a.running.Load()) {
			return b
		}
		return a
	}
}

func (b *baseline) ask(ctx context.Context, workspace, prompt string, tokens int) (answer, error) {
	return b.run(ctx, memberModel, workspace, prompt, tokens, 0)
}

func (b *baseline) publish(context.Context, string, string, int64) error { return nil }

func (b *baseline) run(ctx context.Context, model, workspace, prompt string, tokens int, floor int64) (answer, error) {
	var failed *baseEngine
	var err error
	for range baselineTries {
		engine := b.pick(b.inService(model), failed)
		var a answer
		a, err = b.once(ctx, engine, model, workspace, prompt, tokens)
		if err == nil && len(a.versions) > 0 && a.versions[0] >= floor {
			return a, nil
		}
		b.wasted.Add(int64(a.tokens))
		failed = engine
		select {
		case <-time.After(baselinePause):
		case <-ctx.Done():
			return answer{}, ctx.Err()
		}
	}
	return answer{}, &Error{Op: "load.baseline", Kind: sesamepitch.KindUnavailable, Err: err}
}

// inService lists the engines of the data centres that are not out.
func (b *baseline) inService(model string) []*baseEngine {
	out := b.out.Load()
	if out == nil {
		return b.pools[model]
	}
	var list []*baseEngine
	for _, engine := range b.pools[model] {
		if engine.info.centre != *out {
			list = append(list, engine)
		}
	}
	return list
}

func (b *baseline) once(ctx context.Context, engine *baseEngine, model, workspace, prompt string, tokens int) (answer, error) {
	engine.running.Add(1)
	defer engine.running.Add(-1)
	a := answer{cheap: engine.info.cheap, endpoint: engine.name, centre: engine.info.centre}
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

// step runs all samples of a step side by side, each until it is whole and no
// older than the trainer allows.
func (b *baseline) step(ctx context.Context, _, workspace string, _ int64, groups []step.Group, version int64, each func(answer)) error {
	slots := make(chan struct{}, stepStreams)
	results := make(chan error)
	count := 0
	var mu sync.Mutex
	for _, group := range groups {
		for range group.Samples {
			count++
			go func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				a, err := b.run(ctx, trainModel, workspace, group.Prompt, group.MaxTokens, version-1)
				if err == nil {
					mu.Lock()
					each(a)
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
