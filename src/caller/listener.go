// Package caller keeps the connections of callers within the memory and descriptors that
// they may take: callers are not under our control. When there is no room, connections
// make room that keep others waiting: those that say nothing, whose heads or bodies don't
// arrive, that are idle, or that don't take their answers.
package caller

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/memory"
)

const (
	// roomTimeout is how long a reservation waits for connections that were closed to
	// make room, and roomInterval the time between two looks.
	roomTimeout  = 300 * time.Millisecond
	roomInterval = 5 * time.Millisecond
	// evictedAtOnce is the number of connections that are closed before the next look.
	evictedAtOnce = 4
)

// Listener accepts connections within a share of the memory and a number.
type Listener struct {
	net.Listener
	clock    sesamepitch.Clock
	share    *memory.Share
	maxConns int
	// headLimit returns the limit of a request's head in bytes, zero for none.
	headLimit func() int

	mu   sync.Mutex
	open map[*Conn]struct{}

	evicted, refused atomic.Int64
}

// Option configures a Listener.
type Option func(*Listener)

// WithMaxConnections sets the number of connections that may be open; the default is
// bounded by memory alone.
func WithMaxConnections(n int) Option {
	return func(l *Listener) { l.maxConns = n }
}

// WithHeadLimit sets the function that returns the limit of a request's head in bytes,
// zero while none is known.
func WithHeadLimit(limit func() int) Option {
	return func(l *Listener) { l.headLimit = limit }
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(clock sesamepitch.Clock, from net.Listener, share *memory.Share, options ...Option) *Listener {
	l := &Listener{
		Listener: from, clock: clock, share: share, open: map[*Conn]struct{}{},
		headLimit: func() int { return 0 },
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Evicted returns the number of connections that were closed to make room.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Refused returns the number of connections that were closed at once since there was no
// room.
func (l *Listener) Refused() int64 { return l.refused.Load() }

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: raw, listener: l, since: l.clock.Now()}
		conn.tcp, _ = raw.(*net.TCPConn)
		if l.add(conn) {
			return conn, nil
		}
		l.refused.Add(1)
		_ = raw.Close()
	}
}

// add adds a connection if there is room for it.
func (l *Listener) add(conn *Conn) bool {
	if conn.tcp != nil && conn.tcp.SetReadBuffer(receiveBuffer) != nil {
		return false // the connection is closed already
	}
	fits := func() bool { return l.hasPlace() && l.share.TryReserve(connectionBytes, connectionBytes) }
	if !fits() && !l.makeRoom(conn, anyPhase, fits) {
		return false
	}
	conn.reserved = connectionBytes
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return true
}

// hasPlace reports whether the number of connections allows another one.
func (l *Listener) hasPlace() bool { return l.maxConns <= 0 || l.Open() < l.maxConns }

func (l *Listener) remove(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// anyPhase selects all connections that may be closed to make room.
func anyPhase(phase) bool { return true }

// makeRoom closes connections of some phases until fits reports that there is room for
// one. It waits until what they held is given back, but not longer than roomTimeout.
func (l *Listener) makeRoom(conn *Conn, wanted func(phase) bool, fits func() bool) bool {
	deadline := l.clock.Now().Add(roomTimeout)
	for {
		evicted := l.evict(conn, wanted)
		if fits() {
			return true
		}
		if evicted == 0 && l.pending() == 0 || l.clock.Now().After(deadline) {
			return false
		}
		<-l.clock.After(roomInterval)
	}
}

// pending returns the number of connections that were closed to make room and still hold
// their memory.
func (l *Listener) pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for conn := range l.open {
		if conn.isEvicted() {
			n++
		}
	}
	return n
}

// evict closes some connections of the phases wanted, other than keep, and returns their
// number.
func (l *Listener) evict(keep *Conn, wanted func(phase) bool) int {
	candidates := slices.DeleteFunc(l.standings(keep), func(s standing) bool { return !wanted(s.phase) })
	slices.SortFunc(candidates, func(a, b standing) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.since.Compare(b.since)
	})
	candidates = candidates[:min(evictedAtOnce, len(candidates))]
	for _, candidate := range candidates {
		l.evicted.Add(1)
		candidate.conn.evict()
	}
	return len(candidates)
}

// standings returns the connections that may be closed.
func (l *Listener) standings(keep *Conn) []standing {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates []standing
	for conn := range l.open {
		if conn == keep {
			continue
		}
		if s, ok := conn.standing(now); ok {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// EvictUnread closes connections whose callers don't take their answers, and reports
// whether there were any.
func (l *Listener) EvictUnread() bool {
	return l.evict(nil, func(p phase) bool { return p == phaseServing }) > 0
}

type connKey struct{}

// Server returns an HTTP server for the listener's connections.
func (l *Listener) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: l.track(handler),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*Conn); ok && state == http.StateIdle {
				c.becomeIdle()
			}
		},
	}
}

// track follows the phases of requests.
func (l *Listener) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r.Context())
		if conn != nil {
			conn.serve()
			defer conn.set(phaseEnded)
		}
		next.ServeHTTP(w, r)
	})
}

// connOf returns the connection of a request, nil if it is not a listener's.
func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
