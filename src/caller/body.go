package caller

import (
	"context"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/memory"
)

// Bodies reserves the memory of callers' bodies in a share.
type Bodies struct{ share *memory.Share }

// NewBodies returns the budget of all bodies.
func NewBodies(share *memory.Share) *Bodies { return &Bodies{share: share} }

// Begin returns the budget of a request's body that is about to be read. While it is
// read, the request's connection may be closed to make room for others.
func (b *Bodies) Begin(ctx context.Context) sesamepitch.BodyBudget {
	conn := connOf(ctx)
	if conn != nil {
		conn.set(phaseBody)
	}
	return &bodyBudget{share: b.share, conn: conn}
}

// bodyBudget is the budget of one body.
type bodyBudget struct {
	share *memory.Share
	conn  *Conn
}

// Reserve implements sesamepitch.BodyBudget.
func (b *bodyBudget) Reserve(bytes, total int64) bool {
	fits := func() bool { return b.share.TryReserve(bytes, total) }
	if !fits() && (b.conn == nil || !b.conn.listener.makeRoom(b.conn, isBody, fits)) {
		b.share.Refuse()
		return false
	}
	return true
}

// isBody selects the connections whose bodies hold memory.
func isBody(p phase) bool { return p == phaseBody }

// Free implements sesamepitch.BodyBudget.
func (b *bodyBudget) Free(bytes int64) { b.share.Free(bytes) }

// EndRead implements sesamepitch.BodyBudget.
func (b *bodyBudget) EndRead() {
	if b.conn != nil {
		b.conn.set(phaseServing)
	}
}
