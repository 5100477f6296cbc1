package gateway

import (
	"context"
	"errors"
	"time"

	sesamepitch "sesamepitch/src"
)

var errIsolated = errors.New("this instance is cut off from the store")

// WithConnectivity has calls for jobs refused while the store is out of reach, and those
// under way ended when it gets lost; without it the store counts as in reach.
func WithConnectivity(connectivity sesamepitch.Connectivity) Option {
	return func(g *Gateway) { g.connectivity = connectivity }
}

// alwaysConnected is a Reach that never ends.
type alwaysConnected struct{}

// StoreReachable implements sesamepitch.Connectivity.
func (alwaysConnected) StoreReachable() (context.Context, time.Duration) {
	return context.Background(), 0
}

// withStore returns a context that also ends when the store gets out of reach. It
// refuses if it is: the caller is told when others will answer instead.
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
