package centre

import (
	"time"
)

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
