package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// waitSet holds the waiting requests of this daemon by key. Each has a context
// that is cancelled when the request should stop waiting and try again.
type waitSet struct {
	mu    sync.Mutex
	byKey map[string]map[*wait]bool
}

// wait is one waiting request; cell is the key of the cell that it is queued in,
// if any.
type wait struct {
	cell   string
	cancel context.CancelFunc
}

func newWaitSet() *waitSet { return &waitSet{byKey: map[string]map[*wait]bool{}} }

// add registers a waiting request. The function returned removes it. A request
// with an empty key is not registered.
func (s *waitSet) add(ctx context.Context, key, cell string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if key == "" {
		return ctx, cancel
	}
	w := &wait{cell: cell, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[key] == nil {
		s.byKey[key] = map[*wait]bool{}
	}
	s.byKey[key][w] = true
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byKey[key], w)
		if len(s.byKey[key]) == 0 {
			delete(s.byKey, key)
		}
	}
}

// keys returns the keys that have waiting requests.
func (s *waitSet) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.byKey))
}

// cancelElsewhere cancels up to count waits that are queued in other cells.
func (s *waitSet) cancelElsewhere(key, cell string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.byKey[key] {
		if count == 0 {
			return
		}
		if w.cell == cell {
			continue
		}
		w.cancel()
		delete(s.byKey[key], w)
		count--
	}
}

// cancelAll cancels all waits under a key.
func (s *waitSet) cancelAll(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.byKey[key] {
		w.cancel()
	}
}
