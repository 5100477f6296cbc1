package sesamepitch

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a Clock based on CLOCK_BOOTTIME: it also advances while the
// instance is suspended, and adjustments of the wall clock do not affect it.
// Leases are timed with it.
type BootClock struct {
	start  time.Time
	booted time.Duration
}

// NewBootClock returns a clock that starts at the current wall-clock time.
func NewBootClock() *BootClock {
	return &BootClock{start: time.Now().Round(0), booted: sinceBoot()}
}

// Now returns the wall-clock time at the clock's start plus the time elapsed
// since then.
func (c *BootClock) Now() time.Time { return c.start.Add(sinceBoot() - c.booted) }

// After sends the time on the returned channel once d has passed, like
// time.After.
func (c *BootClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // available since Linux 2.6.39
	}
	return time.Duration(now.Nano())
}
