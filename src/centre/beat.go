package centre

import (
	"context"
	"errors"
	"sort"
	"syscall"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/supervisor"
)

const (
	missesToSearch = 2
	minCallTime    = 700 * time.Millisecond
)

// runBeats sends heartbeats, or keeps the books if this daemon leads.
func (n *Node) runBeats(ctx context.Context) error {
	for {
		n.tick(ctx)
		n.mu.Lock()
		interval := n.interval
		n.mu.Unlock()
		select {
		case <-n.clock.After(interval):
		case <-n.nudge:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tick is one heartbeat. A leader whose ticks stood still for longer than its
// lease was frozen, and must find out who leads now before it goes on.
func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	now := n.clock.Now()
	frozen := !n.lastTick.IsZero() && now.Sub(n.lastTick) > n.settings.Lease.TTL
	n.lastTick = now
	if frozen && n.role != follower {
		n.log.Info("leader steps down", "reason", "frozen", "centre", n.settings.Centre)
		n.stepDownLocked()
	}
	leading, leader, misses := n.role != follower, n.leader, n.misses
	n.mu.Unlock()
	if leading {
		n.keepBooks(ctx)
		return
	}
	if leader.Address != "" && misses < missesToSearch && n.beat(ctx, leader.Address) {
		return
	}
	n.search(ctx)
}

func (n *Node) stepDownLocked() {
	n.role = follower
	n.lead = nil
	n.leader = Member{}
	n.misses = missesToSearch
}

// callTime bounds a control call.
func (n *Node) callTime() time.Duration { return max(n.settings.Beat, minCallTime) }

func (n *Node) beatArgs(leaving bool) BeatArgs {
	n.mu.Lock()
	defer n.mu.Unlock()
	args := BeatArgs{Member: n.settings.Self, Leaving: leaving, Epoch: n.epoch, Config: n.holder.Current().Version(), Set: n.notices.ID(), Read: n.read, Warm: n.warm, Age: -1}
	if !n.freshAt.IsZero() {
		args.Age = n.clock.Now().Sub(n.freshAt)
	}
	if n.view != nil && n.view.Epoch == n.epoch {
		args.View = n.view.Version
	}
	for _, cell := range n.ownedLocked() {
		args.Cells = append(args.Cells, cell.ID)
	}
	for endpoint, version := range n.stale {
		args.Reversed = append(args.Reversed, StaleEndpoint{Endpoint: endpoint, Version: version})
	}
	return args
}

// beat sends one heartbeat and tells whether a leader accepted it.
func (n *Node) beat(ctx context.Context, address string) bool {
	args := n.beatArgs(false)
	leaderSet, index := n.sentBefore(address)
	next := 0
	args.Notices, next = n.notices.Since(index, leaderSet)
	sent := n.clock.Now()
	calling, cancel := context.WithTimeout(ctx, n.callTime())
	defer cancel()
	var reply BeatReply
	err := n.dialer.Call(calling, address, "Centre.Beat", args, &reply)
	if err != nil {
		n.missed()
		return false
	}
	if !reply.Accepted {
		n.redirect(reply)
		return false
	}
	n.accepted(ctx, address, args, reply, sent, next)
	return true
}

// sentBefore returns the notices' set of the leader at an address, as last seen,
// and how far it has been sent this daemon's. A leader that was restarted has
// another set and is sent everything.
func (n *Node) sentBefore(address string) (set string, index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sentTo != address {
		return "", 0
	}
	return n.read.Set, n.sentIndex
}

func (n *Node) missed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misses++
	n.attemptAt = n.clock.Now()
}

// redirect follows a daemon's word about who leads, if that leader is not older.
func (n *Node) redirect(reply BeatReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misses++
	if reply.Epoch.Newer(n.latest) {
		n.latest = reply.Epoch
	}
	if reply.Leader.Address != "" && reply.HeardAge < n.settings.CellLease+n.settings.Lease.Margin {
		n.peerHeard = true
	}
	if reply.Leader.Address != "" && !n.epoch.Newer(reply.Epoch) && reply.Leader.ID != n.settings.Self.ID {
		n.leader = reply.Leader
	}
}

func (n *Node) accepted(ctx context.Context, address string, args BeatArgs, reply BeatReply, sent time.Time, sentIndex int) {
	n.notices.Add(reply.Read.Set, reply.Notices...)
	if !n.takeConfig(ctx, address, reply) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.epoch.Newer(reply.Epoch) {
		n.misses++
		return
	}
	n.misses = 0
	n.epoch = reply.Epoch
	n.latest = reply.Epoch
	n.leader = reply.Leader
	n.lastBeat = n.clock.Now()
	n.attemptAt = n.lastBeat
	if n.sentTo == address && n.read.Set != "" && n.read.Set != reply.Read.Set {
		sentIndex = 0
	}
	n.read = reply.Read
	n.sentTo, n.sentIndex = address, sentIndex
	n.interval = reply.Interval
	n.cellsTill = sent.Add(reply.CellLease)
	for _, reported := range args.Reversed {
		if n.stale[reported.Endpoint] == reported.Version {
			delete(n.stale, reported.Endpoint)
		}
	}
	if reply.View != nil && reply.View.Newer(n.view) {
		n.setView(reply.View)
	}
	if reply.Age >= 0 {
		n.freshenLocked(sent.Add(-reply.Age))
	}
}

func (n *Node) freshenLocked(at time.Time) {
	if at.After(n.freshAt) {
		n.freshAt = at
	}
}

// takeConfig brings the configuration to the leader's version. The heartbeat
// counts as contact only if that worked.
func (n *Node) takeConfig(ctx context.Context, address string, reply BeatReply) bool {
	current := n.holder.Current()
	if reply.Config <= current.Version() {
		return true
	}
	// The next heartbeat tells the leader, and through it the operator who waits.
	defer supervisor.Wake(n.nudge)
	if next, err := document.ApplyDeltas(current, reply.Deltas); err == nil && next.Version() >= reply.Config {
		n.advance(next, reply.Deltas)
		return true
	}
	if err := n.takeDocument(ctx, address); err != nil {
		n.missed()
		return false
	}
	return true
}

// search finds the leader, through the table if it can be reached, else
// through the peers, or becomes the leader.
func (n *Node) search(ctx context.Context) {
	err := n.lease.Step(ctx)
	if err == nil {
		n.followRecord(ctx)
		return
	}
	n.mu.Lock()
	n.attemptAt = n.clock.Now()
	n.mu.Unlock()
	n.searchPeers(ctx)
}

func (n *Node) followRecord(ctx context.Context) {
	record := n.lease.Record()
	if epoch, _, held := n.lease.Held(); held {
		n.becomeLeader(Epoch{Table: epoch}, elected)
		n.keepBooks(ctx)
		return
	}
	if record.Address == "" || record.Address == n.settings.Self.Address {
		_ = n.catchUp(ctx)
		return
	}
	n.mu.Lock()
	n.misses = 0
	n.leader = Member{Address: record.Address}
	n.mu.Unlock()
	if !n.beat(ctx, record.Address) {
		_ = n.catchUp(ctx)
	}
}

// catchUp reads all that is new in the table. A daemon without a leader to hear
// from does so itself.
func (n *Node) catchUp(ctx context.Context) error {
	started := n.clock.Now()
	err := n.pullAll(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attemptAt = n.clock.Now()
	if err == nil {
		n.freshenLocked(started)
	}
	return err
}

// candidates are the daemons that may lead while the table is out of reach, in
// the order in which they do.
func (n *Node) candidates() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []Member
	known := map[string]bool{}
	if n.view != nil {
		members = append(members, n.view.Members...)
	} else {
		for _, seed := range n.settings.Seeds {
			members = append(members, Member{ID: seed, Address: seed})
		}
	}
	for _, member := range members {
		known[member.Address] = true
	}
	if !known[n.settings.Self.Address] {
		members = append(members, n.settings.Self)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Address < members[j].Address })
	return members
}

// searchPeers asks every peer whether it leads or knows who does. If none does,
// the first in the order that can be reached takes care of the data centre,
// after the last leader's grants have lapsed.
func (n *Node) searchPeers(ctx context.Context) {
	n.mu.Lock()
	n.peerHeard = false
	n.mu.Unlock()
	first, rank := true, 0
	for i, candidate := range n.candidates() {
		if candidate.Address == n.settings.Self.Address {
			rank = i + 1
			continue
		}
		if n.beat(ctx, candidate.Address) {
			return
		}
		if rank == 0 && n.reaches(ctx, candidate.Address) {
			first = false
		}
	}
	n.mu.Lock()
	leader, peerHeard := n.leader, n.peerHeard
	n.misses = 0
	n.mu.Unlock()
	if leader.Address != "" && leader.Address != n.settings.Self.Address && n.beat(ctx, leader.Address) {
		return
	}
	if first && !peerHeard && n.grantsLapsed() {
		n.takeCare(ctx, rank)
	}
}

func (n *Node) reaches(ctx context.Context, address string) bool {
	calling, cancel := context.WithTimeout(ctx, n.callTime())
	defer cancel()
	return n.dialer.Call(calling, address, "Centre.Ping", PingArgs{}, &PingReply{}) == nil
}

// HasExited tells whether a run of a daemon is known to have ended: it left the
// view, its port refuses connections, or another run answers there.
func (n *Node) HasExited(ctx context.Context, address, incarnation string) bool {
	n.mu.Lock()
	left := n.left[Member{Address: address, Incarnation: incarnation}]
	n.mu.Unlock()
	if left {
		return true
	}
	calling, cancel := context.WithTimeout(ctx, n.callTime())
	defer cancel()
	var reply PingReply
	err := n.dialer.Call(calling, address, "Centre.Ping", PingArgs{}, &reply)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return reply.Member.Incarnation != incarnation
}

// grantsLapsed tells whether every grant of the last leader has lapsed.
func (n *Node) grantsLapsed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Now().Sub(n.lastBeat) > n.settings.CellLease+n.settings.Lease.Margin
}

func (n *Node) takeCare(ctx context.Context, rank int) {
	n.mu.Lock()
	epoch := Epoch{Table: n.latest.Table, Rank: n.latest.Rank + rank}
	n.mu.Unlock()
	n.log.Info("caretaker leads", "centre", n.settings.Centre, "reason", "table and leader out of reach", "rank", epoch.Rank)
	n.becomeLeader(epoch, caretaker)
	n.keepBooks(ctx)
}

// Leave tells the leader that this daemon ends, or gives the lead up.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	leading, leader := n.role != follower, n.leader
	n.cellsTill = time.Time{}
	if leading {
		n.stepDownLocked()
	}
	n.mu.Unlock()
	if leading {
		if err := n.lease.Release(ctx); err != nil {
			n.log.Info("lease not released", "kind", sesamepitch.KindOf(err), "cause", err.Error())
		}
		return
	}
	if leader.Address != "" {
		args := n.beatArgs(true)
		_ = n.dialer.Call(ctx, leader.Address, "Centre.Beat", args, &BeatReply{})
	}
}
