package step

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/rollout"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// blockedGenerator has no endpoint for any sample: each request waits until its
// WaitContext or ctx ends, and then fails with KindTimeout.
type blockedGenerator struct{ waiting chan struct{} }

func (g blockedGenerator) Generate(ctx context.Context, request rollout.Request, _ rollout.Sink, _ bool) (rollout.Generation, error) {
	g.waiting <- struct{}{}
	var waitEnded <-chan struct{}
	if request.WaitContext != nil {
		waitEnded = request.WaitContext.Done()
	}
	select {
	case <-ctx.Done():
	case <-waitEnded:
	}
	return rollout.Generation{}, &Error{Op: "starved", Kind: sesamepitch.KindTimeout, Err: context.Canceled}
}

func (blockedGenerator) Judge(context.Context, rollout.Request, string, string) (float64, error) {
	return 0, nil
}

type discardDelivery struct{}

func (discardDelivery) Deliver(Sample) error { return nil }

// TestDrainWaitsForNoEndpoint drains while all samples of a step wait for an endpoint,
// and asserts that the trainer is told at once to resume elsewhere.
func TestDrainWaitsForNoEndpoint(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	clock := sesamepitch.SystemClock{}
	generator := blockedGenerator{waiting: make(chan struct{}, 8)}
	m := NewManager(clock, logr.Discard(), rowstore.New(strings.TrimPrefix(server.URL, "http://")),
		document.NewHolder(), notice.NewSet(clock), generator, "d1", time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	go func() {
		<-generator.waiting
		m.Drain()
	}()
	spec := Spec{Trainer: "painter", Step: 1, Groups: []Group{{Prompt: "p", Samples: 2, MaxTokens: 4}}}
	result, err := m.Drive(ctx, document.Trainer{Name: "painter", Workspace: "coaching", Model: "coach"}, Request{Spec: spec}, discardDelivery{})
	assert.NilError(t, err)
	assert.Equal(t, result, Resume)
}
