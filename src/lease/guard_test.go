package lease_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"sesamepitch/src/lease"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestTransport sends calls through a transport of NewTransport: they share a
// connection while the lease is held, and nothing is sent after it has lapsed, not
// even on the idle connection.
func TestTransport(t *testing.T) {
	var connections, calls atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	clock := clockwork.NewFakeClock()
	l := lease.New(clock, &table{}, "lease", "a", "", lease.SettingsFor(3*time.Second))
	transport := lease.NewTransport(l, "")
	defer transport.CloseIdleConnections()
	call := func() error {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, http.NoBody)
		assert.NilError(t, err)
		response, err := transport.RoundTrip(request)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	assert.Assert(t, call() != nil, "the lease is not held yet")
	assert.NilError(t, l.Step(context.Background()))
	for range 3 {
		assert.NilError(t, call())
	}
	before := connections.Load()
	assert.Assert(t, before <= 2, "%d connections", before)
	clock.Advance(2 * time.Second)
	assert.Assert(t, call() != nil, "the lease has lapsed")
	assert.Equal(t, calls.Load(), int64(3))
}
