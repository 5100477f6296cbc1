package pool

import (
	"context"
)

// replicateUsage sends a use of the service to another daemon, so that it is
// counted even if this daemon dies before it has written it to the table.
func (c *Client) replicateUsage(r Release) {
	for _, address := range c.replicaDaemons() {
		callCtx, cancel := context.WithTimeout(context.Background(), replicaTimeout)
		err := c.dialer.Call(callCtx, address, "Pool.Keep", r, &ReleaseReply{})
		cancel()
		if err == nil {
			return
		}
	}
}

// replicaDaemons returns the daemons to try, in order: the next ones of this
// data centre, then the leaders of other data centres.
func (c *Client) replicaDaemons() []string {
	view := c.dir.View()
	if view == nil {
		return nil
	}
	self := c.dir.Self()
	var before, after []string
	for _, member := range view.Members {
		switch {
		case member.ID > self.ID:
			after = append(after, member.Address)
		case member.ID < self.ID:
			before = append(before, member.Address)
		}
	}
	list := append(after, before...)
	for _, remote := range view.Remotes {
		list = append(list, remote.Address)
	}
	return list[:min(len(list), maxReplicaDaemons)]
}
