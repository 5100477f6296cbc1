package pool

import (
	"slices"
	"sort"
	"time"

	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/placement"
	"sesamepitch/src/ramp"
	"sesamepitch/src/share"
)

const (
	// grantTTL is how long a grant lasts without a renewal.
	grantTTL = 10 * time.Second
	// takeoverWindow is how long after a cell is opened its owner accepts streams
	// that an earlier owner granted.
	takeoverWindow = 12 * time.Second
	// endedRetention is how long the ends of streams are remembered.
	endedRetention = 12 * time.Second
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
	// interactiveWindow is how long after an interactive request a cell keeps
	// interactiveReserve streams of each endpoint free of training.
	interactiveWindow  = 30 * time.Second
	interactiveReserve = 1
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

// waiter is one queued Request.
type waiter struct {
	request Request
	reply   chan Reply
}

// cell is the owner's state of one cell. Owner.mu guards it.
type cell struct {
	id              centre.CellID
	queue           *share.Queue
	waiters         map[string]*waiter
	grants          map[string]*grant
	endpoints       map[string]*endpointState
	openAt          time.Time
	lastInteractive time.Time
	// knownWarm names the endpoints that were warm under the previous owner.
	knownWarm map[string]bool
	contents  *contents
	// ended holds when streams ended, including those given up before they were
	// granted: calls of one entry may be handled out of order.
	ended map[string]time.Time
}

func newCell(id centre.CellID, openAt time.Time) *cell {
	return &cell{id: id, queue: share.NewQueue(), waiters: map[string]*waiter{}, grants: map[string]*grant{}, endpoints: map[string]*endpointState{}, knownWarm: map[string]bool{}, contents: newContents(), ended: map[string]time.Time{}, openAt: openAt}
}

func rampSettings(e document.Endpoint) ramp.Settings {
	return ramp.Settings{Knee: e.Knee, ColdLimit: e.ColdLimit, WarmAfter: e.WarmAfter, ColdTime: e.ColdDuration()}
}

// updateEndpoints applies the endpoints of a new view or configuration.
func (c *cell) updateEndpoints(names []string, config *document.Config) {
	wanted := map[string]bool{}
	for _, name := range names {
		endpoint, found := config.Endpoint(name)
		if !found {
			continue
		}
		wanted[name] = true
		state := c.endpoints[name]
		if state == nil || state.config.Address != endpoint.Address {
			c.endpoints[name] = c.newEndpoint(endpoint)
			continue
		}
		state.config = endpoint
		state.ramp.Update(rampSettings(endpoint))
	}
	for name := range c.endpoints {
		if !wanted[name] {
			delete(c.endpoints, name)
		}
	}
}

func (c *cell) newEndpoint(endpoint document.Endpoint) *endpointState {
	state := &endpointState{config: endpoint, ramp: ramp.New(rampSettings(endpoint)), running: c.runningOn(endpoint.Name)}
	if c.knownWarm[endpoint.Name] {
		delete(c.knownWarm, endpoint.Name)
		state.ramp.StartWarm()
	}
	return state
}

func (c *cell) runningOn(endpoint string) int {
	running := 0
	for _, g := range c.grants {
		if g.held.Endpoint == endpoint {
			running++
		}
	}
	return running
}

// candidates describes the endpoints for a request with this prefix.
func (c *cell) candidates(now time.Time, view *centre.View, prefix string) []placement.Candidate {
	median := c.medianTokenTime()
	list := make([]placement.Candidate, 0, len(c.endpoints))
	for name, state := range c.endpoints {
		candidate := placement.Candidate{
			Name: name, Running: state.running, Limit: state.limit(view.Uncertain), Version: state.version,
			Reclaimable: state.config.Reclaimable, Leaving: view.IsLeaving(name),
			Broken: now.Before(state.brokenUntil), Cached: state.hasCached(prefix), Suspects: state.suspects, Failing: !state.isHealthy(), Slowness: 1,
		}
		if state.failures >= breakerThreshold && state.running > 0 {
			// Half open: one stream at a time tests whether the endpoint has
			// recovered.
			candidate.Broken = true
		}
		if median > 0 && state.tokenTime > 0 {
			candidate.Slowness = state.tokenTime / median
		}
		list = append(list, candidate)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
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

func (c *cell) medianTokenTime() float64 {
	var times []float64
	for _, state := range c.endpoints {
		if state.tokenTime > 0 {
			times = append(times, state.tokenTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Float64s(times)
	return times[(len(times)-1)/2]
}

// reserve returns how many streams of each endpoint are kept free of training,
// which is none unless the cell got interactive requests lately.
func (c *cell) reserve(now time.Time) int {
	if now.Sub(c.lastInteractive) < interactiveWindow {
		return interactiveReserve
	}
	return 0
}

func (c *cell) placementRequest(now time.Time, r Request) placement.Request {
	return placement.Request{
		MinVersion: r.MinVersion, Avoid: r.Avoid, Interactive: r.Interactive,
		Urgent: r.Urgent, Suspect: r.Suspect, Unproven: r.Fingerprint != "" && !c.contents.isProven(r.Fingerprint), Reserve: c.reserve(now), Only: c.allowedEndpoints(r), CheapOnly: r.CheapOnly,
	}
}

// allowedEndpoints returns the endpoints that the request is limited to: those
// that it names, or else those of this cell that its unproven content runs on.
func (c *cell) allowedEndpoints(r Request) []string {
	switch {
	case c.contents.isProven(r.Fingerprint):
		return nil
	case len(r.Only) > 0:
		return r.Only
	default:
		return c.contents.allowedEndpoints(r.Fingerprint, r.Crashes)
	}
}

// placed is a request that was granted its stream.
type placed struct {
	waiter   *waiter
	decision placement.Decision
}

// dispatch grants streams as long as an endpoint has room for a waiting request.
func (c *cell) dispatch(now time.Time, view *centre.View) []placed {
	if now.Before(c.openAt) {
		return nil
	}
	var granted []placed
	for c.queue.Len() > 0 && c.hasFree(now, view) {
		var decision placement.Decision
		item, found := c.queue.Next(func(item share.Request) bool {
			r := c.waiters[item.ID].request
			var fits bool
			decision, fits = placement.Choose(c.placementRequest(now, r), c.candidates(now, view, r.Prefix))
			return fits
		})
		if !found {
			break
		}
		w := c.waiters[item.ID]
		delete(c.waiters, item.ID)
		c.grant(now, w.request, decision.Endpoint)
		granted = append(granted, placed{waiter: w, decision: decision})
	}
	return granted
}

// free counts the free streams, and those of them on reclaimable endpoints.
func (c *cell) free(now time.Time, view *centre.View) (all, reclaimable int) {
	for name, state := range c.endpoints {
		if now.Before(state.brokenUntil) || view.IsLeaving(name) {
			continue
		}
		free := max(state.limit(view.Uncertain)-state.running, 0)
		all += free
		if state.config.Reclaimable {
			reclaimable += free
		}
	}
	return all, reclaimable
}

func (c *cell) hasFree(now time.Time, view *centre.View) bool {
	all, _ := c.free(now, view)
	return all > 0
}

// load returns the cell's load as a reply.
func (c *cell) load(now time.Time, view *centre.View, state State) Reply {
	reply := Reply{State: state, Queued: c.queue.Len(), Capacity: c.capacity(view)}
	if !now.Before(c.openAt) {
		reply.Free, reply.FreeCheap = c.free(now, view)
	}
	return reply
}

// capacity returns the number of streams that the cell may have.
func (c *cell) capacity(view *centre.View) int {
	capacity := 0
	for name, state := range c.endpoints {
		if !view.IsLeaving(name) {
			capacity += state.limit(view.Uncertain)
		}
	}
	return capacity
}

// hasUsableEndpoint reports whether any endpoint could take the request, now or
// once it has room.
func (c *cell) hasUsableEndpoint(now time.Time, view *centre.View, r Request) bool {
	for _, candidate := range c.candidates(now, view, "") {
		if len(r.Only) > 0 && !slices.Contains(r.Only, candidate.Name) {
			continue
		}
		stale := candidate.Version != 0 && candidate.Version < r.MinVersion
		if !candidate.Leaving && !candidate.Broken && !stale && candidate.Limit > 0 {
			return true
		}
	}
	return false
}

// cancelWaiter removes a request from the queue that its entry has given up.
func (c *cell) cancelWaiter(id string) {
	w, waiting := c.waiters[id]
	if !waiting {
		return
	}
	delete(c.waiters, id)
	c.queue.Remove(id)
	w.reply <- Reply{State: Moved}
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
