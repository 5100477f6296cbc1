package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

// Outcome is what a Memory store does to one call.
type Outcome int

// The outcomes of a call.
const (
	// Served calls are carried out and answered.
	Served Outcome = iota
	// Refused calls do nothing and fail with KindUnavailable.
	Refused
	// RequestLost calls do nothing and fail with KindUnknown.
	RequestLost
	// ReplyLost calls are carried out and fail with KindUnknown.
	ReplyLost
	// Delayed commits fail with KindUnknown and are carried out by Settle, if
	// their condition still holds then.
	Delayed
)

// Memory is a sesamepitch.Store in memory, with a feed and with faults.
type Memory struct {
	mu       sync.Mutex
	rows     map[string]sesamepitch.Row
	history  []sesamepitch.Row
	lostUpTo int64
	revision int64
	fault    func(op, key string) Outcome
	late     []sesamepitch.Txn
	changed  chan struct{}
	commits  int
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{rows: map[string]sesamepitch.Row{}, changed: make(chan struct{})}
}

// SetFault sets what decides each call's outcome; nil serves all. The
// operation is "get", "list", "range", "commit", "snapshot" or "changes".
func (m *Memory) SetFault(fault func(op, key string) Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Commits returns the number of transactions carried out.
func (m *Memory) Commits() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits
}

// ApplyDelayed carries out the late commits whose condition still holds.
func (m *Memory) ApplyDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := m.late
	m.late = nil
	for _, txn := range late {
		if m.holds(txn) {
			m.apply(txn)
		}
	}
}

// CompactHistory makes feeds fail with KindGone that ask for changes before now.
func (m *Memory) CompactHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.lostUpTo = m.revision
	m.announce()
}

// Get reads one row.
func (m *Memory) Get(_ context.Context, key string) (sesamepitch.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault("get", key); err != nil {
		return sesamepitch.Row{}, err
	}
	row, found := m.rows[key]
	if !found {
		return sesamepitch.Row{Key: key}, nil
	}
	return row, nil
}

// List reads all rows whose key starts with prefix.
func (m *Memory) List(_ context.Context, prefix string) ([]sesamepitch.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault("list", prefix); err != nil {
		return nil, err
	}
	return m.sorted(func(key string) bool { return strings.HasPrefix(key, prefix) }), nil
}

// Range reads at most limit rows of the part of a key, from the key on.
func (m *Memory) Range(_ context.Context, from string, limit int) ([]sesamepitch.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault("range", from); err != nil {
		return nil, err
	}
	fields := strings.SplitN(from, "/", 3)
	part := strings.Join(fields[:2], "/") + "/"
	rows := m.sorted(func(key string) bool { return strings.HasPrefix(key, part) && key >= from })
	return rows[:min(limit, len(rows))], nil
}

// Commit applies a transaction if its checks hold.
func (m *Memory) Commit(_ context.Context, txn sesamepitch.Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := m.outcome("commit", firstKey(txn))
	switch outcome {
	case Refused:
		return 0, &Error{Op: "memory.commit", Kind: sesamepitch.KindUnavailable}
	case RequestLost:
		return 0, &Error{Op: "memory.commit", Kind: sesamepitch.KindUnknown}
	case Delayed:
		m.late = append(m.late, txn)
		return 0, &Error{Op: "memory.commit", Kind: sesamepitch.KindUnknown}
	case Served, ReplyLost:
	}
	if !m.holds(txn) {
		return 0, &Error{Op: "memory.commit", Kind: sesamepitch.KindConflict}
	}
	m.apply(txn)
	if outcome == ReplyLost {
		return 0, &Error{Op: "memory.commit", Kind: sesamepitch.KindUnknown}
	}
	return m.revision, nil
}

func firstKey(txn sesamepitch.Txn) string {
	if len(txn.Writes) == 0 {
		return ""
	}
	return txn.Writes[0].Key
}

// Snapshot reads all rows of a table.
func (m *Memory) Snapshot(_ context.Context, table string) (sesamepitch.Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault("snapshot", table); err != nil {
		return sesamepitch.Changes{}, err
	}
	rows := m.sorted(func(key string) bool { return strings.HasPrefix(key, table+"/") })
	return sesamepitch.Changes{Rows: rows, Revision: m.revision}, nil
}

// Changes waits for rows of a table that changed after a revision.
func (m *Memory) Changes(ctx context.Context, table string, after int64, wait time.Duration) (sesamepitch.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changes, changed, err := m.changesNow(table, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
	}
}

func (m *Memory) changesNow(table string, after int64) (sesamepitch.Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault("changes", table); err != nil {
		return sesamepitch.Changes{}, nil, err
	}
	if after < m.lostUpTo {
		return sesamepitch.Changes{}, nil, &Error{Op: "memory.changes", Kind: sesamepitch.KindGone}
	}
	changes := sesamepitch.Changes{Revision: m.revision}
	for _, row := range m.history {
		if row.Version > after && strings.HasPrefix(row.Key, table+"/") {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, m.changed, nil
}

func (m *Memory) outcome(op, key string) Outcome {
	if m.fault == nil {
		return Served
	}
	return m.fault(op, key)
}

// readFault turns each fault of a read into KindUnavailable: it changed nothing.
func (m *Memory) readFault(op, key string) error {
	if m.outcome(op, key) == Served {
		return nil
	}
	return &Error{Op: "memory." + op, Kind: sesamepitch.KindUnavailable}
}

func (m *Memory) holds(txn sesamepitch.Txn) bool {
	for _, check := range txn.Checks {
		if m.rows[check.Key].Version != check.Version {
			return false
		}
	}
	return true
}

func (m *Memory) apply(txn sesamepitch.Txn) {
	m.revision++
	m.commits++
	for _, write := range txn.Writes {
		row := sesamepitch.Row{Key: write.Key, Value: write.Value, Version: m.revision, Deleted: write.Delete}
		m.history = append(m.history, row)
		if write.Delete {
			delete(m.rows, write.Key)
			continue
		}
		m.rows[write.Key] = row
	}
	m.announce()
}

func (m *Memory) announce() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) sorted(include func(key string) bool) []sesamepitch.Row {
	var rows []sesamepitch.Row
	for key, row := range m.rows {
		if include(key) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b sesamepitch.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}
