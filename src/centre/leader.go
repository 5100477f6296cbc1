package centre

import (
	"context"
	"reflect"
	"slices"
	"sort"
	"time"

	"sesamepitch/src/supervisor"
)

const (
	// intervalPerMember times the number of members is the least heartbeat
	// interval. It bounds the leader's control traffic in a large data centre.
	intervalPerMember = 60 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	// reportBeats is how many heartbeat intervals members have to report to a
	// new leader.
	reportBeats = 2
)

// memberState is a leader's record of one member.
type memberState struct {
	member        Member
	lastHeard     time.Time
	leaseUntil    time.Time
	viewVersion   int64
	configVersion int64
	batches       int64
	unresponsive  bool
	warm          []string
}

// leadership is the state of a leading daemon. A new leader starts without
// members and cells and fills them in from heartbeats.
type leadership struct {
	epoch       Epoch
	since       time.Time
	viewVersion int64
	members     map[string]*memberState
	cells       map[CellID]*cellOwnership
	leaving     []string
	remotes     []Remote
	stale       map[string]int64
	// cellsMoved is set once a cell may have changed owners.
	cellsMoved bool
	// earlierMembers are the previous leader's members that have neither sent a
	// heartbeat nor been found to have exited.
	earlierMembers map[string]Member
}

func (n *Node) becomeLeader(epoch Epoch, newRole role) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != follower && n.lead != nil {
		n.role = newRole
		n.epoch = epoch
		n.lead.epoch = epoch
		return
	}
	now := n.clock.Now()
	owned := n.ownedLocked()
	leaseUntil := n.cellsUntil
	n.role = newRole
	n.epoch, n.latestEpoch = epoch, epoch
	n.leader = n.settings.Self
	n.lead = &leadership{epoch: epoch, since: now, members: map[string]*memberState{}, cells: map[CellID]*cellOwnership{}, stale: map[string]int64{}, earlierMembers: n.earlierMembers()}
	if n.view != nil {
		n.lead.remotes = n.view.Remotes
		n.lead.leaving = n.view.Leaving
	}
	self := &memberState{member: n.settings.Self, lastHeard: now, leaseUntil: leaseUntil}
	n.lead.members[n.settings.Self.ID] = self
	for _, cell := range owned {
		n.lead.cells[cell.ID] = &cellOwnership{owner: n.settings.Self}
	}
	n.log.Info("became leader", "centre", n.settings.Centre, "epoch", epoch.Table, "rank", epoch.Rank)
}

// leaderTick is one heartbeat interval of a leader: it probes unresponsive
// members, assigns cells to owners and updates the view.
func (n *Node) leaderTick(ctx context.Context) {
	for _, unresponsive := range n.unresponsiveMembers() {
		n.probe(ctx, unresponsive)
	}
	for _, earlier := range n.unresolvedMembers() {
		n.probe(ctx, earlier)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return
	}
	now := n.clock.Now()
	self := n.lead.members[n.settings.Self.ID]
	self.lastHeard = now
	self.leaseUntil = now.Add(n.settings.CellLease)
	self.viewVersion = n.lead.viewVersion
	self.warm = n.warm
	self.configVersion = n.holder.Current().Version()
	self.batches = n.noticeBatches()
	n.cellsUntil = self.leaseUntil
	n.lastBeat = now
	n.removeExpiredMembers(now)
	n.saveMembers()
	n.assign(now)
	n.rebuildView()
	n.interval = n.beatInterval()
}

// noticeBatches returns the number of batches as of the last sync, because
// asking the notice log would wait for a sync that holds its lock.
func (n *Node) noticeBatches() int64 { return n.syncedBatches.Load() }

func (n *Node) beatInterval() time.Duration {
	return max(n.settings.Beat, time.Duration(len(n.lead.members))*intervalPerMember)
}

// removeExpiredMembers removes members whose lease has expired.
func (n *Node) removeExpiredMembers(now time.Time) {
	for _, state := range n.lead.members {
		if now.After(state.leaseUntil) && now.Sub(state.lastHeard) > n.settings.CellLease {
			n.log.Info("member removed", "member", state.member.ID, "reason", "lease lapsed")
			n.removeMember(state.member)
		}
	}
}

// removeMember removes a member that left, whose process has exited or whose
// lease has expired, and ends its ownership of cells.
func (n *Node) removeMember(member Member) {
	delete(n.lead.members, member.ID)
	n.lead.cellsMoved = true
	for _, ownership := range n.lead.cells {
		if ownership.owner == member {
			ownership.owner = Member{}
		}
		if ownership.moving && ownership.previous == member {
			ownership.moving = false
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

// rebuildView publishes a new version of the view if anything in it changed.
func (n *Node) rebuildView() {
	next := &View{Epoch: n.lead.epoch, Leader: n.settings.Self, Members: n.liveMembers(), Leaving: n.lead.leaving, Remotes: n.lead.remotes, Uncertain: n.uncertain(), Warm: n.warmEndpoints(), FirstOwners: n.firstOwners()}
	for _, cell := range n.cells() {
		if ownership := n.lead.cells[cell.ID]; ownership != nil {
			cell.Owner, cell.Address = ownership.owner.ID, ownership.owner.Address
		}
		next.Cells = append(next.Cells, cell)
	}
	next.Version = n.lead.viewVersion
	if n.view != nil && reflect.DeepEqual(next, n.view) {
		return
	}
	n.lead.viewVersion++
	next.Version = n.lead.viewVersion
	n.setView(next)
	n.nudgeMembers()
}

// warmEndpoints lists the warm endpoints of all owners. Endpoints of a cell
// that lost its owner stay warm if they were so in the last view.
func (n *Node) warmEndpoints() []string {
	warm := map[string]bool{}
	if n.view != nil {
		for _, cell := range n.view.Cells {
			if cell.Owner == "" || n.lead.members[cell.Owner] == nil {
				for _, name := range n.view.Warm {
					warm[name] = warm[name] || slices.Contains(cell.Endpoints, name)
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
	for name, isWarm := range warm {
		if isWarm {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// receiveHeartbeat records one heartbeat and fills in the reply. It returns
// false if this daemon does not lead.
func (n *Node) receiveHeartbeat(args BeatArgs, reply *BeatReply) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Leader, reply.Epoch, reply.HeardAge = n.leader, n.epoch, n.clock.Now().Sub(n.lastBeat)
	if args.Epoch.Newer(n.latestEpoch) {
		n.latestEpoch = args.Epoch
	}
	if n.role == follower || n.lead == nil {
		return false
	}
	if args.Epoch.Newer(n.epoch) {
		n.log.Info("leader stepped down", "reason", "newer epoch", "centre", n.settings.Centre)
		n.stepDownLocked()
		return false
	}
	if args.Leaving {
		n.removeMember(args.Member)
		supervisor.Wake(n.nudge)
		return true
	}
	n.recordMember(args)
	reply.CellLease = n.settings.CellLease
	reply.Interval = n.beatInterval()
	if n.view != nil && n.view.Epoch == n.epoch && (args.Epoch != n.epoch || args.View < n.view.Version) {
		reply.View = n.view
	}
	reply.Age = -1
	if !n.syncedAt.IsZero() {
		reply.Age = n.clock.Now().Sub(n.syncedAt)
	}
	return true
}

func (n *Node) recordMember(args BeatArgs) {
	state := n.lead.members[args.Member.ID]
	if state != nil && state.member != args.Member {
		// A new run of the instance: the old one has exited, so its grants end.
		n.removeMember(state.member)
		state = nil
	}
	if state == nil {
		state = &memberState{member: args.Member}
		n.lead.members[args.Member.ID] = state
		n.log.Info("member joined", "member", args.Member.ID, "address", args.Member.Address)
		supervisor.Wake(n.nudge)
	}
	n.lead.resolveEarlier(args.Member)
	n.claim(args.Member, args.Cells)
	state.lastHeard = n.clock.Now()
	state.leaseUntil = state.lastHeard.Add(n.settings.CellLease)
	state.configVersion = args.Config
	state.warm = args.Warm
	state.viewVersion = 0
	if args.Epoch == n.epoch {
		state.viewVersion = args.View
	}
	if args.Read.Set == n.notices.ID() && args.Read.Index >= n.notices.Index() {
		state.batches = n.noticeBatches()
	}
	for _, reported := range args.Reversed {
		n.lead.stale[reported.Endpoint] = reported.Version
	}
}

// TakeStale returns the endpoints that members observed to run an older weight
// version than they report, each with the observed version, and clears the
// list.
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
