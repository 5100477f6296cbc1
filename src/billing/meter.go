// Package billing counts the requests of each workspace in windows of time, and
// reports the final counts of each window under a lease.
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
	// finalCountsName is the name of the row with a window's final counts. No
	// writer has this name, as names contain no blanks.
	finalCountsName = "frozen counts"
	// flushInterval is the time between flushes; a killed instance loses at most
	// the counts of one interval.
	flushInterval = 700 * time.Millisecond
	flushTimeout  = 1500 * time.Millisecond
	// pastWindows is how many past windows are kept in memory for late counts.
	pastWindows = 4
)

func windowKey(window int64, name string) string {
	return fmt.Sprintf("%s/%d/%s", usageTable, window, name)
}

// Meter counts the requests that began through this instance.
type Meter struct {
	clock        sesamepitch.Clock
	log          logr.Logger
	table        sesamepitch.Table
	windowLength time.Duration
	writer       string

	mu      sync.Mutex
	windows map[int64]map[string]int64
	changed map[int64]bool
}

// NewMeter returns a meter with windows of windowLength. The name of the writer
// must be unique to this process: an earlier run of the instance must not have
// used it, as its row would be overwritten.
func NewMeter(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, windowLength time.Duration, writer string) *Meter {
	return &Meter{
		clock: clock, log: log, table: table, windowLength: windowLength, writer: writer,
		windows: map[int64]map[string]int64{}, changed: map[int64]bool{},
	}
}

// windowOf returns the number of the window that contains a time.
func windowOf(at time.Time, windowLength time.Duration) int64 {
	return at.UnixNano() / int64(windowLength)
}

// Count adds one request of a workspace to the window in which it began.
func (m *Meter) Count(workspace string, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := windowOf(began, m.windowLength)
	if m.windows[window] == nil {
		m.windows[window] = map[string]int64{}
	}
	m.windows[window][workspace]++
	m.changed[window] = true
}

// Run flushes the counts until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	for {
		select {
		case <-m.clock.After(flushInterval):
			m.Flush(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush writes the counts of the windows that changed since the last flush. Counts
// of a window that already has final counts are logged and dropped.
func (m *Meter) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for window, counts := range m.takeChanged() {
		_, err := m.table.Commit(ctx, sesamepitch.Txn{
			Checks: []sesamepitch.Check{{Key: windowKey(window, finalCountsName)}},
			Writes: []sesamepitch.Write{{Key: windowKey(window, m.writer), Value: rowstore.Encode(counts)}},
		})
		switch sesamepitch.KindOf(err) {
		case "":
		case sesamepitch.KindConflict:
			m.log.Info("usage arrived after the final counts of its window", "window", window)
		default:
			m.log.Info("usage not flushed", "window", window, "cause", err.Error())
			m.markChanged(window)
		}
	}
}

// takeChanged returns the counts of the changed windows, marks them as unchanged
// and drops windows older than pastWindows.
func (m *Meter) takeChanged() map[int64]map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := map[int64]map[string]int64{}
	for window := range m.changed {
		taken[window] = maps.Clone(m.windows[window])
	}
	m.changed = map[int64]bool{}
	oldest := windowOf(m.clock.Now(), m.windowLength) - pastWindows
	maps.DeleteFunc(m.windows, func(window int64, _ map[string]int64) bool { return window < oldest })
	return taken
}

func (m *Meter) markChanged(window int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[window] != nil {
		m.changed[window] = true
	}
}

func decodeCounts(row sesamepitch.Row) (map[string]int64, error) {
	counts := map[string]int64{}
	if err := json.Unmarshal(row.Value, &counts); err != nil {
		return nil, &Error{Op: "billing.decode " + row.Key, Kind: sesamepitch.KindInternal, Err: err}
	}
	return counts, nil
}
