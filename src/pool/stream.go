package pool

import (
	"context"
	"sync/atomic"
	"time"

	"sesamepitch/src/centre"
	"sesamepitch/src/supervisor"
)

// EndpointFilter limits a request to some endpoints, depending on where similar
// requests run.
type EndpointFilter interface {
	// Allowed returns the endpoints that may be used now. It is called before each
	// attempt.
	Allowed() (endpoints []string, limited bool)
	// AttemptFailed is called after an attempt that got no stream.
	AttemptFailed()
}

// StreamSpec describes the stream that a caller's request needs.
type StreamSpec struct {
	// Label identifies the request in the log.
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
	// CostSensitive requests try reclaimable endpoints first.
	CostSensitive bool
	Avoid         []string
	// Filter limits the request to some endpoints; nil allows all.
	Filter     EndpointFilter
	MinVersion int64
	// WaitContext ends the wait for a stream, but not the stream; if nil, only the
	// request's own context ends the wait.
	WaitContext context.Context

	// ctx is the context of the whole request; the wait in one cell has its own.
	ctx     context.Context
	askedAt time.Time
	// hasPermit is set while the request holds the run permit of its suspected
	// content.
	hasPermit bool
	// allowed are the endpoints that the current attempt may use, if limited is
	// set.
	allowed []string
	limited bool
	// cheapOnly is set while the request tries reclaimable endpoints only.
	cheapOnly bool
}

// Stream is a granted stream. Its context ends when the owner revokes it.
type Stream struct {
	id        string
	spec      StreamSpec
	cell      centre.CellID
	cellKey   string
	centre    string
	owner     string
	endpoint  string
	address   string
	event     string
	ctx       context.Context
	cancel    context.CancelFunc
	tokenTime atomic.Int64
	// tokenTimeKnown is signalled once the token time is known; nil if the
	// endpoint is not on probation.
	tokenTimeKnown chan struct{}
}

// ReportTokenTime sets the mean time of a token so far. The owner receives it
// with the next renewal, or at once if the endpoint is on probation.
func (s *Stream) ReportTokenTime(tokenTime time.Duration) {
	if s.tokenTime.Swap(int64(tokenTime)) == 0 && tokenTime > 0 && s.tokenTimeKnown != nil {
		supervisor.Wake(s.tokenTimeKnown)
	}
}

// ID returns the attempt's unique id.
func (s *Stream) ID() string { return s.id }

// Endpoint returns the endpoint's name.
func (s *Stream) Endpoint() string { return s.endpoint }

// Address returns the endpoint's address.
func (s *Stream) Address() string { return s.address }

// Context returns the stream's context, which ends when the caller gives up or
// the owner revokes the stream.
func (s *Stream) Context() context.Context { return s.ctx }

// waitingContext returns the context of the wait for a stream, which WaitContext
// also ends. The stream itself has the request's context.
func (s *StreamSpec) waitingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if s.WaitContext == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(s.WaitContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Workspace returns the workspace that the stream was granted to.
func (s *Stream) Workspace() string { return s.spec.Workspace }
