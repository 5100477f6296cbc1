package centre

import (
	"context"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/lease"
	"sesamepitch/src/notice"
	"sesamepitch/src/peer"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

// Settings are the settings of a daemon's membership in its data centre.
type Settings struct {
	// Centre is the data centre's name, Self this daemon.
	Centre string
	Self   Member
	// Seeds are the peers to ask at start if the platform is unreachable.
	Seeds []string
	// Beat is the time between heartbeats in a small data centre.
	Beat time.Duration
	// Lease holds the durations of the leader's lease in the table.
	Lease lease.Settings
	// CellLease is how long an owner may use its cells after a heartbeat.
	CellLease time.Duration
}

// Node is one daemon's membership in its data centre.
type Node struct {
	settings  Settings
	clock     sesamepitch.Clock
	log       logr.Logger
	platform  sesamepitch.Platform
	dialer    *peer.Dialer
	holder    *document.Holder
	notices   *notice.Set
	noticeLog *notice.Log
	store     *document.Store
	lease     *lease.Lease

	nudge   chan struct{}
	syncNow chan struct{}
	// nudgeAll receives when all members should send a heartbeat to fetch
	// changes.
	nudgeAll chan struct{}

	mu       sync.Mutex
	view     *View
	role     role
	leader   Member
	epoch    Epoch
	interval time.Duration
	// latestEpoch is the newest epoch that any daemon has reported.
	latestEpoch Epoch
	// misses counts the heartbeats that failed since the last accepted one, at
	// lastBeat.
	misses   int
	lastBeat time.Time
	lastTick time.Time
	// lastAttempt is when contact was last tried. syncedAt is the time up to
	// which all changes of the table are known here.
	lastAttempt time.Time
	syncedAt    time.Time
	// cellsUntil is when this daemon's lease of its cells ends.
	cellsUntil time.Time
	// leaderRead is how far the leader's notices were read, sentIndex how far
	// this daemon's notices were sent to the leader at sentTo.
	leaderRead NoticeState
	sentTo     string
	sentIndex  int
	// recentDeltas are the deltas that led to the configuration in force.
	recentDeltas []document.Delta
	// stale holds the weight versions observed at endpoints that reported a
	// newer one, and warm the warm endpoints of the owned cells.
	stale map[string]int64
	warm  []string
	// lead is the state of a leader, nil on a follower.
	lead      *leadership
	exchanges map[string]*exchangeState
	// liveStates maps endpoints to their states in the platform's live list, as
	// last read.
	liveStates map[string]string
	cellCache  cellCache
	// peerHearsLeader is set during a search if a peer has recent contact with
	// its leader.
	peerHearsLeader bool
	// departed holds former members of the view, by address and incarnation.
	departed map[Member]bool

	syncedBatches atomic.Int64
}

// role is a daemon's role in its data centre.
type role int

const (
	follower role = iota
	elected
	// actingLeader leads without the table's lease.
	actingLeader
)

const (
	maxRecentDeltas = 64
	maxDeparted     = 4096
)

// New returns a daemon's node. Its Workers maintain the membership.
func New(settings Settings, clock sesamepitch.Clock, log logr.Logger, platform sesamepitch.Platform, dialer *peer.Dialer, holder *document.Holder, notices *notice.Set) *Node {
	return &Node{
		settings: settings, clock: clock, log: log, platform: platform, dialer: dialer,
		holder: holder, notices: notices,
		noticeLog: notice.NewLog(platform, notices),
		store:     document.NewStore(platform),
		lease:     lease.New(clock, platform, leaderKey(settings.Centre), settings.Self.ID+"@"+settings.Self.Incarnation, settings.Self.Address, settings.Lease),
		nudge:     make(chan struct{}, 1),
		syncNow:   make(chan struct{}, 1),
		nudgeAll:  make(chan struct{}, 1),
		interval:  settings.Beat, lastBeat: clock.Now(), departed: map[Member]bool{},
		stale:     map[string]int64{},
		exchanges: map[string]*exchangeState{},
	}
}

func leaderKey(centre string) string { return leaderKeyPrefix + centre }

const leaderKeyPrefix = "leader/"

// NoticeLog returns the log of notices in the platform's table.
func (n *Node) NoticeLog() *notice.Log { return n.noticeLog }

// Workers returns the node's supervised tasks.
func (n *Node) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("heartbeat", n.runHeartbeats),
		supervisor.NewWorker("table-sync", n.runSync),
		supervisor.NewWorker("leader-exchange", n.runExchange),
		supervisor.NewWorker("nudges", n.runNudges),
	}
}

// Register adds the node's methods to a net/rpc server.
func (n *Node) Register(server *rpc.Server) error {
	return server.RegisterName("Centre", &Service{node: n})
}

// Self returns this daemon.
func (n *Node) Self() Member { return n.settings.Self }

// Centre returns the data centre's name.
func (n *Node) Centre() string { return n.settings.Centre }

// View returns the view in force, or nil before the first.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// setView replaces the view and records the members that left it. The caller
// holds n.mu.
func (n *Node) setView(next *View) {
	if n.view != nil {
		for _, member := range n.view.Members {
			n.departed[Member{Address: member.Address, Incarnation: member.Incarnation}] = true
		}
	}
	for _, member := range next.Members {
		delete(n.departed, Member{Address: member.Address, Incarnation: member.Incarnation})
	}
	if len(n.departed) > maxDeparted {
		n.departed = map[Member]bool{}
	}
	n.view = next
}

// Lease returns the leader's lease, which authorises orders.
func (n *Node) Lease() *lease.Lease { return n.lease }

// IsLeader reports whether this daemon leads its data centre.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role != follower
}

// Owns reports whether this daemon may grant streams of the cell's endpoints
// now.
func (n *Node) Owns(id CellID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || !n.clock.Now().Before(n.cellsUntil) {
		return false
	}
	cell, found := n.view.Cell(id)
	return found && cell.Owner == n.settings.Self.ID && cell.Address == n.settings.Self.Address
}

// OwnedCells lists the cells that this daemon owns now.
func (n *Node) OwnedCells() []Cell {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownedLocked()
}

func (n *Node) ownedLocked() []Cell {
	if n.view == nil || !n.clock.Now().Before(n.cellsUntil) {
		return nil
	}
	var cells []Cell
	for _, cell := range n.view.Cells {
		if cell.Owner == n.settings.Self.ID && cell.Address == n.settings.Self.Address {
			cells = append(cells, cell)
		}
	}
	return cells
}

// Contact returns the time up to which all changes of the table are known here,
// directly or through other daemons, and when contact was last tried.
func (n *Node) Contact() (synced, attempt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.syncedAt, n.lastAttempt
}

// Nudge triggers the next heartbeat and table sync immediately.
func (n *Node) Nudge() {
	supervisor.Wake(n.nudge)
	supervisor.Wake(n.syncNow)
}

// NoteVersion records the weight version that an endpoint was observed to run,
// so that the leader can repeat the load order.
func (n *Node) NoteVersion(endpoint string, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stale[endpoint] = version
}

// Publish adds notices of this daemon and tries to write them to the table
// immediately. It returns the number of a batch by which the log holds them, or
// zero if the table could not be reached; in that case they spread through the
// peers and the leader publishes them later.
func (n *Node) Publish(ctx context.Context, notices ...notice.Notice) (batch int64) {
	n.notices.Add("", notices...)
	n.Nudge()
	for range publishTries {
		if err := n.noticeLog.Sync(ctx); err != nil {
			return 0
		}
		if !n.noticeLog.HasUnpublished() {
			return n.noticeLog.Batches()
		}
	}
	return 0
}

const publishTries = 5

// Accept commits a document as the next version and puts it in force on this
// daemon immediately.
func (n *Node) Accept(ctx context.Context, base *document.Config, proposed document.Document, author string) (*document.Config, error) {
	next, err := n.store.Accept(ctx, base, proposed, author)
	if err != nil {
		return nil, err
	}
	if err := n.followConfig(ctx); err != nil {
		n.advance(next, nil)
	}
	n.Nudge()
	return next, nil
}

// DaemonCount estimates the number of daemons in all data centres, on the
// assumption that each has as many as this one.
func (n *Node) DaemonCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil {
		return 1
	}
	return len(n.view.Members) * (len(n.view.Remotes) + 1)
}

// Store returns the document's store.
func (n *Node) Store() *document.Store { return n.store }

// NoteWarm records which endpoints of the owned cells are warm.
func (n *Node) NoteWarm(endpoints []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.warm = endpoints
}

// advance puts a configuration in force and records the deltas that led to it.
func (n *Node) advance(next *document.Config, deltas []document.Delta) {
	if !n.holder.Advance(next) {
		return
	}
	n.log.Info("configuration in force", "version", next.Version(), "digest", next.Digest()[:12])
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(deltas) == 0 || (len(n.recentDeltas) > 0 && n.recentDeltas[len(n.recentDeltas)-1].Version+1 != deltas[0].Version) {
		n.recentDeltas = nil
	}
	n.recentDeltas = append(n.recentDeltas, deltas...)
	if len(n.recentDeltas) > maxRecentDeltas {
		n.recentDeltas = n.recentDeltas[len(n.recentDeltas)-maxRecentDeltas:]
	}
}

// deltasAfter returns the recent deltas after a version, or nil if one of them
// is missing or was too large to be kept.
func (n *Node) deltasAfter(version int64) []document.Delta {
	n.mu.Lock()
	defer n.mu.Unlock()
	start := slices.IndexFunc(n.recentDeltas, func(d document.Delta) bool { return d.Version == version+1 })
	if start < 0 || slices.ContainsFunc(n.recentDeltas[start:], document.Delta.OmitsChanges) {
		return nil
	}
	return slices.Clone(n.recentDeltas[start:])
}
