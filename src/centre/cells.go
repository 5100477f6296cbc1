package centre

import (
	"sort"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
)

// cellSize is how many endpoints of a pool share one owner and one queue. At
// most data centres of today a pool is one cell, so its queue is in one place.
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

// ownerOf picks a cell's owner by rendezvous hash, so that a member that
// comes or goes moves only its own cells.
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

// division is a document's cells.
type division struct {
	version int64
	cells   []Cell
}

// tenure is a cell's ownership as its leader keeps it.
type tenure struct {
	owner Member
	// moving is set while the last owner may still use the cell; it ends when
	// that owner has acknowledged the view named here or its lease has lapsed.
	moving   bool
	lastView int64
	last     Member
}
