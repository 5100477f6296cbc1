// Package memory divides the memory that the process may use among what can grow, so
// that each part is reserved before its bytes are read.
package memory

import "sync/atomic"

// The shares of the process's memory. The rest is for the program itself, the state that
// it follows, and garbage.
const (
	connectionShare = 0.13
	controlShare    = 0.02
	bodyShare       = 0.34
	answerShare     = 0.10
	peerShare       = 0.03
	jobShare        = 0.08
)

const (
	// smallHolder is the most that a holder has of a share, in bytes, to be a small one.
	smallHolder = 128 << 10
	// smallPart is the part of each share that only small holders may use: a few large
	// ones must not keep all others out.
	smallPart = 0.1
)

// Account has the shares of one process.
type Account struct {
	connections, control, bodies, answers, peers, jobs *Share
}

// New returns the account of a process that may use limit bytes.
func New(limit int64) *Account {
	share := func(name string, part float64) *Share { return NewShare(name, int64(part*float64(limit))) }
	return &Account{
		connections: share("connections", connectionShare),
		control:     share("control", controlShare),
		bodies:      share("bodies", bodyShare),
		answers:     share("answers", answerShare),
		peers:       share("peers", peerShare),
		jobs:        share("jobs", jobShare),
	}
}

// Connections is the share of callers' connections: heads of requests, buffers, and what
// waits in the kernel.
func (a *Account) Connections() *Share { return a.connections }

// Control is the share of the connections for readiness checks and metrics.
func (a *Account) Control() *Share { return a.control }

// Bodies is the share of the bodies of callers' requests.
func (a *Account) Bodies() *Share { return a.bodies }

// Answers is the share of endpoints' answers that are held as a whole.
func (a *Account) Answers() *Share { return a.answers }

// Peers is the share of messages from other instances.
func (a *Account) Peers() *Share { return a.peers }

// Jobs is the share of bodies of items that this instance drives.
func (a *Account) Jobs() *Share { return a.jobs }

// Shares returns all shares.
func (a *Account) Shares() []*Share {
	return []*Share{a.connections, a.control, a.bodies, a.answers, a.peers, a.jobs}
}

// Share is a part of the memory with a limit of its own.
type Share struct {
	name    string
	limit   int64
	held    atomic.Int64
	refused atomic.Int64
	relieve atomic.Pointer[func() bool]
}

// NewShare returns a share of limit bytes.
func NewShare(name string, limit int64) *Share { return &Share{name: name, limit: limit} }

// Name returns the share's name, for logs and metrics.
func (s *Share) Name() string { return s.name }

// Limit returns the size of the share in bytes.
func (s *Share) Limit() int64 { return s.limit }

// Held returns the number of reserved bytes.
func (s *Share) Held() int64 { return s.held.Load() }

// Refused returns the number of reservations that did not fit.
func (s *Share) Refused() int64 { return s.refused.Load() }

// OnFull sets the function that makes room when a reservation does not fit. It reports
// whether there is some.
func (s *Share) OnFull(relieve func() bool) { s.relieve.Store(&relieve) }

// Reserve reserves bytes for a holder, which has total bytes of the share then. It reports
// false, and reserves nothing, if they don't fit.
func (s *Share) Reserve(bytes, total int64) bool {
	if s.TryReserve(bytes, total) {
		return true
	}
	relieve := s.relieve.Load()
	if relieve != nil && (*relieve)() && s.TryReserve(bytes, total) {
		return true
	}
	s.refused.Add(1)
	return false
}

// TryReserve is Reserve without making room, and without counting a refusal.
func (s *Share) TryReserve(bytes, total int64) bool {
	limit := s.limit
	if total > smallHolder {
		limit -= int64(smallPart * float64(s.limit))
	}
	for {
		held := s.held.Load()
		if held+bytes > limit {
			return false
		}
		if s.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Refuse counts a refusal of a holder that called TryReserve.
func (s *Share) Refuse() { s.refused.Add(1) }

// Hold reserves bytes that are in use already, whether they fit or not.
func (s *Share) Hold(bytes int64) { s.held.Add(bytes) }

// Free releases reserved bytes.
func (s *Share) Free(bytes int64) { s.held.Add(-bytes) }
