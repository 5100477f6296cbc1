package sesamepitch

import (
	"net"
	"time"
)

// NewDialer returns a TCP dialer that sends from the source IP; any if empty
// or not an IP.
func NewDialer(source string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}
