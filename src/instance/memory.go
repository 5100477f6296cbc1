package instance

import "sync/atomic"

// Memory bounds the bytes of callers' bodies that are held at the same time.
type Memory struct {
	limit int64
	held  atomic.Int64
}

// NewMemory returns a bound of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve takes bytes; it fails at the limit.
func (m *Memory) Reserve(bytes int64) bool {
	if m.held.Add(bytes) <= m.limit {
		return true
	}
	m.held.Add(-bytes)
	return false
}

// Free gives bytes back.
func (m *Memory) Free(bytes int64) { m.held.Add(-bytes) }

// Held returns the bytes held.
func (m *Memory) Held() int64 { return m.held.Load() }
