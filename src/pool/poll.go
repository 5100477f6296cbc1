package pool

import (
	"context"
	"time"
)

const pollInterval = 100 * time.Millisecond

// pollLoads asks the cells of each pool with waiting requests for their load,
// and moves requests to cells with free streams.
func (c *Client) pollLoads(ctx context.Context) {
	for _, pool := range c.queued.keys() {
		for _, ref := range c.cellsFor(ctx, StreamSpec{Pool: pool}) {
			c.pollLoad(ctx, pool, ref)
		}
	}
}

func (c *Client) pollLoad(ctx context.Context, pool string, ref cellRef) {
	var reply Reply
	if ref.cell.Address == c.dir.Self().Address {
		reply = c.local.Load(ref.cell.ID)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
		defer cancel()
		if err := c.dialer.Call(callCtx, ref.cell.Address, "Pool.Load", LoadArgs{Cell: ref.cell.ID}, &reply); err != nil {
			return
		}
	}
	c.recordLoad(ref, reply)
	if reply.Free > reply.Queued {
		c.queued.cancelElsewhere(pool, ref.key(), reply.Free-reply.Queued)
	}
}
