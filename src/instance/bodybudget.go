package instance

import "sync/atomic"

// BodyBudget bounds the total size of request bodies held in memory.
type BodyBudget struct {
	limit int64
	held  atomic.Int64
}

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// Reserve reserves bytes and reports whether they are within the limit.
func (b *BodyBudget) Reserve(bytes int64) bool {
	if b.held.Add(bytes) <= b.limit {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Free releases reserved bytes.
func (b *BodyBudget) Free(bytes int64) { b.held.Add(-bytes) }

// Held returns the number of reserved bytes.
func (b *BodyBudget) Held() int64 { return b.held.Load() }
