package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	holdTime = 5 * time.Second
	// limitedHold is how long a request that is limited to some endpoints waits
	// before it asks whether it still is: meanwhile others go where it could not.
	limitedHold = 300 * time.Millisecond
	answerTime  = 1500 * time.Millisecond
	retryPause  = 60 * time.Millisecond
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

// EndpointFilter limits a request to some endpoints, as others like it find theirs.
type EndpointFilter interface {
	// Allowed is asked before each attempt for the endpoints that may be used then.
	Allowed() (endpoints []string, limited bool)
	// AttemptFailed is told that an attempt got no stream.
	AttemptFailed()
}

// StreamSpec is what a caller's request needs of a stream.
type StreamSpec struct {
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
	// CostSensitive requests look for a reclaimable endpoint first.
	CostSensitive bool
	Avoid         []string
	// Filter limits the request to some endpoints; nil if it may use any.
	Filter     EndpointFilter
	MinVersion int64
	// WaitContext ends the wait for a stream, but not the stream; nil if only the
	// request's own end does.
	WaitContext context.Context

	// ctx is that of the whole request, also while it waits in one cell.
	ctx   context.Context
	asked time.Time
	// turn is set while this is the one request of a suspected content.
	turn bool
	// only are the endpoints of the present attempt.
	only    []string
	limited bool
	// cheapOnly is set while reclaimable endpoints are looked for.
	cheapOnly bool
}

// Stream is a granted stream. Its context ends if the owner revokes it.
type Stream struct {
	id       string
	ask      StreamSpec
	cell     centre.CellID
	cellKey  string
	centre   string
	owner    string
	endpoint string
	address  string
	event    string
	ctx      context.Context
	cancel   context.CancelFunc
	pace     atomic.Int64
	// awaited receives, once, when the pace is known that the owner waits for.
	awaited chan struct{}
}

// ReportTokenTime notes the time of a token so far. The owner is told with the next
// renewal, or at once if the endpoint is on probation.
func (s *Stream) ReportTokenTime(tokenTime time.Duration) {
	if s.pace.Swap(int64(tokenTime)) == 0 && tokenTime > 0 && s.awaited != nil {
		supervisor.Wake(s.awaited)
	}
}

// ID returns the attempt's unique id.
func (s *Stream) ID() string { return s.id }

// Endpoint returns the endpoint's name.
func (s *Stream) Endpoint() string { return s.endpoint }

// Address returns the endpoint's address.
func (s *Stream) Address() string { return s.address }

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
	books   func() UsageWatermark
	mu      sync.Mutex
	streams map[string]*Stream
	remote  map[string]remoteCells
	loads   map[string]cellLoad
	// waits are the requests that wait in a cell's queue, by pool; attempts are all
	// attempts to get a stream, by content.
	waits    *waits
	attempts *waits
	// proven are the contents that this daemon has seen answered whole.
	proven *contents
	// turns holds the suspected contents of which one request is under way.
	turns map[string]bool
	// mine counts this daemon's requests by cell and workspace.
	mine map[string]int
	// renewNow receives when owners should be told of the streams at once.
	renewNow chan struct{}
}

var errCrashes = errors.New("content crashed endpoints")

// NewClient returns a client; local is this daemon's own owner, books tells how
// far this daemon's usage is safe.
func NewClient(clock sesamepitch.Clock, log logr.Logger, dir Directory, dialer *peer.Dialer, notices *notice.Set, local *Owner, books func() UsageWatermark) *Client {
	return &Client{
		clock: clock, log: log, dir: dir, dialer: dialer, notices: notices, local: local, books: books,
		streams: map[string]*Stream{}, remote: map[string]remoteCells{}, loads: map[string]cellLoad{}, waits: newWaits(), attempts: newWaits(), proven: newContents(), mine: map[string]int{}, renewNow: make(chan struct{}, 1), turns: map[string]bool{},
	}
}

// Workers returns the client's supervised tasks.
func (c *Client) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("renewals", func(ctx context.Context) error {
			return supervisor.EveryOr(ctx, c.clock, renewEvery, c.renewNow, c.renew)
		}),
		supervisor.NewWorker("scout", func(ctx context.Context) error {
			return supervisor.Every(ctx, c.clock, scoutEvery, c.scout)
		}),
	}
}

// Acquire waits for a stream until ctx or the ask's deadline ends. Nothing has
// been sent to any endpoint when it fails.
func (c *Client) Acquire(ctx context.Context, ask StreamSpec) (*Stream, error) {
	stream, err := c.acquire(ctx, &ask)
	if err != nil && ask.turn {
		c.endTurn(ask.Fingerprint)
	}
	return stream, err
}

func (c *Client) acquire(ctx context.Context, ask *StreamSpec) (*Stream, error) {
	started := c.clock.Now()
	ask.ctx, ask.asked = ctx, started
	ctx, cancel := ask.waiting(ctx)
	defer cancel()
	last := Reply{State: NoEndpoint, Reason: "no cell serves the pool"}
	for {
		if err := ctx.Err(); err != nil {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindTimeout, Err: fmt.Errorf("%s (%s)", last.State, last.Reason)}
		}
		crashes := c.notices.Crashes(ask.Fingerprint)
		if crashes >= QuarantineAfter {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindQuarantined, Err: errCrashes}
		}
		if crashes > 0 && !ask.turn {
			if ask.turn = c.takeTurn(ask.Fingerprint); !ask.turn {
				c.pause(ctx)
				continue
			}
		}
		stream, reply := c.attempt(ctx, ask, c.clock.Now().Sub(started))
		if stream != nil {
			return stream, nil
		}
		if ask.Filter != nil {
			ask.Filter.AttemptFailed()
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

// waiting returns the context of the wait for a stream; the stream itself goes on
// with the request's.
func (a *StreamSpec) waiting(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if a.WaitContext == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(a.WaitContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// attempt asks the cells once, and waits in one of them if all are full. A crash
// of the content meanwhile ends it, since that changes where it may run.
func (c *Client) attempt(ctx context.Context, ask *StreamSpec, waited time.Duration) (*Stream, Reply) {
	asking, done := c.attempts.enter(ctx, ask.Fingerprint, "")
	defer done()
	options := c.limit(ask, c.options(asking, *ask))
	stream, reply := c.takeCheap(asking, *ask, options, waited)
	if stream == nil {
		stream, reply = c.takeFree(asking, *ask, options, waited)
	}
	if stream == nil && reply.State == Waiting {
		stream, reply = c.queue(asking, *ask, options, waited)
	}
	return stream, reply
}

func (c *Client) pause(ctx context.Context) {
	select {
	case <-c.clock.After(retryPause/2 + rand.N(retryPause)):
	case <-ctx.Done():
	}
}

// try asks one cell and may hold the call there for wait.
func (c *Client) try(ctx context.Context, ask StreamSpec, o option, waited, wait time.Duration) (*Stream, Reply) {
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
		endpoint: reply.Endpoint, address: reply.Address, event: reply.Event,
	}
	if reply.Probation {
		stream.awaited = c.renewNow
	}
	stream.ctx, stream.cancel = context.WithCancel(ask.ctx)
	c.mu.Lock()
	c.streams[stream.id] = stream
	c.mu.Unlock()
	c.log.Info("route", "request", stream.id, "for", ask.Label, "workspace", ask.Workspace, "pool", ask.Pool, "centre", o.centre,
		"endpoint", reply.Endpoint, "reason", reply.Reason, "passed", reply.Passed, "waited", c.clock.Now().Sub(ask.asked).Round(time.Millisecond).String())
	return stream, reply
}

func (c *Client) request(ctx context.Context, ask StreamSpec, o option, waited, wait time.Duration) Request {
	self := c.dir.Self()
	request := Request{
		ID: uuid.NewString(), Entry: self.Address, Run: self.Incarnation, Cell: o.cell.ID,
		Workspace: ask.Workspace, Weight: ask.Weight, Interactive: ask.Interactive, Tokens: ask.Tokens,
		Slack: ask.Deadline.Sub(c.clock.Now()), Waited: waited, Prefix: ask.Prefix, Fingerprint: ask.Fingerprint,
		Suspect: ask.Suspect, Proven: c.isProven(ask.Fingerprint), Urgent: ask.Urgent, Avoid: ask.Avoid, Only: ask.only, CheapOnly: ask.cheapOnly, MinVersion: ask.MinVersion, Wait: wait,
	}
	if ask.limited {
		// The one endpoint that is left may be the one that failed.
		request.Avoid = nil
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
	if c.tell(owner, release) != nil {
		_ = c.tell(owner, release)
	}
}

// Release ends a stream and tells its owner how. It returns when the owner
// has answered, or has not in time.
func (c *Client) Release(s *Stream, r Release) {
	self := c.dir.Self()
	s.cancel()
	c.countMine(s.cellKey, s.ask.Workspace, -1)
	r.ID, r.Entry, r.Run, r.Cell = s.id, self.Address, self.Incarnation, s.cell
	r.Endpoint, r.Workspace, r.Fingerprint = s.endpoint, s.ask.Workspace, s.ask.Fingerprint
	r.Books = c.books()
	if r.Outcome == Complete {
		c.prove(s.ask.Fingerprint)
	}
	if r.Outcome == Crashed && s.event != "" && s.ask.Fingerprint != "" && !c.isProven(s.ask.Fingerprint) {
		// Known here at once, whichever data centre's owner hears of it.
		c.notices.Add("", c.notices.NewCrash(s.ask.Fingerprint, s.event, self.Address))
		c.attempts.end(s.ask.Fingerprint)
	}
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
	if s.ask.turn {
		c.endTurn(s.ask.Fingerprint)
	}
	if !c.send(s.owner, r) && r.Billed {
		c.keepElsewhere(r)
	}
}

func (c *Client) prove(fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven.prove(fingerprint, c.clock.Now())
}

func (c *Client) isProven(fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proven.isProven(fingerprint)
}

// send tells the owner of a stream's end. It returns false if no other daemon
// knows of it then.
func (c *Client) send(owner string, r Release) bool {
	err := c.tell(owner, r)
	if err != nil {
		// Once more without what counts, so that the place does not have to lapse.
		_ = c.tell(owner, Release{ID: r.ID, Entry: r.Entry, Run: r.Run, Cell: r.Cell, Outcome: Cancelled})
	}
	return err == nil && owner != c.dir.Self().Address
}

func (c *Client) tell(owner string, r Release) error {
	if owner == c.dir.Self().Address {
		c.local.Release(r)
		return nil
	}
	calling, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	return c.dialer.Call(calling, owner, "Pool.Release", r, &ReleaseReply{})
}

func shareItem(r Request, arrived, deadline time.Time) share.Request {
	return share.Request{
		ID: r.ID, Workspace: r.Workspace, Weight: r.Weight, Interactive: r.Interactive,
		Tokens: r.Tokens, Deadline: deadline, Arrived: arrived,
	}
}

// Workspace returns the workspace that the stream was granted to.
func (s *Stream) Workspace() string { return s.ask.Workspace }
