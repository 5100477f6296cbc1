// Package placement decides on which endpoint a request runs. It reads no clock
// and does no I/O.
package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Candidate is the state of an endpoint as recorded by its cell's owner.
type Candidate struct {
	Name string
	// Running is the number of streams in use, and Limit their maximum.
	Running int
	Limit   int
	// Version is the endpoint's weight version; 0 passes every minimum version.
	Version     int64
	Reclaimable bool
	Leaving     bool
	// Broken is set while the endpoint's circuit breaker is open.
	Broken bool
	// Slowness is the time per token relative to the pool's median.
	Slowness float64
	// Cached is set if the endpoint has recently served the request's prefix.
	Cached bool
	// Failing is set if the endpoint has shown no activity since its last failure.
	Failing bool
	// Suspects is the number of running requests with suspected content.
	Suspects int
}

// Request is the part of a request that placement depends on.
type Request struct {
	MinVersion int64
	Avoid      []string
	// Interactive requests avoid reclaimable endpoints and may use the reserved
	// streams.
	Interactive bool
	// Urgent requests avoid reclaimable and slow endpoints.
	Urgent bool
	// Suspect requests have suspected content: endpoints failed while they ran it. No
	// two of them share an endpoint.
	Suspect bool
	// Unproven requests have content that was never answered completely. They avoid
	// failing endpoints as long as a healthy one exists.
	Unproven bool
	// Reserve is the number of streams of each endpoint that are reserved for
	// interactive requests. It does not apply to an endpoint on which it would leave
	// fewer than two streams for the others.
	Reserve int
	// CheapOnly requests run only on reclaimable endpoints with a slowness below
	// bonusSlownessLimit.
	CheapOnly bool
	// Only lists the endpoints that the request may use, such as those that its
	// unproven content already runs on; empty means any.
	Only []string
}

// Decision is the chosen endpoint with the reasons for the choice.
type Decision struct {
	Endpoint string
	Reason   string
	// Passed lists the excluded endpoints as sorted name:reason pairs, separated by
	// commas.
	Passed string
}

const (
	// cachedBonus is how much lower the load of an endpoint without the prefix must
	// be, as a fraction of its limit, for it to be preferred.
	cachedBonus = 0.35
	// slownessPenalty is added to the score for each multiple of the median time per
	// token by which the endpoint exceeds the median.
	slownessPenalty = 0.5
	// reclaimablePenalty keeps urgent and interactive requests off reclaimable
	// endpoints while others have free streams.
	reclaimablePenalty = 2.0
	// reclaimableBonus makes other requests, which can be repeated, fill reclaimable
	// endpoints first: up to its knee an endpoint is as fast as an idle one.
	reclaimableBonus = 1.5
	// bonusSlownessLimit is the slowness from which an endpoint gets no
	// reclaimableBonus.
	bonusSlownessLimit = 1.5
	// slowLimit is the slowness above which an endpoint gets no requests, except for
	// probes, while one at or below it exists.
	slowLimit = 3.0
)

// Choose returns the candidate with the lowest score, and whether any candidate
// may take the request.
func Choose(request Request, candidates []Candidate) (Decision, bool) {
	best, bestScore, found := Candidate{}, 0.0, false
	var passed []string
	anyFast, anyHealthy := hasFast(candidates), hasHealthy(candidates)
	for _, c := range candidates {
		reason := exclusionReason(request, c)
		switch {
		case reason != "":
		case anyFast && tooSlow(request, c):
			reason = "slow"
		case anyHealthy && request.Unproven && c.Failing:
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

// hasHealthy reports whether a usable endpoint is not failing. Only a crash on such
// an endpoint is evidence against the content.
func hasHealthy(candidates []Candidate) bool {
	for _, c := range candidates {
		if !c.Leaving && !c.Broken && !c.Failing {
			return true
		}
	}
	return false
}

// hasFast reports whether a usable endpoint is not slow.
func hasFast(candidates []Candidate) bool {
	for _, c := range candidates {
		if !c.Leaving && !c.Broken && c.Slowness <= slowLimit {
			return true
		}
	}
	return false
}

// tooSlow reports whether the request should wait for a faster endpoint. A slow
// endpoint gets one request that can be repeated at a time, as a probe of whether
// it has recovered.
func tooSlow(request Request, c Candidate) bool {
	return c.Slowness > slowLimit && (c.Running > 0 || request.Interactive || request.Urgent)
}

// exclusionReason returns why a candidate cannot take the request; empty if it can.
func exclusionReason(request Request, c Candidate) string {
	limit := c.Limit
	if !request.Interactive && limit > request.Reserve+1 {
		limit -= request.Reserve
	}
	switch {
	case len(request.Only) > 0 && !slices.Contains(request.Only, c.Name):
		return "unproven"
	case request.CheapOnly && !(c.Reclaimable && c.Slowness < bonusSlownessLimit):
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
		score -= cachedBonus
	}
	if c.Slowness > 1 {
		score += slownessPenalty * (c.Slowness - 1)
	}
	switch {
	case c.Reclaimable && (request.Interactive || request.Urgent):
		score += reclaimablePenalty
	case c.Reclaimable && c.Slowness < bonusSlownessLimit:
		score -= reclaimableBonus
	}
	return score
}
