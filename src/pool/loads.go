package pool

import (
	"context"
	"time"

	"sesamepitch/src/centre"
)

// ReadLoads reads the engines' load reports and applies them; engines on
// probation are asked more often.
func (o *Owner) ReadLoads(ctx context.Context) {
	now := o.clock.Now()
	all := now.Sub(o.lastLoadPoll) >= loadReportInterval
	if all {
		o.lastLoadPoll = now
	}
	type target struct {
		id            centre.CellID
		name, address string
	}
	var targets []target
	o.mu.Lock()
	for id, state := range o.cells {
		for name, endpoint := range state.endpoints {
			if endpoint.config.Model != "" && (all || endpoint.probation) {
				targets = append(targets, target{id: id, name: name, address: endpoint.config.Address})
			}
		}
	}
	o.mu.Unlock()
	done := make(chan struct{}, len(targets))
	for _, t := range targets {
		go func() {
			defer func() { done <- struct{}{} }()
			asked := o.clock.Now()
			load, err := o.loads.ReadLoad(ctx, t.address)
			if err == nil {
				o.applyLoad(t.id, t.name, load, asked)
			}
		}()
	}
	for range targets {
		<-done
	}
}

// applyLoad updates an endpoint's state from a load report that was requested at
// the time asked.
func (o *Owner) applyLoad(id centre.CellID, name string, load Load, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[id]
	if state == nil || state.endpoints[name] == nil {
		return
	}
	endpoint := state.endpoints[name]
	endpoint.lastHealthy = maxTime(endpoint.lastHealthy, asked)
	for _, c := range endpoint.resolvePendingCrashes(load.ProcessStart, asked) {
		o.notices.Add("", o.notices.NewCrashCleared(c.fingerprint, c.event, o.centre))
		o.log.Info("crash retracted", "fingerprint", c.fingerprint, "endpoint", name, "reason", "the engine's process has not ended")
	}
	if load.Version > endpoint.version && !o.clock.Now().Before(endpoint.ignoreVersionUntil) {
		// A report may name a version before the engine serves it; the chunks
		// correct it.
		endpoint.version = load.Version
		o.dispatch(state)
	}
	if !load.Cold {
		endpoint.reportedWarmAt = asked
		return
	}
	if revoked := state.markCold(name); revoked > 0 {
		o.log.Info("endpoint turned cold", "endpoint", name, "revoked", revoked)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
