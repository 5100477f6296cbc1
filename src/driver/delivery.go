package driver

import "time"

// orderCount is how many orders an engine has accepted. An order names it, so
// that an older one that arrives late is refused.
type orderCount struct {
	count int64
	// known is set once the engine was asked.
	known bool
	// acceptedAt is when the engine last accepted an order from here.
	acceptedAt time.Time
}

// accepted counts an order that the engine took. A repeat of an order that is
// still being carried out is answered in the same way but not counted by the
// engine, so a later report may take it back.
func (c *orderCount) accepted(now time.Time) {
	c.count++
	c.acceptedAt = now
}

// reported takes over the count of a report. While the report may be older than
// the last accepted order, a lower count says nothing.
func (c *orderCount) reported(count int64, now time.Time) {
	if c.known && count < c.count && now.Sub(c.acceptedAt) < maxReportAge {
		return
	}
	c.count, c.known = count, true
}

// delivery is how far an order has come.
type delivery struct {
	// sentAt is when the order was sent last; zero if it must be sent again.
	sentAt   time.Time
	accepted bool
	// busy is set while the engine carries out an order.
	busy bool
	// broken is set once a connection has broken off at once.
	retried bool
}

// broke has the order sent again soon after its connection broke off at once, the
// first time that this happens. The count that it names keeps it from being
// carried out twice.
func (d *delivery) retryOnce() {
	if !d.retried {
		d.retried, d.sentAt = true, time.Time{}
	}
}

// isDue tells whether to send the order now.
func (d *delivery) isDue(now time.Time) bool {
	return !d.accepted && !d.busy && (d.sentAt.IsZero() || now.Sub(d.sentAt) > orderRetryDelay)
}

// pause is the time until the next look at the engine.
func (d *delivery) pollDelay(now time.Time) time.Duration {
	if !d.accepted {
		return loadPollInterval
	}
	return max(firstPollDelay-now.Sub(d.sentAt), loadPollInterval)
}

// reported takes a report that does not show the weights yet. An engine that
// accepted the order long ago and does nothing has dropped it.
func (d *delivery) reported(busy bool, now time.Time) {
	d.busy = busy
	if !busy && d.accepted && now.Sub(d.sentAt) > firstPollDelay+maxReportAge {
		d.accepted = false
	}
}
