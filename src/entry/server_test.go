package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/step"

	"gotest.tools/v3/assert"
)

// TestReaderThatStopsIsGivenUp guards against a trainer that stops reading its
// step's stream and so blocks the step. The write must time out.
func TestReaderThatStopsIsGivenUp(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writer := &stepWriter{writer: w, controller: http.NewResponseController(w), clock: sesamepitch.SystemClock{}, writeTimeout: 200 * time.Millisecond}
		var err error
		for err == nil {
			err = writer.Deliver(step.Sample{Text: strings.Repeat("coat ", 1<<16)})
		}
		ended <- err
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	select {
	case err := <-ended:
		assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindTimeout)
	case <-time.After(10 * time.Second):
		t.Fatal("the stream did not end")
	}
}

func TestMemory(t *testing.T) {
	const limit = 100
	m := newBodyMemory()
	assert.Assert(t, m.reserve("coaching", 50, limit))
	assert.Assert(t, !m.reserve("coaching", 1, limit), "exceeds the workspace's share")
	assert.Assert(t, m.reserve("field", 40, limit))
	assert.Assert(t, !m.reserve("other", 11, limit), "exceeds the limit")
	m.free("coaching", 50)
	assert.Assert(t, m.reserve("other", 50, limit))
}
