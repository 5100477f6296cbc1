package lease

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	dialTimeout = time.Second
	// guardIdleTime is how long a connection is kept for the next call; orders to
	// one receiver come every few seconds.
	guardIdleTime = 9 * time.Second
)

var errNotHeld = errors.New("the lease is not held any more")

// guardedConn asks the lease right before each write, so that a process that
// was frozen between its decision and its send does not send.
type guardedConn struct {
	net.Conn
	lease *Lease
}

// Write sends b only while the lease is held.
func (c guardedConn) Write(b []byte) (int, error) {
	if _, _, held := c.lease.Held(); !held {
		_ = c.Close()
		return 0, &Error{Op: "lease.guard", Kind: sesamepitch.KindUnavailable, Err: errNotHeld}
	}
	return c.Conn.Write(b)
}

// NewTransport returns a transport whose connections send only while the lease is
// held. A connection is kept for the next call to the same receiver; one on which
// a call has failed is reset, so that what was not delivered never will be.
func NewTransport(l *Lease, source string) *http.Transport {
	dialer := sesamepitch.NewDialer(source, dialTimeout)
	return &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     guardIdleTime,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				if err := tcp.SetLinger(0); err != nil {
					_ = conn.Close()
					return nil, err
				}
			}
			return guardedConn{Conn: conn, lease: l}, nil
		},
	}
}
