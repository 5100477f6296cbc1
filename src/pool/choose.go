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

type remoteCells struct {
	at    time.Time
	cells []centre.Cell
}

// option is a cell that may take the ask.
type option struct {
	centre string
	cell   centre.Cell
}

func (o option) key() string {
	return fmt.Sprintf("%s/%s/%d", o.centre, o.cell.ID.Pool, o.cell.ID.Index)
}

// cellLoad is what an owner last said of its cell.
type cellLoad struct {
	at       time.Time
	free     int
	cheap    int
	queued   int
	capacity int
	state    State
}

// options lists the cells that may take the ask: those of the own data centre
// first, then those of a few others.
func (c *Client) options(ctx context.Context, ask StreamSpec) []option {
	view := c.dir.View()
	if view == nil {
		return nil
	}
	var list []option
	if !c.notices.IsOut(c.dir.Centre()) {
		list = append(list, c.optionsOf(c.dir.Centre(), view.Cells, ask.Pool)...)
	}
	remotes := append([]centre.Remote(nil), view.Remotes...)
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	for _, remote := range remotes[:min(len(remotes), remoteFanOut)] {
		if !c.notices.IsOut(remote.Centre) {
			list = append(list, c.optionsOf(remote.Centre, c.remoteCells(ctx, remote, ask.Pool), ask.Pool)...)
		}
	}
	return list
}

// limit asks which endpoints the request may use now, and keeps the cells that
// have one of them.
func (c *Client) limit(ask *StreamSpec, options []option) []option {
	ask.only, ask.limited = nil, false
	if ask.Filter != nil {
		ask.only, ask.limited = ask.Filter.Allowed()
	}
	if !ask.limited {
		return options
	}
	var kept []option
	for _, o := range options {
		if slices.ContainsFunc(ask.only, func(name string) bool { return slices.Contains(o.cell.Endpoints, name) }) {
			kept = append(kept, o)
		}
	}
	return kept
}

// optionsOf lists a data centre's cells, the ones with more free streams first.
func (c *Client) optionsOf(centreName string, cells []centre.Cell, pool string) []option {
	var list []option
	for _, cell := range cells {
		if cell.ID.Pool == pool && cell.Address != "" {
			list = append(list, option{centre: centreName, cell: cell})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return c.loads[list[i].key()].free > c.loads[list[j].key()].free })
	return list
}

// takeFree asks the cells for a stream that is free now. Cells that were full a
// moment ago are not asked; of the own data centre one always is.
func (c *Client) takeFree(ctx context.Context, ask StreamSpec, options []option, waited time.Duration) (*Stream, Reply) {
	worst := Reply{}
	for i, o := range options {
		load := c.loadOf(o)
		full := load.free <= 0 && c.clock.Now().Sub(load.at) < loadMemory
		if full && (i > 0 || o.centre != c.dir.Centre()) {
			if load.state == Waiting {
				worst = Reply{State: Waiting}
			}
			continue
		}
		stream, reply := c.try(ctx, ask, o, waited, 0)
		if stream != nil || reply.State == Quarantined {
			return stream, reply
		}
		if worst.State != Waiting {
			worst = reply
		}
	}
	return nil, worst
}

// takeCheap asks the cells for a free stream of a reclaimable endpoint, if the
// request wants one; those that had none a moment ago are not asked.
func (c *Client) takeCheap(ctx context.Context, ask StreamSpec, options []option, waited time.Duration) (*Stream, Reply) {
	if !ask.CostSensitive || ask.Urgent {
		return nil, Reply{}
	}
	ask.cheapOnly = true
	for _, o := range options {
		load := c.loadOf(o)
		if load.cheap <= 0 && c.clock.Now().Sub(load.at) < loadMemory {
			continue
		}
		stream, reply := c.try(ctx, ask, o, waited, 0)
		if stream != nil || reply.State == Quarantined {
			return stream, reply
		}
	}
	return nil, Reply{}
}

// queue waits in the cell that has the fewest requests of the workspace from
// here for its size, so that the workspace gets its share of each cell; of two
// alike, the shorter queue. The own data centre counts as nearer.
func (c *Client) queue(ctx context.Context, ask StreamSpec, options []option, waited time.Duration) (*Stream, Reply) {
	best, found, bestScore := option{}, false, 0.0
	for _, o := range options {
		load := c.loadOf(o)
		if load.state != Waiting {
			continue
		}
		score := (float64(c.mineIn(o, ask.Workspace)+1) + queueCost*float64(load.queued)) / float64(max(load.capacity, 1))
		if o.centre != c.dir.Centre() {
			score *= farCost
		}
		if !found || score < bestScore {
			best, found, bestScore = o, true, score
		}
	}
	if !found {
		return nil, Reply{}
	}
	waiting, done, hold := ctx, func() {}, limitedHold
	if !ask.limited {
		waiting, done = c.waits.enter(ctx, ask.Pool, best.key())
		hold = holdTime
	}
	defer done()
	c.countMine(best.key(), ask.Workspace, 1)
	defer c.countMine(best.key(), ask.Workspace, -1)
	return c.try(waiting, ask, best, waited, hold)
}

func mineKey(cell, workspace string) string { return cell + "/" + workspace }

// mineIn counts the workspace's requests from here that wait or run in a cell.
func (c *Client) mineIn(o option, workspace string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mine[mineKey(o.key(), workspace)]
}

func (c *Client) countMine(cell, workspace string, change int) {
	key := mineKey(cell, workspace)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mine[key] += change
	if c.mine[key] <= 0 {
		delete(c.mine, key)
	}
}

func (c *Client) loadOf(o option) cellLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[o.key()]
}

func (c *Client) noteLoad(o option, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[o.key()] = cellLoad{at: c.clock.Now(), free: reply.Free, cheap: reply.FreeCheap, queued: reply.Queued, capacity: reply.Capacity, state: reply.State}
}

func (c *Client) remoteCells(ctx context.Context, remote centre.Remote, pool string) []centre.Cell {
	key := remote.Address + "/" + pool
	c.mu.Lock()
	cached, found := c.remote[key]
	c.mu.Unlock()
	if found && c.clock.Now().Sub(cached.at) < remoteCache {
		return cached.cells
	}
	calling, cancel := context.WithTimeout(ctx, remoteTime)
	defer cancel()
	var reply centre.CellsReply
	if err := c.dialer.Call(calling, remote.Address, "Centre.Cells", centre.CellsArgs{Pool: pool}, &reply); err != nil {
		reply.Cells = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote[key] = remoteCells{at: c.clock.Now(), cells: reply.Cells}
	return reply.Cells
}

// forgetRemote drops what is known of a data centre's cells after an owner has
// said that a cell moved.
func (c *Client) forgetRemote(o option) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cached := range c.remote {
		for _, cell := range cached.cells {
			if cell.ID == o.cell.ID && cell.Address == o.cell.Address {
				delete(c.remote, key)
			}
		}
	}
}
