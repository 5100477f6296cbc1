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
	// missesBeforeSearch is the number of failed heartbeats after which a
	// member looks for the leader.
	missesBeforeSearch = 2
	minCallTimeout     = 700 * time.Millisecond
)

// runHeartbeats sends heartbeats to the leader, or runs the leader's tick if
// this daemon leads.
func (n *Node) runHeartbeats(ctx context.Context) error {
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

// tick runs one heartbeat. A leader whose previous tick is older than its lease
// was suspended; it steps down and finds the current leader before it
// continues.
func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	now := n.clock.Now()
	suspended := !n.lastTick.IsZero() && now.Sub(n.lastTick) > n.settings.Lease.TTL
	n.lastTick = now
	if suspended && n.role != follower {
		n.log.Info("leader stepped down", "reason", "frozen", "centre", n.settings.Centre)
		n.stepDownLocked()
	}
	leading, leader, misses := n.role != follower, n.leader, n.misses
	n.mu.Unlock()
	if leading {
		n.leaderTick(ctx)
		return
	}
	if leader.Address != "" && misses < missesBeforeSearch && n.sendHeartbeat(ctx, leader.Address) {
		return
	}
	n.findLeader(ctx)
}

func (n *Node) stepDownLocked() {
	n.role = follower
	n.lead = nil
	n.leader = Member{}
	n.misses = missesBeforeSearch
}

// callTimeout limits a control call between daemons.
func (n *Node) callTimeout() time.Duration { return max(n.settings.Beat, minCallTimeout) }

func (n *Node) heartbeatArgs(leaving bool) BeatArgs {
	n.mu.Lock()
	defer n.mu.Unlock()
	args := BeatArgs{Member: n.settings.Self, Leaving: leaving, Epoch: n.epoch, Config: n.holder.Current().Version(), Set: n.notices.ID(), Read: n.leaderRead, Warm: n.warm, Age: -1}
	if !n.syncedAt.IsZero() {
		args.Age = n.clock.Now().Sub(n.syncedAt)
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

// sendHeartbeat sends one heartbeat and reports whether a leader accepted it.
func (n *Node) sendHeartbeat(ctx context.Context, address string) bool {
	args := n.heartbeatArgs(false)
	leaderSet, index := n.sentPosition(address)
	next := 0
	args.Notices, next = n.notices.Since(index, leaderSet)
	sent := n.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	var reply BeatReply
	err := n.dialer.Call(callCtx, address, "Centre.Beat", args, &reply)
	if err != nil {
		n.recordMiss()
		return false
	}
	if !reply.Accepted {
		n.handleRedirect(reply)
		return false
	}
	n.handleAccepted(ctx, address, args, reply, sent, next)
	return true
}

// sentPosition returns the ID of the notice set of the leader at address, as
// last seen, and the index up to which this daemon's notices were sent to it. A
// restarted leader has another set and is sent all notices.
func (n *Node) sentPosition(address string) (set string, index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sentTo != address {
		return "", 0
	}
	return n.leaderRead.Set, n.sentIndex
}

func (n *Node) recordMiss() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misses++
	n.lastAttempt = n.clock.Now()
}

// handleRedirect records the leader that another daemon named, unless that
// leader is older.
func (n *Node) handleRedirect(reply BeatReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misses++
	if reply.Epoch.Newer(n.latestEpoch) {
		n.latestEpoch = reply.Epoch
	}
	if reply.Leader.Address != "" && reply.HeardAge < n.settings.CellLease+n.settings.Lease.Margin {
		n.peerHearsLeader = true
	}
	if reply.Leader.Address != "" && !n.epoch.Newer(reply.Epoch) && reply.Leader.ID != n.settings.Self.ID {
		n.leader = reply.Leader
	}
}

func (n *Node) handleAccepted(ctx context.Context, address string, args BeatArgs, reply BeatReply, sent time.Time, sentIndex int) {
	n.notices.Add(reply.Read.Set, reply.Notices...)
	if !n.updateConfig(ctx, address, reply) {
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
	n.latestEpoch = reply.Epoch
	n.leader = reply.Leader
	n.lastBeat = n.clock.Now()
	n.lastAttempt = n.lastBeat
	if n.sentTo == address && n.leaderRead.Set != "" && n.leaderRead.Set != reply.Read.Set {
		sentIndex = 0
	}
	n.leaderRead = reply.Read
	n.sentTo, n.sentIndex = address, sentIndex
	n.interval = reply.Interval
	n.cellsUntil = sent.Add(reply.CellLease)
	for _, reported := range args.Reversed {
		if n.stale[reported.Endpoint] == reported.Version {
			delete(n.stale, reported.Endpoint)
		}
	}
	if reply.View != nil && reply.View.Newer(n.view) {
		n.setView(reply.View)
	}
	if reply.Age >= 0 {
		n.advanceSyncedAtLocked(sent.Add(-reply.Age))
	}
}

func (n *Node) advanceSyncedAtLocked(at time.Time) {
	if at.After(n.syncedAt) {
		n.syncedAt = at
	}
}

// updateConfig updates the configuration to the leader's version. If it fails,
// the heartbeat does not count as contact.
func (n *Node) updateConfig(ctx context.Context, address string, reply BeatReply) bool {
	current := n.holder.Current()
	if reply.Config <= current.Version() {
		return true
	}
	// The next heartbeat reports the version to the leader, and through it to
	// the operator who waits for it.
	defer supervisor.Wake(n.nudge)
	if next, err := document.ApplyDeltas(current, reply.Deltas); err == nil && next.Version() >= reply.Config {
		n.advance(next, reply.Deltas)
		return true
	}
	if err := n.fetchDocument(ctx, address); err != nil {
		n.recordMiss()
		return false
	}
	return true
}

// findLeader finds the leader through the table or, if the table is
// unreachable, through the peers. This daemon may become the leader itself.
func (n *Node) findLeader(ctx context.Context) {
	err := n.lease.Step(ctx)
	if err == nil {
		n.followLeaseRecord(ctx)
		return
	}
	n.mu.Lock()
	n.lastAttempt = n.clock.Now()
	n.mu.Unlock()
	n.searchPeers(ctx)
}

func (n *Node) followLeaseRecord(ctx context.Context) {
	record := n.lease.Record()
	if epoch, _, held := n.lease.Held(); held {
		n.becomeLeader(Epoch{Table: epoch}, elected)
		n.leaderTick(ctx)
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
	if !n.sendHeartbeat(ctx, record.Address) {
		_ = n.catchUp(ctx)
	}
}

// catchUp reads all changes from the table. A follower that receives none from
// a leader calls it, too.
func (n *Node) catchUp(ctx context.Context) error {
	started := n.clock.Now()
	err := n.pullAll(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastAttempt = n.clock.Now()
	if err == nil {
		n.advanceSyncedAtLocked(started)
	}
	return err
}

// candidates lists the daemons that may lead while the table is unreachable, in
// order of precedence.
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

// searchPeers asks every peer whether it leads or which daemon does. If none
// does, the first candidate that is reachable leads the data centre, after the
// last leader's grants have expired.
func (n *Node) searchPeers(ctx context.Context) {
	n.mu.Lock()
	n.peerHearsLeader = false
	n.mu.Unlock()
	first, rank := true, 0
	for i, candidate := range n.candidates() {
		if candidate.Address == n.settings.Self.Address {
			rank = i + 1
			continue
		}
		if n.sendHeartbeat(ctx, candidate.Address) {
			return
		}
		if rank == 0 && n.isReachable(ctx, candidate.Address) {
			first = false
		}
	}
	n.mu.Lock()
	leader, peerHearsLeader := n.leader, n.peerHearsLeader
	n.misses = 0
	n.mu.Unlock()
	if leader.Address != "" && leader.Address != n.settings.Self.Address && n.sendHeartbeat(ctx, leader.Address) {
		return
	}
	if first && !peerHearsLeader && n.grantsExpired() {
		n.leadWithoutLease(ctx, rank)
	}
}

func (n *Node) isReachable(ctx context.Context, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	return n.dialer.Call(callCtx, address, "Centre.Ping", PingArgs{}, &PingReply{}) == nil
}

// HasExited reports whether a run of a daemon is known to have exited: it left
// the view, its port refuses connections, or another run answers there.
func (n *Node) HasExited(ctx context.Context, address, incarnation string) bool {
	n.mu.Lock()
	departed := n.departed[Member{Address: address, Incarnation: incarnation}]
	n.mu.Unlock()
	if departed {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	var reply PingReply
	err := n.dialer.Call(callCtx, address, "Centre.Ping", PingArgs{}, &reply)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return reply.Member.Incarnation != incarnation
}

// grantsExpired reports whether every grant of the last leader has expired.
func (n *Node) grantsExpired() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Now().Sub(n.lastBeat) > n.settings.CellLease+n.settings.Lease.Margin
}

func (n *Node) leadWithoutLease(ctx context.Context, rank int) {
	n.mu.Lock()
	epoch := Epoch{Table: n.latestEpoch.Table, Rank: n.latestEpoch.Rank + rank}
	n.mu.Unlock()
	n.log.Info("became acting leader", "centre", n.settings.Centre, "reason", "table and leader out of reach", "rank", epoch.Rank)
	n.becomeLeader(epoch, actingLeader)
	n.leaderTick(ctx)
}

// Leave tells the leader that this daemon exits or, if this daemon leads, gives
// up leadership.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	leading, leader := n.role != follower, n.leader
	n.cellsUntil = time.Time{}
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
		args := n.heartbeatArgs(true)
		_ = n.dialer.Call(ctx, leader.Address, "Centre.Beat", args, &BeatReply{})
	}
}
