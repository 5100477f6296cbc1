// Package reward decides when the calls that score complete outputs are sent:
// which waiting call goes first, when one is sent again, and when its item is
// given up. It holds no connections and reads no clock.
package reward

import (
	"cmp"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	// maxConcurrentTries is the number of endpoints that may work on a call at the
	// same time.
	maxConcurrentTries = 2
	// overloadBackoff is the delay after an endpoint has refused a call.
	overloadBackoff = 60 * time.Millisecond
	// unsentBackoff is the delay after no endpoint was reached.
	unsentBackoff = 30 * time.Millisecond
	// A call that may have run and was not answered waits for lostBackoff, doubled
	// each time up to maxLostBackoff: the endpoints may be down.
	lostBackoff    = 50 * time.Millisecond
	maxLostBackoff = time.Second
	// minFailedEndpoints is the number of endpoints that must have failed a call
	// before it is given up, so that one bad endpoint can't decide it alone.
	minFailedEndpoints = 2
	// oneSidedFactor is the multiple of the allowed failures after which a call is
	// given up although only one endpoint has failed it.
	oneSidedFactor = 2
)

// Call is the state of one reward call.
type Call struct {
	tries     []try
	notBefore time.Time
	// failedAt lists the endpoints that ran the call and failed, one entry for each
	// failure.
	failedAt []string
	// lost counts the tries in a row without an answer.
	lost int
	// lastAt is the endpoint of the last try that got no answer.
	lastAt string
	sent   int
}

// try is a send that has not ended yet.
type try struct {
	endpoint string
	sentAt   time.Time
}

// Sent returns how often the call was sent.
func (c *Call) Sent() int { return c.sent }

// Failures returns how often an endpoint ran the call and failed.
func (c *Call) Failures() int { return len(c.failedAt) }

// IsDue reports whether to send the call now: it is not under way and its delay
// is over, or the endpoint that works on it is late by patience.
func (c *Call) IsDue(now time.Time, patience time.Duration) bool {
	if now.Before(c.notBefore) || len(c.tries) >= maxConcurrentTries {
		return false
	}
	for _, t := range c.tries {
		if now.Sub(t.sentAt) < patience {
			return false
		}
	}
	return true
}

// NotBefore returns the earliest time of the next try.
func (c *Call) NotBefore() time.Time { return c.notBefore }

// Busy returns the endpoints that work on the call.
func (c *Call) Busy() []string {
	var busy []string
	for _, t := range c.tries {
		busy = append(busy, t.endpoint)
	}
	return busy
}

// Avoided returns the endpoints that have failed the call or did not answer it.
func (c *Call) Avoided() []string {
	avoided := slices.Clone(c.failedAt)
	if c.lastAt != "" {
		avoided = append(avoided, c.lastAt)
	}
	return avoided
}

// Begin records that the call is sent to an endpoint.
func (c *Call) Begin(endpoint string, now time.Time) {
	c.tries = append(c.tries, try{endpoint: endpoint, sentAt: now})
	c.sent++
}

// Fail records a try without a score and sets the time of the next one.
func (c *Call) Fail(endpoint string, kind sesamepitch.Kind, now time.Time) {
	c.tries = slices.DeleteFunc(c.tries, func(t try) bool { return t.endpoint == endpoint })
	switch kind {
	case sesamepitch.KindFailed:
		c.failedAt = append(c.failedAt, endpoint)
		c.lost, c.lastAt = 0, ""
		c.notBefore = now
	case sesamepitch.KindOverloaded:
		c.lastAt = endpoint
		c.notBefore = now.Add(overloadBackoff)
	case sesamepitch.KindUnavailable:
		c.lastAt = endpoint
		c.notBefore = now.Add(unsentBackoff)
	default:
		c.lastAt = endpoint
		c.notBefore = now.Add(min(lostBackoff<<min(c.lost, 10), maxLostBackoff))
		c.lost++
	}
}

// IsHopeless reports whether the call may be given up: it has failed as often as
// its route allows, at more than one endpoint if the service has several.
func (c *Call) IsHopeless(route sesamepitch.RewardRoute, endpoints int) bool {
	allowed := max(route.MaxAttempts, 1)
	if len(c.failedAt) < allowed {
		return false
	}
	distinct := slices.Clone(c.failedAt)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	return len(distinct) >= min(minFailedEndpoints, endpoints) || len(c.failedAt) >= oneSidedFactor*allowed
}

// Priority orders waiting calls.
type Priority struct {
	// TargetMet is set if the trainer waits for no further result of the job.
	TargetMet bool
	// Deadline is when the job's results are due.
	Deadline time.Time
	// GroupLeft is the number of unfinished items in the item's group: a group
	// counts only as a whole.
	GroupLeft int
}

// Compare returns a negative number if a call of priority a goes before one of b.
// All calls take about the same time, so the earlier deadline has less slack.
func Compare(a, b Priority) int {
	if a.TargetMet != b.TargetMet {
		if a.TargetMet {
			return 1
		}
		return -1
	}
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.GroupLeft, b.GroupLeft))
}
