package sesamepitch

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Destination is the endpoint that a request goes to. Another endpoint that
// has taken over the address refuses it by the ID.
type Destination struct {
	ID      string
	Address string
}

// Request is a caller's request on its way to an endpoint.
type Request struct {
	ID     string
	Method string
	Host   string
	// URI is the path with its query, as the caller sent it.
	URI string
	// Header has the fields to pass on, without the caller's key.
	Header http.Header
	Body   []byte
	// Workspace is the owner of the caller's key; empty on public routes.
	Workspace string
	// Deadline is when the caller gives up; zero if it said nothing.
	Deadline time.Time
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Forwarder sends requests to endpoints. Errors are of the kinds
// KindUnavailable (not sent), KindOverloaded (the endpoint says that it did not
// run it), KindUnknown (it may have run) and KindTimeout (ctx ended; it may have run).
type Forwarder interface {
	Connections
	// Forward sends a request and reads the whole answer.
	Forward(ctx context.Context, to Destination, request Request) (Answer, error)
	// Stream sends a request and hands on the answer's parts as they come.
	Stream(ctx context.Context, to Destination, request Request, sink StreamSink) error
}

// Connections keeps connections to endpoints.
type Connections interface {
	// IdleTimeout is how long an idle connection to an endpoint is kept.
	IdleTimeout(to Destination) time.Duration
	// Check asks an endpoint whether it is well, on a kept connection if there
	// is one.
	Check(ctx context.Context, to Destination, host, path string) error
}

// StreamSink takes a streamed answer.
type StreamSink interface {
	// Start takes status and header, once, before the first part.
	Start(status int, header http.Header)
	// Write takes the next part.
	Write(part []byte) error
}

// Sample is an item of a batch job on its way to an engine.
type Sample struct {
	ID        string
	Host      string
	Path      string
	Headers   map[string]string
	Body      []byte
	Workspace string
	// After is the last event that is known already, zero for none.
	After int64
}

// Event is one event of an engine's stream.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version that made the event.
	Version int64
}

// ErrComplete is what Generation.Next returns after the last event of a whole
// stream. No other error wraps it, as io.EOF can be wrapped by a send that
// failed.
var ErrComplete = errors.New("the generation is complete")

// Generation is a running generation at an engine.
type Generation interface {
	// Version is the weight version at the start.
	Version() int64
	// Next returns the next event; ErrComplete after the last one of a whole
	// stream, KindCrashed if it broke off.
	Next() (Event, error)
	// Close ends the generation at the engine if it has not ended.
	Close()
}

// Engines starts generations. Errors of Generate are of the kinds
// KindUnavailable (not sent), KindOverloaded (not run), KindFailed (the engine answered with a failure
// after it ran it), KindInvalid (the sample can never be made) and KindUnknown.
type Engines interface {
	Generate(ctx context.Context, to Destination, sample Sample) (Generation, error)
}

// WeightOrder asks an engine to load a version of a model's weights.
type WeightOrder struct {
	Model   string
	Version int64
	// Holder and Fence are those of the lease under which the order is given.
	Holder string
	Fence  int64
	// After is how many orders the engine must have accepted before this one.
	After int64
}

// EngineReport is what an engine says of itself, some hundred ms old.
type EngineReport struct {
	Versions map[string]int64
	// Busy engines carry out an order.
	Busy bool
	// Orders is the number of orders accepted since the start of the process.
	Orders int64
	// StartUnixMilli is the start of the process in Unix milliseconds.
	StartUnixMilli int64
}

// EngineControl gives engines orders.
type EngineControl interface {
	// Order gives an order; holds tells that the engine had the weights already
	// and has counted no order. KindConflict means that another order is in
	// progress or was accepted before, KindUnknown that this one may still be
	// carried out.
	Order(ctx context.Context, to Destination, order WeightOrder) (holds bool, err error)
	// Report asks an engine for its state.
	Report(ctx context.Context, to Destination) (EngineReport, error)
}

// LeaseHolder tells whether this instance is in charge; a lease is one.
type LeaseHolder interface {
	// Held returns the fencing number and the end of the lease; ok is false if
	// this instance does not hold it.
	Held() (epoch int64, until time.Time, ok bool)
}

// WindowUsage counts the requests of each workspace that began in one window.
type WindowUsage struct {
	// Window is the number of the window since the start of 1970.
	Window int64
	Counts map[string]int64
	Holder string
	Fence  int64
}

// EndpointCount asks for a number of endpoints of a service in a data centre.
type EndpointCount struct {
	Service string
	Centre  string
	Count   int
	// Reclaimable asks for cheaper endpoints that may be taken away.
	Reclaimable bool
	Holder      string
	Fence       int64
}

// FencedCalls are the platform's calls that one instance at a time may make.
type FencedCalls interface {
	// ReportWindow sends a window's usage; an exact repeat is ignored.
	ReportWindow(ctx context.Context, usage WindowUsage) error
	// OrderCount sets the number of endpoints; KindConflict if none are available.
	OrderCount(ctx context.Context, order EndpointCount) error
}
