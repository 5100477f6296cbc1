// Package latency learns how long answers take, so that a call that is late for
// its fellows can be sent to another endpoint, too.
package latency

import (
	"slices"
	"sync"
	"time"
)

const (
	// windowSize is the number of answers that a Window remembers.
	windowSize = 64
	// minAnswers is the number of answers from which on the observed latency
	// counts.
	minAnswers = 8
	// A call is late after lateFactor times the time that lateShare of the calls
	// take.
	lateFactor = 2
	lateShare  = 0.9
)

// Window has the latencies of the last answers. Its zero value is empty; it is safe
// for concurrent use.
type Window struct {
	mu        sync.Mutex
	latencies []time.Duration
	next      int
}

// Observe records the latency of an answer.
func (w *Window) Observe(latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.latencies) < windowSize {
		w.latencies = append(w.latencies, latency)
		return
	}
	w.latencies[w.next] = latency
	w.next = (w.next + 1) % windowSize
}

// Patience returns after how long a call counts as late; initial applies while
// there are too few answers, and the result is at least minimum.
func (w *Window) Patience(initial, minimum time.Duration) time.Duration {
	late, known := w.Quantile(lateShare)
	if !known {
		return max(initial, minimum)
	}
	return max(lateFactor*late, minimum)
}

// Quantile returns the latency that a share of the answers does not exceed, and
// whether there are enough of them.
func (w *Window) Quantile(share float64) (latency time.Duration, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.latencies) < minAnswers {
		return 0, false
	}
	sorted := slices.Clone(w.latencies)
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1))], true
}
