package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

// Outcome is how a Memory store handles a call.
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
	// Delayed commits fail with KindUnknown. ApplyDelayed carries them out if their
	// checks still hold then.
	Delayed
)

// Memory is an in-memory sesamepitch.Store with a change feed and injectable
// faults.
type Memory struct {
	mu                sync.Mutex
	rows              map[string]sesamepitch.Row
	history           []sesamepitch.Row
	compactedRevision int64
	revision          int64
	fault             func(op, key string) Outcome
	delayed           []sesamepitch.Txn
	changed           chan struct{}
	commits           int
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{rows: map[string]sesamepitch.Row{}, changed: make(chan struct{})}
}

// SetFault sets the function that decides each call's outcome; with nil all calls
// are served. The operation is "get", "list", "range", "commit", "snapshot" or
// "changes".
func (m *Memory) SetFault(fault func(op, key string) Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Commits returns the number of applied transactions.
func (m *Memory) Commits() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits
}

// ApplyDelayed applies the delayed commits whose checks still hold.
func (m *Memory) ApplyDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	delayed := m.delayed
	m.delayed = nil
	for _, txn := range delayed {
		if m.checksHold(txn) {
			m.apply(txn)
		}
	}
}

// CompactHistory drops the change history: feeds that ask for changes after an
// earlier revision fail with KindGone.
func (m *Memory) CompactHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.compactedRevision = m.revision
	m.notifyWaiters()
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
	return m.sortedRows(func(key string) bool { return strings.HasPrefix(key, prefix) }), nil
}

// Range reads at most limit rows, from key from on, among those that share the first
// two segments of the key.
func (m *Memory) Range(_ context.Context, from string, limit int) ([]sesamepitch.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.readFault("range", from); err != nil {
		return nil, err
	}
	fields := strings.SplitN(from, "/", 3)
	rangePrefix := strings.Join(fields[:2], "/") + "/"
	rows := m.sortedRows(func(key string) bool { return strings.HasPrefix(key, rangePrefix) && key >= from })
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
		m.delayed = append(m.delayed, txn)
		return 0, &Error{Op: "memory.commit", Kind: sesamepitch.KindUnknown}
	case Served, ReplyLost:
	}
	if !m.checksHold(txn) {
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
	rows := m.sortedRows(func(key string) bool { return strings.HasPrefix(key, table+"/") })
	return sesamepitch.Changes{Rows: rows, Revision: m.revision}, nil
}

// Changes returns the rows of a table that changed after a revision. It waits for
// at most wait if there are none.
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
	if after < m.compactedRevision {
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

// readFault returns KindUnavailable for every fault of a read, since a failed read
// leaves no doubt about its effect.
func (m *Memory) readFault(op, key string) error {
	if m.outcome(op, key) == Served {
		return nil
	}
	return &Error{Op: "memory." + op, Kind: sesamepitch.KindUnavailable}
}

func (m *Memory) checksHold(txn sesamepitch.Txn) bool {
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
	m.notifyWaiters()
}

func (m *Memory) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) sortedRows(include func(key string) bool) []sesamepitch.Row {
	var rows []sesamepitch.Row
	for key, row := range m.rows {
		if include(key) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b sesamepitch.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}
