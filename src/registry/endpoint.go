package registry

import "time"

// Endpoint is one entry of the platform's list of endpoints.
type Endpoint struct {
	ID      string
	Service string
	// Address is the IP:port for requests.
	Address string
	Centre  string
	Slots   int
	// Draining endpoints get no new work.
	Draining bool
	// ColdUntil is the end of the slow phase after the start; zero if warm.
	ColdUntil time.Time
	// Reclaimable endpoints are cheaper and may be taken away; LeavesAt is when,
	// zero if unknown.
	Reclaimable bool
	LeavesAt    time.Time
	// Versions are the weight versions by model.
	Versions map[string]int64
	// Born is the start of the endpoint's process in Unix milliseconds; another
	// value means that it has forgotten all.
	Born int64
	// Revision is the version of the entry's row.
	Revision int64
}
