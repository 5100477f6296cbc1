// Package invariant notes when something has happened that must never happen:
// a defect of this program, not of what it depends on.
package invariant

import (
	"maps"
	"sync"

	"github.com/go-logr/logr"
)

// The invariants that the program checks while it runs.
const (
	// ConfigNeverOlder means that a configuration in force is never replaced by
	// an older one.
	ConfigNeverOlder = "config_never_older"
	// OrderUnderLease means that an order is sent only before the end of the
	// lease under which it is given.
	OrderUnderLease = "order_under_lease"
	// ResultVersions means that a result has only versions that its job allows.
	ResultVersions = "result_versions"
	// ResultOnce means that an item gets one result from a driver.
	ResultOnce = "result_once"
	// ColdRate means that a cold engine gets no more items than it bears.
	ColdRate = "cold_rate"
	// RefusalTrue means that a request said not to have run was not sent to an
	// endpoint that may have run it.
	RefusalTrue = "refusal_true"
	// UsageFrozen means that a window is reported with one set of figures.
	UsageFrozen = "usage_frozen"
)

// Names lists all invariants.
var Names = []string{
	ConfigNeverOlder, OrderUnderLease, ResultVersions, ResultOnce, ColdRate, RefusalTrue, UsageFrozen,
}

// Recorder counts violations and logs each one with its inputs. A nil Recorder
// checks nothing.
type Recorder struct {
	log logr.Logger

	mu         sync.Mutex
	violations map[string]int
}

// New returns a recorder without violations.
func New(log logr.Logger) *Recorder {
	return &Recorder{log: log, violations: map[string]int{}}
}

// Check notes a violation unless the invariant holds; fields are the inputs.
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
