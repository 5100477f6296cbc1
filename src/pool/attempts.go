package pool

import (
	"context"
	"sync"
)

// attempts are this daemon's attempts to get a stream, by content, so that a
// crash can end those of the same content: they were told where to run before it.
type attempts struct {
	mu      sync.Mutex
	byPrint map[string]map[*context.CancelFunc]bool
}

func newAttempts() *attempts { return &attempts{byPrint: map[string]map[*context.CancelFunc]bool{}} }

// enter notes an attempt; its context ends with leave.
func (a *attempts) enter(ctx context.Context, fingerprint string) (context.Context, func()) {
	if fingerprint == "" {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byPrint[fingerprint] == nil {
		a.byPrint[fingerprint] = map[*context.CancelFunc]bool{}
	}
	a.byPrint[fingerprint][&cancel] = true
	return ctx, func() {
		cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byPrint[fingerprint], &cancel)
		if len(a.byPrint[fingerprint]) == 0 {
			delete(a.byPrint, fingerprint)
		}
	}
}

// leave ends the attempts of a content.
func (a *attempts) leave(fingerprint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for cancel := range a.byPrint[fingerprint] {
		(*cancel)()
	}
}
