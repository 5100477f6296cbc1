package sesamepitch

import (
	"context"
	"net"
	"time"
)

// NewDialer returns a TCP dialer that connects from the source IP address. The
// system chooses the address if source is empty or not an IP address.
func NewDialer(source string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}

// DialContext connects to an address.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// WithReset returns a dial function whose TCP connections are closed with a reset.
// A reset discards what the receiver has not acknowledged. Otherwise the system
// sends it again even after the close, so that a request that was given up can
// arrive seconds later, when the network recovers.
func WithReset(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				_ = conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}
