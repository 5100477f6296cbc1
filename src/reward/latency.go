package reward

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of answers that Latency remembers.
	windowSize = 64
	// minAnswers is the number of answers from which on the observed latency
	// counts.
	minAnswers = 8
	// A call is late after lateFactor times the time that lateShare of the calls
	// take.
	lateFactor = 2
	lateShare  = 0.9
	// defaultLatency is the expected latency if neither route nor answers tell.
	defaultLatency = 400 * time.Millisecond
	// minPatience bounds the patience from below, above the delays of a busy
	// instance.
	minPatience = 80 * time.Millisecond
	// A try ends after timeoutFactor times the expected latency, within the bounds.
	timeoutFactor = 5
	minTimeout    = time.Second
	maxTimeout    = 5 * time.Second
)

// Latency learns how long answers take.
type Latency struct {
	window []time.Duration
	next   int
}

// Observe records the latency of an answer.
func (l *Latency) Observe(latency time.Duration) {
	if len(l.window) < windowSize {
		l.window = append(l.window, latency)
		return
	}
	l.window[l.next] = latency
	l.next = (l.next + 1) % windowSize
}

// Patience returns how long an endpoint may work on a call before another one
// gets it, too. expected is the latency to assume before any was observed, zero if
// not known.
func (l *Latency) Patience(expected time.Duration) time.Duration {
	if len(l.window) < minAnswers {
		return orDefault(expected)
	}
	sorted := slices.Clone(l.window)
	slices.Sort(sorted)
	late := sorted[int(lateShare*float64(len(sorted)-1))]
	return max(lateFactor*late, minPatience)
}

// Timeout returns after how long a try ends.
func Timeout(expected time.Duration) time.Duration {
	return min(max(timeoutFactor*orDefault(expected), minTimeout), maxTimeout)
}

func orDefault(expected time.Duration) time.Duration {
	if expected <= 0 {
		return defaultLatency
	}
	return expected
}
