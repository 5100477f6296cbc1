package pool

import (
	"slices"
	"time"

	"sesamepitch/src/document"
	"sesamepitch/src/ramp"
)

const (
	// breakerThreshold is the number of consecutive failures after which an
	// endpoint gets one stream at a time.
	breakerThreshold = 3
	// breakerBaseDelay is how long an endpoint gets no stream after a failure. It
	// doubles with each consecutive failure, up to breakerMaxDelay.
	breakerBaseDelay = 500 * time.Millisecond
	breakerMaxDelay  = 8 * time.Second
	// maxPrefixes limits the prompt prefixes that an endpoint is assumed to have
	// cached.
	maxPrefixes = 256
	// tokenTimeSmoothing is the weight of a new measurement in the moving average
	// of the time per token.
	tokenTimeSmoothing = 0.2
	// coldSlowdown is the ratio of a token time to the average above which an
	// endpoint counts as cold; probationSlowdown is the ratio during probation.
	coldSlowdown = 8
	// minMeasuredTokens is how many tokens a cancelled stream needs for its token
	// time to be recorded.
	minMeasuredTokens = 4
	// probationIdleTime is how long an engine may be idle before its next stream
	// puts it on probation, since it may have restarted meanwhile.
	probationIdleTime = 150 * time.Millisecond
	probationSlowdown = 1.6
	// versionIgnoreTime is how long the version in load reports is ignored after
	// chunks have shown an older one.
	versionIgnoreTime = 5 * time.Second
)

// endpointState is the owner's state of one endpoint.
type endpointState struct {
	config   document.Endpoint
	ramp     *ramp.Ramp
	running  int
	suspects int
	// incarnation increases with each crash of the endpoint.
	incarnation int
	version     int64
	failures    int
	brokenUntil time.Time
	tokenTime   float64
	prefixes    []string
	// ignoreVersionUntil ends the time in which the version in load reports is
	// ignored, after chunks have shown an older one.
	ignoreVersionUntil time.Time
	// lastFailure is when a stream last failed, lastHealthy when a complete answer
	// or a load report last showed that the endpoint works.
	lastFailure, lastHealthy time.Time
	// processStart is the start of the engine's process in its last load report;
	// pendingCrashes are the crashes attributed to contents since.
	processStart   int64
	pendingCrashes []pendingCrash
	// idleSince is when the last stream ended; zero while streams run.
	idleSince time.Time
	// probation is set after an idle time, in which the endpoint may have
	// restarted unnoticed, until a load report shows that it is warm and a stream
	// runs as fast as before.
	probation      bool
	probationSince time.Time
	reportedWarmAt time.Time
}

func rampSettings(e document.Endpoint) ramp.Settings {
	return ramp.Settings{Knee: e.Knee, ColdLimit: e.ColdLimit, WarmAfter: e.WarmAfter, ColdTime: e.ColdDuration()}
}

func (c *cell) newEndpoint(endpoint document.Endpoint) *endpointState {
	state := &endpointState{config: endpoint, ramp: ramp.New(rampSettings(endpoint)), running: c.runningOn(endpoint.Name)}
	if c.knownWarm[endpoint.Name] {
		delete(c.knownWarm, endpoint.Name)
		state.ramp.StartWarm()
	}
	return state
}

// limit returns the number of streams that the endpoint may have. While another
// owner could exist, a warm endpoint gets half of it and a cold one none.
func (e *endpointState) limit(uncertain bool) int {
	limit := e.ramp.Limit()
	if e.probation {
		limit = min(limit, e.config.ColdLimit)
	}
	switch {
	case !uncertain:
		return limit
	case e.ramp.IsCold():
		return 0
	default:
		return max(limit/2, 1)
	}
}

// isHealthy reports whether the endpoint has worked since its last failure.
func (e *endpointState) isHealthy() bool {
	return e.lastFailure.IsZero() || e.lastHealthy.After(e.lastFailure)
}

func (e *endpointState) hasCached(prefix string) bool {
	return prefix != "" && slices.Contains(e.prefixes, prefix)
}

func (e *endpointState) recordPrefix(prefix string) {
	if prefix == "" || e.hasCached(prefix) {
		return
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > maxPrefixes {
		e.prefixes = e.prefixes[1:]
	}
}

// recordOutcome updates the endpoint's state from the end of a stream.
func (c *cell) recordOutcome(now time.Time, r Release) {
	state := c.endpoints[r.Endpoint]
	if state == nil {
		return
	}
	if r.Version > 0 {
		state.version = r.Version
	}
	switch r.Outcome {
	case Complete:
		state.failures = 0
		state.lastHealthy = now
		if state.slowedDown(r.TokenTime) {
			c.markCold(r.Endpoint)
			return
		}
		if r.TokenTime > 0 && state.reportedWarmAt.After(state.probationSince) {
			state.probation = false
		}
		state.ramp.RecordAnswer(now)
		state.recordTokenTime(r.TokenTime)
	case Cancelled:
		// The token time of a straggler that lost to its hedge shows how slow the
		// endpoint is.
		if r.Tokens >= minMeasuredTokens {
			state.recordTokenTime(r.TokenTime)
		}
	case Stale:
		state.ignoreVersionUntil = now.Add(versionIgnoreTime)
	case Refused, Crashed:
		state.failures++
		state.lastFailure = now
		state.ramp.Reset()
		state.prefixes = nil
		state.brokenUntil = now.Add(min(breakerBaseDelay<<min(state.failures-1, 6), breakerMaxDelay))
	}
}

// checkProbation compares the token time of a running stream, granted since the
// probation began, with the average: the engine leaves probation, or counts as
// cold. It doesn't wait for the complete answer, which may take minutes. It
// reports whether the engine may have more streams now.
func (c *cell) checkProbation(g *grant, tokenTime time.Duration) bool {
	state := c.endpoints[g.held.Endpoint]
	if state == nil || tokenTime <= 0 || !state.probation || g.granted.Before(state.probationSince) {
		return false
	}
	if state.slowedDown(tokenTime) {
		c.markCold(g.held.Endpoint)
		return false
	}
	state.probation = !state.reportedWarmAt.After(state.probationSince)
	return !state.probation
}

// beginProbationIfIdle puts an engine on probation that was idle for longer than
// probationIdleTime.
func (e *endpointState) beginProbationIfIdle(now time.Time) {
	if e.running == 0 && !e.idleSince.IsZero() && now.Sub(e.idleSince) > probationIdleTime && e.config.Model != "" {
		e.probation = true
		e.probationSince = now
	}
}

// slowedDown reports whether the token time has grown so much that the endpoint
// must be cold.
func (e *endpointState) slowedDown(tokenTime time.Duration) bool {
	limit := float64(coldSlowdown)
	if e.probation {
		limit = probationSlowdown
	}
	return e.tokenTime > 0 && float64(tokenTime) > limit*e.tokenTime && !e.ramp.IsCold()
}

func (e *endpointState) recordTokenTime(tokenTime time.Duration) {
	if tokenTime <= 0 {
		return
	}
	if e.tokenTime == 0 {
		e.tokenTime = float64(tokenTime)
		return
	}
	e.tokenTime += tokenTimeSmoothing * (float64(tokenTime) - e.tokenTime)
}

// markCold resets the ramp of an endpoint in cold start and revokes the streams
// above its new limit. It returns the number of streams revoked.
func (c *cell) markCold(endpoint string) int {
	state := c.endpoints[endpoint]
	if state == nil || state.ramp.IsCold() {
		return 0
	}
	state.ramp.Reset()
	excess := state.running - state.ramp.Limit()
	revoked := 0
	for _, g := range c.grants {
		if revoked >= excess {
			break
		}
		if g.held.Endpoint == endpoint && !g.revoked {
			g.revoked = true
			revoked++
		}
	}
	return revoked
}
