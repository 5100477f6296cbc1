package answer

import (
	"net/http"
	"sync"
)

// exchange is a request on a connection, and its answer.
type exchange struct {
	conn *conn

	mu   sync.Mutex
	head head
	// written is set once the request was written, or could not be for writeErr.
	written  bool
	writeErr error
	// endsWithConn is set if the answer's body ends with its connection.
	endsWithConn bool
}

// read checks bytes of the answer.
func (x *exchange) read(part []byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.head.read(part)
}

// hasHead reports whether a head has arrived since the request was given its connection.
func (x *exchange) hasHead() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.head.state == behindHead
}

// accept checks the answer, and prepares the checks of its body's end. It is called before
// that body is read.
func (x *exchange) accept(response *http.Response) error {
	if !x.hasHead() {
		_ = x.conn.Close() // the answer to this request may still come there
		return headError("the answer arrived before its request had the connection")
	}
	switch {
	case !IsFramed(response):
		x.expectEnd()
	case isChunked(response):
		response.Body = trailerReader{response.Body, response, x.conn}
	}
	return nil
}

// endWrite records that the request has been written, or why it could not be.
func (x *exchange) endWrite(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written, x.writeErr = true, err
}

// writeState returns whether the request has been written, and why it could not be.
func (x *exchange) writeState() (written bool, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.written, x.writeErr
}

// expectEnd records that the answer's body ends with its connection.
func (x *exchange) expectEnd() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endsWithConn = true
}

// isEnd reports whether the connection's end is that of the answer.
func (x *exchange) isEnd() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endsWithConn
}
