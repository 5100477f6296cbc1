package pool

import (
	"context"
	"time"

	"sesamepitch/src/centre"
)

// ReadLoads compares the engines' lagging reports with what is known of them;
// those on probation are asked more often.
func (o *Owner) ReadLoads(ctx context.Context) {
	now := o.clock.Now()
	all := now.Sub(o.loadsAt) >= loadEvery
	if all {
		o.loadsAt = now
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
				o.takeLoad(t.id, t.name, load, asked)
			}
		}()
	}
	for range targets {
		<-done
	}
}

// takeLoad learns from a report that was asked for at a time.
func (o *Owner) takeLoad(id centre.CellID, name string, load Load, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[id]
	if state == nil || state.endpoints[name] == nil {
		return
	}
	endpoint := state.endpoints[name]
	endpoint.aliveAt = maxTime(endpoint.aliveAt, asked)
	for _, c := range endpoint.takeBorn(load.ProcessStart, asked) {
		o.notices.Add("", o.notices.NewCrashCleared(c.fingerprint, c.event, o.centre))
		o.log.Info("suspicion dropped", "fingerprint", c.fingerprint, "endpoint", name, "reason", "the engine's process has not ended")
	}
	if load.Version > endpoint.version && !o.clock.Now().Before(endpoint.distrust) {
		// A report may run ahead of the truth; the chunks correct it.
		endpoint.version = load.Version
		o.dispatch(state)
	}
	if !load.Cold {
		endpoint.reportedWarmAt = asked
		return
	}
	if revoked := state.cool(name); revoked > 0 {
		o.log.Info("endpoint turned cold", "endpoint", name, "revoked", revoked)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
