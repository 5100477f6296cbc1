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
	grantTTL       = 10 * time.Second
	adoptTime      = 12 * time.Second
	endMemory      = 12 * time.Second
	breakAfter     = 3
	breakBase      = 500 * time.Millisecond
	breakMax       = 8 * time.Second
	prefixMemory   = 256
	memberMemory   = 30 * time.Second
	trainerReserve = 1
	smoothing      = 0.2
	coldSlowness   = 8
	enoughTokens   = 4
	// idleTrust is how long an engine without streams is taken to be as before.
	idleTrust         = 150 * time.Millisecond
	probationSlowness = 1.6
	distrustTime      = 5 * time.Second
)

// grant is one stream in use.
type grant struct {
	held    HeldStream
	entry   string
	run     string
	weight  int
	tokens  int
	renewed time.Time
	revoked bool
	granted time.Time
	life    int
	// healthy tells whether the endpoint had shown life since its last failure.
	healthy bool
}

// endpointState is what the owner knows of one endpoint.
type endpointState struct {
	config    document.Endpoint
	ramp      *ramp.Ramp
	running   int
	suspects  int
	life      int
	version   int64
	fails     int
	brokenTo  time.Time
	tokenTime float64
	prefixes  []string
	// distrust is until when the endpoint's word on its version is ignored,
	// after its chunks have shown an older one.
	distrust time.Time
	// failedAt is when a stream last failed, aliveAt when a whole answer or a
	// report last showed that the endpoint lives.
	failedAt, aliveAt time.Time
	// born is the start of the engine's process as its last report said; breaks are
	// the contents held to have crashed it since.
	born   int64
	breaks []crash
	// idleSince is when the last stream ended; zero while there are any.
	idleSince time.Time
	// probation is set after a pause, in which the endpoint may have started
	// anew unnoticed, until a report says that it is warm and an answer as fast
	// as before has come.
	probation      bool
	probationSince time.Time
	reportedWarmAt time.Time
}

// waiter is one queued Request.
type waiter struct {
	request Request
	reply   chan Reply
}

// cell is the owner's state of one cell. Its owner's lock guards it.
type cell struct {
	id         centre.CellID
	queue      *share.Queue
	waiters    map[string]*waiter
	grants     map[string]*grant
	endpoints  map[string]*endpointState
	openAt     time.Time
	memberSeen time.Time
	// knownWarm names the endpoints that the last owner knew as warm.
	knownWarm map[string]bool
	contents  *contents
	// ended holds when streams lately ended, also those that were given up before
	// they were granted: calls of one entry may be handled in another order.
	ended map[string]time.Time
}

func newCell(id centre.CellID, openAt time.Time) *cell {
	return &cell{id: id, queue: share.NewQueue(), waiters: map[string]*waiter{}, grants: map[string]*grant{}, endpoints: map[string]*endpointState{}, knownWarm: map[string]bool{}, contents: newContents(), ended: map[string]time.Time{}, openAt: openAt}
}

func rampSettings(e document.Endpoint) ramp.Settings {
	return ramp.Settings{Knee: e.Knee, ColdLimit: e.ColdLimit, WarmAfter: e.WarmAfter, ColdTime: e.ColdDuration()}
}

// update takes the endpoints of a new view or configuration over.
func (c *cell) update(names []string, config *document.Config) {
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
			Broken: now.Before(state.brokenTo), Cached: state.knows(prefix), Suspects: state.suspects, Failing: !state.isSound(), Slowness: 1,
		}
		if state.fails >= breakAfter && state.running > 0 {
			// Half open: one stream at a time shows whether it is back.
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

// limit is the ramp's limit. While another owner could exist, a warm endpoint
// gets half of it and a cold one nothing.
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

// isSound tells whether the endpoint has shown life since its last failure.
func (e *endpointState) isSound() bool {
	return e.failedAt.IsZero() || e.aliveAt.After(e.failedAt)
}

func (e *endpointState) knows(prefix string) bool {
	return prefix != "" && slices.Contains(e.prefixes, prefix)
}

func (e *endpointState) learn(prefix string) {
	if prefix == "" || e.knows(prefix) {
		return
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > prefixMemory {
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

// reserve is how many streams of each endpoint are kept from training while
// interactive work comes to this cell.
func (c *cell) reserve(now time.Time) int {
	if now.Sub(c.memberSeen) < memberMemory {
		return trainerReserve
	}
	return 0
}

func (c *cell) placementRequest(now time.Time, r Request) placement.Request {
	return placement.Request{
		MinVersion: r.MinVersion, Avoid: r.Avoid, Interactive: r.Interactive,
		Urgent: r.Urgent, Suspect: r.Suspect, Unproven: r.Fingerprint != "" && !c.contents.isProven(r.Fingerprint), Reserve: c.reserve(now), Only: c.only(r), CheapOnly: r.CheapOnly,
	}
}

// only returns the endpoints that the request is limited to: those that it names
// itself, or else those of this cell that its unproven content runs on.
func (c *cell) only(r Request) []string {
	switch {
	case c.contents.isProven(r.Fingerprint):
		return nil
	case len(r.Only) > 0:
		return r.Only
	default:
		return c.contents.only(r.Fingerprint, r.Crashes)
	}
}

// placed is a request that got its stream.
type placed struct {
	waiter   *waiter
	decision placement.Decision
}

// dispatch grants streams for as long as a waiting request fits somewhere.
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

// free counts the streams that are not in use, and those of them on reclaimable
// endpoints.
func (c *cell) free(now time.Time, view *centre.View) (all, cheap int) {
	for name, state := range c.endpoints {
		if now.Before(state.brokenTo) || view.IsLeaving(name) {
			continue
		}
		free := max(state.limit(view.Uncertain)-state.running, 0)
		all += free
		if state.config.Reclaimable {
			cheap += free
		}
	}
	return all, cheap
}

func (c *cell) hasFree(now time.Time, view *centre.View) bool {
	all, _ := c.free(now, view)
	return all > 0
}

// load describes the cell in a reply.
func (c *cell) load(now time.Time, view *centre.View, state State) Reply {
	reply := Reply{State: state, Queued: c.queue.Len(), Capacity: c.capacity(view)}
	if !now.Before(c.openAt) {
		reply.Free, reply.FreeCheap = c.free(now, view)
	}
	return reply
}

// capacity counts the streams that the cell may have.
func (c *cell) capacity(view *centre.View) int {
	capacity := 0
	for name, state := range c.endpoints {
		if !view.IsLeaving(name) {
			capacity += state.limit(view.Uncertain)
		}
	}
	return capacity
}

// usable tells whether any endpoint could take the request, now or later.
func (c *cell) usable(now time.Time, view *centre.View, r Request) bool {
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

// giveUp takes a request out of the queue whose entry no longer waits for it.
func (c *cell) giveUp(id string) {
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
	state.wakeUp(now)
	state.running++
	if r.Suspect {
		state.suspects++
	}
	state.learn(r.Prefix)
	c.contents.sent(r.Fingerprint, endpoint, now)
	c.grants[r.ID] = &grant{
		held:  HeldStream{ID: r.ID, Endpoint: endpoint, Workspace: r.Workspace, Fingerprint: r.Fingerprint, Suspect: r.Suspect},
		entry: r.Entry, run: r.Run, weight: r.Weight, tokens: r.Tokens, renewed: now, granted: now, life: state.life, healthy: state.isSound(),
	}
}

// mayAdopt tells whether an unknown stream can be one that an earlier owner
// granted: soon after the cell was opened, and not if its end came before a
// renewal that was sent earlier.
func (c *cell) mayAdopt(now time.Time, id string) bool {
	return now.Before(c.openAt.Add(adoptTime)) && !c.hasEnded(id)
}

func (c *cell) hasEnded(id string) bool {
	_, ended := c.ended[id]
	return ended
}

// forgetEnded forgets ends that no call sent before them can follow any more.
func (c *cell) forgetEnded(now time.Time) {
	for id, at := range c.ended {
		if now.Sub(at) > endMemory {
			delete(c.ended, id)
		}
	}
}

// adopt counts a stream that an earlier owner granted.
func (c *cell) adopt(now time.Time, entry, run string, held HeldStream) {
	c.grants[held.ID] = &grant{held: held, entry: entry, run: run, weight: 1, renewed: now}
	c.contents.sent(held.Fingerprint, held.Endpoint, now)
	state := c.endpoints[held.Endpoint]
	if state == nil {
		return
	}
	state.running++
	if held.Suspect {
		state.suspects++
	}
}

// drop ends a stream's count.
func (c *cell) drop(now time.Time, id string) (*grant, bool) {
	g, found := c.grants[id]
	if !found {
		return nil, false
	}
	delete(c.grants, id)
	c.contents.ended(g.held.Fingerprint, g.held.Endpoint)
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

// expire drops the streams whose entry has not renewed them, and returns them.
func (c *cell) expire(now time.Time) []HeldStream {
	var lapsed []HeldStream
	for id, g := range c.grants {
		if now.Sub(g.renewed) > grantTTL {
			lapsed = append(lapsed, g.held)
			c.drop(now, id)
		}
	}
	return lapsed
}

// learnOutcome updates what is known of the endpoint from a stream's end.
func (c *cell) learnOutcome(now time.Time, r Release) {
	state := c.endpoints[r.Endpoint]
	if state == nil {
		return
	}
	if r.Version > 0 {
		state.version = r.Version
	}
	switch r.Outcome {
	case Complete:
		state.fails = 0
		state.aliveAt = now
		if state.slowedDown(r.TokenTime) {
			c.cool(r.Endpoint)
			return
		}
		if r.TokenTime > 0 && state.reportedWarmAt.After(state.probationSince) {
			state.probation = false
		}
		state.ramp.RecordAnswer(now)
		state.measure(r.TokenTime)
	case Cancelled:
		// A straggler that was given up for a hedge tells how slow it was.
		if r.Tokens >= enoughTokens {
			state.measure(r.TokenTime)
		}
	case Stale:
		state.distrust = now.Add(distrustTime)
	case Refused, Crashed:
		state.fails++
		state.failedAt = now
		state.ramp.Reset()
		state.prefixes = nil
		state.brokenTo = now.Add(min(breakBase<<min(state.fails-1, 6), breakMax))
	}
}

// learnPace ends an engine's probation, or its warmth, by how fast a stream runs
// that was granted since: its whole answer may take minutes. It tells whether the
// engine may have more streams now.
func (c *cell) learnPace(g *grant, tokenTime time.Duration) bool {
	state := c.endpoints[g.held.Endpoint]
	if state == nil || tokenTime <= 0 || !state.probation || g.granted.Before(state.probationSince) {
		return false
	}
	if state.slowedDown(tokenTime) {
		c.cool(g.held.Endpoint)
		return false
	}
	state.probation = !state.reportedWarmAt.After(state.probationSince)
	return !state.probation
}

// wakeUp puts an engine on probation that had nothing to do for a while.
func (e *endpointState) wakeUp(now time.Time) {
	if e.running == 0 && !e.idleSince.IsZero() && now.Sub(e.idleSince) > idleTrust && e.config.Model != "" {
		e.probation = true
		e.probationSince = now
	}
}

// slowedDown tells whether a token took so much longer than before that the
// endpoint must have turned cold.
func (e *endpointState) slowedDown(tokenTime time.Duration) bool {
	limit := float64(coldSlowness)
	if e.probation {
		limit = probationSlowness
	}
	return e.tokenTime > 0 && float64(tokenTime) > limit*e.tokenTime && !e.ramp.IsCold()
}

func (e *endpointState) measure(tokenTime time.Duration) {
	if tokenTime <= 0 {
		return
	}
	if e.tokenTime == 0 {
		e.tokenTime = float64(tokenTime)
		return
	}
	e.tokenTime += smoothing * (float64(tokenTime) - e.tokenTime)
}

// cool puts an endpoint that reports a cold start back to its first stage and
// revokes the streams beyond what it bears.
func (c *cell) cool(endpoint string) int {
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
