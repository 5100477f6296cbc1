package answer

import "sync"

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

// expectEnd records that the answer's body ends with its connection. It is called before
// that body is read.
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
