package lease

import (
	"time"

	sesamepitch "sesamepitch/src"
)

// ForFencedCalls returns a view of the lease for calls whose receivers must not see
// holders alternate. It reports the lease as not held during the hold-off after a
// former holder takes the lease again; see Settings.TakeoverTime.
func (l *Lease) ForFencedCalls() sesamepitch.LeaseHolder { return fencedHolder{l} }

type fencedHolder struct{ lease *Lease }

// Held implements sesamepitch.LeaseHolder.
func (h fencedHolder) Held() (epoch int64, until time.Time, ok bool) {
	epoch, until, ok = h.lease.Held()
	if !ok || h.lease.inHoldOff() {
		return 0, time.Time{}, false
	}
	return epoch, until, true
}

// MayCall implements sesamepitch.LeaseHolder.
func (h fencedHolder) MayCall() (epoch int64, ok bool) {
	if h.lease.inHoldOff() {
		return 0, false
	}
	return h.lease.MayCall()
}
