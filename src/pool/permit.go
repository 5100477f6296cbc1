package pool

// acquirePermit allows one request of a suspected content to run at a time, in
// whichever cell: two at once could crash more endpoints than the content may
// before it is quarantined. It reports whether the caller got the permit.
func (c *Client) acquirePermit(fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.permits[fingerprint] {
		return false
	}
	for _, s := range c.streams {
		if s.spec.Fingerprint == fingerprint {
			return false
		}
	}
	c.permits[fingerprint] = true
	return true
}

func (c *Client) releasePermit(fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.permits, fingerprint)
}
