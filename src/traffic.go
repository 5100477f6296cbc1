package sesamepitch

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Destination is the endpoint that a request is sent to. The ID lets an endpoint
// that now uses the same address reject requests meant for its predecessor.
type Destination struct {
	ID      string
	Address string
	// Born is the start time of the endpoint's process in Unix milliseconds: an
	// endpoint may restart under its ID.
	Born int64
	// Admitted is set if a RateLimiter has admitted the request.
	Admitted bool
	// Asked is when the caller's request arrived; zero for a request of this instance's
	// own, which counts as asked for when it is sent.
	Asked time.Time
}

// Purpose is what a request to an endpoint is for.
type Purpose string

// The purposes of requests to endpoints.
const (
	// PurposeRequest is a caller's request or a reward call.
	PurposeRequest Purpose = "request"
	// PurposeItem is a run of an item.
	PurposeItem Purpose = "item"
	// PurposeCheck is a health check.
	PurposeCheck Purpose = "check"
	// PurposeReport asks for an engine's state.
	PurposeReport Purpose = "report"
	// PurposeOrder is an order to load weights.
	PurposeOrder Purpose = "order"
)

// Purposes lists all purposes.
var Purposes = []Purpose{PurposeRequest, PurposeItem, PurposeCheck, PurposeReport, PurposeOrder}

// StatedLimit is what an answer says of the endpoint's rate limit.
type StatedLimit struct {
	// Named is set if the answer names a limit.
	Named bool
	// PerSecond is the number of requests a second that the endpoint takes from all
	// instances together.
	PerSecond float64
	// Malformed is the text of a limit that could not be read, which says nothing.
	Malformed string
}

// StatedLeaving is what an answer says of the endpoint's intention to leave.
type StatedLeaving struct {
	// Leaving is set if the endpoint's process is going to end.
	Leaving bool
	// Malformed is the text of a statement that could not be read, which says nothing.
	Malformed string
}

// Statement is what an answer says of its endpoint, whatever the request was.
type Statement struct {
	Limit   StatedLimit
	Leaving StatedLeaving
}

// RequestGate sees each request to an endpoint before it is sent, and what each
// answer says of the endpoint.
type RequestGate interface {
	// Admit returns an error if the request must not be sent.
	Admit(ctx context.Context, to Destination, purpose Purpose) error
	// Answered records what the answer to a request sent at the given time says of
	// the endpoint.
	Answered(to Destination, sent time.Time, said Statement)
}

// MinDeniedTime and maxDeniedTime bound how long an endpoint is left out after a
// RateLimiter has admitted no request to it: its limit may end earlier.
const (
	MinDeniedTime = time.Millisecond
	maxDeniedTime = time.Second
)

// DeniedTime returns how long an endpoint is left out after a RateLimiter has
// admitted no request to it.
func DeniedTime(retryIn time.Duration) time.Duration {
	return min(max(retryIn, MinDeniedTime), maxDeniedTime)
}

// RateLimiter admits requests to endpoints whose rate is limited over all
// instances.
type RateLimiter interface {
	// Take admits a request, which may have to wait for up to patience, or reports
	// when to try again. It may ask another instance.
	Take(ctx context.Context, to Destination, patience time.Duration) (retryIn time.Duration, admitted bool)
	// TryTake is Take without any wait.
	TryTake(to Destination) (retryIn time.Duration, admitted bool)
	// Interval returns the mean time between two requests to an endpoint; zero if
	// its rate is not limited.
	Interval(to Destination) time.Duration
}

// OpenGate is a RequestGate and a RateLimiter that admits all requests and records
// nothing.
type OpenGate struct{}

// Take implements RateLimiter.
func (OpenGate) Take(context.Context, Destination, time.Duration) (time.Duration, bool) {
	return 0, true
}

// TryTake implements RateLimiter.
func (OpenGate) TryTake(Destination) (time.Duration, bool) { return 0, true }

// Interval implements RateLimiter.
func (OpenGate) Interval(Destination) time.Duration { return 0 }

// Admit implements RequestGate.
func (OpenGate) Admit(context.Context, Destination, Purpose) error { return nil }

// Answered implements RequestGate.
func (OpenGate) Answered(Destination, time.Time, Statement) {}

// Request is a caller's request to forward to an endpoint.
type Request struct {
	ID     string
	Method string
	Host   string
	// URI is the path with its query, as the caller sent it.
	URI string
	// Header contains the fields to forward, without the caller's API key.
	Header http.Header
	Body   []byte
	// Workspace owns the caller's API key; empty on public routes.
	Workspace string
	// Deadline is when the caller stops waiting; zero if it set none.
	Deadline time.Time
}

// BodyBudget reserves the memory of one body that is read as a whole.
type BodyBudget interface {
	// Reserve reserves bytes for the body, which has total bytes then, or reports false
	// if there is no memory for them.
	Reserve(bytes, total int64) bool
	// Free releases reserved bytes.
	Free(bytes int64)
	// EndRead records that the body has been read, or was given up.
	EndRead()
}

// Answer is an endpoint's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature identifies this answer of this endpoint; each success has one.
	Signature string
	// Free releases the memory that is reserved for Body; nil if none is.
	Free func()
}

// Release gives the answer's memory back. Its body must not be used any more.
func (a Answer) Release() {
	if a.Free != nil {
		a.Free()
	}
}

// Forwarder sends requests to endpoints. Errors are of the kinds
// KindUnavailable (not sent), KindOverloaded (the endpoint reported that it did
// not run the request), KindUnknown (it may have run) and KindTimeout (ctx ended;
// it may have run).
type Forwarder interface {
	Connections
	// Forward sends a request and reads the complete answer.
	Forward(ctx context.Context, to Destination, request Request) (Answer, error)
	// Stream sends a request and writes the answer to sink as its parts arrive.
	Stream(ctx context.Context, to Destination, request Request, sink StreamSink) error
}

// Connections keeps idle connections to endpoints for reuse.
type Connections interface {
	// IdleTimeout returns how long an idle connection to an endpoint is kept.
	IdleTimeout(to Destination) time.Duration
	// Check sends a health check to an endpoint, on an idle connection if there
	// is one.
	Check(ctx context.Context, to Destination, host, path string) error
}

// StreamSink receives a streamed answer.
type StreamSink interface {
	// Start receives status and header; it is called once, before the first
	// Write.
	Start(status int, header http.Header)
	// Write receives the next part of the body.
	Write(part []byte) error
}

// Sample is an item of a batch job as sent to an engine.
type Sample struct {
	ID        string
	Host      string
	Path      string
	Headers   map[string]string
	Body      []byte
	Workspace string
	// After is the ID of the last event received so far, after which the engine
	// resumes; zero for none.
	After int64
}

// RewardCall is the request that scores a sample's complete output.
type RewardCall struct {
	ID string
	// Host and Path select the route.
	Host string
	Path string
	Body []byte
}

// RewardRoute is what the configuration says of a reward call.
type RewardRoute struct {
	// MaxAttempts is the number of failures after which the call may be given up.
	MaxAttempts int
	// LatencyTarget is the time in which answers are expected; zero if not set.
	LatencyTarget time.Duration
}

// RewardTry is a reward call with the endpoint chosen for it. It counts as
// running there until Send returns.
type RewardTry interface {
	// Endpoint returns the endpoint's ID.
	Endpoint() string
	// Send sends the call and returns its score. Errors are of the kinds
	// KindFailed (the endpoint ran the call and failed), KindOverloaded (not run),
	// KindUnavailable (not sent) and any other (it may have run).
	Send(ctx context.Context) (score string, err error)
}

// RewardCaller chooses endpoints for reward calls by the configuration in force.
type RewardCaller interface {
	// RewardRoute returns the route of a call, and whether there is one.
	RewardRoute(call RewardCall) (RewardRoute, bool)
	// RewardEndpoints returns the number of endpoints that may get a call.
	RewardEndpoints(call RewardCall) int
	// ReserveReward chooses an endpoint for a call. The endpoints in excluded are not
	// chosen, those in avoided only if there is no other. Errors are of the kinds
	// KindNotFound (no route) and KindUnavailable (no endpoint may get it now).
	ReserveReward(call RewardCall, excluded, avoided []string) (RewardTry, error)
}

// Event is one event of an engine's stream.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version that generated the event.
	Version int64
}

// ErrComplete is returned by Generation.Next after the last event of a complete
// stream. It is used instead of io.EOF, which the error of a failed send can
// wrap; no other error wraps ErrComplete.
var ErrComplete = errors.New("the generation is complete")

// ErrUnproven is returned by Generation.Next where the stream ended between two events
// with nothing that proves it to be complete: its connection was closed. No other error
// wraps it.
var ErrUnproven = errors.New("the generation may be complete or cut off")

// Generation is a running generation at an engine.
type Generation interface {
	// Version is the weight version at the start.
	Version() int64
	// Next returns the next event. It fails with ErrComplete after the last event
	// of a complete stream, with ErrUnproven if that cannot be told, and with
	// KindCrashed if the stream is interrupted.
	Next() (Event, error)
	// Close cancels the generation at the engine if it has not ended.
	Close()
}

// Engines starts generations. Errors of Generate are of the kinds
// KindUnavailable (not sent), KindOverloaded (not run), KindFailed (the engine ran
// the sample and returned an error), KindInvalid (no engine can run the sample)
// and KindUnknown (it may have run).
type Engines interface {
	Generate(ctx context.Context, to Destination, sample Sample) (Generation, error)
}

// WeightOrder asks an engine to load a version of a model's weights.
type WeightOrder struct {
	Model   string
	Version int64
	// Holder and Fence identify the lease under which the order is sent.
	Holder string
	Fence  int64
	// After is the number of orders that the engine must have accepted before
	// this one; EngineReport.Orders is the number so far.
	After int64
}

// EngineReport is an engine's own report of its state; it can be a few hundred
// milliseconds old.
type EngineReport struct {
	Versions map[string]int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Orders is the number of orders accepted since the start of the process.
	Orders int64
	// StartUnixMilli is the start time of the process in Unix milliseconds.
	StartUnixMilli int64
}

// EngineControl sends control orders to engines.
type EngineControl interface {
	// Order sends an order. If the engine already has the weights, loaded is true
	// and the engine does not count the order. KindConflict means that another order
	// is in progress or was accepted before, KindUnknown that this one may still
	// be carried out.
	Order(ctx context.Context, to Destination, order WeightOrder) (loaded bool, err error)
	// Report requests an engine's state.
	Report(ctx context.Context, to Destination) (EngineReport, error)
}

// LeaseHolder reports whether this instance holds a lease; lease.Lease implements
// it.
type LeaseHolder interface {
	// Held returns the fencing number and the end of the lease; ok is false if
	// this instance does not hold it.
	Held() (epoch int64, until time.Time, ok bool)
	// MayCall returns the fencing number, and whether a fenced call that is sent now
	// arrives before the lease ends.
	MayCall() (epoch int64, ok bool)
}

// WindowUsage contains the number of requests of each workspace that started in
// one window.
type WindowUsage struct {
	// Window is the index of the window, counted from the Unix epoch.
	Window int64
	Counts map[string]int64
	// Holder and Fence identify the lease under which the usage is sent.
	Holder string
	Fence  int64
}

// EndpointCount requests a number of endpoints of a service in a data centre.
type EndpointCount struct {
	Service string
	Centre  string
	Count   int
	// Reclaimable requests cheaper endpoints that the platform may reclaim.
	Reclaimable bool
	// Holder and Fence identify the lease under which the request is sent.
	Holder string
	Fence  int64
}

// FencedCalls are the platform's calls that only the holder of the lease may make.
type FencedCalls interface {
	// ReportWindow sends the usage of a window; an identical repetition is ignored.
	ReportWindow(ctx context.Context, usage WindowUsage) error
	// OrderCount sets the number of endpoints; it fails with KindConflict if none
	// are available.
	OrderCount(ctx context.Context, order EndpointCount) error
}
