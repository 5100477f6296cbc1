package pool

import (
	"time"
)

const (
	// grantTTL is how long a grant lasts without a renewal.
	grantTTL = 10 * time.Second
	// takeoverWindow is how long after a cell is opened its owner accepts streams
	// that an earlier owner granted.
	takeoverWindow = 12 * time.Second
	// endedRetention is how long the ends of streams are remembered.
	endedRetention = 12 * time.Second
)

// grant is a granted stream.
type grant struct {
	held        HeldStream
	entry       string
	run         string
	weight      int
	tokens      int
	renewed     time.Time
	revoked     bool
	granted     time.Time
	incarnation int
	// healthy is whether the endpoint was healthy when the stream was granted.
	healthy bool
}

func (c *cell) grant(now time.Time, r Request, endpoint string) {
	state := c.endpoints[endpoint]
	state.beginProbationIfIdle(now)
	state.running++
	if r.Suspect {
		state.suspects++
	}
	state.recordPrefix(r.Prefix)
	c.contents.addRun(r.Fingerprint, endpoint, now)
	c.grants[r.ID] = &grant{
		held:  HeldStream{ID: r.ID, Endpoint: endpoint, Workspace: r.Workspace, Fingerprint: r.Fingerprint, Suspect: r.Suspect},
		entry: r.Entry, run: r.Run, weight: r.Weight, tokens: r.Tokens, renewed: now, granted: now, incarnation: state.incarnation, healthy: state.isHealthy(),
	}
}

// mayTakeOver reports whether an unknown stream can be one that an earlier owner
// granted: only shortly after the cell was opened, and not if the stream's end
// arrived before a renewal that was sent earlier.
func (c *cell) mayTakeOver(now time.Time, id string) bool {
	return now.Before(c.openAt.Add(takeoverWindow)) && !c.hasEnded(id)
}

func (c *cell) hasEnded(id string) bool {
	_, ended := c.ended[id]
	return ended
}

// pruneEnded forgets the ends that are too old for an earlier call to arrive
// after them.
func (c *cell) pruneEnded(now time.Time) {
	for id, at := range c.ended {
		if now.Sub(at) > endedRetention {
			delete(c.ended, id)
		}
	}
}

// takeOver records a stream that an earlier owner granted.
func (c *cell) takeOver(now time.Time, entry, run string, held HeldStream) {
	c.grants[held.ID] = &grant{held: held, entry: entry, run: run, weight: 1, renewed: now}
	c.contents.addRun(held.Fingerprint, held.Endpoint, now)
	state := c.endpoints[held.Endpoint]
	if state == nil {
		return
	}
	state.running++
	if held.Suspect {
		state.suspects++
	}
}

// removeGrant removes a grant and its counts. It returns the grant if it was
// found.
func (c *cell) removeGrant(now time.Time, id string) (*grant, bool) {
	g, found := c.grants[id]
	if !found {
		return nil, false
	}
	delete(c.grants, id)
	c.contents.removeRun(g.held.Fingerprint, g.held.Endpoint)
	c.queue.Done(g.held.Workspace, g.weight, g.tokens)
	if state := c.endpoints[g.held.Endpoint]; state != nil {
		state.running = max(state.running-1, 0)
		if state.running == 0 {
			state.idleSince = now
		}
		if g.held.Suspect {
			state.suspects = max(state.suspects-1, 0)
		}
	}
	return g, true
}

// expire removes the streams that their entries have not renewed, and returns
// them.
func (c *cell) expire(now time.Time) []HeldStream {
	var expired []HeldStream
	for id, g := range c.grants {
		if now.Sub(g.renewed) > grantTTL {
			expired = append(expired, g.held)
			c.removeGrant(now, id)
		}
	}
	return expired
}
