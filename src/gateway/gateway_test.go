package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// decoder returns a configuration with one route of each kind, and decodes an
// endpoint's row value as its data centre.
type decoder struct{}

func (decoder) Config(sesamepitch.Row) (*registry.Config, error) {
	to := []registry.Share{{Service: "desk", Weight: 1}}
	return registry.NewConfig(registry.Config{
		Version: 3,
		Routes: []registry.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: registry.Idempotent, MaxAttempts: 2, Split: to, Timeout: 600 * time.Millisecond},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: registry.AtMostOnce, MaxAttempts: 3, Split: to, Timeout: 600 * time.Millisecond},
			{Name: "far", Host: "h", Prefix: "/far/", Kind: registry.Idempotent, MaxAttempts: 2, Split: to, Regions: []string{"elsewhere"}},
		},
		Services:   map[string]registry.Service{"desk": {Name: "desk", HealthPath: "/health", ColdRate: 10}},
		Workspaces: []registry.Workspace{{Name: "guild", Keys: []string{"k"}}},
	}), nil
}

func (decoder) Endpoint(row sesamepitch.Row, _ time.Time) (registry.Endpoint, error) {
	id := row.Name()
	return registry.Endpoint{ID: id, Address: id, Service: "desk", Centre: string(row.Value), Slots: 6}, nil
}

func (decoder) Operation(sesamepitch.Row) registry.Operation {
	return registry.Operation{Kind: registry.OperationConfig}
}

// forwarder answers with a function of the endpoint and records the endpoints of
// requests and health checks.
type forwarder struct {
	mu      sync.Mutex
	asked   []string
	checked []string
	answer  func(ctx context.Context, endpoint string) (sesamepitch.Answer, error)
}

func (f *forwarder) Forward(ctx context.Context, to sesamepitch.Destination, _ sesamepitch.Request) (sesamepitch.Answer, error) {
	f.mu.Lock()
	f.asked = append(f.asked, to.ID)
	f.mu.Unlock()
	return f.answer(ctx, to.ID)
}

func (f *forwarder) Stream(context.Context, sesamepitch.Destination, sesamepitch.Request, sesamepitch.StreamSink) error {
	return errors.New("not used")
}

func (f *forwarder) IdleTimeout(sesamepitch.Destination) time.Duration { return 2 * time.Second }

func (f *forwarder) Check(_ context.Context, to sesamepitch.Destination, _, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checked = append(f.checked, to.ID)
	return nil
}

type meter struct{ counted int }

func (m *meter) Count(string, time.Time) { m.counted++ }

func newGateway(forward *forwarder, counts *meter, endpoints ...string) *Gateway {
	clock := sesamepitch.SystemClock{}
	reg := registry.New(clock, decoder{})
	reg.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//config", Version: 1}}, Complete: true})
	var rows []sesamepitch.Row
	for i, id := range endpoints {
		centre := "near"
		if i > 0 {
			centre = "far"
		}
		rows = append(rows, sesamepitch.Row{Key: "servers//" + id, Value: []byte(centre), Version: 1})
	}
	reg.ApplyEndpoints(rows, true, time.Time{})
	return New(clock, logr.Discard(), reg, forward, batch.NewLedger(clock, standin.NewMemory()), counts, "near", "here")
}

// TestReady checks that a gateway is ready only with both the configuration and
// the endpoint list: with one of them alone, it would refuse every request.
func TestReady(t *testing.T) {
	cases := []struct {
		name              string
		config, endpoints bool
		ready             bool
	}{
		{"nothing loaded", false, false, false},
		{"no endpoints yet", true, false, false},
		{"no configuration yet", false, true, false},
		{"both loaded", true, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := sesamepitch.SystemClock{}
			reg := registry.New(clock, decoder{})
			g := New(clock, logr.Discard(), reg, &forwarder{}, batch.NewLedger(clock, standin.NewMemory()), &meter{}, "near", "here")
			if c.config {
				reg.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//config", Version: 1}}, Complete: true})
			}
			if c.endpoints {
				reg.ApplyEndpoints([]sesamepitch.Row{{Key: "servers//a", Value: []byte("near"), Version: 2}}, true, time.Time{})
			}
			assert.Equal(t, g.Ready(), c.ready)
		})
	}
}

// TestGathering replays the polls of a read, 40 ms apart, of a job whose result
// deadline is at one second. The read is answered at once with results that
// complete the step or are overdue; otherwise shortly before its trainer would
// read again, with the results that end together.
func TestGathering(t *testing.T) {
	const due, never = 25, 99
	cases := []struct {
		name string
		// firstPoll is the poll at which the read begins.
		firstPoll int
		// counts are the numbers of results that the polls find; the last one repeats.
		counts []int
		// targetMet is the poll from which on all awaited results are found.
		targetMet int
		// answer is the poll after which the read is answered.
		answer int
	}{
		{"results exist", 0, []int{3}, never, 12},
		{"all awaited results exist", 0, []int{3}, 0, 0},
		{"last awaited result arrives", 0, []int{3, 3, 3, 4}, 3, 3},
		{"one result arrives", 0, []int{0, 0, 1}, never, 12},
		{"one result arrives late", 0, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, never, 13},
		{"several results arrive together", 0, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 3, 6, 8}, never, 14},
		{"results keep arriving", 0, []int{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, never, 15},
		{"result arrives overdue", 20, []int{0, 0, 0, 0, 0, 0, 1}, never, 6},
		{"result becomes overdue", 20, []int{1}, never, due - 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			pollTime := func(i int) time.Time { return start.Add(time.Duration(i) * pollInterval) }
			g := longPoll{began: pollTime(c.firstPoll), deadline: pollTime(due)}
			for i := 0; i <= c.answer; i++ {
				count := c.counts[min(i, len(c.counts)-1)]
				assert.Equal(t, g.shouldAnswer(pollTime(c.firstPoll+i), count, i >= c.targetMet), i == c.answer, "poll %d", i)
			}
		})
	}
}

func failed(kind sesamepitch.Kind) (sesamepitch.Answer, error) {
	return sesamepitch.Answer{}, &Error{Op: "test", Kind: kind}
}

func answered(status int) (sesamepitch.Answer, error) {
	return sesamepitch.Answer{Status: status}, nil
}

// TestTries checks for each outcome of the first try whether the request is sent
// to another endpoint, and with which status or error it ends.
func TestTries(t *testing.T) {
	cases := []struct {
		name  string
		route string
		// first is the answer of the first endpoint; the others answer 200, or the
		// same if all is set.
		first  func(ctx context.Context) (sesamepitch.Answer, error)
		all    bool
		asked  int
		status int
		kind   sesamepitch.Kind
	}{
		{"answered", "/safe/", func(context.Context) (sesamepitch.Answer, error) { return answered(200) }, false, 1, 200, ""},
		{"not found by the endpoint", "/safe/", func(context.Context) (sesamepitch.Answer, error) { return answered(404) }, false, 1, 404, ""},
		{"failed, idempotent", "/safe/", func(context.Context) (sesamepitch.Answer, error) { return answered(500) }, false, 2, 200, ""},
		{"failed, at most once", "/once/", func(context.Context) (sesamepitch.Answer, error) { return answered(500) }, false, 1, 500, ""},
		{"all fail: the endpoint's server error is returned", "/safe/", func(context.Context) (sesamepitch.Answer, error) { return answered(500) }, true, 2, 500, ""},
		{"answer lost, idempotent", "/safe/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindUnknown) }, false, 2, 200, ""},
		{"answer lost, at most once", "/once/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindUnknown) }, false, 1, 0, sesamepitch.KindUnknown},
		{"not sent, at most once", "/once/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindUnavailable) }, false, 2, 200, ""},
		{"not run, at most once", "/once/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindOverloaded) }, false, 2, 200, ""},
		{"no endpoint reached: certainly not run", "/once/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindUnavailable) }, true, 3, 0, sesamepitch.KindUnavailable},
		{"all full: certainly not run", "/safe/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindOverloaded) }, true, 2, 0, sesamepitch.KindUnavailable},
		{"unresponsive: another endpoint answers in time", "/safe/", func(ctx context.Context) (sesamepitch.Answer, error) {
			<-ctx.Done()
			return failed(sesamepitch.KindTimeout)
		}, false, 2, 200, ""},
		{"unresponsive, at most once: refused at the route's timeout", "/once/", func(ctx context.Context) (sesamepitch.Answer, error) {
			<-ctx.Done()
			return failed(sesamepitch.KindTimeout)
		}, false, 1, 0, sesamepitch.KindTimeout},
		{"the try times out just before the request", "/once/", func(context.Context) (sesamepitch.Answer, error) { return failed(sesamepitch.KindTimeout) }, false, 1, 0, sesamepitch.KindTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			forward := &forwarder{}
			first := ""
			forward.answer = func(ctx context.Context, endpoint string) (sesamepitch.Answer, error) {
				forward.mu.Lock()
				if first == "" {
					first = endpoint
				}
				isFirst := endpoint == first || c.all
				forward.mu.Unlock()
				if isFirst {
					return c.first(ctx)
				}
				return answered(200)
			}
			g := newGateway(forward, &meter{}, "a", "b", "c")
			admission, err := g.Admit("h", c.route+"x", "k")
			assert.NilError(t, err)
			start := time.Now()
			answer, err := g.Serve(context.Background(), admission, sesamepitch.Request{ID: "r", Deadline: start.Add(time.Minute)})
			assert.Equal(t, len(forward.asked), c.asked, "%v", forward.asked)
			assert.Equal(t, answer.Status, c.status)
			assert.Equal(t, sesamepitch.KindOf(err), c.kind, "%v", err)
			assert.Assert(t, time.Since(start) < 700*time.Millisecond, "the final answer is later than the route's timeout")
			var refusal *Refusal
			if errors.As(err, &refusal) && refusal.Kind == sesamepitch.KindUnavailable {
				assert.Assert(t, refusal.After > 0, "the refusal advises no retry delay")
			}
		})
	}
}

func TestAdmit(t *testing.T) {
	counts := &meter{}
	forward := &forwarder{answer: func(context.Context, string) (sesamepitch.Answer, error) { return answered(http.StatusOK) }}
	g := newGateway(forward, counts, "a")
	cases := []struct {
		name, host, path, key string
		kind                  sesamepitch.Kind
	}{
		{"served", "h", "/safe/1", "k", ""},
		{"unknown host", "x", "/safe/1", "k", sesamepitch.KindNotFound},
		{"unknown path", "h", "/other/1", "k", sesamepitch.KindNotFound},
		{"unknown key", "h", "/safe/1", "z", sesamepitch.KindDenied},
	}
	for _, c := range cases {
		_, err := g.Admit(c.host, c.path, c.key)
		assert.Equal(t, sesamepitch.KindOf(err), c.kind, c.name)
	}
	admission, err := g.Admit("h", "/safe/1", "k")
	assert.NilError(t, err)
	_, err = g.Serve(context.Background(), admission, sesamepitch.Request{ID: "r"})
	assert.NilError(t, err)
	assert.Equal(t, counts.counted, 1)

	far, err := g.Admit("h", "/far/1", "k")
	assert.NilError(t, err)
	_, err = g.Serve(context.Background(), far, sesamepitch.Request{ID: "r"})
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable, "not in this region")

	empty := New(sesamepitch.SystemClock{}, logr.Discard(), registry.New(sesamepitch.SystemClock{}, decoder{}), forward, nil, counts, "near", "here")
	_, err = empty.Admit("h", "/safe/1", "k")
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable, "without a configuration a request is unavailable, not denied")
	assert.Assert(t, !empty.Ready())
}

// TestPick checks that an idle open connection is preferred, then an endpoint of
// the same data centre with little load, and that an avoided one is the last choice.
func TestPick(t *testing.T) {
	endpoint := func(id string) registry.Endpoint { return registry.Endpoint{ID: id, Slots: 6} }
	cases := []struct {
		name       string
		candidates []candidate
		want       string
	}{
		{"open connection", []candidate{{endpoint: endpoint("a"), sameCentre: true}, {endpoint: endpoint("b"), connected: true}}, "b"},
		{"open connection in use", []candidate{{endpoint: endpoint("a"), sameCentre: true}, {endpoint: endpoint("b"), connected: true, running: 1}}, "a"},
		{"near", []candidate{{endpoint: endpoint("a")}, {endpoint: endpoint("b"), sameCentre: true}}, "b"},
		{"lower load", []candidate{{endpoint: endpoint("a"), sameCentre: true, running: 3}, {endpoint: endpoint("b"), running: 1}}, "b"},
		{"suspect", []candidate{{endpoint: endpoint("a"), connected: true, sameCentre: true, avoided: true}, {endpoint: endpoint("b"), running: 5}}, "b"},
		{"warm rather than cold", []candidate{{endpoint: endpoint("a"), sameCentre: true, cold: true}, {endpoint: endpoint("b")}}, "b"},
		{"only an avoided one", []candidate{{endpoint: endpoint("a"), avoided: true}}, "a"},
	}
	for _, c := range cases {
		best, found := cheapest(c.candidates)
		assert.Assert(t, found)
		assert.Equal(t, best.endpoint.ID, c.want, c.name)
	}
	_, found := cheapest(nil)
	assert.Assert(t, !found)
}

// TestKeepConnections checks that the endpoint used last gets health checks before
// its connection would be closed, and that the others get none.
func TestKeepConnections(t *testing.T) {
	forward := &forwarder{answer: func(context.Context, string) (sesamepitch.Answer, error) { return answered(http.StatusOK) }}
	g := newGateway(forward, &meter{}, "a", "b")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.KeepConnections(ctx) }()
	admission, err := g.Admit("h", "/safe/1", "k")
	assert.NilError(t, err)
	_, err = g.Serve(ctx, admission, sesamepitch.Request{ID: "r"})
	assert.NilError(t, err)
	time.Sleep(4500 * time.Millisecond)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	forward.mu.Lock()
	defer forward.mu.Unlock()
	assert.Assert(t, len(forward.checked) >= 2, "checks %v", forward.checked)
	for _, id := range forward.checked {
		assert.Equal(t, id, forward.asked[0])
	}
}

// TestLateRequest cuts one of three endpoints off without a sign: an idempotent
// request that went there is answered by another endpoint well before its
// deadline, the late try is given up, and the endpoint gets no further one soon.
func TestLateRequest(t *testing.T) {
	givenUp := make(chan struct{}, 1)
	forward := &forwarder{}
	var silent string
	forward.answer = func(ctx context.Context, endpoint string) (sesamepitch.Answer, error) {
		forward.mu.Lock()
		if silent == "" {
			silent = endpoint
		}
		isSilent := endpoint == silent
		forward.mu.Unlock()
		if !isSilent {
			return answered(200)
		}
		<-ctx.Done()
		givenUp <- struct{}{}
		return failed(sesamepitch.KindTimeout)
	}
	g := newGateway(forward, &meter{}, "a", "b", "c")
	admission, err := g.Admit("h", "/safe/x", "k")
	assert.NilError(t, err)
	for i := range 10 {
		began := time.Now()
		answer, err := g.Serve(context.Background(), admission, sesamepitch.Request{ID: "r", Deadline: began.Add(time.Minute)})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, 200)
		limit := 50 * time.Millisecond
		if i == 0 {
			limit += defaultPatience
		}
		assert.Assert(t, time.Since(began) < limit, "request %d after %s", i, time.Since(began))
	}
	<-givenUp
	assert.Equal(t, len(forward.asked), 11)
	assert.Assert(t, g.latencyOf(admission.Route.Name).Patience(time.Minute, 0) < time.Second, "the patience is learned")
}
