package answer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// readAll passes a text to a head, whole or a byte at a time.
func readAll(h *head, text string, whole bool) error {
	if whole {
		return h.read([]byte(text))
	}
	for i := range len(text) {
		if err := h.read([]byte(text[i : i+1])); err != nil {
			return err
		}
	}
	return nil
}

// TestHead checks heads that arrive whole or a byte at a time.
func TestHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, text string
		// cause is a part of the error; empty for a sound head.
		cause string
		// ends is set if the head has arrived completely.
		ends bool
	}{
		{"sound", ok + "A: 1\r\nB: 2\r\n\r\nbody : with\x01 anything", "", true},
		{"no fields", ok + "\r\n", "", true},
		{"lines end with LF", "HTTP/1.1 200 OK\nA: 1\n\nbody", "", true},
		{"no reason", "HTTP/1.0 404\r\n\r\n", "", true},
		{"not complete", ok + "A: 1\r\n", "", false},
		{"nothing", "", "", false},
		{"interim answer alone", "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n", "", false},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n" + ok + "\r\nbody", "", true},
		{"broken head behind an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", `status "000"`, false},
		{"status 000", "HTTP/1.1 000 OK\r\n", `status "000"`, false},
		{"status without digits", "HTTP/1.1 OK\r\n", `status "OK"`, false},
		{"long status line", "HTTP/1.1 200 " + strings.Repeat("x", 10000) + "\r\n\r\n", "", true},
		{"version", "HTTP/9.9 200 OK\r\n", "HTTP/9.9 200 OK", false},
		{"no status line", "garbage\r\n", "garbage", false},
		{"CR within the last line", ok + "\rA: 1\r\n", "CR", false},
		{"blank in a name", ok + "X Odd: 1\r\n", `byte ' ' in the name of a field, behind "X"`, false},
		{"blank before the colon", ok + "X-Odd : 1\r\n", `byte ' ' in the name of a field, behind "X-Odd"`, false},
		{"blank before a name", ok + "A: 1\r\n X-Odd: 1\r\n", `byte ' ' in the name of a field, behind ""`, false},
		{"control byte in a name", ok + "X\x00Odd: 1\r\n", `byte '\x00'`, false},
		{"no name", ok + ": 1\r\n", "byte ':'", false},
		{"no colon", ok + "X-Odd\r\n", `byte '\r'`, false},
		{"name in the head of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n", "byte ' '", false},
		{"long name", ok + strings.Repeat("x", 10000) + " : 1\r\n", "byte ' '", false},
	}
	for _, c := range cases {
		for _, whole := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				var h head
				err := readAll(&h, c.text, whole)
				assert.Equal(t, h.state == behindHead, c.ends)
				if c.cause == "" {
					assert.NilError(t, err)
					return
				}
				assert.ErrorContains(t, err, c.cause)
				assert.ErrorContains(t, h.read([]byte(ok+"\r\n")), c.cause, "a broken head stays broken")
			})
		}
	}
}

// TestAnswerBeforeRequest checks that a request does not get a head that arrived before it
// had the connection.
func TestAnswerBeforeRequest(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	c := newConn(nil, nil)
	first := c.begin(false)
	assert.NilError(t, first.read([]byte(text+text)))
	assert.Assert(t, first.hasHead())
	second := c.begin(true)
	assert.Assert(t, !second.hasHead())
	assert.NilError(t, second.read([]byte(text)))
	assert.Assert(t, second.hasHead())
}

// FuzzHead checks that net/http reads nothing out of an accepted head that no answer has.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody")
	f.Add("HTTP/1.0 404\nContent-Length: 3\n\nabc")
	f.Add("HTTP/1.1 000 OK\r\nX Y: 1\r\n fold\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var h head
		if h.read([]byte(text)) != nil || h.state != behindHead || strings.HasPrefix(text, "HTTP/1.1 1") || strings.HasPrefix(text, "HTTP/1.0 1") {
			return
		}
		reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		assert.Assert(t, response.StatusCode >= http.StatusOK && response.StatusCode <= maxStatus, "%q", text)
		assert.Equal(t, response.ProtoMajor, 1)
		for name := range response.Header {
			assert.Assert(t, isName(name), "%q of %q", name, text)
		}
	})
}
