package pool

import (
	"fmt"
	"slices"
	"time"
)

const (
	maxContents     = 8192
	forgottenAtOnce = maxContents / 8
	weakCrashes     = 3
)

// content is what the owner knows of one prompt. Until it has been answered
// whole once, it runs on no more endpoints at a time than it may crash before it
// is quarantined.
type content struct {
	proven  bool
	running map[string]int
	// weak counts crashes on endpoints that had failed already.
	weak   int
	usedAt time.Time
}

// contents are the prompts seen lately, by fingerprint.
type contents struct {
	known map[string]*content
}

func newContents() *contents { return &contents{known: map[string]*content{}} }

// only returns the endpoints that an unproven content already runs on if it
// may run on no others; nil if it may run anywhere.
func (c *contents) only(fingerprint string, crashes int) []string {
	known := c.known[fingerprint]
	if known == nil || known.proven || len(known.running) < QuarantineAfter-crashes {
		return nil
	}
	names := make([]string, 0, len(known.running))
	for endpoint := range known.running {
		names = append(names, endpoint)
	}
	return names
}

func (c *contents) isProven(fingerprint string) bool {
	known := c.known[fingerprint]
	return known != nil && known.proven
}

func (c *contents) sent(fingerprint, endpoint string, now time.Time) {
	if fingerprint == "" {
		return
	}
	known := c.take(fingerprint)
	known.running[endpoint]++
	known.usedAt = now
}

func (c *contents) ended(fingerprint, endpoint string) {
	known := c.known[fingerprint]
	if known == nil {
		return
	}
	known.running[endpoint]--
	if known.running[endpoint] <= 0 {
		delete(known.running, endpoint)
	}
}

// prove notes that a content was answered whole.
func (c *contents) prove(fingerprint string, now time.Time) {
	if fingerprint == "" {
		return
	}
	known := c.take(fingerprint)
	known.proven, known.usedAt = true, now
}

// take returns what is known of a content, and begins to know it.
func (c *contents) take(fingerprint string) *content {
	known := c.known[fingerprint]
	if known == nil {
		c.makeRoom()
		known = &content{running: map[string]int{}}
		c.known[fingerprint] = known
	}
	return known
}

// weakEvidence notes a crash on an endpoint that had failed before and answered
// nothing since, which says little of the content. Every third one counts.
func (c *contents) weakEvidence(fingerprint string) (counts bool) {
	known := c.known[fingerprint]
	if known == nil {
		return false
	}
	known.weak++
	return known.weak%weakCrashes == 0
}

// makeRoom forgets the contents that were used longest ago, many at a time, since
// finding them takes a look at all.
func (c *contents) makeRoom() {
	if len(c.known) < maxContents {
		return
	}
	var idle []string
	for fingerprint, known := range c.known {
		if len(known.running) == 0 {
			idle = append(idle, fingerprint)
		}
	}
	slices.SortFunc(idle, func(a, b string) int { return c.known[a].usedAt.Compare(c.known[b].usedAt) })
	for _, fingerprint := range idle[:min(len(idle), forgottenAtOnce)] {
		delete(c.known, fingerprint)
	}
}

// crashEvent names one crash of an endpoint: all streams that were granted in
// the same life of the endpoint saw the same crash.
func (c *cell) crashEvent(g *grant) string {
	return fmt.Sprintf("%s/%d/%d", g.held.Endpoint, c.openAt.UnixNano(), g.life)
}

// noteLife begins the endpoint's next life with the first stream that broke off
// in this one.
func (e *endpointState) noteLife(g *grant) {
	if g.life == e.life {
		e.life++
	}
}
