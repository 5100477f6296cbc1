package pool

import (
	"context"
	"slices"
	"time"

	"sesamepitch/src/centre"
)

// renew extends the grants of all streams. If a cell has a new owner, the
// renewal informs it of the streams.
func (c *Client) renew(ctx context.Context) {
	byOwner := map[string]map[centre.CellID][]HeldStream{}
	c.mu.Lock()
	for _, s := range c.streams {
		s.owner = c.ownerNow(s)
		if byOwner[s.owner] == nil {
			byOwner[s.owner] = map[centre.CellID][]HeldStream{}
		}
		held := HeldStream{ID: s.id, Endpoint: s.endpoint, Workspace: s.spec.Workspace, Fingerprint: s.spec.Fingerprint, Suspect: s.spec.Suspect, TokenTime: time.Duration(s.tokenTime.Load())}
		byOwner[s.owner][s.cell] = append(byOwner[s.owner][s.cell], held)
	}
	c.mu.Unlock()
	done := make(chan struct{}, len(byOwner))
	for owner, cells := range byOwner {
		go func() {
			defer func() { done <- struct{}{} }()
			for id, held := range cells {
				c.renewCell(ctx, owner, id, held)
			}
		}()
	}
	for range byOwner {
		<-done
	}
}

// ownerNow returns the current owner of a stream's cell, according to this
// daemon's view.
func (c *Client) ownerNow(s *Stream) string {
	var cells []centre.Cell
	if s.centre == c.dir.Centre() {
		if view := c.dir.View(); view != nil {
			cells = view.Cells
		}
	} else {
		for _, cached := range c.remoteCache {
			cells = append(cells, cached.cells...)
		}
	}
	for _, cell := range cells {
		if cell.ID == s.cell && cell.Address != "" && slices.Contains(cell.Endpoints, s.endpoint) {
			return cell.Address
		}
	}
	return s.owner
}

func (c *Client) renewCell(ctx context.Context, owner string, id centre.CellID, held []HeldStream) {
	self := c.dir.Self()
	renewal := Renewal{Entry: self.Address, Run: self.Incarnation, Cell: id, Held: held, Books: c.watermark()}
	var reply RenewalReply
	if owner == self.Address {
		reply = c.local.Renew(renewal)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := c.dialer.Call(callCtx, owner, "Pool.Renew", renewal, &reply); err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range reply.Revoked {
		if s := c.streams[id]; s != nil {
			c.log.Info("stream revoked", "request", id, "endpoint", s.endpoint, "reason", "endpoint turned cold")
			s.cancel()
		}
	}
}
