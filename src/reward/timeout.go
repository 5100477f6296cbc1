package reward

import "time"

const (
	// defaultLatency is the expected latency of a call whose route has no target.
	defaultLatency = 400 * time.Millisecond
	// MinPatience bounds the patience from below, above the delays of a busy
	// instance.
	MinPatience = 80 * time.Millisecond
	// A try ends after timeoutFactor times the expected latency, within the bounds.
	timeoutFactor = 5
	minTimeout    = time.Second
	maxTimeout    = 5 * time.Second
)

// ExpectedLatency returns the latency to assume of a route's calls before any was
// observed; target is the route's latency target, zero if not set.
func ExpectedLatency(target time.Duration) time.Duration {
	if target <= 0 {
		return defaultLatency
	}
	return target
}

// Timeout returns after how long a try ends.
func Timeout(target time.Duration) time.Duration {
	return min(max(timeoutFactor*ExpectedLatency(target), minTimeout), maxTimeout)
}
