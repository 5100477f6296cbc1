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
	for name, is := range warm {
		if is {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
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
		supervisor.Wake(n.nudge)
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
		supervisor.Wake(n.nudge)
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
