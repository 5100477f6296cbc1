// Package site holds the settings of an instance on the users' platform, in
// this project's words.
package site

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings are what an instance is told at its start.
type Settings struct {
	// Instance names this instance, Centre and Region where it stands.
	Instance string
	Centre   string
	Region   string
	// Source is the IP to send from.
	Source string
	// Callers and Readiness are the IP:port to listen on, Peers that at which other
	// instances reach this one.
	Callers   string
	Readiness string
	Peers     string
	// PeersListen is where Peers is served, if it differs.
	PeersListen string
	// Metrics is the IP:port of the metrics; not served if empty.
	Metrics string
	// Seeds are Peers addresses of other instances; they may be out of date.
	Seeds []string
	// Store and Duties are the IP:port of the platform's store and of the
	// service that takes usage reports and endpoint orders.
	Store  string
	Duties string
	// Cores is the share of processor cores that this process has.
	Cores float64
	// MemoryBytes is the limit of this process's memory.
	MemoryBytes int64
	// RowBytes is the largest value of a row of the store.
	RowBytes int
	Bounds   Bounds
}

// Bounds are the deadlines of the deployment.
type Bounds struct {
	// Drain is the time from an endpoint's leaving to its last new request.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Lease is the span in which two holders of a duty may not take turns.
	Lease time.Duration
	// ReportWindow is the length of a usage window, UsageLate the time from
	// its end until its report is due.
	ReportWindow time.Duration
	UsageLate    time.Duration
	// Status is how long a batch job's results stay readable.
	Status time.Duration
}

// PeersAddress returns the IP:port to listen on for other instances.
func (s Settings) PeersAddress() string {
	if s.PeersListen != "" {
		return s.PeersListen
	}
	return s.Peers
}

// Faults names everything that is wrong with the settings.
func (s Settings) Faults() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	names := []struct{ what, value string }{
		{"the instance's name", s.Instance},
		{"the data centre", s.Centre},
	}
	for _, name := range names {
		if name.value == "" || strings.ContainsAny(name.value, " /") {
			fault("%s %q must be a name without blanks and slashes", name.what, name.value)
		}
	}
	addresses := []struct{ what, value string }{
		{"the callers' address", s.Callers},
		{"the readiness address", s.Readiness},
		{"the peers' address", s.Peers},
		{"the address to listen on for peers", s.PeersAddress()},
		{"the store's address", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			fault("%s %q must be IP:port", a.what, a.value)
		}
	}
	if _, err := netip.ParseAddr(s.Source); s.Source != "" && err != nil {
		fault("the source address %q must be an IP", s.Source)
	}
	if s.RowBytes <= 0 {
		fault("the size of the store's rows must be positive")
	}
	durations := []struct {
		what  string
		value time.Duration
	}{
		{"the grace of a shutdown", s.Bounds.Grace},
		{"the lease", s.Bounds.Lease},
		{"the usage window", s.Bounds.ReportWindow},
	}
	for _, d := range durations {
		if d.value <= 0 {
			fault("%s must be positive", d.what)
		}
	}
	return faults
}
