package instance

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestIsolation cuts an instance off and heals it: what waits for the store ends
// with the cut, and callers are told how long the balancer still sends them here.
func TestIsolation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	i := newIsolation(clock)
	before, elsewhere := i.StoreReachable()
	assert.NilError(t, before.Err())
	assert.Equal(t, elsewhere, time.Duration(0))
	assert.Assert(t, !i.set(false), "nothing changed")
	assert.Assert(t, i.set(true))
	assert.Assert(t, !i.set(true), "nothing changed")
	assert.Assert(t, i.isSet())
	assert.Assert(t, before.Err() != nil)
	clock.Advance(time.Second)
	_, elsewhere = i.StoreReachable()
	assert.Equal(t, elsewhere, rotationTime-time.Second)
	clock.Advance(time.Minute)
	_, elsewhere = i.StoreReachable()
	assert.Equal(t, elsewhere, time.Duration(0))
	assert.Assert(t, i.set(false))
	after, _ := i.StoreReachable()
	assert.NilError(t, after.Err())
	assert.Assert(t, !i.isSet())
}
