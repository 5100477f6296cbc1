// Package usage counts each workspace's usage and reports it window by window. Each
// request is counted in exactly one window: a daemon's transaction adds to a window only
// if the window is not closed. A window's figures are frozen before they are reported,
// and do not change any more.
package usage

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	windowPrefix   = "usage/w/"
	closingPrefix  = "usage/closing/"
	frozenPrefix   = "usage/frozen/"
	reportedPrefix = "usage/reported/"
	flushedPrefix  = "usage/flushed/"
	sealedPrefix   = "usage/sealed/"
	cursorKey      = "usage/cursor"
	leaseKey       = "usage/lease"
)

// Window is one interval of usage, identified by its start.
type Window struct {
	start  time.Time
	length time.Duration
}

// WindowAt returns the window that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window{start: t.UTC().Truncate(length), length: length}
}

// parseWindow returns the window with this ID.
func parseWindow(id string, length time.Duration) (Window, error) {
	millis, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return Window{}, &Error{Op: "usage.window", Kind: sesamepitch.KindInternal, Err: err}
	}
	return Window{start: time.UnixMilli(millis).UTC(), length: length}, nil
}

// ID returns the window's name in the table and in reports.
func (w Window) ID() string { return fmt.Sprintf("%012d", w.start.UnixMilli()) }

// End returns the window's end.
func (w Window) End() time.Time { return w.start.Add(w.length) }

// Next returns the window after w.
func (w Window) Next() Window { return Window{start: w.End(), length: w.length} }

func (w Window) closingKey() string { return closingPrefix + w.ID() }

func (w Window) rowKey(name string) string { return windowPrefix + w.ID() + "/" + name }

// NotClosed returns the check that the window is not closed.
func (w Window) NotClosed() sesamepitch.Check { return sesamepitch.Check{Key: w.closingKey()} }

// BatchKey returns the key of the row for a batch of samples.
func (w Window) BatchKey(batch string) string { return w.rowKey("b/" + batch) }

// Figures are sums by workspace.
type Figures map[string]sesamepitch.UsageFigure

// Add adds to a workspace's sum.
func (f Figures) Add(workspace string, requests, tokens, milliCost int64) {
	sum := f[workspace]
	sum.Workspace = workspace
	sum.Requests += requests
	sum.Tokens += tokens
	sum.MilliCost += milliCost
	f[workspace] = sum
}

// AddAll adds other sums.
func (f Figures) AddAll(other Figures) {
	for workspace, sum := range other {
		f.Add(workspace, sum.Requests, sum.Tokens, sum.MilliCost)
	}
}

// List returns the sums, ordered by workspace.
func (f Figures) List() []sesamepitch.UsageFigure {
	list := make([]sesamepitch.UsageFigure, 0, len(f))
	for _, sum := range f {
		list = append(list, sum)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Row is a row of a window: the sums that one writer has added.
type Row struct {
	Figures Figures `json:"figures"`
}
