package gateway

import (
	"context"
	"time"

	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"
)

const (
	// keepEvery is the time between looks at kept connections.
	keepEvery = 500 * time.Millisecond
	// keepShare of a connection's idle time may pass before a check uses it.
	keepShare = 0.8
	// keepAfterUse is how long after the last request a connection is kept.
	keepAfterUse = 2 * time.Minute
	checkTime    = 500 * time.Millisecond
)

// KeepConnections uses one idle connection for each service now and then, so
// that the next request needs no new one. A check costs an endpoint far less
// than a connection.
func (g *Gateway) KeepConnections(ctx context.Context) error {
	return supervisor.Every(ctx, g.clock, keepEvery, func(ctx context.Context) {
		config := g.registry.Config()
		if config == nil {
			return
		}
		for _, service := range config.Services {
			if service.HealthPath == "" || len(service.Models) > 0 {
				continue
			}
			if endpoint, found := g.dueCheck(service.Name); found {
				g.check(ctx, endpoint, service.HealthPath)
			}
		}
	})
}

// dueCheck returns the endpoint of a service whose connection was used last,
// if that is about to be closed.
func (g *Gateway) dueCheck(service string) (registry.Endpoint, bool) {
	var newest registry.Endpoint
	var newestAt time.Time
	endpoints := g.registry.Endpoints(service)
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, endpoint := range endpoints {
		known := g.loadOf(endpoint.ID)
		if known.running > 0 || now.Sub(known.servedAt) > keepAfterUse {
			continue
		}
		if known.usedAt.After(newestAt) {
			newest, newestAt = endpoint, known.usedAt
		}
	}
	if newestAt.IsZero() {
		return newest, false
	}
	idle, kept := now.Sub(newestAt), g.forward.IdleTimeout(destination(newest))
	latest := time.Duration(keepShare * float64(kept))
	return newest, idle < kept && idle+keepEvery > latest
}

func (g *Gateway) check(ctx context.Context, endpoint registry.Endpoint, path string) {
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	err := g.forward.Check(ctx, destination(endpoint), endpoint.Address, path)
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.loadOf(endpoint.ID)
	known.usedAt = g.clock.Now()
	if err != nil {
		known.usedAt = time.Time{}
		g.log.Info("connection not kept", "endpoint", endpoint.ID, "cause", err.Error())
	}
}
