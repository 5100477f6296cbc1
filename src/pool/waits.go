package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// waits are requests of this daemon that wait for something, by a key. Each has a
// context that ends when it should stop waiting and look again.
type waits struct {
	mu    sync.Mutex
	byKey map[string]map[*wait]bool
}

// wait is one request that waits; cell names the cell in whose queue, if it is
// in one.
type wait struct {
	cell  string
	leave context.CancelFunc
}

func newWaits() *waits { return &waits{byKey: map[string]map[*wait]bool{}} }

// enter notes a request; the function returned ends its wait. A request without
// a key is not noted.
func (s *waits) enter(ctx context.Context, key, cell string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if key == "" {
		return ctx, cancel
	}
	w := &wait{cell: cell, leave: cancel}
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

// keys lists the keys under which requests wait.
func (s *waits) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.byKey))
}

// send lets up to count requests that wait in other cells leave their queues.
func (s *waits) send(key, cell string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.byKey[key] {
		if count == 0 {
			return
		}
		if w.cell == cell {
			continue
		}
		w.leave()
		delete(s.byKey[key], w)
		count--
	}
}

// end ends all waits under a key.
func (s *waits) end(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.byKey[key] {
		w.leave()
	}
}
