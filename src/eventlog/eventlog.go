// Package eventlog writes structured log lines without ever blocking the
// process: lines beyond a rate, or beyond what the output takes, are dropped
// and counted.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	// queueLines is how many lines wait for the output.
	queueLines = 2048
	// linesPerSecond bounds the volume under load.
	linesPerSecond = 1500
)

// Writer is an io.Writer that takes one line for each call.
type Writer struct {
	clock   sesamepitch.Clock
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	lines  int
}

// New returns a writer to out; Run must run for lines to be written.
func New(clock sesamepitch.Clock, out io.Writer) *Writer {
	return &Writer{clock: clock, out: out, queue: make(chan []byte, queueLines)}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write queues a line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.mayWrite() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) mayWrite() bool {
	second := w.clock.Now().Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.lines = second, 0
	}
	w.lines++
	return w.lines <= linesPerSecond
}

// Run writes lines until ctx ends, and then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	told := int64(0)
	for {
		select {
		case line := <-w.queue:
			_, _ = w.out.Write(line) // there is nowhere to report a lost output
		case <-ctx.Done():
			return w.drain(ctx)
		}
		if dropped := w.Dropped(); dropped != told && len(w.queue) == 0 {
			told = dropped
			_, _ = fmt.Fprintf(w.out, "time=%s level=INFO msg=\"log lines dropped\" total=%d\n", w.clock.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

func (w *Writer) drain(ctx context.Context) error {
	for {
		select {
		case line := <-w.queue:
			_, _ = w.out.Write(line) // there is nowhere to report a lost output
		default:
			return ctx.Err()
		}
	}
}
