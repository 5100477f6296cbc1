// Package retention removes rows and objects that have outlived their use: steps,
// calls, usage windows, notices. The process that holds the usage lease does it;
// a sweep by two at once does no harm.
package retention

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	sweepEvery = 2 * time.Second
	// perSweep bounds the rows of one sweep, so that sweeping takes a small part
	// of the table's rate.
	perSweep = 256
	// restTime is how long nothing is looked for where nothing was left.
	restTime = 5 * time.Minute
)

// Scheduler sweeps while this process holds the lease.
type Scheduler struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	held     func() bool
	sweepers []sesamepitch.Sweeper
	// restTill is when each sweeper is next asked.
	restTill []time.Time
}

// New returns a keeper; held tells whether this process is the one to sweep.
func New(clock sesamepitch.Clock, log logr.Logger, held func() bool, sweepers ...sesamepitch.Sweeper) *Scheduler {
	return &Scheduler{clock: clock, log: log, held: held, sweepers: sweepers, restTill: make([]time.Time, len(sweepers))}
}

// Workers returns the keeper's supervised task.
func (k *Scheduler) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("retention", func(ctx context.Context) error {
			return supervisor.Every(ctx, k.clock, sweepEvery, k.Tick)
		}),
	}
}

// Tick asks each sweeper that does not rest to sweep once.
func (k *Scheduler) Tick(ctx context.Context) {
	if !k.held() {
		return
	}
	for i, sweeper := range k.sweepers {
		if k.clock.Now().Before(k.restTill[i]) {
			continue
		}
		removed, err := sweeper.Sweep(ctx, perSweep)
		if err != nil {
			k.log.Info("sweep waits", "rows", sweeper.Name(), "kind", sesamepitch.KindOf(err), "cause", err.Error())
		}
		if removed > 0 {
			k.log.Info("rows removed", "rows", sweeper.Name(), "count", removed)
		}
		if removed == 0 {
			k.restTill[i] = k.clock.Now().Add(restTime)
		}
	}
}
