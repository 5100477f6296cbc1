package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sesamepitch/src/centre"
)

// cachedCells are the cells of another data centre, as read at the time at.
type cachedCells struct {
	at    time.Time
	cells []centre.Cell
}

// cellRef is a cell with its data centre.
type cellRef struct {
	centre string
	cell   centre.Cell
}

func (ref cellRef) key() string {
	return fmt.Sprintf("%s/%s/%d", ref.centre, ref.cell.ID.Pool, ref.cell.ID.Index)
}

// cellLoad is the load that a cell's owner last reported.
type cellLoad struct {
	at              time.Time
	free            int
	freeReclaimable int
	queued          int
	capacity        int
	state           State
}

// cellsFor returns the cells that may serve the request: those of this data
// centre first, then those of up to remoteFanOut others.
func (c *Client) cellsFor(ctx context.Context, spec StreamSpec) []cellRef {
	view := c.dir.View()
	if view == nil {
		return nil
	}
	var list []cellRef
	if !c.notices.IsOut(c.dir.Centre()) {
		list = append(list, c.cellsIn(c.dir.Centre(), view.Cells, spec.Pool)...)
	}
	remotes := append([]centre.Remote(nil), view.Remotes...)
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	for _, remote := range remotes[:min(len(remotes), remoteFanOut)] {
		if !c.notices.IsOut(remote.Centre) {
			list = append(list, c.cellsIn(remote.Centre, c.remoteCells(ctx, remote, spec.Pool), spec.Pool)...)
		}
	}
	return list
}

// filterCells asks the filter which endpoints the request may use now, and
// returns the cells that have one of them.
func (c *Client) filterCells(spec *StreamSpec, refs []cellRef) []cellRef {
	spec.allowed, spec.limited = nil, false
	if spec.Filter != nil {
		spec.allowed, spec.limited = spec.Filter.Allowed()
	}
	if !spec.limited {
		return refs
	}
	var kept []cellRef
	for _, ref := range refs {
		if slices.ContainsFunc(spec.allowed, func(name string) bool { return slices.Contains(ref.cell.Endpoints, name) }) {
			kept = append(kept, ref)
		}
	}
	return kept
}

// cellsIn returns a data centre's cells of a pool, those with more free streams
// first.
func (c *Client) cellsIn(centreName string, cells []centre.Cell, pool string) []cellRef {
	var list []cellRef
	for _, cell := range cells {
		if cell.ID.Pool == pool && cell.Address != "" {
			list = append(list, cellRef{centre: centreName, cell: cell})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return c.loads[list[i].key()].free > c.loads[list[j].key()].free })
	return list
}

// acquireFree tries to get a stream that is free now. Cells that were full less
// than loadTTL ago are skipped, except one of this data centre.
func (c *Client) acquireFree(ctx context.Context, spec StreamSpec, refs []cellRef, waited time.Duration) (*Stream, Reply) {
	worst := Reply{}
	for i, ref := range refs {
		load := c.loadOf(ref)
		full := load.free <= 0 && c.clock.Now().Sub(load.at) < loadTTL
		if full && (i > 0 || ref.centre != c.dir.Centre()) {
			if load.state == Waiting {
				worst = Reply{State: Waiting}
			}
			continue
		}
		stream, reply := c.tryCell(ctx, spec, ref, waited, 0)
		if stream != nil || reply.State == Quarantined {
			return stream, reply
		}
		if worst.State != Waiting {
			worst = reply
		}
	}
	return nil, worst
}

// acquireReclaimable tries to get a free stream of a reclaimable endpoint if the
// request is cost-sensitive. Cells that had none less than loadTTL ago are
// skipped.
func (c *Client) acquireReclaimable(ctx context.Context, spec StreamSpec, refs []cellRef, waited time.Duration) (*Stream, Reply) {
	if !spec.CostSensitive || spec.Urgent {
		return nil, Reply{}
	}
	spec.cheapOnly = true
	for _, ref := range refs {
		load := c.loadOf(ref)
		if load.freeReclaimable <= 0 && c.clock.Now().Sub(load.at) < loadTTL {
			continue
		}
		stream, reply := c.tryCell(ctx, spec, ref, waited, 0)
		if stream != nil || reply.State == Quarantined {
			return stream, reply
		}
	}
	return nil, Reply{}
}

// acquireQueued waits in the cell with the fewest requests of the workspace from
// this daemon relative to its capacity, so that the workspace gets its share of
// each cell; among equals, in the one with the shorter queue. Cells of other
// data centres cost more.
func (c *Client) acquireQueued(ctx context.Context, spec StreamSpec, refs []cellRef, waited time.Duration) (*Stream, Reply) {
	best, found, bestScore := cellRef{}, false, 0.0
	for _, ref := range refs {
		load := c.loadOf(ref)
		if load.state != Waiting {
			continue
		}
		score := (float64(c.outstandingIn(ref, spec.Workspace)+1) + queuedCostFactor*float64(load.queued)) / float64(max(load.capacity, 1))
		if ref.centre != c.dir.Centre() {
			score *= remoteCostFactor
		}
		if !found || score < bestScore {
			best, found, bestScore = ref, true, score
		}
	}
	if !found {
		return nil, Reply{}
	}
	waitCtx, done, wait := ctx, func() {}, maxLimitedQueueTime
	if !spec.limited {
		waitCtx, done = c.queued.add(ctx, spec.Pool, best.key())
		wait = maxQueueTime
	}
	defer done()
	c.addOutstanding(best.key(), spec.Workspace, 1)
	defer c.addOutstanding(best.key(), spec.Workspace, -1)
	return c.tryCell(waitCtx, spec, best, waited, wait)
}

func outstandingKey(cell, workspace string) string { return cell + "/" + workspace }

// outstandingIn counts this daemon's requests of the workspace that wait or run
// in a cell.
func (c *Client) outstandingIn(ref cellRef, workspace string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding[outstandingKey(ref.key(), workspace)]
}

func (c *Client) addOutstanding(cell, workspace string, change int) {
	key := outstandingKey(cell, workspace)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding[key] += change
	if c.outstanding[key] <= 0 {
		delete(c.outstanding, key)
	}
}

func (c *Client) loadOf(ref cellRef) cellLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[ref.key()]
}

func (c *Client) recordLoad(ref cellRef, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[ref.key()] = cellLoad{at: c.clock.Now(), free: reply.Free, freeReclaimable: reply.FreeCheap, queued: reply.Queued, capacity: reply.Capacity, state: reply.State}
}

func (c *Client) remoteCells(ctx context.Context, remote centre.Remote, pool string) []centre.Cell {
	key := remote.Address + "/" + pool
	c.mu.Lock()
	cached, found := c.remoteCache[key]
	c.mu.Unlock()
	if found && c.clock.Now().Sub(cached.at) < remoteCellsTTL {
		return cached.cells
	}
	callCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	var reply centre.CellsReply
	if err := c.dialer.Call(callCtx, remote.Address, "Centre.Cells", centre.CellsArgs{Pool: pool}, &reply); err != nil {
		reply.Cells = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remoteCache[key] = cachedCells{at: c.clock.Now(), cells: reply.Cells}
	return reply.Cells
}

// invalidateRemote drops the cached cells of a data centre after an owner has
// replied that a cell moved.
func (c *Client) invalidateRemote(ref cellRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cached := range c.remoteCache {
		for _, cell := range cached.cells {
			if cell.ID == ref.cell.ID && cell.Address == ref.cell.Address {
				delete(c.remoteCache, key)
			}
		}
	}
}
