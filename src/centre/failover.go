package centre

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
)

// earlierMembers returns the members that may still hold cells that an earlier
// leader assigned: those in the previous lease's note and those in the last view
// seen here. The keys are instance and incarnation.
func (n *Node) earlierMembers() map[string]Member {
	earlier := map[string]Member{}
	var recorded []Member
	_ = json.Unmarshal([]byte(n.lease.Previous().Note), &recorded)
	if n.view != nil {
		recorded = append(recorded, n.view.Members...)
	}
	for _, member := range recorded {
		if member != n.settings.Self {
			earlier[member.ID+"@"+member.Incarnation] = member
		}
	}
	for key, member := range earlier {
		if member.ID == n.settings.Self.ID {
			// This is an earlier process of this instance, which has exited.
			delete(earlier, key)
		}
	}
	return earlier
}

// resolveEarlier removes a member, and earlier processes of its instance, from
// earlierMembers, because it has sent a heartbeat or its process has exited.
func (l *leadership) resolveEarlier(member Member) {
	for key, earlier := range l.earlierMembers {
		if earlier.ID == member.ID {
			delete(l.earlierMembers, key)
		}
	}
}

// saveMembers stores the list of members in the lease's note, for the next
// leader.
func (n *Node) saveMembers() {
	encoded, err := json.Marshal(n.liveMembers())
	if err == nil {
		n.lease.SetNote(string(encoded))
	}
}

// unresponsiveMembers marks and returns the members that missed two heartbeats;
// half a call timeout is allowed for a late one.
func (n *Node) unresponsiveMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return nil
	}
	var unresponsive []Member
	now := n.clock.Now()
	for _, state := range n.lead.members {
		state.unresponsive = state.member.ID != n.settings.Self.ID && now.Sub(state.lastHeard) > 2*n.beatInterval()+n.callTimeout()/2
		if state.unresponsive {
			unresponsive = append(unresponsive, state.member)
		}
	}
	return unresponsive
}

// unresolvedMembers returns the earlier leader's members that may still hold
// cells.
func (n *Node) unresolvedMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return nil
	}
	var members []Member
	for _, member := range n.lead.earlierMembers {
		members = append(members, member)
	}
	return members
}

// probe dials an unresponsive member. A refused connection means that its
// process has exited, so there is no need to wait until its lease expires.
func (n *Node) probe(ctx context.Context, member Member) {
	dialer := net.Dialer{Timeout: probeTimeout}
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
	n.lead.resolveEarlier(member)
	if state := n.lead.members[member.ID]; state != nil && state.member == member {
		n.log.Info("member removed", "member", member.ID, "reason", "connection refused")
		n.removeMember(member)
	}
}

// firstOwners reports whether no cell can have had an owner before its present
// one: this is the data centre's first leader, and no cell has changed owners.
func (n *Node) firstOwners() bool {
	return n.lead.epoch == Epoch{Table: 1} && !n.lead.cellsMoved
}

// uncertain reports whether another leader could exist: this one does not hold the
// table's lease, because the table is unreachable, and a member is unresponsive but
// not known to have exited or, if this is an acting leader, may still hold cells
// from the earlier leader.
func (n *Node) uncertain() bool {
	if _, _, held := n.lease.Held(); held {
		return false
	}
	if n.role == actingLeader && len(n.lead.earlierMembers) > 0 {
		return true
	}
	for _, state := range n.lead.members {
		if state.unresponsive {
			return true
		}
	}
	return false
}
