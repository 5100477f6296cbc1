// Package peer makes and serves net/rpc calls between daemons.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/memory"
)

const dialTimeout = 700 * time.Millisecond

// Dialer calls peers over one shared connection per address, and serves their
// calls.
type Dialer struct {
	mu      sync.Mutex
	clients map[string]*rpc.Client
	traffic *Traffic
	dialer  *net.Dialer
	// messages is the memory for the messages of other instances' calls, maxConns the
	// number of connections that are accepted; nil and zero for no limit.
	messages *memory.Share
	maxConns int
}

// Option configures a Dialer.
type Option func(*Dialer)

// WithMemory sets the memory for the messages of other instances' calls.
func WithMemory(share *memory.Share) Option {
	return func(d *Dialer) { d.messages = share }
}

// WithMaxConnections sets the number of connections that are accepted.
func WithMaxConnections(n int) Option {
	return func(d *Dialer) { d.maxConns = n }
}

// Traffic counts the bytes sent and received on connections between daemons.
type Traffic struct {
	sent, received atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn and counts the bytes received.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// NewDialer returns a Dialer that connects from the source IP address. The system
// chooses the address if source is empty.
func NewDialer(source string, options ...Option) *Dialer {
	d := &Dialer{clients: map[string]*rpc.Client{}, traffic: &Traffic{}, dialer: sesamepitch.NewDialer(source, dialTimeout)}
	for _, option := range options {
		option(d)
	}
	return d
}

// Traffic returns the byte counts of all connections, dialed and accepted.
func (d *Dialer) Traffic() *Traffic { return d.traffic }

// Call calls a method of the peer at address. KindUnavailable means that the call
// was not sent, KindUnknown that no response was received.
func (d *Dialer) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := d.client(ctx, address)
	if err != nil {
		return &Error{Op: method, Kind: sesamepitch.KindUnavailable, Err: err}
	}
	// The response may still be decoded after ctx has ended, so it is not decoded
	// into reply directly.
	response := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, response.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(response.Elem())
		}
	case <-ctx.Done():
		// After a timeout the connection may be broken; a cancellation says nothing
		// about it.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.drop(address, client)
		}
		return &Error{Op: method, Kind: sesamepitch.KindUnknown, Err: ctx.Err()}
	}
	return d.callError(address, method, client, call.Error)
}

// callError returns the error of a completed call with its kind, and drops the
// connection unless the peer responded.
func (d *Dialer) callError(address, method string, client *rpc.Client, err error) error {
	var serverError rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &serverError):
		return &Error{Op: method, Kind: sesamepitch.KindInternal, Err: err}
	case errors.Is(err, rpc.ErrShutdown):
		d.drop(address, client)
		return &Error{Op: method, Kind: sesamepitch.KindUnavailable, Err: err}
	default:
		d.drop(address, client)
		return &Error{Op: method, Kind: sesamepitch.KindUnknown, Err: err}
	}
}

// client returns the connection to the peer at address, dialing it if there is
// none.
func (d *Dialer) client(ctx context.Context, address string) (*rpc.Client, error) {
	d.mu.Lock()
	client := d.clients[address]
	d.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := d.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(&messageConn{Conn: countingConn{Conn: conn, traffic: d.traffic}, limit: maxReplyBytes})
	d.mu.Lock()
	defer d.mu.Unlock()
	if other := d.clients[address]; other != nil {
		_ = client.Close()
		return other, nil
	}
	d.clients[address] = client
	return client, nil
}

// drop closes a connection and removes it, so that the next call dials again.
func (d *Dialer) drop(address string, client *rpc.Client) {
	d.mu.Lock()
	if d.clients[address] == client {
		delete(d.clients, address)
	}
	d.mu.Unlock()
	_ = client.Close()
}

// Close closes all dialed connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, client := range d.clients {
		_ = client.Close()
		delete(d.clients, address)
	}
}

// Serve serves calls of peers on listener until ctx ends.
func (d *Dialer) Serve(ctx context.Context, listener net.Listener, server *rpc.Server) error {
	open := &connectionSet{set: map[*accepted]bool{}, most: d.maxConns}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		open.closeAll()
	})
	defer stop()
	for {
		raw, err := listener.Accept()
		if err != nil {
			return err
		}
		conn := &accepted{Conn: countingConn{Conn: raw, traffic: d.traffic}, order: open.next()}
		if !open.add(conn) {
			_ = conn.Close()
			continue
		}
		go func() {
			messages := &messageConn{Conn: conn, limit: maxRequestBytes, share: d.messages}
			server.ServeConn(messages)
			messages.release()
			open.remove(conn)
		}()
	}
}

// accepted is an accepted connection.
type accepted struct {
	net.Conn
	// order is the position among all accepted ones.
	order uint64
	// spoke is set once the other side has sent something.
	spoke atomic.Bool
}

// Read implements net.Conn.
func (a *accepted) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	if n > 0 {
		a.spoke.Store(true)
	}
	return n, err
}

// connectionSet is the set of accepted connections that are still open.
type connectionSet struct {
	mu     sync.Mutex
	closed bool
	set    map[*accepted]bool
	// most is the number of connections that may be open; zero for no limit.
	most  int
	count uint64
}

// next returns the position of the next connection.
func (c *connectionSet) next() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.count
}

// add adds a connection. Without a place for it, the connection that has been silent
// longest makes room.
func (c *connectionSet) add(conn *accepted) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.most > 0 && len(c.set) >= c.most {
		silent := c.silent()
		if silent == nil {
			return false
		}
		delete(c.set, silent)
		_ = silent.Close()
	}
	c.set[conn] = true
	return true
}

// silent returns the oldest connection on which nothing was received, nil if there is
// none.
func (c *connectionSet) silent() *accepted {
	var oldest *accepted
	for conn := range c.set {
		if !conn.spoke.Load() && (oldest == nil || conn.order < oldest.order) {
			oldest = conn
		}
	}
	return oldest
}

func (c *connectionSet) remove(conn *accepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.set, conn)
}

func (c *connectionSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.set {
		_ = conn.Close()
	}
}
