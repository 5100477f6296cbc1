package instance

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestPauseGuard pauses the process: nobody is admitted from the first request
// after the pause until the configuration was read by a call that began later, or
// for a time if the store does not answer.
func TestPauseGuard(t *testing.T) {
	clock := clockwork.NewFakeClock()
	guard := newPauseGuard(clock)
	for range 20 {
		clock.Advance(pauseCheckInterval)
		assert.Assert(t, guard.isFresh(), "a busy process is not a paused one")
	}
	before := clock.Now()
	clock.Advance(4 * time.Second)
	assert.Assert(t, !guard.isFresh())
	guard.refreshed(before)
	assert.Assert(t, !guard.isFresh(), "read by a call from before the pause")
	clock.Advance(pauseCheckInterval)
	guard.refreshed(clock.Now())
	assert.Assert(t, guard.isFresh())

	clock.Advance(4 * time.Second)
	for waited := time.Duration(0); waited <= maxRefresh; waited += pauseCheckInterval {
		assert.Assert(t, !guard.isFresh(), "after %s", waited)
		clock.Advance(pauseCheckInterval)
	}
	assert.Assert(t, guard.isFresh(), "the store does not answer: served as during an outage")
}
