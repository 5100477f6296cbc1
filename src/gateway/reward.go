package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/reward"
)

// rewardSlotShare is the share of an endpoint's slots that reward calls may
// occupy; the others stay free for callers' requests, which wait for no step.
const rewardSlotShare = 2.0 / 3

// RewardRoute returns the route of a reward call by the configuration in force.
func (g *Gateway) RewardRoute(call sesamepitch.RewardCall) (sesamepitch.RewardRoute, bool) {
	route, found := g.rewardRoute(call)
	if !found {
		return sesamepitch.RewardRoute{}, false
	}
	return sesamepitch.RewardRoute{MaxAttempts: route.MaxAttempts, LatencyTarget: route.LatencyTarget}, true
}

// RewardEndpoints returns the number of endpoints that may get a reward call, zero
// without a route.
func (g *Gateway) RewardEndpoints(call sesamepitch.RewardCall) int {
	route, _ := g.rewardRoute(call)
	endpoints := 0
	for _, share := range route.Split {
		endpoints += len(g.registry.Endpoints(share.Service))
	}
	return endpoints
}

func (g *Gateway) rewardRoute(call sesamepitch.RewardCall) (registry.Route, bool) {
	config := g.registry.Config()
	if config == nil {
		return registry.Route{}, false
	}
	return config.Match(call.Host, call.Path)
}

// ReserveReward chooses an endpoint for a reward call. The call bears no key and belongs
// to no workspace, so it is in no usage report.
func (g *Gateway) ReserveReward(call sesamepitch.RewardCall, excluded, avoided []string) (sesamepitch.RewardTry, error) {
	route, found := g.rewardRoute(call)
	if !found {
		return nil, &Error{Op: "reward", Kind: sesamepitch.KindNotFound, Err: errNoRoute}
	}
	d := g.newDispatch(Admission{Route: route}, sesamepitch.Request{
		ID: call.ID, Method: http.MethodPost, Host: call.Host, URI: call.Path, Header: http.Header{}, Body: call.Body,
	})
	d.content = "" // an item's call is never one that crashes endpoints by itself
	endpoint, retryIn, found := g.acquire(context.Background(), choice{
		service: d.service, route: route, asked: d.start, tried: setOf(excluded), avoided: setOf(avoided), slotShare: rewardSlotShare, immediate: true,
	})
	if !found && retryIn > 0 {
		return nil, &Error{Op: "reward", Kind: sesamepitch.KindUnavailable, Err: errLimited}
	}
	if !found {
		return nil, &Error{Op: "reward", Kind: sesamepitch.KindUnavailable, Err: errNoEndpoint}
	}
	return &rewardTry{dispatch: d, endpoint: endpoint, done: g.trackRequest(endpoint)}, nil
}

func setOf(ids []string) map[string]bool {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// rewardTry is a reward call with the endpoint chosen for it.
type rewardTry struct {
	dispatch *dispatch
	endpoint registry.Endpoint
	done     func(error)
}

// Endpoint returns the endpoint's ID.
func (t *rewardTry) Endpoint() string { return t.endpoint.ID }

// Send sends the call and returns the signature of its answer.
func (t *rewardTry) Send(ctx context.Context) (string, error) {
	timeout := reward.Timeout(t.dispatch.admission.Route.LatencyTarget)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t.dispatch.request.Deadline = t.dispatch.gateway.clock.Now().Add(timeout)
	ended := t.dispatch.send(ctx, t.endpoint, t.done)
	t.dispatch.record(ctx, ended)
	defer ended.answer.Release()
	if ended.err != nil {
		return "", ended.err
	}
	return scoreOf(ended.answer)
}

var errNoSignature = errors.New("success without a signature")

// scoreOf returns the score that an answer stands for.
func scoreOf(answer sesamepitch.Answer) (string, error) {
	switch {
	case answer.Status == http.StatusInternalServerError:
		return "", &Error{Op: "reward", Kind: sesamepitch.KindFailed, Err: fmt.Errorf("status %d", answer.Status)}
	case answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices:
		return "", &Error{Op: "reward", Kind: sesamepitch.KindUnknown, Err: fmt.Errorf("status %d", answer.Status)}
	case answer.Signature == "":
		return "", &Error{Op: "reward", Kind: sesamepitch.KindUnknown, Err: errNoSignature}
	}
	return answer.Signature, nil
}
