package pool

import (
	"context"
	"net/rpc"
	"sort"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	// QuarantineAfter is the number of endpoints that a content may crash before
	// it is quarantined.
	QuarantineAfter      = 2
	housekeepingInterval = 250 * time.Millisecond
	loadReportInterval   = time.Second
)

// Membership gives an owner the view of its data centre and receives what it
// measured of endpoints.
type Membership interface {
	View() *centre.View
	Owns(id centre.CellID) bool
	OwnedCells() []centre.Cell
	NoteVersion(endpoint string, version int64)
	NoteWarm(endpoints []string)
}

// Load is an engine's load report, which may lag behind its state.
type Load struct {
	Version int64
	Cold    bool
	// ProcessStart is the start of the engine's process in Unix milliseconds; zero
	// if the engine does not report it.
	ProcessStart int64
}

// LoadReader reads load reports from engines.
type LoadReader interface {
	ReadLoad(ctx context.Context, address string) (Load, error)
}

// UsageReplica keeps usage records of other daemons until they are in the table.
type UsageReplica interface {
	// Keep stores the usage that an entry reported with a release, if it is billed.
	Keep(r Release)
	// Flushed deletes the records up to the watermark, which are in the table.
	Flushed(watermark UsageWatermark)
}

// Owner grants the streams of the cells that this daemon owns.
type Owner struct {
	clock         sesamepitch.Clock
	log           logr.Logger
	membership    Membership
	centre        string
	holder        *document.Holder
	notices       *notice.Set
	loads         LoadReader
	usageReplica  UsageReplica
	takeoverDelay time.Duration

	// reportNow wakes the load poll when an engine goes on probation.
	reportNow chan struct{}
	// lastLoadPoll is when all engines were last asked for a load report.
	lastLoadPoll time.Time

	mu    sync.Mutex
	cells map[centre.CellID]*cell
}

// OwnerOption configures an Owner.
type OwnerOption func(*Owner)

// WithTakeoverDelay sets how long a new owner waits before it grants streams, so
// that entries can report the streams that an earlier owner granted.
func WithTakeoverDelay(d time.Duration) OwnerOption {
	return func(o *Owner) { o.takeoverDelay = d }
}

// WithUsageReplica sets the store for usage records of other daemons.
func WithUsageReplica(replica UsageReplica) OwnerOption {
	return func(o *Owner) { o.usageReplica = replica }
}

const defaultTakeoverDelay = 2500 * time.Millisecond

// NewOwner returns the owner of a daemon's cells in a data centre.
func NewOwner(clock sesamepitch.Clock, log logr.Logger, membership Membership, centreName string, holder *document.Holder, notices *notice.Set, loads LoadReader, options ...OwnerOption) *Owner {
	o := &Owner{
		clock: clock, log: log, membership: membership, centre: centreName, holder: holder, notices: notices, loads: loads,
		takeoverDelay: defaultTakeoverDelay, cells: map[centre.CellID]*cell{}, reportNow: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Register adds the owner's methods to a net/rpc server.
func (o *Owner) Register(server *rpc.Server) error {
	return server.RegisterName("Pool", &Service{owner: o})
}

// Workers returns the owner's supervised tasks.
func (o *Owner) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("cells", func(ctx context.Context) error {
			return supervisor.Every(ctx, o.clock, housekeepingInterval, func(context.Context) { o.ReconcileCells() })
		}),
		supervisor.NewWorker("load-reports", func(ctx context.Context) error {
			return supervisor.EveryOr(ctx, o.clock, housekeepingInterval, o.reportNow, o.ReadLoads)
		}),
	}
}

// ReconcileCells opens newly owned cells, drops those no longer owned, and
// expires streams.
func (o *Owner) ReconcileCells() {
	owned := map[centre.CellID]centre.Cell{}
	for _, c := range o.membership.OwnedCells() {
		owned[c.ID] = c
	}
	config, now := o.holder.Current(), o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, state := range o.cells {
		if _, found := owned[id]; !found {
			delete(o.cells, id)
			state.answerAll(Reply{State: Moved})
		}
	}
	var warm []string
	for id, c := range owned {
		state := o.cells[id]
		if state == nil {
			state = o.openCell(id, now)
		}
		state.updateEndpoints(c.Endpoints, config)
		state.pruneEnded(now)
		for _, held := range state.expire(now) {
			o.log.Info("stream expired", "request", held.ID, "workspace", held.Workspace, "endpoint", held.Endpoint, "reason", "not renewed")
		}
		warm = append(warm, state.warmEndpoints()...)
		o.dispatch(state)
	}
	sort.Strings(warm)
	o.membership.NoteWarm(warm)
}

// openCell opens a newly owned cell, which grants streams after the takeover delay, or
// at once if no cell had an owner before. Endpoints that were warm under the previous
// owner start at half their knee, all others in cold start.
func (o *Owner) openCell(id centre.CellID, now time.Time) *cell {
	view := o.membership.View()
	openAt := now.Add(o.takeoverDelay)
	if view.FirstOwners {
		openAt = now
	}
	state := newCell(id, openAt)
	for _, name := range view.Warm {
		state.knownWarm[name] = true
	}
	o.cells[id] = state
	o.log.Info("cell opened", "pool", id.Pool, "cell", id.Index, "adoption", openAt.Sub(now).String())
	return state
}

func (c *cell) answerAll(reply Reply) {
	for id, w := range c.waiters {
		delete(c.waiters, id)
		w.reply <- reply
	}
}

// warmEndpoints returns the endpoints whose ramp is complete.
func (c *cell) warmEndpoints() []string {
	var names []string
	for name, state := range c.endpoints {
		if state.ramp.Limit() >= state.config.Knee {
			names = append(names, name)
		}
	}
	return names
}

// dispatch grants streams to waiting requests and replies to them. The caller
// must hold o.mu.
func (o *Owner) dispatch(state *cell) {
	if !o.membership.Owns(state.id) {
		return
	}
	for _, p := range state.dispatch(o.clock.Now(), o.membership.View()) {
		endpoint := state.endpoints[p.decision.Endpoint]
		r := p.waiter.request
		event := ""
		attributable := endpoint.suspects == 0 || r.Suspect
		if g := state.grants[r.ID]; attributable && g.healthy && !state.contents.isProven(r.Fingerprint) {
			event = state.crashEvent(g)
		}
		o.log.Info("placement", "request", r.ID, "workspace", r.Workspace, "pool", state.id.Pool,
			"endpoint", p.decision.Endpoint, "reason", p.decision.Reason, "passed", p.decision.Passed, "queued", state.queue.Len())
		reply := state.load(o.clock.Now(), o.membership.View(), Granted)
		reply.Endpoint, reply.Address = p.decision.Endpoint, endpoint.config.Address
		reply.Probation = endpoint.probation
		if endpoint.probation {
			supervisor.Wake(o.reportNow)
		}
		reply.Reason, reply.Passed, reply.Event = p.decision.Reason, p.decision.Passed, event
		p.waiter.reply <- reply
	}
}

// Acquire queues a request until it is granted or its Wait ends.
func (o *Owner) Acquire(ctx context.Context, r Request) Reply {
	if o.notices.IsOut(o.centre) {
		return Reply{State: CentreOut, Reason: "data centre is out"}
	}
	if o.notices.Crashes(r.Fingerprint) >= QuarantineAfter {
		return Reply{State: Quarantined, Reason: "content crashed endpoints"}
	}
	w, refusal := o.enqueue(r)
	if w == nil {
		return refusal
	}
	if r.Wait > 0 {
		select {
		case reply := <-w.reply:
			return reply
		case <-o.clock.After(r.Wait):
		case <-ctx.Done():
		}
	}
	return o.dequeue(r, w)
}

func (o *Owner) enqueue(r Request) (*waiter, Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[r.Cell]
	if state == nil || !o.membership.Owns(r.Cell) {
		return nil, Reply{State: Moved}
	}
	if state.hasEnded(r.ID) {
		// The release overtook this call.
		return nil, Reply{State: Moved, Reason: "given up"}
	}
	now := o.clock.Now()
	if !now.Before(state.openAt) && !state.hasUsableEndpoint(now, o.membership.View(), r) {
		return nil, Reply{State: NoEndpoint, Reason: "no endpoint can take it", Queued: state.queue.Len()}
	}
	if r.Interactive {
		state.lastInteractive = now
	}
	if r.Proven {
		state.contents.markProven(r.Fingerprint, now)
	}
	// A content that has crashed an endpoint is suspected. No two suspected requests
	// share an endpoint, so that the next crash can be attributed to one of them.
	r.Crashes = o.notices.Crashes(r.Fingerprint)
	r.Suspect = r.Suspect || r.Crashes > 0
	w := &waiter{request: r, reply: make(chan Reply, 1)}
	state.waiters[r.ID] = w
	arrived := now.Add(-r.Waited)
	state.queue.Push(shareRequest(r, arrived, now.Add(r.Slack)))
	o.dispatch(state)
	return w, Reply{}
}

// dequeue removes a request whose wait is over, unless it was granted meanwhile.
func (o *Owner) dequeue(r Request, w *waiter) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case reply := <-w.reply:
		return reply
	default:
	}
	state := o.cells[r.Cell]
	if state == nil {
		return Reply{State: Moved}
	}
	state.queue.Remove(r.ID)
	delete(state.waiters, r.ID)
	return state.load(o.clock.Now(), o.membership.View(), Waiting)
}

// Release ends a stream and records its outcome.
func (o *Owner) Release(r Release) {
	if o.usageReplica != nil {
		o.usageReplica.Keep(r)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[r.Cell]
	if state == nil {
		return
	}
	state.cancelWaiter(r.ID)
	state.ended[r.ID] = o.clock.Now()
	switch r.Outcome {
	case Crashed:
		o.recordCrash(state, r)
	case Complete:
		o.clearSuspicion(state, r.Fingerprint)
	}
	if g, found := state.removeGrant(o.clock.Now(), r.ID); found {
		state.queue.AdjustCharge(g.held.Workspace, g.weight, r.Tokens-g.tokens)
	}
	state.recordOutcome(o.clock.Now(), r)
	if r.Version > 0 && r.Version < o.notices.ModelVersion(state.id.Pool) {
		o.membership.NoteVersion(r.Endpoint, r.Version)
	}
	o.dispatch(state)
}

// clearSuspicion clears the crashes of a content that was answered completely.
func (o *Owner) clearSuspicion(state *cell, fingerprint string) {
	state.contents.markProven(fingerprint, o.clock.Now())
	if o.notices.Crashes(fingerprint) > 0 {
		o.notices.Add("", o.notices.NewCleared(fingerprint, o.centre))
	}
}

// Load returns a cell's load.
func (o *Owner) Load(id centre.CellID) Reply {
	if o.notices.IsOut(o.centre) {
		return Reply{State: CentreOut}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[id]
	if state == nil || !o.membership.Owns(id) {
		return Reply{State: Moved}
	}
	return state.load(o.clock.Now(), o.membership.View(), Waiting)
}

// recordCrash attributes an endpoint's crash to the content whose stream was
// interrupted, unless the content has been answered completely before. If a
// suspected content ran on the endpoint, the crash is attributed to it alone. A
// crash of an endpoint that was not healthy counts as recordWeakCrash says.
func (o *Owner) recordCrash(state *cell, r Release) {
	g, found := state.grants[r.ID]
	endpoint := state.endpoints[r.Endpoint]
	if !found || endpoint == nil {
		return
	}
	endpoint.advanceIncarnation(g)
	if r.Fingerprint == "" || state.contents.isProven(r.Fingerprint) || (endpoint.suspects > 0 && !g.held.Suspect) {
		return
	}
	if !g.healthy && !state.contents.recordWeakCrash(r.Fingerprint) {
		return
	}
	event := state.crashEvent(g)
	endpoint.addPendingCrash(r.Fingerprint, event, o.clock.Now())
	o.notices.Add("", o.notices.NewCrash(r.Fingerprint, event, r.Entry))
	o.log.Info("content suspected", "fingerprint", r.Fingerprint, "endpoint", r.Endpoint, "request", r.ID, "crashes", o.notices.Crashes(r.Fingerprint))
}

// Renew extends the grants of an entry's streams. A new owner takes over the
// streams that an earlier one granted.
func (o *Owner) Renew(r Renewal) RenewalReply {
	if o.usageReplica != nil {
		o.usageReplica.Flushed(r.Books)
	}
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[r.Cell]
	if state == nil || !o.membership.Owns(r.Cell) {
		return RenewalReply{}
	}
	reply, hasRoom := RenewalReply{Owned: true}, false
	for _, held := range r.Held {
		g := state.grants[held.ID]
		if g == nil {
			if state.mayTakeOver(now, held.ID) {
				state.takeOver(now, r.Entry, r.Run, held)
			}
			continue
		}
		g.renewed = now
		hasRoom = state.checkProbation(g, held.TokenTime) || hasRoom
		if g.revoked {
			reply.Revoked = append(reply.Revoked, held.ID)
		}
	}
	if hasRoom {
		o.dispatch(state)
	}
	return reply
}
