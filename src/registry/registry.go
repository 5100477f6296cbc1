package registry

import (
	"maps"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

// Decoder turns the platform's rows into this package's types. An error means
// that the row is unreadable and names nothing to use.
type Decoder interface {
	// Config decodes the configuration.
	Config(row sesamepitch.Row) (*Config, error)
	// Endpoint decodes an endpoint that was read at now.
	Endpoint(row sesamepitch.Row, now time.Time) (Endpoint, error)
	// Operation classifies a row of the operators' table.
	Operation(row sesamepitch.Row) Operation
}

// OperationKind says what a row of the operators' table holds.
type OperationKind int

// The kinds of rows of the operators' table.
const (
	OperationUnknown OperationKind = iota
	OperationConfig
	OperationCentreOut
	OperationVersion
)

// Operation is a decoded row of the operators' table.
type Operation struct {
	Kind OperationKind
	// Centre is the data centre of OperationCentreOut.
	Centre string
	// Model and Version are those of OperationVersion.
	Model   string
	Version int64
}

// lapseGrace is how long entries that vanished while the store was away are
// kept after its return; endpoints that live are back within two seconds.
const lapseGrace = 2200 * time.Millisecond

// Registry is what this instance knows. Rows never go back to an older version.
type Registry struct {
	clock   sesamepitch.Clock
	decoder Decoder

	mu        sync.RWMutex
	config    *Config
	endpoints map[string]Endpoint
	out       map[string]bool
	versions  map[string]int64
	revisions map[string]int64
	// vanished are endpoints that are forgotten at a time unless they return.
	vanished map[string]time.Time
	// listed is set once the whole list of endpoints was read.
	listed  bool
	changed chan struct{}
}

// New returns an empty registry.
func New(clock sesamepitch.Clock, decoder Decoder) *Registry {
	return &Registry{
		clock: clock, decoder: decoder,
		endpoints: map[string]Endpoint{}, out: map[string]bool{}, versions: map[string]int64{},
		revisions: map[string]int64{}, vanished: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Config returns the configuration in force; nil if none is known yet.
func (r *Registry) Config() *Config {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config
}

// Complete tells whether both the configuration and the whole list of endpoints
// are known.
func (r *Registry) Complete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config != nil && r.listed
}

// Endpoints returns the endpoints of a service that may get new work.
func (r *Registry) Endpoints(service string) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var usable []Endpoint
	for _, e := range r.endpoints {
		if e.Service != service || e.Draining || r.out[e.Centre] {
			continue
		}
		if until, vanished := r.vanished[e.ID]; vanished && !now.Before(until) {
			continue
		}
		usable = append(usable, e)
	}
	return usable
}

// All returns all endpoints by id, also draining ones.
func (r *Registry) All() map[string]Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.endpoints)
}

// CentresOut returns the data centres that were taken out.
func (r *Registry) CentresOut() map[string]bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.out)
}

// Versions returns the newest named weight version by model.
func (r *Registry) Versions() map[string]int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.versions)
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// ApplyOperators takes changed rows of the operators' table; whole says that
// they are all of its rows. It returns what could not be decoded.
func (r *Registry) ApplyOperators(rows []sesamepitch.Row, whole bool) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.announce()
	if whole {
		r.forgetMissing(rows)
	}
	var faults []error
	for _, row := range rows {
		if !r.isNewer(row) {
			continue
		}
		if err := r.applyOperation(row); err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

// forgetMissing takes back the data centres whose rows are gone.
func (r *Registry) forgetMissing(rows []sesamepitch.Row) {
	present := map[string]bool{}
	for _, row := range rows {
		if op := r.decoder.Operation(row); op.Kind == OperationCentreOut {
			present[op.Centre] = true
		}
	}
	maps.DeleteFunc(r.out, func(centre string, _ bool) bool { return !present[centre] })
}

func (r *Registry) applyOperation(row sesamepitch.Row) error {
	op := r.decoder.Operation(row)
	switch op.Kind {
	case OperationCentreOut:
		r.out[op.Centre] = !row.Deleted
	case OperationVersion:
		r.versions[op.Model] = max(r.versions[op.Model], op.Version)
	case OperationConfig:
		if row.Deleted {
			return nil
		}
		config, err := r.decoder.Config(row)
		if err != nil {
			return err
		}
		if r.config == nil || config.Version > r.config.Version {
			r.config = config
		}
	case OperationUnknown:
	}
	return nil
}

// ApplyEndpoints takes changed rows of the list of endpoints; whole says that
// they are all of its rows. Endpoints that vanished before keepUntil, the end
// of the grace after an outage of the store, are kept until then. It returns
// the rows that could not be decoded.
func (r *Registry) ApplyEndpoints(rows []sesamepitch.Row, whole bool, storeBack time.Time) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.announce()
	now := r.clock.Now()
	present := map[string]bool{}
	var faults []error
	for _, row := range rows {
		id := row.Name()
		present[id] = true
		if !r.isNewer(row) {
			continue
		}
		if row.Deleted {
			r.vanish(id, now, storeBack)
			continue
		}
		endpoint, err := r.decoder.Endpoint(row, now)
		if err != nil {
			delete(r.endpoints, id)
			faults = append(faults, err)
			continue
		}
		delete(r.vanished, id)
		r.endpoints[id] = endpoint
	}
	if whole {
		r.listed = true
		for id := range r.endpoints {
			if !present[id] {
				r.vanish(id, now, storeBack)
			}
		}
	}
	r.forgetVanished(now)
	return faults
}

func (r *Registry) vanish(id string, now, storeBack time.Time) {
	if until, known := r.vanished[id]; known && now.Before(until) {
		return
	}
	until := storeBack.Add(lapseGrace)
	if !now.Before(until) {
		delete(r.endpoints, id)
		return
	}
	r.vanished[id] = until
}

func (r *Registry) forgetVanished(now time.Time) {
	for id, until := range r.vanished {
		if !now.Before(until) {
			delete(r.vanished, id)
			delete(r.endpoints, id)
		}
	}
}

// isNewer tells whether a row is newer than what was known of its key, and
// remembers it.
func (r *Registry) isNewer(row sesamepitch.Row) bool {
	if row.Version <= r.revisions[row.Key] {
		return false
	}
	r.revisions[row.Key] = row.Version
	return true
}

func (r *Registry) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}
