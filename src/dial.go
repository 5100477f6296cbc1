package sesamepitch

import (
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
