// Package ratelimit knows the request rates that endpoints bear from all instances
// together.
package ratelimit

import (
	"context"
	"maps"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"

	"github.com/go-logr/logr"
)

const (
	// summaryInterval is the least time between two log lines on the requests to an
	// endpoint with a limit.
	summaryInterval = 4 * time.Second
	// maxMalformedLogged bounds the endpoints whose malformed limits are remembered
	// as logged.
	maxMalformedLogged = 1024
)

// process identifies an endpoint's process: an endpoint may restart under its ID.
type process struct {
	ID   string
	Born int64
}

func processOf(to sesamepitch.Destination) process { return process{ID: to.ID, Born: to.Born} }

// limit is what an endpoint last said of its rate limit.
type limit struct {
	perSecond float64
	// heardAt is when the answer arrived.
	heardAt time.Time
	// sent counts this instance's requests by purpose since the last summary.
	sent         map[sesamepitch.Purpose]int
	summarizedAt time.Time
}

// Limits knows the limits that endpoints have named to an instance. It implements
// sesamepitch.RequestGate.
type Limits struct {
	clock sesamepitch.Clock
	log   logr.Logger

	mu    sync.Mutex
	named map[process]*limit
	// totals counts the requests by purpose, limited those to endpoints with a limit.
	totals, limited map[sesamepitch.Purpose]int
	// malformedLogged has the last malformed limit that was logged of an endpoint.
	malformedLogged map[process]string
}

// New returns an instance's limits; it knows none yet.
func New(clock sesamepitch.Clock, log logr.Logger) *Limits {
	return &Limits{
		clock: clock, log: log, named: map[process]*limit{}, malformedLogged: map[process]string{},
		totals: map[sesamepitch.Purpose]int{}, limited: map[sesamepitch.Purpose]int{},
	}
}

// Admit implements sesamepitch.RequestGate. It counts the request.
func (l *Limits) Admit(_ context.Context, to sesamepitch.Destination, purpose sesamepitch.Purpose) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals[purpose]++
	if known := l.named[processOf(to)]; known != nil {
		l.limited[purpose]++
		known.sent[purpose]++
		l.summarize(to.ID, known)
	}
	return nil
}

// summarize logs the requests to an endpoint with a limit, once per interval. The
// caller holds l.mu.
func (l *Limits) summarize(endpoint string, known *limit) {
	now := l.clock.Now()
	if now.Sub(known.summarizedAt) < summaryInterval {
		return
	}
	l.log.Info("requests to limited endpoint", "endpoint", endpoint, "per_second", known.perSecond,
		"heard_ms_ago", now.Sub(known.heardAt).Milliseconds(), "sent", known.sent, "within_ms", now.Sub(known.summarizedAt).Milliseconds())
	known.summarizedAt = now
	clear(known.sent)
}

// Answered implements sesamepitch.RequestGate.
func (l *Limits) Answered(to sesamepitch.Destination, _ time.Time, stated sesamepitch.StatedLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := processOf(to)
	if stated.Malformed != "" {
		l.logMalformed(id, stated.Malformed)
		return
	}
	now := l.clock.Now()
	known := l.named[id]
	switch {
	case !stated.Named && known == nil:
	case !stated.Named:
		l.log.Info("endpoint names no limit any more", "endpoint", to.ID, "before", known.perSecond, "heard_ms_ago", now.Sub(known.heardAt).Milliseconds())
		delete(l.named, id)
	case known == nil:
		l.log.Info("endpoint names a limit", "endpoint", to.ID, "per_second", stated.PerSecond)
		l.named[id] = &limit{perSecond: stated.PerSecond, heardAt: now, sent: map[sesamepitch.Purpose]int{}, summarizedAt: now}
	default:
		if known.perSecond != stated.PerSecond {
			l.log.Info("endpoint names another limit", "endpoint", to.ID, "per_second", stated.PerSecond, "before", known.perSecond)
		}
		known.perSecond, known.heardAt = stated.PerSecond, now
	}
}

// logMalformed logs a malformed limit once for each endpoint and text. The caller
// holds l.mu.
func (l *Limits) logMalformed(id process, text string) {
	if l.malformedLogged[id] == text || len(l.malformedLogged) >= maxMalformedLogged {
		return
	}
	l.malformedLogged[id] = text
	l.log.Info("limit of an endpoint ignored", "endpoint", id.ID, "text", text)
}

// Retain drops the limits of all endpoints except the registered ones.
func (l *Limits) Retain(registered map[string]registry.Endpoint) {
	gone := func(id process) bool {
		endpoint, found := registered[id.ID]
		return !found || endpoint.Born != id.Born
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.named, func(id process, _ *limit) bool { return gone(id) })
	maps.DeleteFunc(l.malformedLogged, func(id process, _ string) bool { return gone(id) })
}

// Sent returns the number of requests for a purpose to all endpoints, and to those
// that named a limit.
func (l *Limits) Sent(purpose sesamepitch.Purpose) (all, limited int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[purpose], l.limited[purpose]
}

// Named returns the number of endpoints that name a limit.
func (l *Limits) Named() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.named)
}
