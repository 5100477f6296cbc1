package centre

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// MemberStatus is the state of one daemon.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Config  int64  `json:"config"`
	// Batches counts the batches of the notice log that the daemon holds.
	Batches int64 `json:"batches"`
}

// Status is a data centre's row in the table, written by its leader.
type Status struct {
	Centre  string         `json:"centre"`
	Leader  string         `json:"leader"`
	Epoch   int64          `json:"epoch"`
	Members []MemberStatus `json:"members"`
	At      time.Time      `json:"at"`
}

func (n *Node) writeStatus(ctx context.Context, state *syncState) {
	status, leading := n.Status()
	if !leading {
		return
	}
	now := n.clock.Now()
	if sameStatus(status, state.status) && now.Sub(state.statusAt) < statusInterval {
		return
	}
	_, err := n.platform.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: StatusPrefix + n.settings.Centre, Value: rowstore.Encode(status)}}})
	if err == nil {
		state.status, state.statusAt = status, now
	}
}

func sameStatus(a, b Status) bool {
	if a.Leader != b.Leader || a.Epoch != b.Epoch || len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

// Status returns the data centre's state. On a follower, leading is false and
// the status has only the follower itself.
func (n *Node) Status() (status Status, leading bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	status = Status{Centre: n.settings.Centre, Leader: n.leader.ID, Epoch: n.epoch.Table, At: n.clock.Now()}
	if n.lead == nil {
		status.Members = []MemberStatus{{ID: n.settings.Self.ID, Address: n.settings.Self.Address, Config: n.holder.Current().Version()}}
		return status, false
	}
	for _, member := range n.liveMembers() {
		state := n.lead.members[member.ID]
		status.Members = append(status.Members, MemberStatus{ID: member.ID, Address: member.Address, Config: state.configVersion, Batches: state.batches})
	}
	return status, true
}
