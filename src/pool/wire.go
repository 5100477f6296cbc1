// Package pool grants streams of endpoints. The owner of a cell queues the
// requests for it, chooses whose turn it is and where it runs, and counts the
// streams of all daemons together; the client at each daemon asks the owners.
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
	Slack       time.Duration
	Waited      time.Duration
	Prefix      string
	Fingerprint string
	// Crashes counts the endpoints that the content has crashed.
	Crashes int
	Suspect bool
	// Proven tells that the asking daemon has seen the content answered whole.
	Proven bool
	Urgent bool
	Avoid  []string
	// Only names the endpoints that the request may use; any if empty.
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
	// Granted: the stream may be used at once.
	Granted State = "granted"
	// Waiting: no stream came free in time; ask again.
	Waiting State = "waiting"
	// Moved: this daemon does not own the cell.
	Moved State = "moved"
	// CentreOut: the data centre is taken out.
	CentreOut State = "barred"
	// NoEndpoint: no endpoint of the cell can take the request now.
	NoEndpoint State = "empty"
	// Quarantined: the content has crashed endpoints.
	Quarantined State = "quarantined"
)

// Reply is the owner's answer to a Request.
type Reply struct {
	State    State
	Endpoint string
	Address  string
	Reason   string
	Passed   string
	Queued   int
	Free     int
	Capacity int
	// Probation asks the entry to tell the stream's pace as soon as it is known.
	Probation bool
	// FreeCheap counts the free streams of reclaimable endpoints.
	FreeCheap int
	// Event names the crash that the endpoint's breaking off would be; empty if
	// it would say nothing of the content.
	Event string
}

// Outcome is how a stream ended.
type Outcome string

// The outcomes of a stream.
const (
	// Complete: the answer came whole.
	Complete Outcome = "whole"
	// Cancelled: this side gave up.
	Cancelled Outcome = "cancelled"
	// Refused: the endpoint could not be dialled.
	Refused Outcome = "refused"
	// Crashed: the endpoint broke off.
	Crashed Outcome = "crashed"
	// Stale: the endpoint ran older weights than asked for.
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
	// Billed tells whether it counts as usage, Receipt which record it is.
	Billed  bool
	Receipt Receipt
	// Books are how far the entry's records are safe in the table.
	Books UsageWatermark
}

// Receipt names one record of usage: the run that numbered it and the number.
type Receipt struct {
	Run    string
	Number int64
}

// UsageWatermark say up to which record a run's usage is safe in the table.
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
	// TokenTime is the time of a token so far; zero while that is not known.
	TokenTime time.Duration
}

// Renewal keeps an entry's streams granted, also towards a new owner.
type Renewal struct {
	Entry string
	Run   string
	Cell  centre.CellID
	Held  []HeldStream
	Books UsageWatermark
}

// RenewalReply names streams that must end at once.
type RenewalReply struct {
	Owned   bool
	Revoked []string
}
