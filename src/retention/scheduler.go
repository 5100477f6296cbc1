// Package retention removes rows and objects whose retention time has passed: steps,
// calls, usage windows and notices. The process that holds the usage lease does so;
// concurrent sweeps by two processes are harmless.
package retention

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	sweepInterval = 2 * time.Second
	// maxRowsPerSweep limits the rows of one sweep, so that sweeping takes a small part of
	// the table's rate.
	maxRowsPerSweep = 256
	// idleDelay is the time from a sweep that removed nothing to the sweeper's next one.
	idleDelay = 5 * time.Minute
)

// Scheduler runs the sweepers while this process holds the lease.
type Scheduler struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	isHolder func() bool
	sweepers []sesamepitch.Sweeper
	// nextSweepAt is the earliest time of each sweeper's next sweep.
	nextSweepAt []time.Time
}

// New returns a scheduler; isHolder reports whether this process holds the lease.
func New(clock sesamepitch.Clock, log logr.Logger, isHolder func() bool, sweepers ...sesamepitch.Sweeper) *Scheduler {
	return &Scheduler{clock: clock, log: log, isHolder: isHolder, sweepers: sweepers, nextSweepAt: make([]time.Time, len(sweepers))}
}

// Workers returns the scheduler's supervised task.
func (s *Scheduler) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("retention", func(ctx context.Context) error {
			return supervisor.Every(ctx, s.clock, sweepInterval, s.Tick)
		}),
	}
}

// Tick runs each sweeper that is due once.
func (s *Scheduler) Tick(ctx context.Context) {
	if !s.isHolder() {
		return
	}
	for i, sweeper := range s.sweepers {
		if s.clock.Now().Before(s.nextSweepAt[i]) {
			continue
		}
		removed, err := sweeper.Sweep(ctx, maxRowsPerSweep)
		if err != nil {
			s.log.Info("sweep failed", "rows", sweeper.Name(), "kind", sesamepitch.KindOf(err), "cause", err.Error())
		}
		if removed > 0 {
			s.log.Info("rows removed", "rows", sweeper.Name(), "count", removed)
		}
		if removed == 0 {
			s.nextSweepAt[i] = s.clock.Now().Add(idleDelay)
		}
	}
}
