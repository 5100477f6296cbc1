// Package billing counts the requests of each workspace by windows of time and
// reports each window once, under a lease.
package billing

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"

	"github.com/go-logr/logr"
)

const (
	usageTable = "usage"
	// frozenName is the row of a window's final counts; no instance has a name
	// with a blank.
	frozenName = "frozen counts"
	// flushEvery is the most that a killed instance loses.
	flushEvery = 700 * time.Millisecond
	flushTime  = 1500 * time.Millisecond
	// keptWindows is how many past windows can still be counted into.
	keptWindows = 4
)

func windowKey(window int64, name string) string {
	return fmt.Sprintf("%s/%d/%s", usageTable, window, name)
}

// Meter counts the requests that began through this instance.
type Meter struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	table  sesamepitch.Table
	length time.Duration
	writer string

	mu      sync.Mutex
	windows map[int64]map[string]int64
	dirty   map[int64]bool
}

// NewMeter returns a meter with windows of a length. The writer's name must be
// used by no other process, also not by an earlier run of the same instance.
func NewMeter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, length time.Duration, writer string) *Meter {
	return &Meter{
		clock: clock, log: log, table: table, length: length, writer: writer,
		windows: map[int64]map[string]int64{}, dirty: map[int64]bool{},
	}
}

func windowOf(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// Count counts one request of a workspace that began at a time.
func (m *Meter) Count(workspace string, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := windowOf(began, m.length)
	if m.windows[window] == nil {
		m.windows[window] = map[string]int64{}
	}
	m.windows[window][workspace]++
	m.dirty[window] = true
}

// Run flushes the counts until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	for {
		select {
		case <-m.clock.After(flushEvery):
			m.Flush(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush writes the windows that have changed.
func (m *Meter) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	for window, counts := range m.takeDirty() {
		_, err := m.table.Commit(ctx, sesamepitch.Txn{
			Checks: []sesamepitch.Check{{Key: windowKey(window, frozenName)}},
			Writes: []sesamepitch.Write{{Key: windowKey(window, m.writer), Value: rowstore.Encode(counts)}},
		})
		switch sesamepitch.KindOf(err) {
		case "":
		case sesamepitch.KindConflict:
			m.log.Info("usage came after its window was frozen", "window", window)
		default:
			m.log.Info("usage not flushed", "window", window, "cause", err.Error())
			m.markDirty(window)
		}
	}
}

func (m *Meter) takeDirty() map[int64]map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := map[int64]map[string]int64{}
	for window := range m.dirty {
		taken[window] = maps.Clone(m.windows[window])
	}
	m.dirty = map[int64]bool{}
	oldest := windowOf(m.clock.Now(), m.length) - keptWindows
	maps.DeleteFunc(m.windows, func(window int64, _ map[string]int64) bool { return window < oldest })
	return taken
}

func (m *Meter) markDirty(window int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[window] != nil {
		m.dirty[window] = true
	}
}

func decodeCounts(row sesamepitch.Row) (map[string]int64, error) {
	counts := map[string]int64{}
	if err := json.Unmarshal(row.Value, &counts); err != nil {
		return nil, &Error{Op: "billing.decode " + row.Key, Kind: sesamepitch.KindInternal, Err: err}
	}
	return counts, nil
}
