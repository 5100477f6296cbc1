package load

import (
	"context"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/notice"
	"sesamepitch/src/operator"
	"sesamepitch/src/standin"
)

// runEvents carries out the scenario's events.
func (e *experiment) runEvents(ctx context.Context, stop <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-stop:
			return false
		}
	}
	switch e.settings.Scenario {
	case Stragglers:
		for _, name := range e.engineNames(trainingModel, 2) {
			e.running.Engine(name).SetFaults(standin.EngineFaults{Slow: stragglerSlowdown})
		}
	case Weights:
		for wait(publishInterval) {
			e.publish(ctx)
		}
	case Reclaim:
		if wait(1500 * time.Millisecond) {
			e.reclaim(wait)
		}
	case CentreOut:
		if wait(time.Second) {
			e.setCentre(ctx, notice.Out)
			wait(4 * time.Second)
			e.setCentre(ctx, notice.In)
		}
	case StoreDown:
		if wait(time.Second) {
			e.running.Platform().SetFaults(standin.PlatformFaults{Down: true})
			wait(4 * time.Second)
			e.running.Platform().SetFaults(standin.PlatformFaults{})
		}
	}
}

func (e *experiment) engineNames(model string, count int) []string {
	var names []string
	for _, d := range e.running.Document().Endpoints {
		if d.Model == model && len(names) < count {
			names = append(names, d.Name)
		}
	}
	return names
}

// publish publishes the next weight version. A baseline has its engines load it at
// once.
func (e *experiment) publish(ctx context.Context) {
	e.mu.Lock()
	e.version++
	version := e.version
	e.mu.Unlock()
	if e.baseline == nil {
		_ = e.backend.publish(ctx, e.preset.trainer(0), e.preset.workspace(0), version)
		return
	}
	for _, engine := range e.baseline.pools[trainingModel] {
		go func() {
			_ = endpoint.OrderLoad(ctx, http.DefaultTransport, engine.address, version, version, time.Now().Add(time.Minute))
		}()
	}
}

// reclaim takes away all reclaimable engines of the third data centre, after a
// notice of reclaimNotice, and returns them 4 seconds later.
func (e *experiment) reclaim(wait func(time.Duration) bool) {
	var names []string
	for name, info := range e.info {
		if info.reclaimable && info.centre == e.preset.centres[2] {
			names = append(names, name)
			e.running.Platform().SetLive(sesamepitch.Liveness{Name: name, Centre: info.centre, State: sesamepitch.StateLeaving})
		}
	}
	wait(reclaimNotice)
	for _, name := range names {
		e.running.Engine(name).SetFaults(standin.EngineFaults{Down: true})
	}
	wait(4 * time.Second)
	for _, name := range names {
		e.running.Engine(name).SetFaults(standin.EngineFaults{})
		e.running.Platform().SetLive(sesamepitch.Liveness{Name: name})
	}
}

// setCentre takes the first data centre out of service or back in. A baseline stops
// using it at the same moment.
func (e *experiment) setCentre(ctx context.Context, state string) {
	centreName := e.preset.centres[0]
	e.recorder.recordCentre(centreName, state == notice.Out)
	if e.baseline != nil {
		if state == notice.In {
			e.baseline.excludedCentre.Store(nil)
			return
		}
		e.baseline.excludedCentre.Store(&centreName)
		return
	}
	_, _ = e.running.Instances()[len(e.running.Instances())-1].Operator().SetCentre(ctx, operator.CentreState{Name: centreName, State: state})
}
