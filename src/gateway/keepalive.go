package gateway

import (
	"context"
	"time"

	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"
)

const (
	// keepAliveInterval is the time between checks for idle connections.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveFraction is the fraction of the idle timeout that may pass before a
	// connection is used for a health check.
	keepAliveFraction = 0.8
	// keepAliveWindow is how long after the last request a connection is kept open.
	keepAliveWindow = 2 * time.Minute
	checkTimeout    = 500 * time.Millisecond
)

// KeepConnections keeps one connection open by health checks for each service that
// has a health path and no models, so that the next request needs no new connection.
// A check costs an endpoint far less than a new connection.
func (g *Gateway) KeepConnections(ctx context.Context) error {
	return supervisor.Every(ctx, g.clock, keepAliveInterval, func(ctx context.Context) {
		config := g.registry.Config()
		if config == nil {
			return
		}
		for _, service := range config.Services {
			if service.HealthPath == "" || len(service.Models) > 0 {
				continue
			}
			if endpoint, found := g.nextKeepAlive(service.Name); found {
				g.checkConnection(ctx, endpoint, service.HealthPath)
			}
		}
	})
}

// nextKeepAlive returns the endpoint of a service whose connection was used last,
// among those without running requests, and whether that connection is about to
// reach its idle timeout. An endpoint with a limit has better requests to serve.
func (g *Gateway) nextKeepAlive(service string) (registry.Endpoint, bool) {
	var recent registry.Endpoint
	var recentAt time.Time
	endpoints := g.registry.Endpoints(service)
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, endpoint := range endpoints {
		state := g.stateOf(endpoint.ID)
		if state.running > 0 || now.Sub(state.servedAt) > keepAliveWindow || g.limits.Interval(destination(endpoint)) > 0 {
			continue
		}
		if state.connUsedAt.After(recentAt) {
			recent, recentAt = endpoint, state.connUsedAt
		}
	}
	if recentAt.IsZero() {
		return recent, false
	}
	idle, idleTimeout := now.Sub(recentAt), g.forward.IdleTimeout(destination(recent))
	latest := time.Duration(keepAliveFraction * float64(idleTimeout))
	return recent, idle < idleTimeout && idle+keepAliveInterval > latest
}

func (g *Gateway) checkConnection(ctx context.Context, endpoint registry.Endpoint, path string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := g.forward.Check(ctx, destination(endpoint), endpoint.Address, path)
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateOf(endpoint.ID)
	state.connUsedAt = g.clock.Now()
	if err != nil {
		state.connUsedAt = time.Time{}
		g.log.Info("keep-alive check failed", "endpoint", endpoint.ID, "cause", err.Error())
	}
}
