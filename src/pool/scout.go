package pool

import (
	"context"
	"sync"
	"time"
)

const scoutEvery = 100 * time.Millisecond

// waiting is a request that waits in one cell's queue.
type waiting struct {
	cell  string
	leave context.CancelFunc
}

// scouts are this daemon's requests that wait, by pool. While there are any, the
// client looks for streams that are free in other cells and sends some of the
// waiting there.
type scouts struct {
	mu    sync.Mutex
	pools map[string]map[*waiting]bool
}

func newScouts() *scouts { return &scouts{pools: map[string]map[*waiting]bool{}} }

// enter notes that a request waits in a cell; the context ends when it should
// look for a free stream elsewhere.
func (s *scouts) enter(ctx context.Context, pool, cell string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := &waiting{cell: cell, leave: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[pool] == nil {
		s.pools[pool] = map[*waiting]bool{}
	}
	s.pools[pool][w] = true
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pools[pool], w)
		if len(s.pools[pool]) == 0 {
			delete(s.pools, pool)
		}
	}
}

// busy lists the pools that requests wait for.
func (s *scouts) busy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	return names
}

// send lets up to count requests that wait in other cells leave their queues.
func (s *scouts) send(pool, cell string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.pools[pool] {
		if count == 0 {
			return
		}
		if w.cell == cell {
			continue
		}
		w.leave()
		delete(s.pools[pool], w)
		count--
	}
}

// scout asks the cells of each pool that is waited for how full they are.
func (c *Client) scout(ctx context.Context) {
	for _, pool := range c.scouts.busy() {
		for _, o := range c.options(ctx, Ask{Pool: pool}) {
			c.look(ctx, pool, o)
		}
	}
}

func (c *Client) look(ctx context.Context, pool string, o option) {
	var reply Reply
	if o.cell.Address == c.dir.Self().Address {
		reply = c.local.Load(o.cell.ID)
	} else {
		calling, cancel := context.WithTimeout(ctx, remoteTime)
		defer cancel()
		if err := c.dialer.Call(calling, o.cell.Address, "Pool.Load", LoadArgs{Cell: o.cell.ID}, &reply); err != nil {
			return
		}
	}
	c.noteLoad(o, reply)
	if reply.Free > reply.Queued {
		c.scouts.send(pool, o.key(), reply.Free-reply.Queued)
	}
}
