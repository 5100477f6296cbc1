package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/centre"
	"sesamepitch/src/notice"
	"sesamepitch/src/peer"
	"sesamepitch/src/share"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
)

const (
	// holdTime is how long a request waits in one cell before all are looked
	// at again.
	holdTime   = 5 * time.Second
	answerTime = 1500 * time.Millisecond
	retryPause = 60 * time.Millisecond
	// loadMemory is how long a cell that was full is not asked again.
	loadMemory   = 200 * time.Millisecond
	remoteCache  = 10 * time.Second
	remoteTime   = 500 * time.Millisecond
	remoteFanOut = 3
	// farCost is how much more a request in a far cell counts than in a near one.
	farCost = 1.02
	// queueCost is what another's waiting request counts of an own one.
	queueCost   = 0.02
	renewEvery  = time.Second
	releaseTime = 1500 * time.Millisecond
	keepTime    = 500 * time.Millisecond
	maxKeepers  = 3
)

// Directory tells a client which daemons own which cells.
type Directory interface {
	View() *centre.View
	Self() centre.Member
	Centre() string
}

// Ask is what a caller's request needs of a stream.
type Ask struct {
	// Label names the request in the log.
	Label       string
	Pool        string
	Workspace   string
	Weight      int
	Interactive bool
	Tokens      int
	Deadline    time.Time
	Prefix      string
	Fingerprint string
	Suspect     bool
	Urgent      bool
	Avoid       []string
	MinVersion  int64

	// ctx is that of the whole request, also while it waits in one cell.
	ctx   context.Context
	asked time.Time
}

// Stream is a granted stream. Its context ends if the owner revokes it.
type Stream struct {
	id       string
	ask      Ask
	cell     centre.CellID
	cellKey  string
	centre   string
	owner    string
	endpoint string
	address  string
	reason   string
	ctx      context.Context
	cancel   context.CancelFunc
}

// ID returns the attempt's unique id.
func (s *Stream) ID() string { return s.id }

// Endpoint returns the endpoint's name.
func (s *Stream) Endpoint() string { return s.endpoint }

// Address returns the endpoint's address.
func (s *Stream) Address() string { return s.address }

// Centre returns the endpoint's data centre.
func (s *Stream) Centre() string { return s.centre }

// Context ends when the stream's caller gives up or the owner revokes it.
func (s *Stream) Context() context.Context { return s.ctx }

// Client asks the owners of cells for streams.
type Client struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	dir     Directory
	dialer  *peer.Dialer
	notices *notice.Set
	local   *Owner
	books   func() Books
	mu      sync.Mutex
	streams map[string]*Stream
	remote  map[string]remoteCells
	loads   map[string]cellLoad
	scouts  *scouts
	// mine counts this daemon's requests by cell and workspace.
	mine map[string]int
}

type remoteCells struct {
	at    time.Time
	cells []centre.Cell
}

// NewClient returns a client; local is this daemon's own owner, books tells how
// far this daemon's usage is safe.
func NewClient(clock sesamepitch.Clock, log logr.Logger, dir Directory, dialer *peer.Dialer, notices *notice.Set, local *Owner, books func() Books) *Client {
	return &Client{
		clock: clock, log: log, dir: dir, dialer: dialer, notices: notices, local: local, books: books,
		streams: map[string]*Stream{}, remote: map[string]remoteCells{}, loads: map[string]cellLoad{}, scouts: newScouts(), mine: map[string]int{},
	}
}

// Workers returns the client's supervised tasks.
func (c *Client) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("renewals", func(ctx context.Context) error {
			return supervisor.Every(ctx, c.clock, renewEvery, c.renew)
		}),
		supervisor.NewWorker("scout", func(ctx context.Context) error {
			return supervisor.Every(ctx, c.clock, scoutEvery, c.scout)
		}),
	}
}

// Acquire waits for a stream until ctx or the ask's deadline ends. Nothing has
// been sent to any endpoint when it fails.
func (c *Client) Acquire(ctx context.Context, ask Ask) (*Stream, error) {
	started := c.clock.Now()
	ask.ctx, ask.asked = ctx, started
	last := Reply{State: Empty, Reason: "no cell serves the pool"}
	for {
		if err := ctx.Err(); err != nil {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindTimeout, Err: fmt.Errorf("%s (%s)", last.State, last.Reason)}
		}
		options := c.options(ctx, ask)
		waited := c.clock.Now().Sub(started)
		stream, reply := c.takeFree(ctx, ask, options, waited)
		if stream == nil && reply.State == Waiting {
			stream, reply = c.queue(ctx, ask, options, waited)
		}
		if stream != nil {
			return stream, nil
		}
		if reply.State == Quarantined {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindQuarantined, Err: fmt.Errorf("%s", reply.Reason)}
		}
		if reply.State != "" {
			last = reply
		}
		if reply.State != Waiting {
			c.pause(ctx)
		}
	}
}

func (c *Client) pause(ctx context.Context) {
	select {
	case <-c.clock.After(retryPause/2 + rand.N(retryPause)):
	case <-ctx.Done():
	}
}

// option is a cell that may take the ask.
type option struct {
	centre string
	cell   centre.Cell
}

func (o option) key() string {
	return fmt.Sprintf("%s/%s/%d", o.centre, o.cell.ID.Pool, o.cell.ID.Index)
}

// cellLoad is what an owner last said of its cell.
type cellLoad struct {
	at       time.Time
	free     int
	queued   int
	capacity int
	state    State
}

// options lists the cells that may take the ask: those of the own data centre
// first, then those of a few others.
func (c *Client) options(ctx context.Context, ask Ask) []option {
	view := c.dir.View()
	if view == nil {
		return nil
	}
	var list []option
	if !c.notices.IsOut(c.dir.Centre()) {
		list = append(list, c.optionsOf(c.dir.Centre(), view.Cells, ask.Pool)...)
	}
	remotes := append([]centre.Remote(nil), view.Remotes...)
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	for _, remote := range remotes[:min(len(remotes), remoteFanOut)] {
		if !c.notices.IsOut(remote.Centre) {
			list = append(list, c.optionsOf(remote.Centre, c.remoteCells(ctx, remote, ask.Pool), ask.Pool)...)
		}
	}
	return list
}

// optionsOf lists a data centre's cells, the ones with more free streams first.
func (c *Client) optionsOf(centreName string, cells []centre.Cell, pool string) []option {
	var list []option
	for _, cell := range cells {
		if cell.ID.Pool == pool && cell.Address != "" {
			list = append(list, option{centre: centreName, cell: cell})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return c.loads[list[i].key()].free > c.loads[list[j].key()].free })
	return list
}

// takeFree asks the cells for a stream that is free now. Cells that were full a
// moment ago are not asked; of the own data centre one always is.
func (c *Client) takeFree(ctx context.Context, ask Ask, options []option, waited time.Duration) (*Stream, Reply) {
	worst := Reply{}
	for i, o := range options {
		load := c.loadOf(o)
		full := load.free <= 0 && c.clock.Now().Sub(load.at) < loadMemory
		if full && (i > 0 || o.centre != c.dir.Centre()) {
			if load.state == Waiting {
				worst = Reply{State: Waiting}
			}
			continue
		}
		stream, reply := c.try(ctx, ask, o, waited, 0)
		if stream != nil || reply.State == Quarantined {
			return stream, reply
		}
		if worst.State != Waiting {
			worst = reply
		}
	}
	return nil, worst
}

// queue waits in the cell that has the fewest requests of the workspace from
// here for its size, so that the workspace gets its share of each cell; of two
// alike, the shorter queue. The own data centre counts as nearer.
func (c *Client) queue(ctx context.Context, ask Ask, options []option, waited time.Duration) (*Stream, Reply) {
	best, found, bestScore := option{}, false, 0.0
	for _, o := range options {
		load := c.loadOf(o)
		if load.state != Waiting {
			continue
		}
		score := (float64(c.mineIn(o, ask.Workspace)+1) + queueCost*float64(load.queued)) / float64(max(load.capacity, 1))
		if o.centre != c.dir.Centre() {
			score *= farCost
		}
		if !found || score < bestScore {
			best, found, bestScore = o, true, score
		}
	}
	if !found {
		return nil, Reply{}
	}
	waiting, done := c.scouts.enter(ctx, ask.Pool, best.key())
	defer done()
	c.countMine(best.key(), ask.Workspace, 1)
	defer c.countMine(best.key(), ask.Workspace, -1)
	return c.try(waiting, ask, best, waited, holdTime)
}

func mineKey(cell, workspace string) string { return cell + "/" + workspace }

// mineIn counts the workspace's requests from here that wait or run in a cell.
func (c *Client) mineIn(o option, workspace string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mine[mineKey(o.key(), workspace)]
}

func (c *Client) countMine(cell, workspace string, change int) {
	key := mineKey(cell, workspace)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mine[key] += change
	if c.mine[key] <= 0 {
		delete(c.mine, key)
	}
}

func (c *Client) loadOf(o option) cellLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[o.key()]
}

func (c *Client) noteLoad(o option, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[o.key()] = cellLoad{at: c.clock.Now(), free: reply.Free, queued: reply.Queued, capacity: reply.Capacity, state: reply.State}
}

func (c *Client) remoteCells(ctx context.Context, remote centre.Remote, pool string) []centre.Cell {
	key := remote.Address + "/" + pool
	c.mu.Lock()
	cached, found := c.remote[key]
	c.mu.Unlock()
	if found && c.clock.Now().Sub(cached.at) < remoteCache {
		return cached.cells
	}
	calling, cancel := context.WithTimeout(ctx, remoteTime)
	defer cancel()
	var reply centre.CellsReply
	if err := c.dialer.Call(calling, remote.Address, "Centre.Cells", centre.CellsArgs{Pool: pool}, &reply); err != nil {
		reply.Cells = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote[key] = remoteCells{at: c.clock.Now(), cells: reply.Cells}
	return reply.Cells
}

// forgetRemote drops what is known of a data centre's cells after an owner has
// said that a cell moved.
func (c *Client) forgetRemote(o option) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cached := range c.remote {
		for _, cell := range cached.cells {
			if cell.ID == o.cell.ID && cell.Address == o.cell.Address {
				delete(c.remote, key)
			}
		}
	}
}

// try asks one cell and may hold the call there for wait.
func (c *Client) try(ctx context.Context, ask Ask, o option, waited, wait time.Duration) (*Stream, Reply) {
	request := c.request(ctx, ask, o, waited, wait)
	reply, err := c.ask(ctx, o.cell.Address, request)
	if err != nil {
		// The owner may have granted it; give it back, so that it need not lapse.
		if sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
			c.giveBack(request, o.cell.Address)
		}
		reply = Reply{State: Moved, Reason: err.Error()}
	}
	c.noteLoad(o, reply)
	if reply.State == Moved && o.centre != c.dir.Centre() {
		c.forgetRemote(o)
	}
	if reply.State != Granted {
		return nil, reply
	}
	c.countMine(o.key(), ask.Workspace, 1)
	stream := &Stream{
		id: request.ID, ask: ask, cell: o.cell.ID, cellKey: o.key(), centre: o.centre, owner: o.cell.Address,
		endpoint: reply.Endpoint, address: reply.Address, reason: reply.Reason,
	}
	stream.ctx, stream.cancel = context.WithCancel(ask.ctx)
	c.mu.Lock()
	c.streams[stream.id] = stream
	c.mu.Unlock()
	c.log.Info("route", "request", stream.id, "for", ask.Label, "workspace", ask.Workspace, "pool", ask.Pool, "centre", o.centre,
		"endpoint", reply.Endpoint, "reason", reply.Reason, "passed", reply.Passed, "waited", c.clock.Now().Sub(ask.asked).Round(time.Millisecond).String())
	return stream, reply
}

func (c *Client) request(ctx context.Context, ask Ask, o option, waited, wait time.Duration) Request {
	self := c.dir.Self()
	request := Request{
		ID: uuid.NewString(), Entry: self.Address, Run: self.Incarnation, Cell: o.cell.ID,
		Workspace: ask.Workspace, Weight: ask.Weight, Interactive: ask.Interactive, Tokens: ask.Tokens,
		Slack: ask.Deadline.Sub(c.clock.Now()), Waited: waited, Prefix: ask.Prefix, Fingerprint: ask.Fingerprint,
		Suspect: ask.Suspect, Urgent: ask.Urgent, Avoid: ask.Avoid, MinVersion: ask.MinVersion, Wait: wait,
	}
	if deadline, set := ctx.Deadline(); set {
		request.Wait = max(min(request.Wait, time.Until(deadline)), 0)
	}
	return request
}

func (c *Client) ask(ctx context.Context, owner string, request Request) (Reply, error) {
	if owner == c.dir.Self().Address {
		return c.local.Acquire(ctx, request), nil
	}
	calling, cancel := context.WithTimeout(ctx, request.Wait+answerTime)
	defer cancel()
	var reply Reply
	err := c.dialer.Call(calling, owner, "Pool.Acquire", request, &reply)
	return reply, err
}

func (c *Client) giveBack(request Request, owner string) {
	release := Release{ID: request.ID, Entry: request.Entry, Run: request.Run, Cell: request.Cell, Outcome: Cancelled}
	c.send(owner, release)
}

// Release ends a stream and tells its owner how. It returns when the owner
// has answered, or has not in time.
func (c *Client) Release(s *Stream, r Release) {
	self := c.dir.Self()
	s.cancel()
	c.countMine(s.cellKey, s.ask.Workspace, -1)
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
	r.ID, r.Entry, r.Run, r.Cell = s.id, self.Address, self.Incarnation, s.cell
	r.Endpoint, r.Workspace, r.Fingerprint = s.endpoint, s.ask.Workspace, s.ask.Fingerprint
	r.Books = c.books()
	if !c.send(s.owner, r) && r.Billed {
		c.keepElsewhere(r)
	}
}

// send tells the owner of a stream's end. It returns false if no other daemon
// knows of it then.
func (c *Client) send(owner string, r Release) bool {
	if owner == c.dir.Self().Address {
		c.local.Release(r)
		return false
	}
	calling, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	return c.dialer.Call(calling, owner, "Pool.Release", r, &ReleaseReply{}) == nil
}

// keepElsewhere tells another daemon of a use of the service, so that it is
// counted also if this one dies before it has flushed.
func (c *Client) keepElsewhere(r Release) {
	for _, address := range c.keepers() {
		calling, cancel := context.WithTimeout(context.Background(), keepTime)
		err := c.dialer.Call(calling, address, "Pool.Keep", r, &ReleaseReply{})
		cancel()
		if err == nil {
			return
		}
	}
}

// keepers lists the daemons to tell: the next ones of the own data centre, then
// another data centre's leader.
func (c *Client) keepers() []string {
	view := c.dir.View()
	if view == nil {
		return nil
	}
	self := c.dir.Self()
	var before, after []string
	for _, member := range view.Members {
		switch {
		case member.ID > self.ID:
			after = append(after, member.Address)
		case member.ID < self.ID:
			before = append(before, member.Address)
		}
	}
	list := append(after, before...)
	for _, remote := range view.Remotes {
		list = append(list, remote.Address)
	}
	return list[:min(len(list), maxKeepers)]
}

// renew keeps the streams granted. Where a cell has a new owner, that one is
// told of the streams.
func (c *Client) renew(ctx context.Context) {
	byOwner := map[string]map[centre.CellID][]Held{}
	c.mu.Lock()
	for _, s := range c.streams {
		s.owner = c.ownerNow(s)
		if byOwner[s.owner] == nil {
			byOwner[s.owner] = map[centre.CellID][]Held{}
		}
		held := Held{ID: s.id, Endpoint: s.endpoint, Workspace: s.ask.Workspace, Fingerprint: s.ask.Fingerprint, Suspect: s.ask.Suspect}
		byOwner[s.owner][s.cell] = append(byOwner[s.owner][s.cell], held)
	}
	c.mu.Unlock()
	done := make(chan struct{}, len(byOwner))
	for owner, cells := range byOwner {
		go func() {
			defer func() { done <- struct{}{} }()
			for id, held := range cells {
				c.renewCell(ctx, owner, id, held)
			}
		}()
	}
	for range byOwner {
		<-done
	}
}

// ownerNow is the owner of a stream's cell as this daemon knows it now.
func (c *Client) ownerNow(s *Stream) string {
	var cells []centre.Cell
	if s.centre == c.dir.Centre() {
		if view := c.dir.View(); view != nil {
			cells = view.Cells
		}
	} else {
		for _, cached := range c.remote {
			cells = append(cells, cached.cells...)
		}
	}
	for _, cell := range cells {
		if cell.ID == s.cell && cell.Address != "" && contains(cell.Endpoints, s.endpoint) {
			return cell.Address
		}
	}
	return s.owner
}

func contains(names []string, wanted string) bool {
	for _, name := range names {
		if name == wanted {
			return true
		}
	}
	return false
}

func (c *Client) renewCell(ctx context.Context, owner string, id centre.CellID, held []Held) {
	self := c.dir.Self()
	renewal := Renewal{Entry: self.Address, Run: self.Incarnation, Cell: id, Held: held, Books: c.books()}
	var reply RenewalReply
	if owner == self.Address {
		reply = c.local.Renew(renewal)
	} else {
		calling, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		if err := c.dialer.Call(calling, owner, "Pool.Renew", renewal, &reply); err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range reply.Revoked {
		if s := c.streams[id]; s != nil {
			c.log.Info("stream revoked", "request", id, "endpoint", s.endpoint, "reason", "endpoint turned cold")
			s.cancel()
		}
	}
}

func shareItem(r Request, arrived, deadline time.Time) share.Item {
	return share.Item{
		ID: r.ID, Workspace: r.Workspace, Weight: r.Weight, Interactive: r.Interactive,
		Tokens: r.Tokens, Deadline: deadline, Arrived: arrived,
	}
}

// Workspace returns the workspace that the stream was granted to.
func (s *Stream) Workspace() string { return s.ask.Workspace }
