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
		for _, o := range c.options(ctx, StreamSpec{Pool: pool}) {
			c.pollLoad(ctx, pool, o)
		}
	}
}

func (c *Client) pollLoad(ctx context.Context, pool string, o option) {
	var reply Reply
	if o.cell.Address == c.dir.Self().Address {
		reply = c.local.Load(o.cell.ID)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, remoteTimeout)
		defer cancel()
		if err := c.dialer.Call(callCtx, o.cell.Address, "Pool.Load", LoadArgs{Cell: o.cell.ID}, &reply); err != nil {
			return
		}
	}
	c.recordLoad(o, reply)
	if reply.Free > reply.Queued {
		c.queued.cancelElsewhere(pool, o.key(), reply.Free-reply.Queued)
	}
}
