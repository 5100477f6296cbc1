package centre

import (
	"time"
)

// earlierGrantsEnded reports whether every cell grant of earlier leaders has
// expired or was claimed in its member's heartbeat. It first waits for
// reportBeats heartbeats, because the previous leader may have admitted members
// that it could not record in its lease's note.
func (n *Node) earlierGrantsEnded(now time.Time) bool {
	age := now.Sub(n.lead.since)
	if n.lead.epoch == (Epoch{Table: 1}) || age > n.settings.CellLease+n.settings.Lease.Margin {
		return true
	}
	if age <= reportBeats*n.settings.Beat+n.callTimeout() {
		return false
	}
	// An acting leader takes over only after the previous leader's grants
	// expired.
	return n.role == actingLeader || len(n.lead.earlierMembers) == 0
}

// assign moves each cell towards the owner that rendezvous hashing selects. A
// cell that its previous owner may still use is not reassigned yet.
func (n *Node) assign(now time.Time) {
	members := n.liveMembers()
	wanted := map[CellID]bool{}
	for _, cell := range n.cells() {
		wanted[cell.ID] = true
		ownership := n.lead.cells[cell.ID]
		if ownership == nil {
			ownership = &cellOwnership{}
			n.lead.cells[cell.ID] = ownership
		}
		n.assignCell(now, cell.ID, ownership, members)
	}
	for id := range n.lead.cells {
		if !wanted[id] {
			delete(n.lead.cells, id)
		}
	}
}

// cells lists the data centre's cells without owners. They are computed again
// only when the document's version changes. The caller holds n.mu.
func (n *Node) cells() []Cell {
	config := n.holder.Current()
	if n.cellCache.version != config.Version() {
		n.cellCache = cellCache{version: config.Version(), cells: cellsOf(config, n.settings.Centre)}
	}
	return n.cellCache.cells
}

func (n *Node) assignCell(now time.Time, id CellID, ownership *cellOwnership, members []Member) {
	if ownership.moving && n.released(now, ownership) {
		ownership.moving = false
	}
	target, found := ownerOf(id, members)
	if !found || ownership.moving || ownership.owner == target {
		return
	}
	if ownership.owner.ID != "" {
		if !n.earlierGrantsEnded(now) {
			return
		}
		ownership.moving, ownership.previous, ownership.releaseView = true, ownership.owner, n.lead.viewVersion+1
		ownership.owner = Member{}
		n.lead.cellsMoved = true
		n.log.Info("moving cell to another owner", "pool", id.Pool, "cell", id.Index, "from", ownership.previous.ID, "to", target.ID, "reason", "rendezvous")
		return
	}
	if !n.earlierGrantsEnded(now) {
		return
	}
	ownership.owner = target
	n.log.Info("assigned cell to owner", "pool", id.Pool, "cell", id.Index, "owner", target.ID)
}

// released reports whether the previous owner of a moving cell has stopped
// using it.
func (n *Node) released(now time.Time, ownership *cellOwnership) bool {
	state := n.lead.members[ownership.previous.ID]
	if state == nil || state.member != ownership.previous {
		return true
	}
	return state.viewVersion >= ownership.releaseView || now.After(state.leaseUntil)
}

// claim records a member as the owner of the cells that it holds from an
// earlier leader.
func (n *Node) claim(member Member, ids []CellID) {
	for _, id := range ids {
		ownership := n.lead.cells[id]
		if ownership == nil {
			n.lead.cells[id] = &cellOwnership{owner: member}
			continue
		}
		if ownership.owner.ID == "" && !ownership.moving && !n.earlierGrantsEnded(n.clock.Now()) {
			ownership.owner = member
		}
	}
}
