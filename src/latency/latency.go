// Package latency learns how long answers take, so that a call that is late for
// its fellows can be sent to another endpoint, too.
package latency

import (
	"sync"
	"time"

	"sesamepitch/src/recent"
)

const (
	// A call is late after lateFactor times the time that lateShare of the calls
	// take.
	lateFactor = 2
	lateShare  = 0.9
)

// Window has the latencies of the last answers. Its zero value is empty; it is safe
// for concurrent use.
type Window struct {
	mu        sync.Mutex
	latencies recent.Values[time.Duration]
	// late is the time from which on a call counts as late; zero while there are
	// too few answers.
	late time.Duration
}

// Observe records the latency of an answer.
func (w *Window) Observe(latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latencies.Add(latency)
	if sorted, enough := w.latencies.Sorted(); enough {
		w.late = lateFactor * sorted[int(lateShare*float64(len(sorted)-1))]
	}
}

// Patience returns after how long a call counts as late; initial applies while
// there are too few answers, and the result is at least minimum.
func (w *Window) Patience(initial, minimum time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late == 0 {
		return max(initial, minimum)
	}
	return max(w.late, minimum)
}
