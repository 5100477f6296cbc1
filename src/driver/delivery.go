package driver

import "time"

// orderCount is the number of orders that an engine has accepted. Each order
// names it, so that the engine refuses an older order that arrives late.
type orderCount struct {
	count int64
	// known is set once the engine has reported its count.
	known bool
	// acceptedAt is when the engine last accepted an order from this process.
	acceptedAt time.Time
}

// accepted counts an order that the engine accepted. The engine accepts a
// repeat of an order that is still in progress without counting it, so a later
// report may correct the count downwards.
func (c *orderCount) accepted(now time.Time) {
	c.count++
	c.acceptedAt = now
}

// reported sets the count from a report. A lower count is ignored while the
// report may be older than the last accepted order.
func (c *orderCount) reported(count int64, now time.Time) {
	if c.known && count < c.count && now.Sub(c.acceptedAt) < maxReportAge {
		return
	}
	c.count, c.known = count, true
}

// delivery is the progress of one order.
type delivery struct {
	// sentAt is when the order was last sent; zero if it must be sent again.
	sentAt   time.Time
	accepted bool
	// busy is set while the engine executes an order.
	busy bool
	// retried is set once the order was repeated because its connection closed
	// immediately.
	retried bool
}

// retryOnce makes the order due again, but only the first time its connection
// closes immediately. The count that the order names prevents a second
// execution.
func (d *delivery) retryOnce() {
	if !d.retried {
		d.retried, d.sentAt = true, time.Time{}
	}
}

// isDue reports whether to send the order now.
func (d *delivery) isDue(now time.Time) bool {
	return !d.accepted && !d.busy && (d.sentAt.IsZero() || now.Sub(d.sentAt) > orderRetryDelay)
}

// pollDelay returns the time until the next poll of the engine.
func (d *delivery) pollDelay(now time.Time) time.Duration {
	if !d.accepted {
		return loadPollInterval
	}
	return max(firstPollDelay-now.Sub(d.sentAt), loadPollInterval)
}

// reported applies a report that does not show the weights yet. An idle engine
// that accepted the order long ago has dropped it, so the order is sent again.
func (d *delivery) reported(busy bool, now time.Time) {
	d.busy = busy
	if !busy && d.accepted && now.Sub(d.sentAt) > firstPollDelay+maxReportAge {
		d.accepted = false
	}
}
