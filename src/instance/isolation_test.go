package instance

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestIsolation isolates an instance and reconnects it. Its start must cancel the
// context of calls that wait for the store, and StoreReachable must return the
// time until the load balancer sends callers elsewhere.
func TestIsolation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	i := newIsolation(clock)
	connected, reroute := i.StoreReachable()
	assert.NilError(t, connected.Err())
	assert.Equal(t, reroute, time.Duration(0))
	assert.Assert(t, !i.set(false), "nothing changed")
	assert.Assert(t, i.set(true))
	assert.Assert(t, !i.set(true), "nothing changed")
	assert.Assert(t, i.isIsolated())
	assert.Assert(t, connected.Err() != nil)
	clock.Advance(time.Second)
	_, reroute = i.StoreReachable()
	assert.Equal(t, reroute, rerouteTime-time.Second)
	clock.Advance(time.Minute)
	_, reroute = i.StoreReachable()
	assert.Equal(t, reroute, time.Duration(0))
	assert.Assert(t, i.set(false))
	reconnected, _ := i.StoreReachable()
	assert.NilError(t, reconnected.Err())
	assert.Assert(t, !i.isIsolated())
}
