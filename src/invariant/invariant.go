// Package invariant records violations of this program's invariants. A violation
// is a defect of the program, not of what it depends on.
package invariant

import (
	"maps"
	"sync"

	"github.com/go-logr/logr"
)

// The invariants that are checked at run time.
const (
	// ConfigNeverOlder requires that the configuration in force is never replaced
	// by an older one.
	ConfigNeverOlder = "config_never_older"
	// OrderUnderLease requires that an order to load weights is sent only before the
	// end of the lease under which it is given.
	OrderUnderLease = "order_under_lease"
	// ResultVersions requires that a result has only weight versions that its job
	// allows.
	ResultVersions = "result_versions"
	// ResultOnce requires that an item gets one result from a driver.
	ResultOnce = "result_once"
	// ResultScored requires that a complete result has the score that its item asks
	// for.
	ResultScored = "result_scored"
	// EndpointRate requires that no more requests per second are granted for an
	// endpoint than its rate and a small burst.
	EndpointRate = "endpoint_rate"
	// RefusalTrue requires that a request reported as not run was not sent to an
	// endpoint that may have run it.
	RefusalTrue = "refusal_true"
	// UsageFrozen requires that all reports of a usage window have the same counts.
	UsageFrozen = "usage_frozen"
)

// Names lists all invariants.
var Names = []string{
	ConfigNeverOlder, OrderUnderLease, ResultVersions, ResultOnce, ResultScored, EndpointRate, RefusalTrue, UsageFrozen,
}

// Recorder counts violations and logs each one. Check on a nil Recorder does
// nothing.
type Recorder struct {
	log logr.Logger

	mu         sync.Mutex
	violations map[string]int
}

// New returns a recorder that logs to log.
func New(log logr.Logger) *Recorder {
	return &Recorder{log: log, violations: map[string]int{}}
}

// Check records a violation of the named invariant unless it holds. The fields,
// alternating keys and values, are the inputs of the check and are logged with it.
func (r *Recorder) Check(holds bool, name string, fields ...any) {
	if holds || r == nil {
		return
	}
	r.mu.Lock()
	r.violations[name]++
	r.mu.Unlock()
	r.log.Info("invariant violated", append([]any{"invariant", name}, fields...)...)
}

// Violations returns the number of violations by invariant.
func (r *Recorder) Violations() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.violations)
}
