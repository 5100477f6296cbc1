package sesamepitch

import (
	"context"
	"time"
)

// PeerCaller calls other instances; peer.Dialer is one.
type PeerCaller interface {
	// Call calls a method of the peer at an address. It fails with
	// KindUnavailable if the call was not sent and with KindUnknown if its answer
	// is missing.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Connectivity tells whether this instance reaches the platform's store, directly or
// through other instances.
type Connectivity interface {
	// StoreReachable returns a context that ends when the store is out of reach, and has
	// ended if it is now. Callers are served elsewhere after the returned time.
	StoreReachable() (ctx context.Context, elsewhere time.Duration)
}
