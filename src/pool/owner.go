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
	// QuarantineAfter is how many endpoints a content may crash.
	QuarantineAfter = 2
	housekeeping    = 250 * time.Millisecond
	loadEvery       = time.Second
)

// Membership is what an owner needs to know of its data centre.
type Membership interface {
	View() *centre.View
	Owns(id centre.CellID) bool
	OwnedCells() []centre.Cell
	NoteVersion(endpoint string, version int64)
	NoteWarm(endpoints []string)
}

// Load is an endpoint's lagging load report.
type Load struct {
	Version int64
	Cold    bool
	// ProcessStart is the start of the engine's process in Unix milliseconds; zero if the
	// engine does not say.
	ProcessStart int64
}

// LoadReader reads load reports from engines.
type LoadReader interface {
	ReadLoad(ctx context.Context, address string) (Load, error)
}

// UsageReplica keeps the usage that other daemons have not yet brought into safety.
type UsageReplica interface {
	// Keep remembers a use of the service that an entry reported.
	Keep(r Release)
	// Flushed forgets the records that are safe in the table.
	Flushed(books UsageWatermark)
}

// Owner grants the streams of the cells that this daemon owns.
type Owner struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	node    Membership
	centre  string
	holder  *document.Holder
	notices *notice.Set
	loads   LoadReader
	shadow  UsageReplica
	adopt   time.Duration

	// reportNow receives when an engine on probation should be asked for its report.
	reportNow chan struct{}
	// loadsAt is when all engines were last asked for a report.
	loadsAt time.Time

	mu    sync.Mutex
	cells map[centre.CellID]*cell
}

// OwnerOption changes an Owner at construction.
type OwnerOption func(*Owner)

// WithTakeoverDelay sets how long a new owner waits for the entries to tell it of
// streams that an earlier owner granted.
func WithTakeoverDelay(d time.Duration) OwnerOption {
	return func(o *Owner) { o.adopt = d }
}

// WithUsageReplica sets the keeper of usage shadows.
func WithUsageReplica(s UsageReplica) OwnerOption {
	return func(o *Owner) { o.shadow = s }
}

const defaultAdoption = 2500 * time.Millisecond

// NewOwner returns the owner of a daemon's cells in a data centre.
func NewOwner(clock sesamepitch.Clock, log logr.Logger, node Membership, centreName string, holder *document.Holder, notices *notice.Set, loads LoadReader, options ...OwnerOption) *Owner {
	o := &Owner{
		clock: clock, log: log, node: node, centre: centreName, holder: holder, notices: notices, loads: loads,
		adopt: defaultAdoption, cells: map[centre.CellID]*cell{}, reportNow: make(chan struct{}, 1),
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
			return supervisor.Every(ctx, o.clock, housekeeping, func(context.Context) { o.ReconcileCells() })
		}),
		supervisor.NewWorker("load-reports", func(ctx context.Context) error {
			return supervisor.EveryOr(ctx, o.clock, housekeeping, o.reportNow, o.ReadLoads)
		}),
	}
}

// ReconcileCells takes owned cells on, drops the others, and expires streams.
func (o *Owner) ReconcileCells() {
	owned := map[centre.CellID]centre.Cell{}
	for _, c := range o.node.OwnedCells() {
		owned[c.ID] = c
	}
	config, now := o.holder.Current(), o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, state := range o.cells {
		if _, still := owned[id]; !still {
			delete(o.cells, id)
			state.answerAll(Reply{State: Moved})
		}
	}
	var warm []string
	for id, c := range owned {
		state := o.cells[id]
		if state == nil {
			state = o.open(id, now)
		}
		state.update(c.Endpoints, config)
		state.forgetEnded(now)
		for _, held := range state.expire(now) {
			o.log.Info("stream lapsed", "request", held.ID, "workspace", held.Workspace, "endpoint", held.Endpoint, "reason", "not renewed")
		}
		warm = append(warm, state.warm()...)
		o.dispatch(state)
	}
	sort.Strings(warm)
	o.node.NoteWarm(warm)
}

// open takes a cell on. Endpoints that the last owner knew as warm start at
// half their knee, all others in cold start.
func (o *Owner) open(id centre.CellID, now time.Time) *cell {
	view := o.node.View()
	openAt := now.Add(o.adopt)
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

// warm lists the endpoints whose ramp is complete.
func (c *cell) warm() []string {
	var names []string
	for name, state := range c.endpoints {
		if state.ramp.Limit() >= state.config.Knee {
			names = append(names, name)
		}
	}
	return names
}

// dispatch grants what can be granted; it needs o.mu.
func (o *Owner) dispatch(state *cell) {
	if !o.node.Owns(state.id) {
		return
	}
	for _, p := range state.dispatch(o.clock.Now(), o.node.View()) {
		endpoint := state.endpoints[p.decision.Endpoint]
		r := p.waiter.request
		event := ""
		suspected := endpoint.suspects == 0 || r.Suspect
		if g := state.grants[r.ID]; suspected && g.healthy && !state.contents.isProven(r.Fingerprint) {
			event = state.crashEvent(g)
		}
		o.log.Info("placement", "request", r.ID, "workspace", r.Workspace, "pool", state.id.Pool,
			"endpoint", p.decision.Endpoint, "reason", p.decision.Reason, "passed", p.decision.Passed, "queued", state.queue.Len())
		reply := state.load(o.clock.Now(), o.node.View(), Granted)
		reply.Endpoint, reply.Address = p.decision.Endpoint, endpoint.config.Address
		reply.Probation = endpoint.probation
		if endpoint.probation {
			supervisor.Wake(o.reportNow)
		}
		reply.Reason, reply.Passed, reply.Event = p.decision.Reason, p.decision.Passed, event
		p.waiter.reply <- reply
	}
}

// Acquire queues a request until it is granted or its Wait is over.
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
	if state == nil || !o.node.Owns(r.Cell) {
		return nil, Reply{State: Moved}
	}
	if state.hasEnded(r.ID) {
		return nil, Reply{State: Moved, Reason: "given up"}
	}
	now := o.clock.Now()
	if !now.Before(state.openAt) && !state.usable(now, o.node.View(), r) {
		return nil, Reply{State: NoEndpoint, Reason: "no endpoint can take it", Queued: state.queue.Len()}
	}
	if r.Interactive {
		state.memberSeen = now
	}
	if r.Proven {
		state.contents.prove(r.Fingerprint, now)
	}
	// A suspect of one crash runs apart from other suspects.
	r.Crashes = o.notices.Crashes(r.Fingerprint)
	r.Suspect = r.Suspect || r.Crashes > 0
	w := &waiter{request: r, reply: make(chan Reply, 1)}
	state.waiters[r.ID] = w
	arrived := now.Add(-r.Waited)
	state.queue.Push(shareItem(r, arrived, now.Add(r.Slack)))
	o.dispatch(state)
	return w, Reply{}
}

// dequeue gives a request up that has waited long enough, unless it was
// granted at the last moment.
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
	return state.load(o.clock.Now(), o.node.View(), Waiting)
}

// Release ends a stream and learns from its outcome.
func (o *Owner) Release(r Release) {
	if o.shadow != nil {
		o.shadow.Keep(r)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[r.Cell]
	if state == nil {
		return
	}
	state.giveUp(r.ID)
	state.ended[r.ID] = o.clock.Now()
	switch r.Outcome {
	case Crashed:
		o.noteCrash(state, r)
	case Complete:
		o.clear(state, r.Fingerprint)
	}
	if g, found := state.drop(o.clock.Now(), r.ID); found {
		state.queue.AdjustCharge(g.held.Workspace, g.weight, r.Tokens-g.tokens)
	}
	state.learnOutcome(o.clock.Now(), r)
	if r.Version > 0 && r.Version < o.notices.ModelVersion(state.id.Pool) {
		o.node.NoteVersion(r.Endpoint, r.Version)
	}
	o.dispatch(state)
}

// clear ends the suspicion of a content that was answered whole.
func (o *Owner) clear(state *cell, fingerprint string) {
	state.contents.prove(fingerprint, o.clock.Now())
	if o.notices.Crashes(fingerprint) > 0 {
		o.notices.Add("", o.notices.NewCleared(fingerprint, o.centre))
	}
}

// Load tells how full a cell is.
func (o *Owner) Load(id centre.CellID) Reply {
	if o.notices.IsOut(o.centre) {
		return Reply{State: CentreOut}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[id]
	if state == nil || !o.node.Owns(id) {
		return Reply{State: Moved}
	}
	return state.load(o.clock.Now(), o.node.View(), Waiting)
}

// noteCrash holds a crash against the content that broke off, unless it has
// been answered whole before. Where a suspect ran on the endpoint, it alone is
// held to be the cause.
func (o *Owner) noteCrash(state *cell, r Release) {
	g, found := state.grants[r.ID]
	endpoint := state.endpoints[r.Endpoint]
	if !found || endpoint == nil {
		return
	}
	endpoint.noteLife(g)
	if r.Fingerprint == "" || state.contents.isProven(r.Fingerprint) || (endpoint.suspects > 0 && !g.held.Suspect) {
		return
	}
	if !g.healthy && !state.contents.weakEvidence(r.Fingerprint) {
		return
	}
	event := state.crashEvent(g)
	endpoint.broke(r.Fingerprint, event, o.clock.Now())
	o.notices.Add("", o.notices.NewCrash(r.Fingerprint, event, r.Entry))
	o.log.Info("content suspected", "fingerprint", r.Fingerprint, "endpoint", r.Endpoint, "request", r.ID, "crashes", o.notices.Crashes(r.Fingerprint))
}

// Renew keeps an entry's streams; a new owner learns of streams granted before.
func (o *Owner) Renew(r Renewal) RenewalReply {
	if o.shadow != nil {
		o.shadow.Flushed(r.Books)
	}
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.cells[r.Cell]
	if state == nil || !o.node.Owns(r.Cell) {
		return RenewalReply{}
	}
	reply, paced := RenewalReply{Owned: true}, false
	for _, held := range r.Held {
		g := state.grants[held.ID]
		if g == nil {
			if state.mayAdopt(now, held.ID) {
				state.adopt(now, r.Entry, r.Run, held)
			}
			continue
		}
		g.renewed = now
		paced = state.learnPace(g, held.TokenTime) || paced
		if g.revoked {
			reply.Revoked = append(reply.Revoked, held.ID)
		}
	}
	if paced {
		o.dispatch(state)
	}
	return reply
}
