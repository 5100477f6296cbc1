// Package rollout runs generations: it acquires a stream, sends the request,
// checks the answer, and retries on another endpoint as long as nothing of the
// answer has been forwarded.
package rollout

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/notice"
	"sesamepitch/src/pool"

	"github.com/go-logr/logr"
)

const (
	maxAttempts = 6
	// prefixBytes is the length of the prompt's start by which a stream is placed on an
	// endpoint that has it cached.
	prefixBytes = 64
	// minTimedTokens is the number of tokens from which a stream's time per token is
	// reported.
	minTimedTokens = 4
)

// Request is one generation to run.
type Request struct {
	ID          string
	Workspace   string
	Weight      int
	Model       string
	Prompt      string
	MaxTokens   int
	Interactive bool
	Urgent      bool
	// CostSensitive requests try reclaimable endpoints first.
	CostSensitive bool
	Deadline      time.Time
	Avoid         []string
	// MinVersion returns the oldest weight version allowed now.
	MinVersion func() int64
	Sampling   endpoint.Sampling
	// CallerKey is the caller's key, which must not be in the request to the
	// endpoint.
	CallerKey string
	// Filter limits the request to some endpoints; nil allows all.
	Filter pool.EndpointFilter
	// OnPlaced, if set, is called with each endpoint that the request is sent to.
	OnPlaced func(endpoint string)
	// WaitContext ends the wait for a stream, but not a running stream; if nil,
	// only the request's own context ends the wait.
	WaitContext context.Context
}

// Generation is a complete answer with its versions, endpoint and cost.
type Generation struct {
	text      string
	versions  []int64
	tokens    int
	milliCost int64
	endpoint  string
	queued    time.Duration
}

// Text returns the generated text.
func (g Generation) Text() string { return g.text }

// Versions returns the weight versions of the chunks, oldest first.
func (g Generation) Versions() []int64 { return g.versions }

// Tokens returns the number of tokens generated.
func (g Generation) Tokens() int { return g.tokens }

// MilliCost returns the price of all tokens in the unit of Prices.
func (g Generation) MilliCost() int64 { return g.milliCost }

// Endpoint returns the endpoint's name.
func (g Generation) Endpoint() string { return g.endpoint }

// QueueTime returns how long the successful attempt waited for its stream.
func (g Generation) QueueTime() time.Duration { return g.queued }

// Prices gives the prices of tokens by endpoint.
type Prices interface {
	// MilliPrice returns the price of a token in thousandths of the price of a token
	// on a regular endpoint.
	MilliPrice(endpoint string) int64
}

// Recorder records usage. A use is recorded before the last part of its answer is
// forwarded.
type Recorder interface {
	// Record records one use and returns its receipt.
	Record(workspace string, tokens int, milliCost int64) pool.Receipt
}

// Runner runs generations.
type Runner struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	client   *pool.Client
	engines  *endpoint.Client
	notices  *notice.Set
	prices   Prices
	recorder Recorder
}

// New returns a runner.
func New(clock sesamepitch.Clock, log logr.Logger, client *pool.Client, engines *endpoint.Client, notices *notice.Set, prices Prices, recorder Recorder) *Runner {
	return &Runner{clock: clock, log: log, client: client, engines: engines, notices: notices, prices: prices, recorder: recorder}
}

// Sink receives the chunks of an answer as they arrive. Once it received one, the
// generation is not retried; without a sink, it may be retried at any point.
type Sink func(endpoint.Chunk) error

// attempt is the state of one stream.
type attempt struct {
	generation   Generation
	started      time.Time
	firstTokenAt time.Time
	forwarded    bool
}

// tokenTime returns the mean time per token after the first one; zero before the
// second one.
func (a *attempt) tokenTime(now time.Time) time.Duration {
	if a.generation.tokens < 2 || a.firstTokenAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstTokenAt) / time.Duration(a.generation.tokens-1)
}

// Generate runs one generation. The usage of a billed generation is recorded
// before Generate returns.
func (r *Runner) Generate(ctx context.Context, request Request, sink Sink, billed bool) (Generation, error) {
	avoid := append([]string(nil), request.Avoid...)
	ran := false
	for number := 1; ; number++ {
		queuedAt := r.clock.Now()
		stream, err := r.client.Acquire(ctx, r.streamSpec(request, avoid))
		if err != nil {
			return Generation{}, &Error{Op: "rollout.generate", Kind: sesamepitch.KindOf(err), Ran: ran, Err: err}
		}
		a := &attempt{started: r.clock.Now()}
		a.generation.endpoint = stream.Endpoint()
		a.generation.queued = a.started.Sub(queuedAt)
		if request.OnPlaced != nil {
			request.OnPlaced(stream.Endpoint())
		}
		err = r.run(stream, request, sink, a)
		r.release(stream, a, err, billed)
		if err == nil {
			return a.generation, nil
		}
		kind := sesamepitch.KindOf(err)
		ran = ran || (kind != sesamepitch.KindUnavailable && kind != sesamepitch.KindInvalid)
		if !r.mayRetry(ctx, kind, a, number) {
			return Generation{}, &Error{Op: "rollout.generate", Kind: kind, Ran: ran, Err: err}
		}
		r.log.Info("retry", "request", request.ID, "endpoint", stream.Endpoint(), "kind", kind, "attempt", number)
		avoid = nextAvoid(avoid, stream.Endpoint())
	}
}

// nextAvoid returns the endpoints to avoid next. It keeps the last two that
// failed, so that a small pool does not run out of endpoints.
func nextAvoid(avoid []string, failed string) []string {
	if len(avoid) >= 2 {
		avoid = avoid[1:]
	}
	return append(avoid, failed)
}

func (r *Runner) streamSpec(request Request, avoid []string) pool.StreamSpec {
	fingerprint := sesamepitch.Fingerprint(request.Model, request.Prompt)
	return pool.StreamSpec{
		Label: request.ID, Pool: request.Model, Workspace: request.Workspace, Weight: request.Weight,
		Interactive: request.Interactive, Tokens: request.MaxTokens, Deadline: request.Deadline,
		Prefix:      sesamepitch.Fingerprint(request.Prompt[:min(len(request.Prompt), prefixBytes)]),
		Fingerprint: fingerprint, Urgent: request.Urgent, CostSensitive: request.CostSensitive, Avoid: avoid, Filter: request.Filter, WaitContext: request.WaitContext,
		Suspect: r.notices.Crashes(fingerprint) > 0, MinVersion: request.MinVersion(),
	}
}

func (r *Runner) run(stream *pool.Stream, request Request, sink Sink, a *attempt) error {
	var text strings.Builder
	versions := map[int64]bool{}
	price := r.prices.MilliPrice(stream.Endpoint())
	completion := endpoint.Completion{
		ID: stream.ID(), Model: request.Model, Prompt: request.Prompt, MaxTokens: request.MaxTokens,
		MinVersion: request.MinVersion(), Sampling: request.Sampling, CallerKey: request.CallerKey,
	}
	err := r.engines.Complete(stream.Context(), stream.Address(), completion, func(chunk endpoint.Chunk) error {
		if a.firstTokenAt.IsZero() {
			a.firstTokenAt = r.clock.Now()
		}
		versions[chunk.Version] = true
		a.generation.tokens += chunk.Tokens
		if a.generation.tokens >= minTimedTokens {
			stream.ReportTokenTime(a.tokenTime(r.clock.Now()))
		}
		a.generation.milliCost += int64(chunk.Tokens) * price
		if sink == nil {
			text.WriteString(chunk.Text)
			return nil
		}
		a.forwarded = true
		return sink(chunk)
	})
	a.generation.text = text.String()
	for version := range versions {
		a.generation.versions = append(a.generation.versions, version)
	}
	sort.Slice(a.generation.versions, func(i, j int) bool { return a.generation.versions[i] < a.generation.versions[j] })
	return err
}

// release releases the stream and reports its outcome and measurements.
func (r *Runner) release(stream *pool.Stream, a *attempt, err error, billed bool) {
	release := pool.Release{Outcome: outcomeOf(err), Tokens: a.generation.tokens, MilliCost: a.generation.milliCost}
	if count := len(a.generation.versions); count > 0 {
		release.Version = a.generation.versions[count-1]
	}
	release.TokenTime = a.tokenTime(r.clock.Now())
	if billed && (err == nil || a.forwarded) && a.generation.tokens > 0 {
		release.Billed = true
		release.Receipt = r.recorder.Record(stream.Workspace(), a.generation.tokens, a.generation.milliCost)
	}
	r.client.Release(stream, release)
}

func outcomeOf(err error) pool.Outcome {
	switch sesamepitch.KindOf(err) {
	case "":
		return pool.Complete
	case sesamepitch.KindUnavailable:
		return pool.Refused
	case sesamepitch.KindCrashed:
		return pool.Crashed
	case sesamepitch.KindStale:
		return pool.Stale
	default:
		return pool.Cancelled
	}
}

var errRetriesExhausted = errors.New("gave up")

func (r *Runner) mayRetry(ctx context.Context, kind sesamepitch.Kind, a *attempt, number int) bool {
	if ctx.Err() != nil || a.forwarded || number >= maxAttempts {
		return false
	}
	switch kind {
	case sesamepitch.KindUnavailable, sesamepitch.KindCrashed, sesamepitch.KindStale, sesamepitch.KindTimeout:
		return true
	default:
		return false
	}
}

// Judge returns the score that an endpoint of a judge gives a text.
func (r *Runner) Judge(ctx context.Context, request Request, judge, text string) (float64, error) {
	lastErr := errRetriesExhausted
	for number := 1; number <= maxAttempts; number++ {
		stream, err := r.client.Acquire(ctx, pool.StreamSpec{
			Label: request.ID, Pool: judge, Workspace: request.Workspace, Weight: request.Weight, Interactive: request.Interactive,
			Tokens: 1, Deadline: request.Deadline,
		})
		if err != nil {
			return 0, err
		}
		score, err := r.engines.Judge(stream.Context(), stream.Address(), stream.ID(), request.Prompt, text)
		r.client.Release(stream, pool.Release{Outcome: outcomeOf(err)})
		if err == nil {
			return score, nil
		}
		if ctx.Err() != nil {
			return 0, err
		}
		lastErr = err
	}
	return 0, &Error{Op: "rollout.judge", Kind: sesamepitch.KindUnavailable, Ran: true, Err: fmt.Errorf("%s: %w", judge, lastErr)}
}
