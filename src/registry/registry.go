package registry

import (
	"maps"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"
)

// Decoder converts the platform's rows to this package's types. An error means
// that the row is malformed and must not be used.
type Decoder interface {
	// Config decodes a configuration.
	Config(row sesamepitch.Row) (*Config, error)
	// Endpoint decodes an endpoint; now is when the row was read.
	Endpoint(row sesamepitch.Row, now time.Time) (Endpoint, error)
	// Operation returns what a row of the operators' table holds.
	Operation(row sesamepitch.Row) Operation
}

// OperationKind is the type of a row of the operators' table.
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
	// Centre is set for OperationCentreOut.
	Centre string
	// Model and Version are set for OperationVersion.
	Model   string
	Version int64
}

// reregisterGrace is how long after an outage of the store the entries that
// expired during it are kept. Live endpoints register again within two seconds.
const reregisterGrace = 2200 * time.Millisecond

// Registry is this instance's copy of the operators' table and the endpoint
// table. A row is never replaced by an older version.
type Registry struct {
	clock   sesamepitch.Clock
	decoder Decoder

	mu        sync.RWMutex
	config    *Config
	endpoints map[string]Endpoint
	// centresOut maps the data centres that operators took out to the version of the
	// row that says so.
	centresOut  map[string]int64
	versions    map[string]int64
	rowVersions map[string]int64
	// expiring maps endpoints without a row to the time of their removal.
	expiring map[string]time.Time
	// endpointsComplete is set once all endpoints have been read.
	endpointsComplete bool
	changed           chan struct{}
	// words are those of leaving endpoints, by ID; drainTime is how long such an
	// endpoint still serves.
	words     map[string]heardWord
	drainTime time.Duration
}

// New returns an empty registry.
func New(clock sesamepitch.Clock, decoder Decoder, options ...Option) *Registry {
	r := &Registry{
		clock: clock, decoder: decoder,
		endpoints: map[string]Endpoint{}, centresOut: map[string]int64{}, versions: map[string]int64{},
		rowVersions: map[string]int64{}, expiring: map[string]time.Time{}, changed: make(chan struct{}),
		words: map[string]heardWord{}, drainTime: defaultDrainTime,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Config returns the configuration in force, or nil if none has been read.
func (r *Registry) Config() *Config {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config
}

// Complete reports whether the configuration and all endpoints have been read.
func (r *Registry) Complete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config != nil && r.endpointsComplete
}

// Endpoints returns the endpoints of a service that may be given new work.
func (r *Registry) Endpoints(service string) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var usable []Endpoint
	for _, e := range r.endpoints {
		if e.Service != service || e.Draining || r.isOut(e.Centre) {
			continue
		}
		if until, expiring := r.expiring[e.ID]; expiring && !now.Before(until) {
			continue
		}
		usable = append(usable, e)
	}
	return usable
}

// isOut reports whether operators took a data centre out. The caller must hold r.mu.
func (r *Registry) isOut(centre string) bool {
	_, out := r.centresOut[centre]
	return out
}

// Endpoint returns the endpoint with an ID, and whether it is registered.
func (r *Registry) Endpoint(id string) (Endpoint, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	endpoint, found := r.endpoints[id]
	return endpoint, found
}

// All returns all endpoints by id, including draining ones.
func (r *Registry) All() map[string]Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.endpoints)
}

// CentresOut returns the data centres that operators took out of service.
func (r *Registry) CentresOut() map[string]bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := map[string]bool{}
	for centre := range r.centresOut {
		out[centre] = true
	}
	return out
}

// Versions returns the newest named weight version by model.
func (r *Registry) Versions() map[string]int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.versions)
}

// Changed returns a channel that is closed by the next update.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// ApplyOperators applies an update of the operators' table. It returns an error for
// each row that could not be decoded.
func (r *Registry) ApplyOperators(update Update) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notifyChanged()
	if update.Complete {
		r.restoreMissingCentres(update)
	}
	var faults []error
	for _, row := range update.Rows {
		if !r.recordVersion(row) {
			continue
		}
		if err := supervisor.Guard(func() error { return r.applyOperation(row) }); err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

// restoreMissingCentres returns the data centres without a row to service, except
// those that were taken out after the table was read.
func (r *Registry) restoreMissingCentres(update Update) {
	present := map[string]bool{}
	for _, row := range update.Rows {
		if op := r.decoder.Operation(row); op.Kind == OperationCentreOut {
			present[op.Centre] = true
		}
	}
	maps.DeleteFunc(r.centresOut, func(centre string, takenOutAt int64) bool {
		return !present[centre] && takenOutAt <= update.Revision
	})
}

func (r *Registry) applyOperation(row sesamepitch.Row) error {
	op := r.decoder.Operation(row)
	switch op.Kind {
	case OperationCentreOut:
		if row.Deleted {
			delete(r.centresOut, op.Centre)
			return nil
		}
		r.centresOut[op.Centre] = row.Version
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

// ApplyEndpoints applies changed rows of the endpoint table, or all of its rows
// if complete. Endpoints whose rows are missing are kept until reregisterGrace
// after storeRecoveredAt, the end of the last outage of the store. It returns an
// error for each row that could not be decoded.
func (r *Registry) ApplyEndpoints(rows []sesamepitch.Row, complete bool, storeRecoveredAt time.Time) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notifyChanged()
	now := r.clock.Now()
	present := map[string]bool{}
	var faults []error
	for _, row := range rows {
		id := row.Name()
		present[id] = true
		if !r.recordVersion(row) {
			continue
		}
		if row.Deleted {
			r.expire(id, now, storeRecoveredAt)
			continue
		}
		var endpoint Endpoint
		err := supervisor.Guard(func() (err error) {
			endpoint, err = r.decoder.Endpoint(row, now)
			return err
		})
		if err != nil {
			delete(r.endpoints, id)
			faults = append(faults, err)
			continue
		}
		delete(r.expiring, id)
		r.markLeaving(&endpoint)
		r.endpoints[id] = endpoint
	}
	if complete {
		r.endpointsComplete = true
		for id := range r.endpoints {
			if !present[id] {
				r.expire(id, now, storeRecoveredAt)
			}
		}
	}
	r.removeExpired(now)
	r.pruneWords(now)
	return faults
}

// expire removes an endpoint, or schedules its removal during the grace after an
// outage.
func (r *Registry) expire(id string, now, storeRecoveredAt time.Time) {
	if until, known := r.expiring[id]; known && now.Before(until) {
		return
	}
	until := storeRecoveredAt.Add(reregisterGrace)
	if !now.Before(until) {
		delete(r.endpoints, id)
		return
	}
	r.expiring[id] = until
}

func (r *Registry) removeExpired(now time.Time) {
	for id, until := range r.expiring {
		if !now.Before(until) {
			delete(r.expiring, id)
			delete(r.endpoints, id)
		}
	}
}

// recordVersion records a row's version and reports whether it is newer than the
// last one of the key.
func (r *Registry) recordVersion(row sesamepitch.Row) bool {
	if row.Version <= r.rowVersions[row.Key] {
		return false
	}
	r.rowVersions[row.Key] = row.Version
	return true
}

func (r *Registry) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}
