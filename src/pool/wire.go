// Package pool grants streams of endpoints. The owner of a cell queues the
// requests for it, decides their order and their endpoints, and counts the
// streams of all daemons. The client at each daemon sends requests to the owners;
// the daemon that asks for a stream is its entry.
package pool

import (
	"time"

	"sesamepitch/src/centre"
)

// Request asks for one stream.
type Request struct {
	// ID is unique for each attempt.
	ID string
	// Entry is the asking daemon's address, Run its incarnation.
	Entry       string
	Run         string
	Cell        centre.CellID
	Workspace   string
	Weight      int
	Interactive bool
	Tokens      int
	// Slack is the time until the deadline, Waited the time waited so far.
	Slack       time.Duration
	Waited      time.Duration
	Prefix      string
	Fingerprint string
	// Crashes is the number of endpoints that the content has crashed.
	Crashes int
	// Suspect is set if the content has crashed an endpoint.
	Suspect bool
	// Proven is set if the asking daemon has seen the content answered completely.
	Proven bool
	Urgent bool
	Avoid  []string
	// Only names the endpoints that the request may use; empty allows all.
	Only []string
	// CheapOnly limits the request to reclaimable endpoints.
	CheapOnly  bool
	MinVersion int64
	// Wait is how long the owner may hold the call.
	Wait time.Duration
}

// State is the outcome of a Request.
type State string

// The outcomes of a Request.
const (
	// Granted means that the stream may be used at once.
	Granted State = "granted"
	// Waiting means that no stream became free in time; the client should ask
	// again.
	Waiting State = "waiting"
	// Moved means that this daemon does not own the cell.
	Moved State = "moved"
	// CentreOut means that the data centre is taken out of service.
	CentreOut State = "barred"
	// NoEndpoint means that no endpoint of the cell can take the request now.
	NoEndpoint State = "empty"
	// Quarantined means that the content has crashed too many endpoints.
	Quarantined State = "quarantined"
)

// Reply is the owner's answer to a Request.
type Reply struct {
	State    State
	Endpoint string
	Address  string
	// Reason explains the choice or the refusal; Passed names the endpoints passed
	// over, with the reasons.
	Reason   string
	Passed   string
	Queued   int
	Free     int
	Capacity int
	// Probation asks the entry to report the stream's token time as soon as it is
	// known.
	Probation bool
	// FreeCheap counts the free streams of reclaimable endpoints.
	FreeCheap int
	// Event identifies the crash that an interruption by the endpoint would be;
	// empty if it would be no evidence against the content.
	Event string
}

// Outcome is how a stream ended.
type Outcome string

// The outcomes of a stream.
const (
	// Complete means that the whole answer arrived.
	Complete Outcome = "whole"
	// Cancelled means that the entry ended the stream.
	Cancelled Outcome = "cancelled"
	// Refused means that no connection to the endpoint was made.
	Refused Outcome = "refused"
	// Crashed means that the endpoint interrupted the stream.
	Crashed Outcome = "crashed"
	// Stale means that the endpoint ran older weights than requested.
	Stale Outcome = "stale"
)

// Release ends a stream.
type Release struct {
	ID          string
	Entry       string
	Run         string
	Cell        centre.CellID
	Endpoint    string
	Outcome     Outcome
	Version     int64
	Tokens      int
	MilliCost   int64
	Workspace   string
	TokenTime   time.Duration
	Fingerprint string
	// Billed is whether the stream counts as usage, Receipt its usage record.
	Billed  bool
	Receipt Receipt
	// Books is how far the entry's usage records are in the table.
	Books UsageWatermark
}

// Receipt identifies a usage record by the run that numbered it and its number.
type Receipt struct {
	Run    string
	Number int64
}

// UsageWatermark is the number up to which a run's usage records are in the
// table.
type UsageWatermark struct {
	Run  string
	Safe int64
}

// LoadArgs asks for a cell's load.
type LoadArgs struct{ Cell centre.CellID }

// ReleaseReply is empty.
type ReleaseReply struct{}

// HeldStream is a stream that an entry still uses.
type HeldStream struct {
	ID          string
	Endpoint    string
	Workspace   string
	Fingerprint string
	Suspect     bool
	// TokenTime is the mean time of a token so far; zero if unknown.
	TokenTime time.Duration
}

// Renewal extends the grants of an entry's streams in a cell. It also informs a
// new owner of them.
type Renewal struct {
	Entry string
	Run   string
	Cell  centre.CellID
	Held  []HeldStream
	Books UsageWatermark
}

// RenewalReply names the streams that must end at once.
type RenewalReply struct {
	Owned   bool
	Revoked []string
}
