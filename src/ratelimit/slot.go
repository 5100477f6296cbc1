package ratelimit

import "time"

// slotShare is the share of an endpoint's rate that instances use together while
// they can't reach the granter, which may grant the whole rate at the same time.
const slotShare = 0.4

// slotOf divides time into slots, one for each request that slotShare of the rate
// allows, and gives them to the instances in turn: the instances' sum keeps to the
// rate though none of them knows what the others send. It returns the number of the
// slot at now, whether it is that of the instance with this rank among count, and
// the time until the instance's next one.
func slotOf(now time.Time, rank, count int, perSecond float64) (slot int64, own bool, next time.Duration) {
	width := int64(float64(time.Second) / (slotShare * perSecond))
	slot = now.UnixNano() / width
	ahead := (int64(rank) - slot) % int64(count)
	if ahead <= 0 {
		ahead += int64(count)
	}
	own = ahead == int64(count)
	next = time.Duration((slot+ahead)*width - now.UnixNano())
	return slot, own, next
}
