package lease

import "time"

// Settings are the lease's times. A holder holds the lease until TTL−Margin after it
// sent its last renewal; a contender waits until the row has not changed for
// TTL+Margin.
type Settings struct {
	TTL    time.Duration
	Margin time.Duration
	// TakeoverTime is the time allowed for a change of holder. A former holder that
	// takes the lease again makes no fenced calls until this long after it first saw
	// its successor, so that receivers never see holders alternate within it.
	TakeoverTime time.Duration
}

const (
	// callShare is the share of the time for which a renewal holds the lease that must
	// be left for a fenced call, renewShare the share between renewals, and stepShare
	// the share that a step may take, so that a holder can try twice.
	callShare  = 0.5
	renewShare = 0.3
	stepShare  = 0.5
	// ttlShare and marginShare are the TTL and the margin as fractions of the
	// takeover time.
	ttlShare    = 0.5
	marginShare = 0.1
)

// SettingsFor returns the settings of a lease with the given takeover time.
func SettingsFor(takeoverTime time.Duration) Settings {
	return Settings{
		TTL:          time.Duration(ttlShare * float64(takeoverTime)),
		Margin:       time.Duration(marginShare * float64(takeoverTime)),
		TakeoverTime: takeoverTime,
	}
}

// held returns how long a renewal holds the lease.
func (s Settings) held() time.Duration { return s.TTL - s.Margin }

// RenewInterval returns the time between renewals by a holder.
func (s Settings) RenewInterval() time.Duration { return time.Duration(renewShare * float64(s.held())) }

// StepTimeout returns the time that a step may take.
func (s Settings) StepTimeout() time.Duration { return time.Duration(stepShare * float64(s.held())) }
