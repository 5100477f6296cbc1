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

// Settings are a daemon's place in its data centre.
type Settings struct {
	// Centre is the data centre's name, Self this daemon.
	Centre string
	Self   Member
	// Seeds are peers to ask when the platform is out of reach at start.
	Seeds []string
	// Beat is the time between heartbeats in a small data centre.
	Beat time.Duration
	// Lease are the times of the leader's lease in the table.
	Lease lease.Settings
	// CellLease is how long an owner may use its cells after a heartbeat.
	CellLease time.Duration
}

// Node is one daemon's membership of its data centre.
type Node struct {
	settings Settings
	clock    sesamepitch.Clock
	log      logr.Logger
	platform sesamepitch.Platform
	dialer   *peer.Dialer
	holder   *document.Holder
	notices  *notice.Set
	journal  *notice.Log
	store    *document.Store
	lease    *lease.Lease

	nudge   chan struct{}
	syncNow chan struct{}
	// news receives when the members should ask for what is new.
	news chan struct{}

	mu       sync.Mutex
	view     *View
	role     role
	leader   Member
	epoch    Epoch
	interval time.Duration
	// latest is the newest epoch that any daemon has told of.
	latest Epoch
	// misses counts the heartbeats since the last that was accepted, at lastBeat.
	misses   int
	lastBeat time.Time
	lastTick time.Time
	// attemptAt is when contact was last tried, freshAt since when nothing of the
	// table was missed.
	attemptAt time.Time
	freshAt   time.Time
	// cellsTill is until when this daemon may use its cells.
	cellsTill time.Time
	// read is how far the leader's notices were read, sentIndex how far this
	// daemon's were sent to the leader at sentTo.
	read      NoticeState
	sentTo    string
	sentIndex int
	// recent are the deltas that led to the configuration in force.
	recent []document.Delta
	// stale and warm are what this daemon's owner tells of its endpoints.
	stale map[string]int64
	warm  []string
	// lead is the state of a leader, nil at a follower.
	lead      *leadership
	exchanged map[string]*exchangeState
	// listed is the platform's live list as last read.
	listed  map[string]string
	divided division
	// peerHeard is set in a search if a peer still hears its leader.
	peerHeard bool
	// left are former members of the view, by address and incarnation.
	left map[Member]bool

	syncedBatches atomic.Int64
}

// role is what a daemon does in its data centre.
type role int

const (
	follower role = iota
	elected
	caretaker
)

const (
	keptRecent = 64
	maxLeft    = 4096
)

// New returns a daemon's node; its Workers keep it in its data centre.
func New(settings Settings, clock sesamepitch.Clock, log logr.Logger, platform sesamepitch.Platform, dialer *peer.Dialer, holder *document.Holder, notices *notice.Set) *Node {
	return &Node{
		settings: settings, clock: clock, log: log, platform: platform, dialer: dialer,
		holder: holder, notices: notices,
		journal:  notice.NewLog(platform, notices),
		store:    document.NewStore(platform),
		lease:    lease.New(clock, platform, leaderKey(settings.Centre), settings.Self.ID+"@"+settings.Self.Incarnation, settings.Self.Address, settings.Lease),
		nudge:    make(chan struct{}, 1),
		syncNow:  make(chan struct{}, 1),
		news:     make(chan struct{}, 1),
		interval: settings.Beat, lastBeat: clock.Now(), left: map[Member]bool{},
		stale:     map[string]int64{},
		exchanged: map[string]*exchangeState{},
	}
}

func leaderKey(centre string) string { return leaderPrefix + centre }

const leaderPrefix = "leader/"

// NoticeLog returns the log of notices in the platform's table.
func (n *Node) NoticeLog() *notice.Log { return n.journal }

// Workers returns the node's supervised tasks.
func (n *Node) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("heartbeat", n.runBeats),
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

// View returns the view in force; nil before the first.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// setView replaces the view and remembers who left it; it needs n.mu.
func (n *Node) setView(next *View) {
	if n.view != nil {
		for _, member := range n.view.Members {
			n.left[Member{Address: member.Address, Incarnation: member.Incarnation}] = true
		}
	}
	for _, member := range next.Members {
		delete(n.left, Member{Address: member.Address, Incarnation: member.Incarnation})
	}
	if len(n.left) > maxLeft {
		n.left = map[Member]bool{}
	}
	n.view = next
}

// Lease returns the leader's lease, under which orders are given.
func (n *Node) Lease() *lease.Lease { return n.lease }

// IsLeader tells whether this daemon leads its data centre.
func (n *Node) IsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role != follower
}

// Owns tells whether this daemon may grant streams of the cell's endpoints now.
func (n *Node) Owns(id CellID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || !n.clock.Now().Before(n.cellsTill) {
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
	if n.view == nil || !n.clock.Now().Before(n.cellsTill) {
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

// Contact says when this daemon last knew all that the table held, directly or
// through others, and when it last finished trying to find out.
func (n *Node) Contact() (fresh, attempt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshAt, n.attemptAt
}

// Nudge makes the next heartbeat and table sync happen now.
func (n *Node) Nudge() {
	supervisor.Wake(n.nudge)
	supervisor.Wake(n.syncNow)
}

// NoteVersion remembers that an endpoint was seen to run a weight version, so
// that the leader can order the load again.
func (n *Node) NoteVersion(endpoint string, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stale[endpoint] = version
}

// Publish adds notices made here, and tries to bring them into the table at
// once. The batch number is zero if the table could not be reached; then they
// spread through the peers and the leader publishes them later.
func (n *Node) Publish(ctx context.Context, notices ...notice.Notice) (batch int64) {
	n.notices.Add("", notices...)
	n.Nudge()
	for range publishTries {
		if err := n.journal.Sync(ctx); err != nil {
			return 0
		}
		if !n.journal.HasUnpublished() {
			return n.journal.Batches()
		}
	}
	return 0
}

const publishTries = 5

// Accept makes a document the next version and puts it in force here at once.
func (n *Node) Accept(ctx context.Context, base *document.Config, mine document.Document, author string) (*document.Config, error) {
	next, err := n.store.Accept(ctx, base, mine, author)
	if err != nil {
		return nil, err
	}
	if err := n.follow(ctx); err != nil {
		n.advance(next, nil)
	}
	n.Nudge()
	return next, nil
}

// DaemonCount estimates how many daemons there are in all data centres.
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

// NoteWarm remembers which endpoints of the owned cells are warm.
func (n *Node) NoteWarm(endpoints []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.warm = endpoints
}

// advance puts a configuration in force and remembers the deltas that led to it.
func (n *Node) advance(next *document.Config, deltas []document.Delta) {
	if !n.holder.Advance(next) {
		return
	}
	n.log.Info("configuration in force", "version", next.Version(), "digest", next.Digest()[:12])
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(deltas) == 0 || (len(n.recent) > 0 && n.recent[len(n.recent)-1].Version+1 != deltas[0].Version) {
		n.recent = nil
	}
	n.recent = append(n.recent, deltas...)
	if len(n.recent) > keptRecent {
		n.recent = n.recent[len(n.recent)-keptRecent:]
	}
}

// deltasAfter returns the recent deltas after a version, or none if there is a
// gap, or a delta that was too large to be kept.
func (n *Node) deltasAfter(version int64) []document.Delta {
	n.mu.Lock()
	defer n.mu.Unlock()
	start := slices.IndexFunc(n.recent, func(d document.Delta) bool { return d.Version == version+1 })
	if start < 0 || slices.ContainsFunc(n.recent[start:], document.Delta.OmitsChanges) {
		return nil
	}
	return slices.Clone(n.recent[start:])
}
