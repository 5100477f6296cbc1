// Package departure keeps requests from endpoints that are leaving, whatever the
// requests are for, and learns from the endpoints' answers which ones are.
package departure

import (
	"context"
	"fmt"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

// maxLogged bounds the endpoints whose malformed statements, and refused requests,
// are remembered as logged.
const maxLogged = 1024

// Gate refuses requests to leaving endpoints. It implements sesamepitch.RequestGate.
type Gate struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	registry *registry.Registry
	// changed receives when there is something new to tell other instances.
	changed chan struct{}

	mu sync.Mutex
	// malformed has the malformed statement of an endpoint that was logged last, and
	// refused the endpoints with a logged refusal.
	malformed map[string]string
	refused   map[string]bool
}

// New returns the gate of an instance with this registry.
func New(clock sesamepitch.Clock, log logr.Logger, reg *registry.Registry) *Gate {
	return &Gate{clock: clock, log: log, registry: reg, changed: make(chan struct{}, 1), malformed: map[string]string{}, refused: map[string]bool{}}
}

// Admit implements sesamepitch.RequestGate.
func (g *Gate) Admit(_ context.Context, to sesamepitch.Destination, purpose sesamepitch.Purpose) error {
	now := g.clock.Now()
	asked := to.Asked
	if asked.IsZero() {
		asked = now
	}
	by, since, closed := g.registry.Leaving(to, asked)
	if !closed {
		return nil
	}
	if g.isNew(g.refused, to) {
		g.log.Info("endpoint is leaving and gets no more requests", "endpoint", to.ID, "purpose", string(purpose),
			"source", string(by), "age_ms", now.Sub(since).Milliseconds())
	}
	return &Error{Op: "admit to " + to.ID, Kind: sesamepitch.KindUnavailable, Err: fmt.Errorf("the endpoint is leaving, by its %s", by)}
}

// isNew reports whether an endpoint's process is not in logged, and adds it.
func (g *Gate) isNew(logged map[string]bool, to sesamepitch.Destination) bool {
	id := fmt.Sprint(to.ID, "@", to.Born)
	g.mu.Lock()
	defer g.mu.Unlock()
	if logged[id] {
		return false
	}
	if len(logged) >= maxLogged {
		clear(logged)
	}
	logged[id] = true
	return true
}

// Answered implements sesamepitch.RequestGate.
func (g *Gate) Answered(to sesamepitch.Destination, sent time.Time, said sesamepitch.Statement) {
	if text := said.Leaving.Malformed; text != "" {
		g.logMalformed(to, text)
	}
	if !said.Leaving.Leaving || !g.registry.Hear(to) {
		return
	}
	g.log.Info("endpoint is leaving", "endpoint", to.ID, "born", to.Born, "source", string(registry.SourceAnswer),
		"age_ms", g.clock.Now().Sub(sent).Milliseconds())
	supervisor.Wake(g.changed)
}

// logMalformed logs a malformed statement once for each endpoint and text.
func (g *Gate) logMalformed(to sesamepitch.Destination, text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.malformed[to.ID] == text {
		return
	}
	if len(g.malformed) >= maxLogged {
		clear(g.malformed)
	}
	g.malformed[to.ID] = text
	g.log.Info("statement of an endpoint that it is leaving ignored", "endpoint", to.ID, "text", text)
}

// Share returns what this instance tells the others.
func (g *Gate) Share() []registry.Word { return g.registry.Words() }

// Receive records what another instance has heard.
func (g *Gate) Receive(words []registry.Word) {
	now := g.clock.Now()
	for _, word := range g.registry.ReceiveWords(words) {
		g.log.Info("endpoint is leaving", "endpoint", word.ID, "source", string(registry.SourceInstance), "age_ms", now.UnixMilli()-word.At)
	}
}

// Changed returns a channel that receives when Share has something new.
func (g *Gate) Changed() <-chan struct{} { return g.changed }
