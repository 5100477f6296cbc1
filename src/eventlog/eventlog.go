// Package eventlog writes log lines without blocking the process. Lines that
// exceed the rate limit, or that arrive while the queue is full, are dropped
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
	// queueCapacity bounds the number of lines waiting for the output.
	queueCapacity = 2048
	// maxLinesPerSecond bounds the log volume under load.
	maxLinesPerSecond = 1500
)

// Writer is an io.Writer that queues one line per call.
type Writer struct {
	clock   sesamepitch.Clock
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64

	mu sync.Mutex
	// second is the Unix time of the last line, and lines the number of lines in it.
	second int64
	lines  int
}

// New returns a Writer that writes to out while Run is running.
func New(clock sesamepitch.Clock, out io.Writer) *Writer {
	return &Writer{clock: clock, out: out, queue: make(chan []byte, queueCapacity)}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write queues a copy of the line, or drops it and still reports success.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow() {
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

// allow counts a line and reports whether it is within the rate limit.
func (w *Writer) allow() bool {
	second := w.clock.Now().Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.lines = second, 0
	}
	w.lines++
	return w.lines <= maxLinesPerSecond
}

// Run writes queued lines until ctx ends, and then the rest of the queue. When the
// queue is empty, it also writes how many lines have been dropped.
func (w *Writer) Run(ctx context.Context) error {
	reported := int64(0)
	for {
		select {
		case line := <-w.queue:
			_, _ = w.out.Write(line) // a failing log output cannot be reported
		case <-ctx.Done():
			return w.writeQueued(ctx)
		}
		if dropped := w.Dropped(); dropped != reported && len(w.queue) == 0 {
			reported = dropped
			_, _ = fmt.Fprintf(w.out, "time=%s level=INFO msg=\"log lines dropped\" total=%d\n", w.clock.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

func (w *Writer) writeQueued(ctx context.Context) error {
	for {
		select {
		case line := <-w.queue:
			_, _ = w.out.Write(line) // a failing log output cannot be reported
		default:
			return ctx.Err()
		}
	}
}
