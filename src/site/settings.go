// Package site defines the settings of an instance, independently of the format
// of the platform's settings file.
package site

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Settings configure an instance; they are read once, at its start.
type Settings struct {
	// Instance, Centre and Region are the names of this instance, its data centre
	// and its region.
	Instance string
	Centre   string
	Region   string
	// Source is the source IP of outgoing connections; empty leaves the choice to
	// the operating system.
	Source string
	// Callers and Readiness are the IP:port to listen on for requests and readiness
	// checks. Peers is the IP:port at which other instances reach this one.
	Callers   string
	Readiness string
	Peers     string
	// PeersListen is the IP:port to listen on for other instances; empty means
	// Peers.
	PeersListen string
	// Metrics is the IP:port to listen on for metrics; empty disables them.
	Metrics string
	// Seeds are the Peers addresses of other instances; they may be out of date.
	Seeds []string
	// Store is the IP:port of the platform's store, Duties that of the service for
	// usage reports and endpoint orders.
	Store  string
	Duties string
	// Cores is the number of CPU cores available to this process.
	Cores float64
	// MemoryBytes is the memory limit of this process.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that this process may have open; zero
	// if it is not set.
	Descriptors int
	// RowBytes is the maximum size of a row's value in the store.
	RowBytes int
	Bounds   Bounds
}

// Bounds are the time limits of the deployment.
type Bounds struct {
	// Drain is how long an endpoint that is being removed may still get new
	// requests.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Lease is the takeover time of leases: the time allowed for a change of holder.
	// The platform must not see two holders alternate within it.
	Lease time.Duration
	// ReportWindow is the length of a usage window. UsageLate is the time from its
	// end until its report is due.
	ReportWindow time.Duration
	UsageLate    time.Duration
	// Status is how long the results of a batch job stay readable.
	Status time.Duration
}

// PeersAddress returns the IP:port to listen on for other instances.
func (s Settings) PeersAddress() string {
	if s.PeersListen != "" {
		return s.PeersListen
	}
	return s.Peers
}

// Faults returns a description of each invalid setting.
func (s Settings) Faults() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	names := []struct{ what, value string }{
		{"the instance's name", s.Instance},
		{"the data centre", s.Centre},
	}
	for _, name := range names {
		if name.value == "" || strings.ContainsAny(name.value, " /") {
			fault("%s %q must be a non-empty name without spaces or slashes", name.what, name.value)
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
		fault("the maximum row size of the store must be positive")
	}
	durations := []struct {
		what  string
		value time.Duration
	}{
		{"the shutdown grace period", s.Bounds.Grace},
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
