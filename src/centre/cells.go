package centre

import (
	"sort"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
)

// cellSize is the number of endpoints of a pool that share one owner and one
// queue. In most current data centres a pool fits into one cell, so that it has
// a single queue.
const cellSize = 8

// cellsOf divides a data centre's pools into cells, without owners.
func cellsOf(config *document.Config, centre string) []Cell {
	var cells []Cell
	for _, pool := range config.Pools(centre) {
		names := endpointNames(config.Pool(centre, pool))
		for start := 0; start < len(names); start += cellSize {
			end := min(start+cellSize, len(names))
			id := CellID{Pool: pool, Index: start / cellSize}
			cells = append(cells, Cell{ID: id, Endpoints: names[start:end]})
		}
	}
	return cells
}

func endpointNames(endpoints []document.Endpoint) []string {
	names := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		names[i] = endpoint.Name
	}
	sort.Strings(names)
	return names
}

// ownerOf selects a cell's owner by rendezvous hashing, so that a member that
// joins or leaves moves only its own cells.
func ownerOf(id CellID, members []Member) (Member, bool) {
	var owner Member
	var best uint64
	for _, member := range members {
		rank := sesamepitch.Rank(member.ID, sesamepitch.Fingerprint(id.Pool, string(rune(id.Index))))
		if owner.ID == "" || rank > best {
			owner, best = member, rank
		}
	}
	return owner, owner.ID != ""
}

// cellCache holds the cells of one version of the document.
type cellCache struct {
	version int64
	cells   []Cell
}

// cellOwnership is a leader's record of who owns a cell.
type cellOwnership struct {
	owner Member
	// moving is set while the previous owner may still use the cell. It ends
	// when that owner has acknowledged the view version releaseView or its
	// lease has expired.
	moving      bool
	releaseView int64
	previous    Member
}
