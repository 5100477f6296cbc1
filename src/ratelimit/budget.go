package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// A budget grants its rate and a burst of minBurst requests and burstShare
	// seconds' worth more. Together with the slots of instances without a granter
	// (slotShare) that stays below one and a half times the rate.
	minBurst   = 3
	burstShare = 0.1
)

// budget grants requests to one endpoint at a rate. It is the granter's.
type budget struct {
	limiter *rate.Limiter
	// granted are the times of the requests granted by the present rate within the
	// last second.
	granted []time.Time
}

// newBudget returns a budget of one request: a former granter may have granted
// others just before.
func newBudget(now time.Time, perSecond float64) *budget {
	b := &budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))}
	b.limiter.AllowN(now, burstOf(perSecond)-1)
	return b
}

func burstOf(perSecond float64) int { return minBurst + int(burstShare*perSecond) }

// take grants a request that is sent after wait, which is at most patience.
// Otherwise it is not granted, and wait is the time until one will be.
func (b *budget) take(now time.Time, perSecond float64, patience time.Duration) (wait time.Duration, granted bool) {
	if float64(b.limiter.Limit()) != perSecond {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, burstOf(perSecond))
		b.granted = nil
	}
	reservation := b.limiter.ReserveN(now, 1)
	wait = reservation.DelayFrom(now)
	if wait > patience {
		reservation.CancelAt(now)
		return wait, false
	}
	return wait, true
}

// record records a granted request that is sent at a time, and returns how many are
// sent within the second before it.
func (b *budget) record(at time.Time) int {
	for len(b.granted) > 0 && at.Sub(b.granted[0]) >= time.Second {
		b.granted = b.granted[1:]
	}
	b.granted = append(b.granted, at)
	return len(b.granted)
}
