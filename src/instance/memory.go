package instance

import "sync/atomic"

// BodyBudget bounds the bytes of callers' bodies that are held at the same time.
type BodyBudget struct {
	limit int64
	held  atomic.Int64
}

// NewBodyBudget returns a bound of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// Reserve takes bytes; it fails at the limit.
func (m *BodyBudget) Reserve(bytes int64) bool {
	if m.held.Add(bytes) <= m.limit {
		return true
	}
	m.held.Add(-bytes)
	return false
}

// Free gives bytes back.
func (m *BodyBudget) Free(bytes int64) { m.held.Add(-bytes) }

// Held returns the bytes held.
func (m *BodyBudget) Held() int64 { return m.held.Load() }
