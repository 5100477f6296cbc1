package lease

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/answer"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept for the next call; calls to
	// one receiver are a few seconds apart.
	idleTimeout = 9 * time.Second
)

var errNotHeld = errors.New("the lease is not held")

// guardedConn checks the lease immediately before each write, so that a process
// that was paused between the decision to send and the write does not send after
// its lease has ended.
type guardedConn struct {
	net.Conn
	lease *Lease
}

// NetConn returns the connection below.
func (c guardedConn) NetConn() net.Conn { return c.Conn }

// Write writes b if the lease is held; otherwise it closes the connection and fails
// with KindUnavailable.
func (c guardedConn) Write(b []byte) (int, error) {
	if _, _, held := c.lease.Held(); !held {
		_ = c.Close()
		return 0, &Error{Op: "lease.guard", Kind: sesamepitch.KindUnavailable, Err: errNotHeld}
	}
	return c.Conn.Write(b)
}

// NewTransport returns a transport that sends from the source IP address, and only
// while the lease is held. One idle connection to each receiver is kept. A
// connection is closed with a reset, which discards unsent data, so that a failed
// call is not delivered later.
func NewTransport(l *Lease, source string) *answer.Transport {
	dial := sesamepitch.WithReset(sesamepitch.NewDialer(source, dialTimeout).DialContext)
	return answer.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return guardedConn{Conn: conn, lease: l}, nil
		},
	})
}
