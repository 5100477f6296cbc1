package gateway

import (
	"context"
	"errors"
	"time"

	sesamepitch "sesamepitch/src"
)

var errIsolated = errors.New("this instance is isolated from the store")

// WithConnectivity makes the gateway refuse calls for jobs while the store is
// unreachable, and end running ones when the store becomes unreachable. Without
// it the store counts as reachable.
func WithConnectivity(connectivity sesamepitch.Connectivity) Option {
	return func(g *Gateway) { g.connectivity = connectivity }
}

// reachable is a sesamepitch.Connectivity that is never lost.
type reachable struct{}

// StoreReachable implements sesamepitch.Connectivity.
func (reachable) StoreReachable() (context.Context, time.Duration) { return context.Background(), 0 }

// withStore returns a context that also ends when the store becomes unreachable.
// If it is unreachable already, withStore returns a refusal that advises the
// caller to retry when other instances will answer.
func (g *Gateway) withStore(ctx context.Context) (context.Context, context.CancelFunc, error) {
	connected, retryAfter := g.connectivity.StoreReachable()
	if connected.Err() != nil {
		return nil, nil, &Refusal{Kind: sesamepitch.KindUnavailable, Err: errIsolated, After: max(retryAfter, retrySoon)}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(connected, cancel)
	return ctx, func() {
		stop()
		cancel()
	}, nil
}
