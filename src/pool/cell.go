package pool

import (
	"slices"
	"sort"
	"time"

	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/placement"
	"sesamepitch/src/share"
)

const (
	// interactiveWindow is how long after an interactive request a cell keeps
	// interactiveReserve streams of each endpoint free of training.
	interactiveWindow  = 30 * time.Second
	interactiveReserve = 1
)

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
