// Package supervisor starts the goroutines of a daemon and restarts those
// that end early.
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

// Worker is one supervised task. It runs until its context ends.
type Worker struct {
	name string
	run  func(context.Context) error
}

// NewWorker names a task.
func NewWorker(name string, run func(context.Context) error) Worker {
	return Worker{name: name, run: run}
}

// Exit reports the end of one worker.
type Exit struct {
	Name string
	Err  error
}

// Tree runs workers side by side.
type Tree struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	workers []Worker
}

// New returns a tree of the given workers.
func New(clock sesamepitch.Clock, log logr.Logger, workers ...Worker) *Tree {
	return &Tree{clock: clock, log: log, workers: workers}
}

// Run starts all workers, restarts each that fails or panics, and returns
// when ctx has ended and every worker has reported its end.
func (t *Tree) Run(ctx context.Context) {
	exits := make(chan Exit)
	for _, worker := range t.workers {
		go t.start(ctx, worker, 0, exits)
	}
	running := len(t.workers)
	for running > 0 {
		exit := <-exits
		if ctx.Err() != nil {
			running--
			continue
		}
		t.log.Info("worker restarts", "worker", exit.Name, "cause", fmt.Sprint(exit.Err))
		go t.start(ctx, t.find(exit.Name), restartDelay, exits)
	}
}

func (t *Tree) find(name string) Worker {
	for _, worker := range t.workers {
		if worker.name == name {
			return worker
		}
	}
	return Worker{}
}

func (t *Tree) start(ctx context.Context, worker Worker, delay time.Duration, exits chan<- Exit) {
	if delay > 0 {
		select {
		case <-t.clock.After(delay):
		case <-ctx.Done():
		}
	}
	exits <- Exit{Name: worker.name, Err: protect(ctx, worker)}
}

// protect turns a panic into an error so that one worker cannot end the others.
func protect(ctx context.Context, worker Worker) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	return worker.run(ctx)
}

// Wake lets a worker go on that waits for the channel, which holds one signal; it
// never blocks.
func Wake(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Every calls task at once and then after each interval until ctx ends.
func Every(ctx context.Context, clock sesamepitch.Clock, interval time.Duration, task func(context.Context)) error {
	return EveryOr(ctx, clock, interval, nil, task)
}

// EveryOr calls task at once and then after each interval, or earlier when now
// receives, until ctx ends.
func EveryOr(ctx context.Context, clock sesamepitch.Clock, interval time.Duration, now <-chan struct{}, task func(context.Context)) error {
	for {
		task(ctx)
		select {
		case <-clock.After(interval):
		case <-now:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
