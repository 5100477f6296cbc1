package pool

// takeTurn lets one request of a suspected content through at a time, in
// whichever cell it runs: two at once could crash one endpoint more than the
// content may before it is quarantined.
func (c *Client) takeTurn(fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turns[fingerprint] {
		return false
	}
	for _, s := range c.streams {
		if s.ask.Fingerprint == fingerprint {
			return false
		}
	}
	c.turns[fingerprint] = true
	return true
}

func (c *Client) endTurn(fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.turns, fingerprint)
}
