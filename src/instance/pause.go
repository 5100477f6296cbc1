package instance

import (
	"context"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"
)

const (
	// pauseCheckInterval is the time between checks for a pause of this process.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the time without a check from which on the process counts as
	// paused. It is well above the delays of a busy instance, and below the times
	// within which keys and leases end.
	minPause = time.Second
	// maxRefresh is how long after a pause callers are refused while the store does
	// not answer. Then the configuration at hand is used, as during an outage.
	maxRefresh = 1500 * time.Millisecond
)

// pauseGuard notices that this process was paused: what it knows may have been
// withdrawn meanwhile, for example a key, and counts only once it is read again.
type pauseGuard struct {
	clock sesamepitch.Clock

	mu        sync.Mutex
	checkedAt time.Time
	// resumedAt is the end of the last pause, zero if the configuration was read
	// since then.
	resumedAt time.Time
}

func newPauseGuard(clock sesamepitch.Clock) *pauseGuard {
	return &pauseGuard{clock: clock, checkedAt: clock.Now()}
}

// check returns the end of a pause after which the configuration was not read yet;
// zero if there is none. The first one to call it after a pause notices the pause.
func (p *pauseGuard) check() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Sub(p.checkedAt) > minPause {
		p.resumedAt = now
	}
	p.checkedAt = now
	return p.resumedAt
}

// refreshed records that the configuration was read by calls that began at a time.
func (p *pauseGuard) refreshed(began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !began.Before(p.resumedAt) {
		p.resumedAt = time.Time{}
	}
}

// isFresh reports whether callers may be admitted.
func (p *pauseGuard) isFresh() bool {
	resumedAt := p.check()
	return resumedAt.IsZero() || p.clock.Now().Sub(resumedAt) > maxRefresh
}

// watchPauses reads the operators' table again after each pause of this process.
func (i *Instance) watchPauses(ctx context.Context) error {
	return supervisor.Every(ctx, i.clock, pauseCheckInterval, func(ctx context.Context) {
		resumedAt := i.pauses.check()
		if resumedAt.IsZero() {
			return
		}
		began := i.clock.Now()
		snapshot, err := i.store.Snapshot(ctx, i.adapter.OperatorTable)
		if err != nil {
			i.log.Info("configuration not read after a pause", "resumed", resumedAt, "cause", err.Error())
			return
		}
		i.applyOperators(registry.Update{Rows: snapshot.Rows, Complete: true, Revision: snapshot.Revision})
		i.pauses.refreshed(began)
		i.log.Info("configuration read after a pause", "config", i.configVersion(), "ms", i.clock.Now().Sub(resumedAt).Milliseconds())
	})
}
