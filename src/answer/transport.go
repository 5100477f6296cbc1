// Package answer reads the answers of endpoints and of the platform: their heads are those
// of HTTP/1, and an answer that ends with its connection is whole only if that connection
// was not reset.
package answer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"

	sesamepitch "sesamepitch/src"
)

// Transport is a http.RoundTripper that checks the answers it reads.
type Transport struct {
	inner *http.Transport
	clock sesamepitch.Clock
}

// Option configures a Transport.
type Option func(*Transport)

// WithClock sets the clock that bounds how long an answer's end may stay open; the default is
// the system's.
func WithClock(clock sesamepitch.Clock) Option {
	return func(t *Transport) { t.clock = clock }
}

// NewTransport returns a transport that sends requests through inner, which belongs to it
// from then on.
func NewTransport(inner *http.Transport, options ...Option) *Transport {
	t := &Transport{inner: inner, clock: sesamepitch.SystemClock{}}
	for _, option := range options {
		option(t)
	}
	dial := inner.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(dialled, t.clock), nil
	}
	return t
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var current atomic.Pointer[exchange]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { current.Store(info.Conn.(*conn).begin(info.Reused)) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { current.Load().endWrite(info.Err) },
	})
	response, err := t.inner.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := current.Load().accept(response); err != nil {
		return nil, err
	}
	return response, nil
}

// IsFramed reports whether an answer's length or its last chunk proves that its body is
// whole. Otherwise the body ends with its connection.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || response.Body == http.NoBody || isChunked(response)
}

// isChunked reports whether an answer's body comes in chunks.
func isChunked(response *http.Response) bool {
	return slices.Contains(response.TransferEncoding, "chunked")
}
