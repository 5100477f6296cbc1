package sesamepitch

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a Clock that also counts the time that the instance was
// suspended. Steps of the time of day do not move it. Leases are measured on
// it.
type BootClock struct {
	start  time.Time
	booted time.Duration
}

// NewBootClock returns a clock that starts at the time of day.
func NewBootClock() *BootClock {
	return &BootClock{start: time.Now().Round(0), booted: sinceBoot()}
}

// Now returns the time of day at the clock's start plus the time since then.
func (c *BootClock) Now() time.Time { return c.start.Add(sinceBoot() - c.booted) }

// After is time.After.
func (c *BootClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // Linux has this clock since 2.6.39
	}
	return time.Duration(now.Nano())
}
