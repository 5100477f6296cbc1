package pool

import (
	"context"
)

// keepElsewhere tells another daemon of a use of the service, so that it is
// counted also if this one dies before it has flushed.
func (c *Client) keepElsewhere(r Release) {
	for _, address := range c.keepers() {
		calling, cancel := context.WithTimeout(context.Background(), keepTime)
		err := c.dialer.Call(calling, address, "Pool.Keep", r, &ReleaseReply{})
		cancel()
		if err == nil {
			return
		}
	}
}

// keepers lists the daemons to tell: the next ones of the own data centre, then
// another data centre's leader.
func (c *Client) keepers() []string {
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
	return list[:min(len(list), maxKeepers)]
}
