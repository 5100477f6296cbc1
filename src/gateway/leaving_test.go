package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"

	"gotest.tools/v3/assert"
)

// TestLeavingEndpointChosen guards against requests, second tries and reward calls at
// an endpoint that has said that it is leaving, and against waits for one.
func TestLeavingEndpointChosen(t *testing.T) {
	good := func(context.Context, string) (sesamepitch.Answer, error) {
		return sesamepitch.Answer{Status: http.StatusOK, Signature: "signed"}, nil
	}
	failing := func(context.Context, string) (sesamepitch.Answer, error) {
		return sesamepitch.Answer{}, &Error{Kind: sesamepitch.KindUnknown}
	}
	cases := []struct {
		name    string
		answer  func(context.Context, string) (sesamepitch.Answer, error)
		leaving []string
		// later is the time from the endpoints' word to the request.
		later  time.Duration
		reward bool
		// chosen are the endpoints that may get a request; none means a refusal.
		chosen []string
	}{
		{"another one stays", good, []string{"a"}, 0, false, []string{"b"}},
		{"second try", failing, []string{"a"}, 0, false, []string{"b"}},
		{"reward call", good, []string{"a"}, 0, true, []string{"b"}},
		{"all leave", good, []string{"a", "b"}, 0, false, []string{"a", "b"}},
		{"all have left", good, []string{"a", "b"}, 2100 * time.Millisecond, false, nil},
		{"reward call, all have left", good, []string{"a", "b"}, 2100 * time.Millisecond, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			forward := &forwarder{answer: c.answer}
			g := newGateway(forward, &meter{}, "a", "b")
			for _, id := range c.leaving {
				assert.Assert(t, g.registry.Hear(sesamepitch.Destination{ID: id, Address: id}))
			}
			time.Sleep(c.later)
			began := time.Now()
			for range 5 {
				g.request(t, c.reward)
			}
			for _, id := range forward.asked {
				assert.Assert(t, slices.Contains(c.chosen, id), "%s got a request", id)
			}
			assert.Equal(t, len(forward.asked) > 0, len(c.chosen) > 0)
			if len(c.chosen) == 0 {
				assert.Assert(t, time.Since(began) < 200*time.Millisecond, "refused after %s", time.Since(began))
			}
		})
	}
}

// request sends a caller's request or a reward call.
func (g *Gateway) request(t *testing.T, reward bool) {
	t.Helper()
	if reward {
		if try, err := g.ReserveReward(rewardCall, nil, nil); err == nil {
			_, _ = try.Send(context.Background())
		}
		return
	}
	admission, err := g.Admit("h", "/safe/x", "k")
	assert.NilError(t, err)
	_, err = g.Serve(context.Background(), admission, sesamepitch.Request{ID: "r", Method: http.MethodGet, URI: "/safe/x"})
	if refusal, refused := err.(*Refusal); refused && refusal.Kind == sesamepitch.KindUnavailable {
		assert.Assert(t, refusal.After > 0)
	}
}
