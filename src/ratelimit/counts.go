package ratelimit

import (
	"maps"
	"time"

	sesamepitch "sesamepitch/src"
)

// counts are this instance's requests to endpoints.
type counts struct {
	// sent and limited count by purpose the requests to all endpoints and those to
	// endpoints with a limit; denied counts those that were not admitted.
	sent, limited, denied map[sesamepitch.Purpose]int
	// summaries are the requests to each endpoint with a limit since its last log
	// line.
	summaries map[process]*summary
}

// summary counts the requests to one endpoint since a time.
type summary struct {
	since  time.Time
	sent   map[sesamepitch.Purpose]int
	denied int
}

func newCounts() counts {
	return counts{
		sent: map[sesamepitch.Purpose]int{}, limited: map[sesamepitch.Purpose]int{}, denied: map[sesamepitch.Purpose]int{},
		summaries: map[process]*summary{},
	}
}

func (c *counts) retain(isRegistered func(process) bool) {
	maps.DeleteFunc(c.summaries, func(id process, _ *summary) bool { return !isRegistered(id) })
}

// count counts a request, and logs those to an endpoint with a limit once per
// summaryInterval.
func (g *Gate) count(to sesamepitch.Destination, purpose sesamepitch.Purpose, perSecond float64, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.counts
	if admitted {
		c.sent[purpose]++
	}
	if perSecond == 0 {
		return
	}
	now, id := g.clock.Now(), processOf(to)
	s := c.summaries[id]
	if s == nil {
		s = &summary{since: now, sent: map[sesamepitch.Purpose]int{}}
		c.summaries[id] = s
	}
	if admitted {
		c.limited[purpose]++
		s.sent[purpose]++
	} else {
		c.denied[purpose]++
		s.denied++
	}
	if now.Sub(s.since) < summaryInterval {
		return
	}
	g.log.Info("requests to limited endpoint", "endpoint", to.ID, "per_second", perSecond, "sent", s.sent, "denied", s.denied,
		"within_ms", now.Sub(s.since).Milliseconds())
	delete(c.summaries, id)
}

// Sent returns the number of requests for a purpose: to all endpoints, to those with
// a limit, and those that were not admitted.
func (g *Gate) Sent(purpose sesamepitch.Purpose) (all, limited, denied int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts.sent[purpose], g.counts.limited[purpose], g.counts.denied[purpose]
}
