package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

var errStopping = errors.New("the instance stops before the request's time is up")

// stopping is the planned stop of the instance.
type stopping struct {
	// ended is cancelled when the final answers are due.
	ended  context.Context
	finish context.CancelFunc

	mu sync.Mutex
	// end is when the final answers are due; zero before the stop.
	end time.Time
	// hasOthers reports whether callers can turn to another instance.
	hasOthers func() bool
}

func newStopping() *stopping {
	ended, finish := context.WithCancel(context.Background())
	return &stopping{ended: ended, finish: finish, hasOthers: func() bool { return false }}
}

// BeginStop makes the gateway refuse requests that may still run at the time end, if
// hasOthers reports that callers can turn to another instance.
func (g *Gateway) BeginStop(end time.Time, hasOthers func() bool) {
	g.stopping.mu.Lock()
	defer g.stopping.mu.Unlock()
	g.stopping.end, g.stopping.hasOthers = end, hasOthers
}

// EndStop gives up all requests that are still open, so that each has its final answer
// before its connection is closed.
func (g *Gateway) EndStop() { g.stopping.finish() }

// limit returns the deadline of a request that arrives now, or a refusal if the request
// may still run at the end of the stop.
func (s *stopping) limit(deadline time.Time) (time.Time, error) {
	s.mu.Lock()
	end, hasOthers := s.end, s.hasOthers
	s.mu.Unlock()
	if end.IsZero() || !deadline.IsZero() && !deadline.After(end) {
		return deadline, nil
	}
	if hasOthers() {
		return deadline, &Refusal{Kind: sesamepitch.KindUnavailable, Err: errStopping, After: retrySoon}
	}
	return end, nil
}

// untilStop returns a context that ends with ctx, or when the final answers are due.
func (s *stopping) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unhook := context.AfterFunc(s.ended, cancel)
	return ctx, func() {
		unhook()
		cancel()
	}
}
