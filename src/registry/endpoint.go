package registry

import "time"

// Endpoint is an entry of the platform's endpoint table.
type Endpoint struct {
	ID      string
	Service string
	// Address is the IP:port for requests.
	Address string
	Centre  string
	Slots   int
	// Draining endpoints get no new work. LeavingBy is how this instance learned that
	// the endpoint is leaving, LeavingSince when; both are empty if it is not.
	Draining     bool
	LeavingBy    Source
	LeavingSince time.Time
	// ColdUntil is the end of the slow phase after a start; zero if warm.
	ColdUntil time.Time
	// Reclaimable endpoints are cheaper, but the platform may reclaim them.
	// LeavesAt is the time of an announced reclaim, or the earliest time at which an
	// endpoint that is leaving may end; zero if neither is known.
	Reclaimable bool
	LeavesAt    time.Time
	// Versions maps each model to its weight version.
	Versions map[string]int64
	// Born is the start time of the endpoint's process in Unix milliseconds. A
	// changed value means that the process restarted and lost its state.
	Born int64
	// Revision is the version of the endpoint's row.
	Revision int64
}
