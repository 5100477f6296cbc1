package pool

import (
	"context"
	"time"
)

const scoutEvery = 100 * time.Millisecond

// scout asks the cells of each pool that is waited for how full they are, and
// sends some of the waiting where streams are free.
func (c *Client) scout(ctx context.Context) {
	for _, pool := range c.waits.keys() {
		for _, o := range c.options(ctx, StreamSpec{Pool: pool}) {
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
		c.waits.send(pool, o.key(), reply.Free-reply.Queued)
	}
}
