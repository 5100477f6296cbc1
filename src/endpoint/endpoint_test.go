package endpoint_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/endpoint"

	"gotest.tools/v3/assert"
)

// rawEndpoint answers each request with a text, before it has read the request's body, and
// ends the connection as end does.
func rawEndpoint(t *testing.T, answer string, end func(*net.TCPConn)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestResetUploadLooksComplete guards against an answer without a length whose connection
// is reset while the upload is written, and whose part is taken for a service's response.
func TestResetUploadLooksComplete(t *testing.T) {
	const uploadBytes = 8 << 20
	reset := func(conn *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	read := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	cases := []struct {
		name  string
		end   func(*net.TCPConn)
		whole bool
	}{
		{"reset", reset, false},
		{"rest of the upload read", read, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := rawEndpoint(t, "HTTP/1.1 200 OK\r\n\r\npart", c.end)
			for range 5 {
				response, err := endpoint.New().Invoke(context.Background(), address, endpoint.Call{ID: "a", Method: http.MethodPost, Path: "/x", Body: make([]byte, uploadBytes)})
				if c.whole {
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), "part")
					continue
				}
				assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnknown, "%v", err)
			}
		})
	}
}

// headReaders are the readers of answers. Each accepts one with a status of 200 and its body.
var headReaders = []struct {
	name, body string
	read       func(c *endpoint.Client, address string) error
}{
	{"service", "answer", func(c *endpoint.Client, address string) error {
		_, err := c.Invoke(context.Background(), address, endpoint.Call{ID: "a", Method: http.MethodPost, Path: "/x"})
		return err
	}},
	{"judge", `{"score":1}`, func(c *endpoint.Client, address string) error {
		_, err := c.Judge(context.Background(), address, "a", "prompt", "text")
		return err
	}},
	{"engine's stream", "data: {\"id\":\"a\"}\n\ndata: [DONE]\n\n", func(c *endpoint.Client, address string) error {
		return c.Complete(context.Background(), address, endpoint.Completion{ID: "a", Model: "coach"}, func(endpoint.Chunk) error { return nil })
	}},
	{"engine's load", "{}", func(c *endpoint.Client, address string) error {
		_, err := c.ReadLoad(context.Background(), address)
		return err
	}},
}

// readHeads checks whether readers accept an answer whose head has a status line and lines.
func readHeads(t *testing.T, statusLine, lines string, accepted bool) {
	t.Helper()
	for _, reader := range headReaders {
		t.Run(statusLine+", "+reader.name, func(t *testing.T) {
			text := fmt.Sprintf("%s\r\nContent-Length: %d\r\n%s\r\n%s", statusLine, len(reader.body), lines, reader.body)
			address := rawEndpoint(t, text, func(conn *net.TCPConn) { _ = conn.Close() })
			err := reader.read(endpoint.New(), address)
			assert.Equal(t, err == nil, accepted, "%v", err)
		})
	}
}

// TestStatusOfNoAnswer guards against a status that no answer has being taken for one.
func TestStatusOfNoAnswer(t *testing.T) {
	readHeads(t, "HTTP/1.1 200 OK", "", true)
	for _, statusLine := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/9.9 200 OK"} {
		readHeads(t, statusLine, "", false)
	}
}

// TestBrokenFieldName guards against an answer in whose head the name of a field holds a blank
// or a control byte.
func TestBrokenFieldName(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", " X-Odd: 1", "X\x01Odd: 1", "Transfer-Encoding : chunked"} {
		readHeads(t, "HTTP/1.1 200 OK", line+"\r\n", false)
	}
}
