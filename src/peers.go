package sesamepitch

import "context"

// PeerCaller calls other instances; peer.Dialer is one.
type PeerCaller interface {
	// Call calls a method of the peer at an address. It fails with
	// KindUnavailable if the call was not sent and with KindUnknown if its answer
	// is missing.
	Call(ctx context.Context, address, method string, args, reply any) error
}
