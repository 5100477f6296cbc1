// Package orders gives a data centre's orders: which weight version each
// engine loads, and which endpoints the platform starts. Only the daemon that
// holds the data centre's lease gives them, and each order carries the lease's
// fencing number and the end of its own life.
package orders

import (
	"context"
	"net/http"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/lease"
	"sesamepitch/src/notice"
	"sesamepitch/src/pool"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
)

const (
	tickEvery    = 500 * time.Millisecond
	loadAnswer   = 20 * time.Second
	loadPause    = time.Second
	loadPauseMax = 15 * time.Second
	missingFor   = 3 * time.Second
	reorderAfter = 30 * time.Second
	minLife      = 300 * time.Millisecond
)

// Leader tells what a data centre's leader knows.
type Leader interface {
	Centre() string
	Lease() *lease.Lease
	// Listed returns the platform's list of the data centre's endpoints.
	Listed() map[string]string
	// TakeStale hands out endpoints that were seen to run other versions than
	// they report.
	TakeStale() map[string]int64
}

// engineState is what the manager knows of one engine.
type engineState struct {
	version int64
	busy    bool
	fails   int
	nextAt  time.Time
}

// Manager gives the orders of one data centre.
type Manager struct {
	clock    sesamepitch.Clock
	log      logr.Logger
	leader   Leader
	table    sesamepitch.Table
	orders   sesamepitch.Orders
	holder   *document.Holder
	notices  *notice.Set
	loads    pool.LoadReader
	guarded  http.RoundTripper
	name     string
	mu       sync.Mutex
	epoch    int64
	engines  map[string]*engineState
	missing  map[string]time.Time
	ordering map[string]bool
	// listedAt is when the live list last had an endpoint.
	listedAt map[string]time.Time
}

// New returns the manager at one daemon. The orders service and the guarded
// transport must send only while the leader's lease is held; name is the
// holder's name in orders.
func New(clock sesamepitch.Clock, log logr.Logger, leader Leader, table sesamepitch.Table, orders sesamepitch.Orders, holder *document.Holder, notices *notice.Set, loads pool.LoadReader, guarded http.RoundTripper, name string) *Manager {
	return &Manager{
		clock: clock, log: log, leader: leader, table: table, orders: orders, holder: holder, notices: notices,
		loads: loads, guarded: guarded, name: name,
		engines: map[string]*engineState{}, missing: map[string]time.Time{}, ordering: map[string]bool{}, listedAt: map[string]time.Time{},
	}
}

// Workers returns the manager's supervised task.
func (m *Manager) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("orders", func(ctx context.Context) error {
			return supervisor.Every(ctx, m.clock, tickEvery, m.tick)
		}),
	}
}

func (m *Manager) tick(ctx context.Context) {
	epoch, until, held := m.leader.Lease().Held()
	if !held || until.Sub(m.clock.Now()) < minLife {
		return
	}
	m.mu.Lock()
	if epoch != m.epoch {
		m.epoch = epoch
		m.engines = map[string]*engineState{}
		m.missing = map[string]time.Time{}
	}
	m.mu.Unlock()
	m.noteStale()
	config := m.holder.Current()
	for _, name := range config.Pools(m.leader.Centre()) {
		for _, e := range config.Pool(m.leader.Centre(), name) {
			if e.Model != "" {
				m.orderLoad(ctx, config, e, epoch, until)
			}
			m.orderStart(ctx, e, epoch, until)
		}
	}
}

// noteStale takes the chunks' word against an engine's own.
func (m *Manager) noteStale() {
	stale := m.leader.TakeStale()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, version := range stale {
		if state := m.engines[name]; state != nil && !state.busy && state.version > version {
			state.version = version
			state.fails++
			state.nextAt = m.clock.Now().Add(pause(state.fails))
		}
	}
}

func pause(fails int) time.Duration {
	return min(loadPause<<min(fails, 5), loadPauseMax)
}

// target is the version that an engine of the model should run.
func (m *Manager) target(config *document.Config, model string) int64 {
	described, _ := config.Model(model)
	return max(described.Version, m.notices.ModelVersion(model))
}

// orderLoad starts a load if the engine needs one and the weight store's share
// of this data centre has room.
func (m *Manager) orderLoad(ctx context.Context, config *document.Config, e document.Endpoint, epoch int64, until time.Time) {
	target := m.target(config, e.Model)
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.engines[e.Name]
	if state == nil {
		state = &engineState{}
		m.engines[e.Name] = state
	}
	if state.version == target || state.busy || now.Before(state.nextAt) || m.busy() >= int(config.Limit(document.LimitWeightLoads)) {
		return
	}
	state.busy = true
	known := state.version != 0
	go func() {
		version, err := m.load(ctx, e, target, epoch, until, known)
		m.loaded(e, state, target, version, err)
	}()
}

func (m *Manager) busy() int {
	count := 0
	for _, state := range m.engines {
		if state.busy {
			count++
		}
	}
	return count
}

// load orders a version, unless the engine already runs it, and reads back
// what it runs. A lost answer is thus settled before anything is sent again.
func (m *Manager) load(ctx context.Context, e document.Endpoint, target, epoch int64, until time.Time, known bool) (int64, error) {
	if !known {
		if load, err := m.loads.ReadLoad(ctx, e.Address); err == nil && load.Version == target {
			return target, nil
		}
	}
	m.log.Info("order", "action", "load", "endpoint", e.Name, "version", target, "fence", epoch, "holder", m.name)
	ordering, cancel := context.WithTimeout(ctx, loadAnswer)
	defer cancel()
	err := endpoint.OrderLoad(ordering, m.guarded, e.Address, target, epoch, until)
	load, readErr := m.loads.ReadLoad(ctx, e.Address)
	if readErr != nil {
		if err == nil {
			err = readErr
		}
		return 0, err
	}
	return load.Version, err
}

func (m *Manager) loaded(e document.Endpoint, state *engineState, target, version int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state.busy = false
	if version != 0 {
		state.version = version
	}
	if version == target {
		state.fails = 0
		m.log.Info("weights loaded", "endpoint", e.Name, "version", version)
		return
	}
	state.fails++
	state.nextAt = m.clock.Now().Add(pause(state.fails))
	m.log.Info("weights not loaded", "endpoint", e.Name, "version", version, "target", target, "kind", sesamepitch.KindOf(err))
}

// The phases of an order in the table.
const (
	phaseIntended = "intended"
	phaseDone     = "done"
)

// intent is an order's row, written before the order is sent.
type intent struct {
	ID    string    `json:"id"`
	Phase string    `json:"phase"`
	Fence int64     `json:"fence"`
	At    time.Time `json:"at"`
}

// orderStart asks the platform for an endpoint that its list has lacked for a
// while, unless the data centre is out.
func (m *Manager) orderStart(ctx context.Context, e document.Endpoint, epoch int64, until time.Time) {
	listed := m.leader.Listed()
	now := m.clock.Now()
	m.mu.Lock()
	_, present := listed[e.Name]
	if listed == nil || present || m.notices.IsOut(m.leader.Centre()) {
		delete(m.missing, e.Name)
		if present {
			m.listedAt[e.Name] = now
		}
		m.mu.Unlock()
		return
	}
	if _, noted := m.missing[e.Name]; !noted {
		m.missing[e.Name] = now
	}
	listedAt := m.listedAt[e.Name]
	ready := now.Sub(m.missing[e.Name]) >= missingFor && !m.ordering[e.Name]
	if ready {
		m.ordering[e.Name] = true
	}
	m.mu.Unlock()
	if !ready {
		return
	}
	go func() {
		m.start(ctx, e, epoch, until, listedAt)
		m.mu.Lock()
		delete(m.ordering, e.Name)
		m.mu.Unlock()
	}()
}

// start orders one endpoint, unless an order since it was last listed is still
// young.
func (m *Manager) start(ctx context.Context, e document.Endpoint, epoch int64, until, listedAt time.Time) {
	key := "order/" + m.leader.Centre() + "/" + e.Name
	var row intent
	version, err := rowstore.Read(ctx, m.table, key, &row)
	if err != nil {
		return
	}
	if version != 0 && row.Phase == phaseDone && row.At.After(listedAt) && m.clock.Now().Sub(row.At) < reorderAfter {
		return
	}
	if version != 0 && row.Phase == phaseIntended {
		// An earlier order's outcome is unknown: find it out first.
		if done, err := m.orders.Ordered(ctx, row.ID); err != nil || done {
			m.settle(ctx, key, version, row, done)
			return
		}
	}
	if version == 0 || row.Phase == phaseDone {
		row = intent{ID: uuid.NewString(), Phase: phaseIntended, At: m.clock.Now()}
	}
	row.Fence = epoch
	version, err = m.write(ctx, key, version, row)
	if err != nil {
		return
	}
	m.log.Info("order", "action", sesamepitch.ActionStart, "endpoint", e.Name, "fence", epoch, "holder", m.name, "reason", "not in the live list")
	err = m.orders.Order(ctx, sesamepitch.EndpointOrder{
		ID: row.ID, Centre: m.leader.Centre(), Endpoint: e.Name, Action: sesamepitch.ActionStart,
		Holder: m.name, Fence: epoch, NotAfter: until,
	})
	m.settle(ctx, key, version, row, err == nil)
}

func (m *Manager) write(ctx context.Context, key string, version int64, row intent) (int64, error) {
	return m.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: key, Version: version}},
		Writes: []sesamepitch.Write{{Key: key, Value: rowstore.Encode(row)}},
	})
}

// settle marks an order done once that is certain.
func (m *Manager) settle(ctx context.Context, key string, version int64, row intent, done bool) {
	if !done {
		return
	}
	row.Phase = phaseDone
	row.At = m.clock.Now()
	_, _ = m.write(ctx, key, version, row)
}
