package pool

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxContentRecords limits the contents remembered; evictionBatch of them are
	// evicted at once.
	maxContentRecords = 8192
	evictionBatch     = maxContentRecords / 8
	// weakCrashesPerCrash is how many crashes on endpoints that were failing
	// already count as one crash of a content.
	weakCrashesPerCrash = 3
)

// content is the state of one prompt. Until it has been answered completely
// once, it runs on no more endpoints at a time than it may crash before it is
// quarantined.
type content struct {
	proven  bool
	running map[string]int
	// weakCrashes counts crashes on endpoints that were failing already.
	weakCrashes int
	lastUsed    time.Time
}

// contents are the recently used contents, by fingerprint.
type contents struct {
	byFingerprint map[string]*content
}

func newContents() *contents { return &contents{byFingerprint: map[string]*content{}} }

// allowedEndpoints returns the endpoints that an unproven content runs on if it
// may run on no others; nil if it may run anywhere.
func (c *contents) allowedEndpoints(fingerprint string, crashes int) []string {
	state := c.byFingerprint[fingerprint]
	if state == nil || state.proven || len(state.running) < QuarantineAfter-crashes {
		return nil
	}
	names := make([]string, 0, len(state.running))
	for endpoint := range state.running {
		names = append(names, endpoint)
	}
	return names
}

func (c *contents) isProven(fingerprint string) bool {
	state := c.byFingerprint[fingerprint]
	return state != nil && state.proven
}

func (c *contents) addRun(fingerprint, endpoint string, now time.Time) {
	if fingerprint == "" {
		return
	}
	state := c.getOrCreate(fingerprint)
	state.running[endpoint]++
	state.lastUsed = now
}

func (c *contents) removeRun(fingerprint, endpoint string) {
	state := c.byFingerprint[fingerprint]
	if state == nil {
		return
	}
	state.running[endpoint]--
	if state.running[endpoint] <= 0 {
		delete(state.running, endpoint)
	}
}

// markProven records that a content was answered completely.
func (c *contents) markProven(fingerprint string, now time.Time) {
	if fingerprint == "" {
		return
	}
	state := c.getOrCreate(fingerprint)
	state.proven, state.lastUsed = true, now
}

// getOrCreate returns the state of a content, which it creates if there is none.
func (c *contents) getOrCreate(fingerprint string) *content {
	state := c.byFingerprint[fingerprint]
	if state == nil {
		c.evict()
		state = &content{running: map[string]int{}}
		c.byFingerprint[fingerprint] = state
	}
	return state
}

// recordWeakCrash records a crash on an endpoint that has not answered since an
// earlier failure, which is weak evidence against the content. It reports
// whether the crash counts, as every third one does.
func (c *contents) recordWeakCrash(fingerprint string) (counts bool) {
	state := c.byFingerprint[fingerprint]
	if state == nil {
		return false
	}
	state.weakCrashes++
	return state.weakCrashes%weakCrashesPerCrash == 0
}

// evict removes the least recently used contents. It removes many at once, since
// finding them scans all.
func (c *contents) evict() {
	if len(c.byFingerprint) < maxContentRecords {
		return
	}
	var idle []string
	for fingerprint, state := range c.byFingerprint {
		if len(state.running) == 0 {
			idle = append(idle, fingerprint)
		}
	}
	slices.SortFunc(idle, func(a, b string) int { return c.byFingerprint[a].lastUsed.Compare(c.byFingerprint[b].lastUsed) })
	for _, fingerprint := range idle[:min(len(idle), evictionBatch)] {
		delete(c.byFingerprint, fingerprint)
	}
}

// crashEvent returns the identifier of a crash of an endpoint: all streams
// granted in the same incarnation of the endpoint were ended by the same crash.
func (c *cell) crashEvent(g *grant) string {
	return fmt.Sprintf("%s/%d/%d", g.held.Endpoint, c.openAt.UnixNano(), g.incarnation)
}

// advanceIncarnation increments the endpoint's incarnation at the first stream
// of the current one that was interrupted.
func (e *endpointState) advanceIncarnation(g *grant) {
	if g.incarnation == e.incarnation {
		e.incarnation++
	}
}
