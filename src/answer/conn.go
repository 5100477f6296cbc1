package answer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	sesamepitch "sesamepitch/src"

	"golang.org/x/sys/unix"
)

const (
	// settleTime is how long the end of an answer waits for a reset while its request is
	// still on the way. It exceeds a round trip and a retransmission.
	settleTime = time.Second
	// settleInterval is the time between two looks at the connection.
	settleInterval = 2 * time.Millisecond
	// tcpClosed is the kernel's TCP_CLOSE: the state of a socket whose connection was reset.
	tcpClosed = 7
)

// errReset is the cause of errors for connections that were reset at an answer's end.
var errReset = errors.New("the connection was reset at the end of an answer without a length")

// conn is a connection whose answers are checked.
type conn struct {
	net.Conn
	clock sesamepitch.Clock
	// raw gives access to the socket; nil if there is none.
	raw     syscall.RawConn
	current atomic.Pointer[exchange]
}

func newConn(dialled net.Conn, clock sesamepitch.Clock) *conn {
	c := &conn{Conn: dialled, clock: clock, raw: rawConn(dialled)}
	c.current.Store(&exchange{conn: c})
	return c
}

// rawConn returns the access to the socket below a connection and its wrappers.
func rawConn(c net.Conn) syscall.RawConn {
	for {
		if socket, ok := c.(syscall.Conn); ok {
			raw, err := socket.SyscallConn()
			if err != nil {
				return nil // only without a socket
			}
			return raw
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// begin returns the exchange of the next request.
func (c *conn) begin(reused bool) *exchange {
	if reused {
		c.current.Store(&exchange{conn: c})
	}
	return c.current.Load()
}

// Read reads the next bytes. It fails at a head that no answer has, so that nothing in it
// is believed. It fails with io.EOF only if the other side ended the connection in the
// regular way, or if nothing depends on it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	x := c.current.Load()
	if broken := x.read(b[:n]); broken != nil {
		return 0, broken
	}
	if err == io.EOF && x.isEnd() {
		return n, c.confirmEnd(x)
	}
	return n, err
}

// confirmEnd returns io.EOF if an answer ended in the regular way, and an error if its
// connection was reset. The system reports a reset only once, to the read or to the write
// that asks first, and the other one sees a regular end; so the connection is asked itself.
// While the request is still on the way, the reset may be yet to come.
func (c *conn) confirmEnd(x *exchange) error {
	deadline := c.clock.Now().Add(settleTime)
	for {
		written, writeErr := x.writeState()
		if writeErr != nil {
			return resetError(writeErr)
		}
		delivered, err := c.look()
		if err != nil {
			return resetError(err)
		}
		if written && delivered || !c.clock.Now().Before(deadline) {
			return io.EOF
		}
		<-c.clock.After(settleInterval)
	}
}

func resetError(cause error) error {
	return &Error{Op: "answer.read", Kind: sesamepitch.KindCrashed, Err: fmt.Errorf("%w: %w", errReset, cause)}
}

// look reports whether the other side has all that was written so far. It fails if the
// connection was reset, or closed by this process.
func (c *conn) look() (delivered bool, err error) {
	if c.raw == nil {
		return true, nil
	}
	var info *unix.TCPInfo
	var unsupported error
	err = c.raw.Control(func(socket uintptr) {
		info, unsupported = unix.GetsockoptTCPInfo(int(socket), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return false, err
	case unsupported != nil:
		return true, nil // the request's write tells what can be told
	case info.State == tcpClosed:
		return false, unix.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
