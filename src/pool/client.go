package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// maxQueueTime is how long a request waits in one cell before it tries all
	// cells again.
	maxQueueTime = 5 * time.Second
	// maxLimitedQueueTime is the same for a request that is limited to some
	// endpoints. It is shorter since other endpoints may become allowed meanwhile.
	maxLimitedQueueTime = 300 * time.Millisecond
	// callTimeout is the time allowed for an Acquire or Renew call, in addition to
	// the request's wait.
	callTimeout = 1500 * time.Millisecond
	// retryDelay is the mean pause between attempts.
	retryDelay = 60 * time.Millisecond
	// loadTTL is how long a cell that was full is not asked again.
	loadTTL        = 200 * time.Millisecond
	remoteCellsTTL = 10 * time.Second
	remoteTimeout  = 500 * time.Millisecond
	remoteFanOut   = 3
	// remoteCostFactor weights a cell of another data centre against one of this
	// data centre.
	remoteCostFactor = 1.02
	// queuedCostFactor weights a queued request of any workspace against one of
	// the same workspace from this daemon.
	queuedCostFactor  = 0.02
	renewInterval     = time.Second
	releaseTimeout    = 1500 * time.Millisecond
	replicaTimeout    = 500 * time.Millisecond
	maxReplicaDaemons = 3
)

// Directory tells a client which daemons own which cells.
type Directory interface {
	View() *centre.View
	Self() centre.Member
	Centre() string
}

// Client asks the owners of cells for streams.
type Client struct {
	clock       sesamepitch.Clock
	log         logr.Logger
	dir         Directory
	dialer      *peer.Dialer
	notices     *notice.Set
	local       *Owner
	watermark   func() UsageWatermark
	mu          sync.Mutex
	streams     map[string]*Stream
	remoteCache map[string]cachedCells
	loads       map[string]cellLoad
	// queued are the requests that wait in a cell's queue, by pool; attempts are
	// all attempts to get a stream, by content.
	queued   *waitSet
	attempts *waitSet
	// proven are the contents that this daemon has seen answered completely.
	proven *contents
	// permits holds the suspected contents of which a request is under way.
	permits map[string]bool
	// outstanding counts this daemon's requests by cell and workspace.
	outstanding map[string]int
	// renewNow wakes the renewals before their interval ends.
	renewNow chan struct{}
}

var errCrashes = errors.New("content crashed endpoints")

// NewClient returns a client. local is this daemon's own owner, watermark
// returns how far this daemon's usage is in the table.
func NewClient(clock sesamepitch.Clock, log logr.Logger, dir Directory, dialer *peer.Dialer, notices *notice.Set, local *Owner, watermark func() UsageWatermark) *Client {
	return &Client{
		clock: clock, log: log, dir: dir, dialer: dialer, notices: notices, local: local, watermark: watermark,
		streams: map[string]*Stream{}, remoteCache: map[string]cachedCells{}, loads: map[string]cellLoad{}, queued: newWaitSet(), attempts: newWaitSet(), proven: newContents(), outstanding: map[string]int{}, renewNow: make(chan struct{}, 1), permits: map[string]bool{},
	}
}

// Workers returns the client's supervised tasks.
func (c *Client) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("renewals", func(ctx context.Context) error {
			return supervisor.EveryOr(ctx, c.clock, renewInterval, c.renewNow, c.renew)
		}),
		supervisor.NewWorker("scout", func(ctx context.Context) error {
			return supervisor.Every(ctx, c.clock, pollInterval, c.pollLoads)
		}),
	}
}

// Acquire waits for a stream until ctx or the deadline of the spec ends. If it
// fails, nothing has been sent to any endpoint.
func (c *Client) Acquire(ctx context.Context, spec StreamSpec) (*Stream, error) {
	stream, err := c.acquire(ctx, &spec)
	if err != nil && spec.hasPermit {
		c.releasePermit(spec.Fingerprint)
	}
	return stream, err
}

func (c *Client) acquire(ctx context.Context, spec *StreamSpec) (*Stream, error) {
	started := c.clock.Now()
	spec.ctx, spec.askedAt = ctx, started
	ctx, cancel := spec.waitingContext(ctx)
	defer cancel()
	lastReply := Reply{State: NoEndpoint, Reason: "no cell serves the pool"}
	for {
		if err := ctx.Err(); err != nil {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindTimeout, Err: fmt.Errorf("%s (%s)", lastReply.State, lastReply.Reason)}
		}
		crashes := c.notices.Crashes(spec.Fingerprint)
		if crashes >= QuarantineAfter {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindQuarantined, Err: errCrashes}
		}
		if crashes > 0 && !spec.hasPermit {
			if spec.hasPermit = c.acquirePermit(spec.Fingerprint); !spec.hasPermit {
				c.pause(ctx)
				continue
			}
		}
		stream, reply := c.attempt(ctx, spec, c.clock.Now().Sub(started))
		if stream != nil {
			return stream, nil
		}
		if spec.Filter != nil {
			spec.Filter.AttemptFailed()
		}
		if reply.State == Quarantined {
			return nil, &Error{Op: "pool.acquire", Kind: sesamepitch.KindQuarantined, Err: fmt.Errorf("%s", reply.Reason)}
		}
		if reply.State != "" {
			lastReply = reply
		}
		if reply.State != Waiting {
			c.pause(ctx)
		}
	}
}

// attempt tries each cell once, and waits in one of them if all are full. It
// ends early when the content crashes an endpoint, since that changes where the
// content may run.
func (c *Client) attempt(ctx context.Context, spec *StreamSpec, waited time.Duration) (*Stream, Reply) {
	attemptCtx, done := c.attempts.add(ctx, spec.Fingerprint, "")
	defer done()
	refs := c.filterCells(spec, c.cellsFor(attemptCtx, *spec))
	stream, reply := c.acquireReclaimable(attemptCtx, *spec, refs, waited)
	if stream == nil {
		stream, reply = c.acquireFree(attemptCtx, *spec, refs, waited)
	}
	if stream == nil && reply.State == Waiting {
		stream, reply = c.acquireQueued(attemptCtx, *spec, refs, waited)
	}
	return stream, reply
}

func (c *Client) pause(ctx context.Context) {
	select {
	case <-c.clock.After(retryDelay/2 + rand.N(retryDelay)):
	case <-ctx.Done():
	}
}

// tryCell asks one cell's owner for a stream, which may hold the call for wait.
func (c *Client) tryCell(ctx context.Context, spec StreamSpec, ref cellRef, waited, wait time.Duration) (*Stream, Reply) {
	request := c.newRequest(ctx, spec, ref, waited, wait)
	reply, err := c.callAcquire(ctx, ref.cell.Address, request)
	if err != nil {
		// The owner may have granted the stream; cancel it rather than let it
		// expire.
		if sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
			c.cancelRequest(request, ref.cell.Address)
		}
		reply = Reply{State: Moved, Reason: err.Error()}
	}
	c.recordLoad(ref, reply)
	if reply.State == Moved && ref.centre != c.dir.Centre() {
		c.invalidateRemote(ref)
	}
	if reply.State != Granted {
		return nil, reply
	}
	c.addOutstanding(ref.key(), spec.Workspace, 1)
	stream := &Stream{
		id: request.ID, spec: spec, cell: ref.cell.ID, cellKey: ref.key(), centre: ref.centre, owner: ref.cell.Address,
		endpoint: reply.Endpoint, address: reply.Address, event: reply.Event,
	}
	if reply.Probation {
		stream.tokenTimeKnown = c.renewNow
	}
	stream.ctx, stream.cancel = context.WithCancel(spec.ctx)
	c.mu.Lock()
	c.streams[stream.id] = stream
	c.mu.Unlock()
	c.log.Info("route", "request", stream.id, "for", spec.Label, "workspace", spec.Workspace, "pool", spec.Pool, "centre", ref.centre,
		"endpoint", reply.Endpoint, "reason", reply.Reason, "passed", reply.Passed, "waited", c.clock.Now().Sub(spec.askedAt).Round(time.Millisecond).String())
	return stream, reply
}

func (c *Client) newRequest(ctx context.Context, spec StreamSpec, ref cellRef, waited, wait time.Duration) Request {
	self := c.dir.Self()
	request := Request{
		ID: uuid.NewString(), Entry: self.Address, Run: self.Incarnation, Cell: ref.cell.ID,
		Workspace: spec.Workspace, Weight: spec.Weight, Interactive: spec.Interactive, Tokens: spec.Tokens,
		Slack: spec.Deadline.Sub(c.clock.Now()), Waited: waited, Prefix: spec.Prefix, Fingerprint: spec.Fingerprint,
		Suspect: spec.Suspect, Proven: c.isProven(spec.Fingerprint), Urgent: spec.Urgent, Avoid: spec.Avoid, Only: spec.allowed, CheapOnly: spec.cheapOnly, MinVersion: spec.MinVersion, Wait: wait,
	}
	if spec.limited {
		// The only allowed endpoint may be one that failed before.
		request.Avoid = nil
	}
	if deadline, set := ctx.Deadline(); set {
		request.Wait = max(min(request.Wait, time.Until(deadline)), 0)
	}
	return request
}

func (c *Client) callAcquire(ctx context.Context, owner string, request Request) (Reply, error) {
	if owner == c.dir.Self().Address {
		return c.local.Acquire(ctx, request), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+callTimeout)
	defer cancel()
	var reply Reply
	err := c.dialer.Call(callCtx, owner, "Pool.Acquire", request, &reply)
	return reply, err
}

func (c *Client) cancelRequest(request Request, owner string) {
	release := Release{ID: request.ID, Entry: request.Entry, Run: request.Run, Cell: request.Cell, Outcome: Cancelled}
	if c.callRelease(owner, release) != nil {
		_ = c.callRelease(owner, release)
	}
}

// Release ends a stream and reports its outcome to the owner. It returns when
// the owner has answered or the call has timed out.
func (c *Client) Release(s *Stream, r Release) {
	self := c.dir.Self()
	s.cancel()
	c.addOutstanding(s.cellKey, s.spec.Workspace, -1)
	r.ID, r.Entry, r.Run, r.Cell = s.id, self.Address, self.Incarnation, s.cell
	r.Endpoint, r.Workspace, r.Fingerprint = s.endpoint, s.spec.Workspace, s.spec.Fingerprint
	r.Books = c.watermark()
	if r.Outcome == Complete {
		c.markProven(s.spec.Fingerprint)
	}
	if r.Outcome == Crashed && s.event != "" && s.spec.Fingerprint != "" && !c.isProven(s.spec.Fingerprint) {
		// Recorded here at once, without waiting for the owner's notice, which may
		// come from another data centre.
		c.notices.Add("", c.notices.NewCrash(s.spec.Fingerprint, s.event, self.Address))
		c.attempts.cancelAll(s.spec.Fingerprint)
	}
	c.mu.Lock()
	delete(c.streams, s.id)
	c.mu.Unlock()
	if s.spec.hasPermit {
		c.releasePermit(s.spec.Fingerprint)
	}
	if !c.sendRelease(s.owner, r) && r.Billed {
		c.replicateUsage(r)
	}
}

func (c *Client) markProven(fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven.markProven(fingerprint, c.clock.Now())
}

func (c *Client) isProven(fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proven.isProven(fingerprint)
}

// sendRelease reports the end of a stream to its owner. It returns false if no
// other daemon has the report then.
func (c *Client) sendRelease(owner string, r Release) bool {
	err := c.callRelease(owner, r)
	if err != nil {
		// Retry without usage and outcome, so that the grant does not last until it
		// expires.
		_ = c.callRelease(owner, Release{ID: r.ID, Entry: r.Entry, Run: r.Run, Cell: r.Cell, Outcome: Cancelled})
	}
	return err == nil && owner != c.dir.Self().Address
}

func (c *Client) callRelease(owner string, r Release) error {
	if owner == c.dir.Self().Address {
		c.local.Release(r)
		return nil
	}
	callCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	return c.dialer.Call(callCtx, owner, "Pool.Release", r, &ReleaseReply{})
}

func shareRequest(r Request, arrived, deadline time.Time) share.Request {
	return share.Request{
		ID: r.ID, Workspace: r.Workspace, Weight: r.Weight, Interactive: r.Interactive,
		Tokens: r.Tokens, Deadline: deadline, Arrived: arrived,
	}
}
