// Package centre maintains the membership of the daemons of one data centre
// without a full mesh and without a store of their own. One daemon leads: it is
// elected by a lease in the platform's table, receives a heartbeat from every
// other daemon, and answers with the view of the data centre, new configuration
// and notices. The leaders of the data centres exchange configuration and
// notices with each other.
package centre

import (
	"slices"
	"time"

	"sesamepitch/src/document"
	"sesamepitch/src/notice"
)

// Epoch orders the leaders of a data centre. Rank is zero for a leader elected
// through the table, and higher for each acting leader that follows it while
// the table is unreachable.
type Epoch struct {
	Table int64
	Rank  int
}

// Newer reports whether e comes after other.
func (e Epoch) Newer(other Epoch) bool {
	if e.Table != other.Table {
		return e.Table > other.Table
	}
	return e.Rank > other.Rank
}

// Member is one daemon of the data centre. Incarnation distinguishes its runs.
type Member struct {
	ID          string
	Incarnation string
	Address     string
}

// CellID identifies a cell: a few endpoints of one pool with one owner.
type CellID struct {
	Pool  string
	Index int
}

// Cell is a cell with its owner, which alone grants streams of its endpoints.
// Owner and Address are empty while ownership moves.
type Cell struct {
	ID        CellID
	Owner     string
	Address   string
	Endpoints []string
}

// Remote is another data centre's leader.
type Remote struct {
	Centre  string
	Address string
}

// View describes a data centre to its members. It is replaced as a whole when
// its Epoch or Version grows.
type View struct {
	Epoch   Epoch
	Version int64
	Leader  Member
	Members []Member
	Cells   []Cell
	Leaving []string
	Remotes []Remote
	// Warm lists the endpoints that their owners reported as warm.
	Warm []string
	// Uncertain is set while another leader could exist.
	Uncertain bool
	// FirstOwners is set while no cell can have had an owner before.
	FirstOwners bool
}

// Newer reports whether v replaces other.
func (v *View) Newer(other *View) bool {
	if other == nil {
		return true
	}
	if v.Epoch != other.Epoch {
		return v.Epoch.Newer(other.Epoch)
	}
	return v.Version > other.Version
}

// Cell returns a cell of the view.
func (v *View) Cell(id CellID) (Cell, bool) {
	for _, cell := range v.Cells {
		if cell.ID == id {
			return cell, true
		}
	}
	return Cell{}, false
}

// IsLeaving reports whether the platform announced that the endpoint will
// leave.
func (v *View) IsLeaving(endpoint string) bool {
	return slices.Contains(v.Leaving, endpoint)
}

// NoticeState is how far one side has read the other side's notices.
type NoticeState struct {
	Set   string
	Index int
}

// BeatArgs is a member's heartbeat to its leader.
type BeatArgs struct {
	Member  Member
	Leaving bool
	Epoch   Epoch
	View    int64
	Config  int64
	// Set identifies the member's notices; Read is how far it has read the
	// leader's.
	Set     string
	Read    NoticeState
	Notices []notice.Notice
	Cells   []CellID
	Warm    []string
	// Age is how long ago the member last had all changes of the table; negative
	// if it never had.
	Age      time.Duration
	Reversed []StaleEndpoint
}

// StaleEndpoint is an endpoint observed to run an older weight version than it
// reports. Version is the observed one.
type StaleEndpoint struct {
	Endpoint string
	Version  int64
}

// BeatReply is the answer to a heartbeat. A daemon that does not lead sets
// Accepted to false and Leader to the leader that it follows.
type BeatReply struct {
	Accepted bool
	Leader   Member
	Epoch    Epoch
	View     *View
	// HeardAge is the time since a daemon that does not lead had contact with
	// its leader.
	HeardAge time.Duration
	// Config is the leader's version. Deltas lead to it unless one is missing.
	Config  int64
	Deltas  []document.Delta
	Notices []notice.Notice
	Read    NoticeState
	// Age is how long ago the leader last had all changes of the table; negative
	// if it never had.
	Age time.Duration
	// CellLease is how long the member may use its cells, counted from when it
	// sent the heartbeat.
	CellLease time.Duration
	// Interval is the time to the next heartbeat.
	Interval time.Duration
}

// ExchangeArgs is the call of one data centre's leader to another's.
type ExchangeArgs struct {
	Centre  string
	Config  int64
	Set     string
	Read    NoticeState
	Notices []notice.Notice
}

// ExchangeReply is the answer to ExchangeArgs.
type ExchangeReply struct {
	Leading  bool
	Config   int64
	Document *document.Document
	Deltas   []document.Delta
	Notices  []notice.Notice
	Read     NoticeState
	Age      time.Duration
}

// CellsArgs asks a daemon of another data centre for a pool's cells.
type CellsArgs struct{ Pool string }

// CellsReply lists a pool's cells.
type CellsReply struct{ Cells []Cell }

// DocumentArgs asks for a newer document.
type DocumentArgs struct {
	// From is the caller's version; zero asks for the full document.
	From int64
}

// DocumentReply holds the deltas after From, or the full document if a delta is
// missing.
type DocumentReply struct {
	Version  int64
	Deltas   []document.Delta
	Document *document.Document
}

// NudgeArgs asks a member to send its heartbeat now.
type NudgeArgs struct{}

// NudgeReply is empty.
type NudgeReply struct{}

// PingArgs asks which daemon runs at an address.
type PingArgs struct{}

// PingReply names the daemon that answers.
type PingReply struct{ Member Member }
