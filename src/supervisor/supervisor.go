// Package supervisor runs the goroutines of a daemon and restarts those that end
// while the daemon runs.
package supervisor

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	sesamepitch "sesamepitch/src"

	"github.com/go-logr/logr"
)

const restartDelay = 200 * time.Millisecond

// Worker is a supervised goroutine, which runs until its context ends.
type Worker struct {
	name string
	run  func(context.Context) error
}

// NewWorker returns a worker with a name that is unique in its tree.
func NewWorker(name string, run func(context.Context) error) Worker {
	return Worker{name: name, run: run}
}

// Exit is the end of a worker's run. Err is its error, or the panic that ended it.
type Exit struct {
	Name string
	Err  error
}

// Tree runs workers concurrently.
type Tree struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	workers []Worker
}

// New returns a tree that runs workers.
func New(clock sesamepitch.Clock, log logr.Logger, workers ...Worker) *Tree {
	return &Tree{clock: clock, log: log, workers: workers}
}

// Run starts all workers and restarts each that returns or panics before ctx
// ends, after restartDelay. It returns when ctx has ended and all workers have
// returned.
func (t *Tree) Run(ctx context.Context) {
	exits := make(chan Exit)
	for _, worker := range t.workers {
		go t.runWorker(ctx, worker, 0, exits)
	}
	running := len(t.workers)
	for running > 0 {
		exit := <-exits
		if ctx.Err() != nil {
			running--
			continue
		}
		t.log.Info("worker ended early, restarting", "worker", exit.Name, "cause", fmt.Sprint(exit.Err))
		go t.runWorker(ctx, t.worker(exit.Name), restartDelay, exits)
	}
}

func (t *Tree) worker(name string) Worker {
	for _, worker := range t.workers {
		if worker.name == name {
			return worker
		}
	}
	return Worker{}
}

func (t *Tree) runWorker(ctx context.Context, worker Worker, delay time.Duration, exits chan<- Exit) {
	if delay > 0 {
		select {
		case <-t.clock.After(delay):
		case <-ctx.Done():
		}
	}
	exits <- Exit{Name: worker.name, Err: Guard(func() error { return worker.run(ctx) })}
}

// Guard calls task and returns a panic as an error, so that it costs only this task
// and not the process.
func Guard(task func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	return task()
}

// Wake signals a channel of capacity one. It never blocks; a signal that is not
// yet received absorbs further ones.
func Wake(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Every calls task immediately and then after each interval until ctx ends.
func Every(ctx context.Context, clock sesamepitch.Clock, interval time.Duration, task func(context.Context)) error {
	return EveryOr(ctx, clock, interval, nil, task)
}

// EveryOr calls task immediately and then after each interval, or earlier on a
// signal on wake, until ctx ends.
func EveryOr(ctx context.Context, clock sesamepitch.Clock, interval time.Duration, wake <-chan struct{}, task func(context.Context)) error {
	for {
		task(ctx)
		select {
		case <-clock.After(interval):
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
