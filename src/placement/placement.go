// Package placement decides on which endpoint a request runs. It keeps no
// clock and does no I/O.
package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Candidate is one endpoint as its owner knows it.
type Candidate struct {
	Name        string
	Running     int
	Limit       int
	Version     int64
	Reclaimable bool
	Leaving     bool
	Broken      bool
	// Slowness is the time of a token relative to the pool's median.
	Slowness float64
	// Cached tells whether the request's prefix was served there lately.
	Cached bool
	// Failing endpoints broke a stream off and have shown no life since.
	Failing bool
	// Suspects counts running requests whose content has crashed an endpoint.
	Suspects int
}

// Request is what placement needs to know of a request.
type Request struct {
	MinVersion int64
	Avoid      []string
	// Interactive requests keep off reclaimable endpoints and may use the
	// streams held back from training.
	Interactive bool
	// Urgent requests keep off reclaimable and slow endpoints.
	Urgent bool
	// Suspect requests never share an endpoint with each other.
	Suspect bool
	// Unproven requests keep off endpoints that have shown no life since they
	// last failed.
	Unproven bool
	// Reserve is how many streams of each endpoint are kept for interactive work.
	Reserve int
	// CheapOnly requests run on reclaimable endpoints.
	CheapOnly bool
	// Only names the endpoints that the request may use; any if empty.
	Only []string
}

// Decision is the endpoint chosen, why, and what was passed over.
type Decision struct {
	Endpoint string
	Reason   string
	Passed   string
}

const (
	// cacheGain is how much emptier an endpoint without the prefix must be.
	cacheGain = 0.35
	// slowCost is the score of one more token time.
	slowCost = 0.5
	// reclaimCost keeps urgent and interactive work off reclaimable endpoints
	// while others have room.
	reclaimCost = 2.0
	// cheapGain draws work that can be redone to reclaimable endpoints until they
	// are full: up to its knee an endpoint is as fast as an empty one.
	cheapGain = 1.5
	// cheapSlowest is the time of a token, relative to the pool's median, from which
	// a lower price draws no work.
	cheapSlowest = 1.5
	// slowLimit is the time of a token, relative to the pool's median, from which
	// an endpoint gets no work while others are fast.
	slowLimit = 3.0
)

// Choose picks the endpoint with the lowest score.
func Choose(request Request, candidates []Candidate) (Decision, bool) {
	best, bestScore, found := Candidate{}, 0.0, false
	var passed []string
	spare, sound := hasFast(candidates), hasSound(candidates)
	for _, c := range candidates {
		reason := unfit(request, c)
		switch {
		case reason != "":
		case spare && tooSlow(request, c):
			reason = "slow"
		case sound && request.Unproven && c.Failing:
			reason = "failing"
		}
		if reason != "" {
			passed = append(passed, c.Name+":"+reason)
			continue
		}
		score := scoreOf(request, c)
		if !found || score < bestScore || (score == bestScore && c.Name < best.Name) {
			best, bestScore, found = c, score, true
		}
	}
	sort.Strings(passed)
	if !found {
		return Decision{Passed: strings.Join(passed, ",")}, false
	}
	reason := fmt.Sprintf("running %d/%d score %.2f", best.Running, best.Limit, bestScore)
	if best.Cached {
		reason += " cached"
	}
	return Decision{Endpoint: best.Name, Reason: reason, Passed: strings.Join(passed, ",")}, true
}

// hasSound tells whether an endpoint works that has shown life since it last
// failed; only there a crash says something of the content.
func hasSound(candidates []Candidate) bool {
	for _, c := range candidates {
		if !c.Leaving && !c.Broken && !c.Failing {
			return true
		}
	}
	return false
}

// hasFast tells whether an endpoint that works is not slow.
func hasFast(candidates []Candidate) bool {
	for _, c := range candidates {
		if !c.Leaving && !c.Broken && c.Slowness <= slowLimit {
			return true
		}
	}
	return false
}

// tooSlow tells whether waiting for another endpoint is better. One stream that
// can be redone shows whether a slow endpoint has recovered.
func tooSlow(request Request, c Candidate) bool {
	return c.Slowness > slowLimit && (c.Running > 0 || request.Interactive || request.Urgent)
}

// unfit returns why a candidate cannot take the request, empty if it can.
func unfit(request Request, c Candidate) string {
	limit := c.Limit
	if !request.Interactive && limit > request.Reserve+1 {
		limit -= request.Reserve
	}
	switch {
	case len(request.Only) > 0 && !slices.Contains(request.Only, c.Name):
		return "unproven"
	case request.CheapOnly && !(c.Reclaimable && c.Slowness < cheapSlowest):
		return "dear"
	case c.Leaving:
		return "leaving"
	case c.Broken:
		return "broken"
	case c.Running >= limit:
		return "full"
	case c.Version != 0 && c.Version < request.MinVersion:
		return "stale"
	case request.Suspect && c.Suspects > 0:
		return "suspect"
	}
	if slices.Contains(request.Avoid, c.Name) {
		return "avoided"
	}
	return ""
}

func scoreOf(request Request, c Candidate) float64 {
	score := float64(c.Running) / float64(max(c.Limit, 1))
	if c.Cached {
		score -= cacheGain
	}
	if c.Slowness > 1 {
		score += slowCost * (c.Slowness - 1)
	}
	switch {
	case c.Reclaimable && (request.Interactive || request.Urgent):
		score += reclaimCost
	case c.Reclaimable && c.Slowness < cheapSlowest:
		score -= cheapGain
	}
	return score
}
