package daemon

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings are a daemon's settings, from its flags and environment.
type Settings struct {
	Instance  string
	Centre    string
	Callers   string
	Operators string
	Peers     string
	// PeersListen is the address that serves Peers. Source is the IP address to
	// send from.
	PeersListen  string
	Source       string
	Platform     string
	Seeds        []string
	Beat         time.Duration
	LeaseTTL     time.Duration
	LeaseMargin  time.Duration
	CellLease    time.Duration
	UsageWindow  time.Duration
	UsageSettle  time.Duration
	DrainDelay   time.Duration
	DrainTime    time.Duration
	StreamStall  time.Duration
	OperatorHash string
}

const (
	minBeat        = 50 * time.Millisecond
	minUsageWindow = time.Second
)

// Faults returns a description of each invalid setting.
func (s Settings) Faults() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if s.Instance == "" || strings.ContainsAny(s.Instance, " /") {
		fault("--instance must be a name without blanks and slashes")
	}
	if s.Centre == "" || strings.ContainsAny(s.Centre, " /") {
		fault("--data-centre must be a name without blanks and slashes")
	}
	addresses := []struct{ option, value string }{
		{"--callers", s.Callers},
		{"--operators", s.Operators},
		{"--peers", s.Peers},
		{"--peers-listen", s.PeersListen},
		{"--platform", s.Platform},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			fault("%s %q must be IP:port", a.option, a.value)
		}
	}
	if _, err := netip.ParseAddr(s.Source); s.Source != "" && err != nil {
		fault("--source %q must be an IP", s.Source)
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fault("--seed %q must be IP:port", seed)
		}
	}
	if s.Beat < minBeat {
		fault("--heartbeat must be at least %s", minBeat)
	}
	if s.LeaseMargin <= 0 || s.LeaseTTL < 2*s.Beat+2*s.LeaseMargin {
		fault("--lease must be at least twice --heartbeat and twice --lease-margin together, and the margin positive")
	}
	if s.CellLease < s.LeaseTTL+s.LeaseMargin {
		fault("--cell-lease must be at least --lease and --lease-margin together")
	}
	if s.UsageWindow < minUsageWindow || s.UsageSettle < 0 {
		fault("--usage-window must be at least %s and --usage-settle not negative", minUsageWindow)
	}
	if s.DrainDelay < 0 || s.DrainTime <= 0 || s.StreamStall <= 0 {
		fault("--drain-delay must not be negative, --drain-time and --stream-stall must be positive")
	}
	return faults
}
