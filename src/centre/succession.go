package centre

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
)

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
