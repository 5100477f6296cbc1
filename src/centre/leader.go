package centre

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"sort"
	"syscall"
	"time"

	"sesamepitch/src/document"
)

const (
	// beatPerMember keeps a leader's control traffic under its bound in a
	// large data centre.
	beatPerMember = 60 * time.Millisecond
	probeTime     = 300 * time.Millisecond
	// reportBeats is how many heartbeats members have to find a new leader.
	reportBeats = 2
)

// memberState is what a leader knows of one member.
type memberState struct {
	member  Member
	heardAt time.Time
	till    time.Time
	view    int64
	config  int64
	batches int64
	silent  bool
	warm    []string
}

// leadership is the state of a leading daemon; a new leader starts without
// any and learns it from the members' heartbeats.
type leadership struct {
	epoch   Epoch
	since   time.Time
	version int64
	members map[string]*memberState
	cells   map[CellID]*tenure
	leaving []string
	remotes []Remote
	stale   map[string]int64
	// moved is set once a cell has changed hands.
	moved bool
	// earlier are the members of the leader before that have neither been
	// heard of nor found gone.
	earlier map[string]Member
}

func (n *Node) becomeLeader(epoch Epoch, as role) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != follower && n.lead != nil {
		n.role = as
		n.epoch = epoch
		n.lead.epoch = epoch
		return
	}
	now := n.clock.Now()
	held := n.ownedLocked()
	till := n.cellsTill
	n.role = as
	n.epoch, n.latest = epoch, epoch
	n.leader = n.settings.Self
	n.lead = &leadership{epoch: epoch, since: now, members: map[string]*memberState{}, cells: map[CellID]*tenure{}, stale: map[string]int64{}, earlier: n.earlierMembers()}
	if n.view != nil {
		n.lead.remotes = n.view.Remotes
		n.lead.leaving = n.view.Leaving
	}
	self := &memberState{member: n.settings.Self, heardAt: now, till: till}
	n.lead.members[n.settings.Self.ID] = self
	for _, cell := range held {
		n.lead.cells[cell.ID] = &tenure{owner: n.settings.Self}
	}
	n.log.Info("leader leads", "centre", n.settings.Centre, "epoch", epoch.Table, "rank", epoch.Rank)
}

// earlierMembers lists who may hold cells from the leader before: the members
// in its lease's note and those in the last view seen here.
func (n *Node) earlierMembers() map[string]Member {
	earlier := map[string]Member{}
	var noted []Member
	_ = json.Unmarshal([]byte(n.lease.Previous().Note), &noted)
	if n.view != nil {
		noted = append(noted, n.view.Members...)
	}
	for _, member := range noted {
		if member != n.settings.Self {
			earlier[member.ID+"@"+member.Incarnation] = member
		}
	}
	for key, member := range earlier {
		if member.ID == n.settings.Self.ID {
			// An earlier run of this instance: its process is gone.
			delete(earlier, key)
		}
	}
	return earlier
}

// accountFor takes a member, and earlier runs of its instance, off the list of
// those that may hold cells unheard.
func (l *leadership) accountFor(member Member) {
	for key, earlier := range l.earlier {
		if earlier.ID == member.ID {
			delete(l.earlier, key)
		}
	}
}

// noteMembers leaves the members' list to the next leader.
func (n *Node) noteMembers() {
	encoded, err := json.Marshal(n.liveMembers())
	if err == nil {
		n.lease.SetNote(string(encoded))
	}
}

// keepBooks is a leader's tick: it looks after silent members and gives cells
// to owners.
func (n *Node) keepBooks(ctx context.Context) {
	for _, silent := range n.silentMembers() {
		n.probe(ctx, silent)
	}
	for _, earlier := range n.unaccounted() {
		n.probe(ctx, earlier)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return
	}
	now := n.clock.Now()
	self := n.lead.members[n.settings.Self.ID]
	self.heardAt = now
	self.till = now.Add(n.settings.CellLease)
	self.view = n.lead.version
	self.warm = n.warm
	self.config = n.holder.Current().Version()
	self.batches = n.journalBatches()
	n.cellsTill = self.till
	n.lastBeat = now
	n.forgetMembers(now)
	n.noteMembers()
	n.assign(now)
	n.rebuildView()
	n.interval = n.beatInterval()
}

// journalBatches avoids waiting for a sync that holds the journal.
func (n *Node) journalBatches() int64 { return n.syncedBatches.Load() }

func (n *Node) beatInterval() time.Duration {
	return max(n.settings.Beat, time.Duration(len(n.lead.members))*beatPerMember)
}

// silentMembers lists the members that missed two heartbeats.
func (n *Node) silentMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return nil
	}
	var silent []Member
	now := n.clock.Now()
	for _, state := range n.lead.members {
		state.silent = state.member.ID != n.settings.Self.ID && now.Sub(state.heardAt) > 2*n.beatInterval()+n.callTime()/2
		if state.silent {
			silent = append(silent, state.member)
		}
	}
	return silent
}

// unaccounted lists members of the leader before that are still to be heard of.
func (n *Node) unaccounted() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return nil
	}
	var members []Member
	for _, member := range n.lead.earlier {
		members = append(members, member)
	}
	return members
}

// probe dials a silent member. A refused connection means that its process is
// gone, so its lease need not be waited out.
func (n *Node) probe(ctx context.Context, member Member) {
	dialer := net.Dialer{Timeout: probeTime}
	conn, err := dialer.DialContext(ctx, "tcp", member.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return
	}
	n.lead.accountFor(member)
	if state := n.lead.members[member.ID]; state != nil && state.member == member {
		n.log.Info("member removed", "member", member.ID, "reason", "connection refused")
		n.removeMember(member)
	}
}

// forgetMembers removes members whose lease has lapsed.
func (n *Node) forgetMembers(now time.Time) {
	for _, state := range n.lead.members {
		if now.After(state.till) && now.Sub(state.heardAt) > n.settings.CellLease {
			n.log.Info("member removed", "member", state.member.ID, "reason", "lease lapsed")
			n.removeMember(state.member)
		}
	}
}

// removeMember ends a member whose process is gone or whose lease has lapsed.
func (n *Node) removeMember(member Member) {
	delete(n.lead.members, member.ID)
	n.lead.moved = true
	for _, held := range n.lead.cells {
		if held.owner == member {
			held.owner = Member{}
		}
		if held.moving && held.last == member {
			held.moving = false
		}
	}
}

func (n *Node) liveMembers() []Member {
	var members []Member
	for _, state := range n.lead.members {
		members = append(members, state.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// settled tells whether every grant of earlier leaders has lapsed or has been
// claimed by its member's heartbeat. A short wait lets members report that the
// leader before took in while it could not note them.
func (n *Node) settled(now time.Time) bool {
	age := now.Sub(n.lead.since)
	if n.lead.epoch == (Epoch{Table: 1}) || age > n.settings.CellLease+n.settings.Lease.Margin {
		return true
	}
	if age <= reportBeats*n.settings.Beat+n.callTime() {
		return false
	}
	// A caretaker has waited until the grants of the leader before had lapsed.
	return n.role == caretaker || len(n.lead.earlier) == 0
}

// assign moves each cell towards its owner by rendezvous hash. A cell whose
// last owner may still use it waits.
func (n *Node) assign(now time.Time) {
	members := n.liveMembers()
	wanted := map[CellID]bool{}
	for _, cell := range n.cells() {
		wanted[cell.ID] = true
		held := n.lead.cells[cell.ID]
		if held == nil {
			held = &tenure{}
			n.lead.cells[cell.ID] = held
		}
		n.assignCell(now, cell.ID, held, members)
	}
	for id := range n.lead.cells {
		if !wanted[id] {
			delete(n.lead.cells, id)
		}
	}
}

// cells lists the data centre's cells without owners; it needs n.mu. They are
// divided anew only when the document has changed.
func (n *Node) cells() []Cell {
	config := n.holder.Current()
	if n.divided.version != config.Version() {
		n.divided = division{version: config.Version(), cells: cellsOf(config, n.settings.Centre)}
	}
	return n.divided.cells
}

func (n *Node) assignCell(now time.Time, id CellID, held *tenure, members []Member) {
	if held.moving && n.released(now, held) {
		held.moving = false
	}
	target, found := ownerOf(id, members)
	if !found || held.moving || held.owner == target {
		return
	}
	if held.owner.ID != "" {
		if !n.settled(now) {
			return
		}
		held.moving, held.last, held.lastView = true, held.owner, n.lead.version+1
		held.owner = Member{}
		n.lead.moved = true
		n.log.Info("cell moves", "pool", id.Pool, "cell", id.Index, "from", held.last.ID, "to", target.ID, "reason", "rendezvous")
		return
	}
	if !n.settled(now) {
		return
	}
	held.owner = target
	n.log.Info("cell owned", "pool", id.Pool, "cell", id.Index, "owner", target.ID)
}

// released tells whether a moving cell's last owner has stopped using it.
func (n *Node) released(now time.Time, held *tenure) bool {
	state := n.lead.members[held.last.ID]
	if state == nil || state.member != held.last {
		return true
	}
	return state.view >= held.lastView || now.After(state.till)
}

// rebuildView gives the view a new version if anything in it changed.
func (n *Node) rebuildView() {
	next := &View{Epoch: n.lead.epoch, Leader: n.settings.Self, Members: n.liveMembers(), Leaving: n.lead.leaving, Remotes: n.lead.remotes, Uncertain: n.uncertain(), Warm: n.warmEndpoints(), FirstOwners: n.firstOwners()}
	for _, cell := range n.cells() {
		if held := n.lead.cells[cell.ID]; held != nil {
			cell.Owner, cell.Address = held.owner.ID, held.owner.Address
		}
		next.Cells = append(next.Cells, cell)
	}
	next.Version = n.lead.version
	if n.view != nil && reflect.DeepEqual(next, n.view) {
		return
	}
	n.lead.version++
	next.Version = n.lead.version
	n.setView(next)
	n.nudgeMembers()
}

// warmEndpoints lists the warm endpoints of all owners, also of those that
// have just gone.
func (n *Node) warmEndpoints() []string {
	warm := map[string]bool{}
	if n.view != nil {
		for _, cell := range n.view.Cells {
			if cell.Owner == "" || n.lead.members[cell.Owner] == nil {
				for _, name := range n.view.Warm {
					warm[name] = warm[name] || contains(cell.Endpoints, name)
				}
			}
		}
	}
	for _, state := range n.lead.members {
		for _, name := range state.warm {
			warm[name] = true
		}
	}
	var names []string
	for name, is := range warm {
		if is {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func contains(names []string, wanted string) bool {
	for _, name := range names {
		if name == wanted {
			return true
		}
	}
	return false
}

// firstOwners tells whether this is the data centre's first leader, under
// which no cell has moved yet.
func (n *Node) firstOwners() bool {
	return n.lead.epoch == Epoch{Table: 1} && !n.lead.moved
}

// uncertain tells whether another leader could exist: the lease has lapsed
// because the table is out of reach, and a member is silent but not gone.
func (n *Node) uncertain() bool {
	if _, _, held := n.lease.Held(); held {
		return false
	}
	if n.role == caretaker && len(n.lead.earlier) > 0 {
		return true
	}
	for _, state := range n.lead.members {
		if state.silent {
			return true
		}
	}
	return false
}

// claim takes over a cell that a member holds from an earlier leader.
func (n *Node) claim(member Member, ids []CellID) {
	for _, id := range ids {
		held := n.lead.cells[id]
		if held == nil {
			n.lead.cells[id] = &tenure{owner: member}
			continue
		}
		if held.owner.ID == "" && !held.moving && !n.settled(n.clock.Now()) {
			held.owner = member
		}
	}
}

// hear keeps the books on one heartbeat. It returns false if this daemon does
// not lead.
func (n *Node) hear(args BeatArgs, reply *BeatReply) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Leader, reply.Epoch, reply.HeardAge = n.leader, n.epoch, n.clock.Now().Sub(n.lastBeat)
	if args.Epoch.Newer(n.latest) {
		n.latest = args.Epoch
	}
	if n.role == follower || n.lead == nil {
		return false
	}
	if args.Epoch.Newer(n.epoch) {
		n.log.Info("leader steps down", "reason", "newer epoch", "centre", n.settings.Centre)
		n.stepDownLocked()
		return false
	}
	if args.Leaving {
		n.removeMember(args.Member)
		wake(n.nudge)
		return true
	}
	n.noteMember(args)
	reply.CellLease = n.settings.CellLease
	reply.Interval = n.beatInterval()
	if n.view != nil && n.view.Epoch == n.epoch && (args.Epoch != n.epoch || args.View < n.view.Version) {
		reply.View = n.view
	}
	reply.Age = -1
	if !n.freshAt.IsZero() {
		reply.Age = n.clock.Now().Sub(n.freshAt)
	}
	return true
}

func (n *Node) noteMember(args BeatArgs) {
	state := n.lead.members[args.Member.ID]
	if state != nil && state.member != args.Member {
		// A new run of the instance: the old one is gone with its grants.
		n.removeMember(state.member)
		state = nil
	}
	if state == nil {
		state = &memberState{member: args.Member}
		n.lead.members[args.Member.ID] = state
		n.log.Info("member joined", "member", args.Member.ID, "address", args.Member.Address)
		wake(n.nudge)
	}
	n.lead.accountFor(args.Member)
	n.claim(args.Member, args.Cells)
	state.heardAt = n.clock.Now()
	state.till = state.heardAt.Add(n.settings.CellLease)
	state.config = args.Config
	state.warm = args.Warm
	state.view = 0
	if args.Epoch == n.epoch {
		state.view = args.View
	}
	if args.Read.Set == n.notices.ID() && args.Read.Index >= n.notices.Index() {
		state.batches = n.journalBatches()
	}
	for _, reported := range args.Reversed {
		n.lead.stale[reported.Endpoint] = reported.Version
	}
}

// TakeStale hands out the endpoints that members saw running other versions
// than they report.
func (n *Node) TakeStale() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	stale := map[string]int64{}
	for endpoint, version := range n.stale {
		stale[endpoint] = version
	}
	clear(n.stale)
	if n.lead != nil {
		for endpoint, version := range n.lead.stale {
			stale[endpoint] = version
		}
		clear(n.lead.stale)
	}
	return stale
}

// Service is the node's net/rpc face.
type Service struct{ node *Node }

// Beat answers a member's heartbeat.
func (s *Service) Beat(args BeatArgs, reply *BeatReply) error {
	n := s.node
	if !n.hear(args, reply) {
		return nil
	}
	reply.Accepted = true
	n.notices.Add(args.Member.Address, args.Notices...)
	n.learnFrom(args)
	reply.Notices, reply.Read = n.noticesFor(args.Read, args.Member.Address)
	reply.Config = n.holder.Current().Version()
	if args.Config < reply.Config {
		reply.Deltas = n.deltasAfter(args.Config)
	}
	return nil
}

// learnFrom takes over what a member knows and this leader does not, as after
// the leader's own restart while the table is out of reach.
func (n *Node) learnFrom(args BeatArgs) {
	if args.Config > n.holder.Current().Version() {
		n.takeDocument(args.Member.Address)
	}
	if args.Age < 0 || args.Config > n.holder.Current().Version() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshenLocked(n.clock.Now().Add(-args.Age - n.callTime()))
}

// takeDocument takes the document over from a member that has a newer one, as
// after the leader's own restart while the table is out of reach.
func (n *Node) takeDocument(address string) {
	calling, cancel := context.WithTimeout(context.Background(), n.callTime())
	defer cancel()
	var whole DocumentReply
	if err := n.dialer.Call(calling, address, "Centre.Document", DocumentArgs{}, &whole); err != nil {
		return
	}
	n.advance(document.NewConfig(whole.Version, whole.Document), nil)
}

// Document answers with the whole document.
func (s *Service) Document(_ DocumentArgs, reply *DocumentReply) error {
	current := s.node.holder.Current()
	reply.Version, reply.Document = current.Version(), current.Document()
	return nil
}

// Cells answers with a pool's cells.
func (s *Service) Cells(args CellsArgs, reply *CellsReply) error {
	view := s.node.View()
	if view == nil {
		return nil
	}
	for _, cell := range view.Cells {
		if cell.ID.Pool == args.Pool {
			reply.Cells = append(reply.Cells, cell)
		}
	}
	return nil
}

// Nudge makes this daemon send its heartbeat now.
func (s *Service) Nudge(NudgeArgs, *NudgeReply) error {
	wake(s.node.nudge)
	return nil
}

// Ping says who answers here.
func (s *Service) Ping(_ PingArgs, reply *PingReply) error {
	reply.Member = s.node.settings.Self
	return nil
}

// document whole for other data centres' leaders.
func (n *Node) wholeDocument() *document.Document {
	d := n.holder.Current().Document()
	return &d
}
