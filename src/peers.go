package sesamepitch

import (
	"context"
	"time"
)

// PeerCaller calls other instances; peer.Dialer implements it.
type PeerCaller interface {
	// Call calls a method of the peer at an address. It fails with
	// KindUnavailable if the call was not sent and with KindUnknown if no reply
	// arrived.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Connectivity reports whether this instance can reach the platform's store,
// directly or through other instances.
type Connectivity interface {
	// StoreReachable returns a context that is cancelled when the store becomes
	// unreachable, or is cancelled already if it is unreachable now. rerouteIn is
	// the time until callers are routed to another instance; zero while the store
	// is reachable.
	StoreReachable() (ctx context.Context, rerouteIn time.Duration)
}
