package sesamepitch

import "time"

// Clock provides the current time and timers; tests use a fake one.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After sends the time on the returned channel once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the system's time.
func (SystemClock) Now() time.Time { return time.Now() }

// After sends the time on the returned channel once d has passed, like
// time.After.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
