// Package centre keeps the daemons of one data centre together without a full
// mesh and without a store of their own. One daemon leads: it is elected by a
// lease in the platform's table, hears a heartbeat of every other, and hands
// each the view of the data centre, new configuration and notices. The leaders
// of the data centres exchange what they know among themselves.
package centre

import (
	"slices"
	"time"

	"sesamepitch/src/document"
	"sesamepitch/src/notice"
)

// Epoch orders the leaders of a data centre. Rank is zero for a leader elected
// through the table, and higher for each caretaker that follows it while the
// table is out of reach.
type Epoch struct {
	Table int64
	Rank  int
}

// Newer tells whether e comes after other.
func (e Epoch) Newer(other Epoch) bool {
	if e.Table != other.Table {
		return e.Table > other.Table
	}
	return e.Rank > other.Rank
}

// Member is one daemon of the data centre. Incarnation tells its runs apart.
type Member struct {
	ID          string
	Incarnation string
	Address     string
}

// CellID names a cell: a few endpoints of one pool with one owner.
type CellID struct {
	Pool  string
	Index int
}

// Cell is a cell with its owner, which alone grants its endpoints' streams.
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

// View is what the members of a data centre know of it. It is replaced as a
// whole when its Epoch or Version grows.
type View struct {
	Epoch   Epoch
	Version int64
	Leader  Member
	Members []Member
	Cells   []Cell
	Leaving []string
	Remotes []Remote
	// Warm lists the endpoints that their owners know as warm.
	Warm []string
	// Uncertain is set while another leader could exist.
	Uncertain bool
	// FirstOwners is set while no cell can have had an owner before.
	FirstOwners bool
}

// Newer tells whether v replaces other.
func (v *View) Newer(other *View) bool {
	if other == nil {
		return true
	}
	if v.Epoch != other.Epoch {
		return v.Epoch.Newer(other.Epoch)
	}
	return v.Version > other.Version
}

// Cell finds a cell in the view.
func (v *View) Cell(id CellID) (Cell, bool) {
	for _, cell := range v.Cells {
		if cell.ID == id {
			return cell, true
		}
	}
	return Cell{}, false
}

// IsLeaving tells whether the platform said that the endpoint leaves.
func (v *View) IsLeaving(endpoint string) bool {
	return slices.Contains(v.Leaving, endpoint)
}

// NoticeState says how far one side has read the other side's notices.
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
	// Set names the member's notices, Read how far it has read the leader's.
	Set     string
	Read    NoticeState
	Notices []notice.Notice
	Cells   []CellID
	Warm    []string
	// Age is the time since this member knew all that the table held; negative
	// if it never did.
	Age      time.Duration
	Reversed []StaleEndpoint
}

// StaleEndpoint is an endpoint seen to run an older weight version than it
// reports.
type StaleEndpoint struct {
	Endpoint string
	Version  int64
}

// BeatReply is the leader's answer. A daemon that does not lead sets Leader
// to the one that it follows and Accepted to false.
type BeatReply struct {
	Accepted bool
	Leader   Member
	Epoch    Epoch
	View     *View
	// HeardAge is how long ago a daemon that does not lead heard its leader.
	HeardAge time.Duration
	// Config is the leader's version; Deltas lead to it unless there is a gap.
	Config  int64
	Deltas  []document.Delta
	Notices []notice.Notice
	Read    NoticeState
	// Age is the time since the leader knew all that the table held; negative
	// if it never did.
	Age time.Duration
	// CellLease is how long the member may use its cells, from when it sent
	// the heartbeat.
	CellLease time.Duration
	// Interval is the time to the next heartbeat.
	Interval time.Duration
}

// ExchangeArgs is one leader's call to the leader of another data centre.
type ExchangeArgs struct {
	Centre  string
	Config  int64
	Set     string
	Read    NoticeState
	Notices []notice.Notice
}

// ExchangeReply is its answer.
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

// CellsReply lists them.
type CellsReply struct{ Cells []Cell }

// DocumentArgs asks for a newer document, to mend a gap.
type DocumentArgs struct {
	// From is the version that the asking daemon has; zero asks for the whole.
	From int64
}

// DocumentReply is the deltas after From, or the whole document if there is a gap.
type DocumentReply struct {
	Version  int64
	Deltas   []document.Delta
	Document *document.Document
}

// NudgeArgs asks a member to send its heartbeat now.
type NudgeArgs struct{}

// NudgeReply is empty.
type NudgeReply struct{}

// PingArgs asks a daemon who it is.
type PingArgs struct{}

// PingReply says who answers.
type PingReply struct{ Member Member }
