// Package orders sends a data centre's orders: engines are ordered to load weight
// versions, and the platform to start endpoints. Only the daemon that holds the data
// centre's lease sends orders, and each order carries the lease's fencing number and an
// expiry time.
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
	tickInterval = 500 * time.Millisecond
	loadTimeout  = 20 * time.Second
	// The delay before a failed load is ordered again doubles with each failure, from
	// twice baseLoadRetryDelay up to maxLoadRetryDelay.
	baseLoadRetryDelay = time.Second
	maxLoadRetryDelay  = 15 * time.Second
	// startDelay is how long an endpoint must be missing from the live list before a start
	// is ordered.
	startDelay = 3 * time.Second
	// reorderDelay is the least time between two orders to start an endpoint that is not
	// listed in between.
	reorderDelay = 30 * time.Second
	// minLeaseTime is the time that the lease must still last for orders to be sent.
	minLeaseTime = 300 * time.Millisecond
)

// Leader gives access to the data centre's lease and to what its leader has observed.
type Leader interface {
	Centre() string
	Lease() *lease.Lease
	// Listed returns the states of the data centre's endpoints in the platform's live
	// list, by endpoint name; nil if the list is not known.
	Listed() map[string]string
	// TakeStale returns and clears the endpoints whose chunks named another version than
	// the endpoints report, with the chunks' version.
	TakeStale() map[string]int64
}

// engineState is the manager's state of one engine.
type engineState struct {
	// version is the version that the engine runs; zero if it is not known.
	version int64
	loading bool
	// failures counts the failed loads since the last successful one; retryAt is the
	// earliest time of the next one.
	failures int
	retryAt  time.Time
}

// Manager sends the orders of one data centre.
type Manager struct {
	clock      sesamepitch.Clock
	log        logr.Logger
	leader     Leader
	table      sesamepitch.Table
	orders     sesamepitch.Orders
	holder     *document.Holder
	notices    *notice.Set
	loads      pool.LoadReader
	guarded    http.RoundTripper
	holderName string
	mu         sync.Mutex
	epoch      int64
	engines    map[string]*engineState
	// missingSince is when each endpoint was first found missing from the live list.
	missingSince map[string]time.Time
	// ordering holds the endpoints whose start is being ordered.
	ordering map[string]bool
	// lastListedAt is when each endpoint was last in the live list.
	lastListedAt map[string]time.Time
}

// New returns the manager at one daemon. The orders service and the guarded transport must
// send only while the leader's lease is held; holderName names the lease's holder in
// orders.
func New(clock sesamepitch.Clock, log logr.Logger, leader Leader, table sesamepitch.Table, orders sesamepitch.Orders, holder *document.Holder, notices *notice.Set, loads pool.LoadReader, guarded http.RoundTripper, holderName string) *Manager {
	return &Manager{
		clock: clock, log: log, leader: leader, table: table, orders: orders, holder: holder, notices: notices,
		loads: loads, guarded: guarded, holderName: holderName,
		engines: map[string]*engineState{}, missingSince: map[string]time.Time{}, ordering: map[string]bool{}, lastListedAt: map[string]time.Time{},
	}
}

// Workers returns the manager's supervised task.
func (m *Manager) Workers() []supervisor.Worker {
	return []supervisor.Worker{
		supervisor.NewWorker("orders", func(ctx context.Context) error {
			return supervisor.Every(ctx, m.clock, tickInterval, m.tick)
		}),
	}
}

func (m *Manager) tick(ctx context.Context) {
	epoch, until, held := m.leader.Lease().Held()
	if !held || until.Sub(m.clock.Now()) < minLeaseTime {
		return
	}
	m.mu.Lock()
	if epoch != m.epoch {
		m.epoch = epoch
		m.engines = map[string]*engineState{}
		m.missingSince = map[string]time.Time{}
	}
	m.mu.Unlock()
	m.applyStaleVersions()
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

// applyStaleVersions replaces the versions that engines report by the older ones that their
// chunks name, so that the load is ordered again.
func (m *Manager) applyStaleVersions() {
	stale := m.leader.TakeStale()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, version := range stale {
		if state := m.engines[name]; state != nil && !state.loading && state.version > version {
			state.version = version
			state.failures++
			state.retryAt = m.clock.Now().Add(loadRetryDelay(state.failures))
		}
	}
}

// loadRetryDelay returns the time to wait after a number of failed loads.
func loadRetryDelay(failures int) time.Duration {
	return min(baseLoadRetryDelay<<min(failures, 5), maxLoadRetryDelay)
}

// targetVersion returns the version that the model's engines should run.
func (m *Manager) targetVersion(config *document.Config, model string) int64 {
	configured, _ := config.Model(model)
	return max(configured.Version, m.notices.ModelVersion(model))
}

// orderLoad starts a load if the engine needs one and the data centre's limit of
// concurrent weight loads allows it.
func (m *Manager) orderLoad(ctx context.Context, config *document.Config, e document.Endpoint, epoch int64, until time.Time) {
	target := m.targetVersion(config, e.Model)
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.engines[e.Name]
	if state == nil {
		state = &engineState{}
		m.engines[e.Name] = state
	}
	if state.version == target || state.loading || now.Before(state.retryAt) || m.loadsInProgress() >= int(config.Limit(document.LimitWeightLoads)) {
		return
	}
	state.loading = true
	known := state.version != 0
	go func() {
		version, err := m.load(ctx, e, target, epoch, until, known)
		m.finishLoad(e, state, target, version, err)
	}()
}

func (m *Manager) loadsInProgress() int {
	count := 0
	for _, state := range m.engines {
		if state.loading {
			count++
		}
	}
	return count
}

// load orders the engine to load a version and returns the version that the engine
// reports afterwards, so that the outcome of an order whose answer was lost is known
// before another order is sent. If the engine's version is not known yet, load reads it
// first and sends no order if the engine already runs the target.
func (m *Manager) load(ctx context.Context, e document.Endpoint, target, epoch int64, until time.Time, known bool) (int64, error) {
	if !known {
		if load, err := m.loads.ReadLoad(ctx, e.Address); err == nil && load.Version == target {
			return target, nil
		}
	}
	m.log.Info("order", "action", "load", "endpoint", e.Name, "version", target, "fence", epoch, "holder", m.holderName)
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err := endpoint.OrderLoad(loadCtx, m.guarded, e.Address, target, epoch, until)
	load, readErr := m.loads.ReadLoad(ctx, e.Address)
	if readErr != nil {
		if err == nil {
			err = readErr
		}
		return 0, err
	}
	return load.Version, err
}

// finishLoad records the outcome of a load.
func (m *Manager) finishLoad(e document.Endpoint, state *engineState, target, version int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state.loading = false
	if version != 0 {
		state.version = version
	}
	if version == target {
		state.failures = 0
		m.log.Info("weights loaded", "endpoint", e.Name, "version", version)
		return
	}
	state.failures++
	state.retryAt = m.clock.Now().Add(loadRetryDelay(state.failures))
	m.log.Info("weights not loaded", "endpoint", e.Name, "version", version, "target", target, "kind", sesamepitch.KindOf(err))
}

// The phases of an order in the table.
const (
	phaseIntended = "intended"
	phaseDone     = "done"
)

// orderRow is a start order's row, written before the order is sent.
type orderRow struct {
	ID    string    `json:"id"`
	Phase string    `json:"phase"`
	Fence int64     `json:"fence"`
	At    time.Time `json:"at"`
}

// orderStart orders the platform to start an endpoint that has been missing from the live
// list for startDelay, unless the data centre is taken out of service.
func (m *Manager) orderStart(ctx context.Context, e document.Endpoint, epoch int64, until time.Time) {
	listed := m.leader.Listed()
	now := m.clock.Now()
	m.mu.Lock()
	_, present := listed[e.Name]
	if listed == nil || present || m.notices.IsOut(m.leader.Centre()) {
		delete(m.missingSince, e.Name)
		if present {
			m.lastListedAt[e.Name] = now
		}
		m.mu.Unlock()
		return
	}
	if _, known := m.missingSince[e.Name]; !known {
		m.missingSince[e.Name] = now
	}
	listedAt := m.lastListedAt[e.Name]
	ready := now.Sub(m.missingSince[e.Name]) >= startDelay && !m.ordering[e.Name]
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

// start orders one endpoint, unless an order sent after it was last listed is younger than
// reorderDelay.
func (m *Manager) start(ctx context.Context, e document.Endpoint, epoch int64, until, listedAt time.Time) {
	key := "order/" + m.leader.Centre() + "/" + e.Name
	var row orderRow
	version, err := rowstore.Read(ctx, m.table, key, &row)
	if err != nil {
		return
	}
	if version != 0 && row.Phase == phaseDone && row.At.After(listedAt) && m.clock.Now().Sub(row.At) < reorderDelay {
		return
	}
	if version != 0 && row.Phase == phaseIntended {
		// The outcome of an earlier order is unknown, so it is read first.
		if done, err := m.orders.Ordered(ctx, row.ID); err != nil || done {
			m.markDone(ctx, key, version, row, done)
			return
		}
	}
	if version == 0 || row.Phase == phaseDone {
		row = orderRow{ID: uuid.NewString(), Phase: phaseIntended, At: m.clock.Now()}
	}
	row.Fence = epoch
	version, err = m.writeRow(ctx, key, version, row)
	if err != nil {
		return
	}
	m.log.Info("order", "action", sesamepitch.ActionStart, "endpoint", e.Name, "fence", epoch, "holder", m.holderName, "reason", "not in the live list")
	err = m.orders.Order(ctx, sesamepitch.EndpointOrder{
		ID: row.ID, Centre: m.leader.Centre(), Endpoint: e.Name, Action: sesamepitch.ActionStart,
		Holder: m.holderName, Fence: epoch, NotAfter: until,
	})
	m.markDone(ctx, key, version, row, err == nil)
}

func (m *Manager) writeRow(ctx context.Context, key string, version int64, row orderRow) (int64, error) {
	return m.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: key, Version: version}},
		Writes: []sesamepitch.Write{{Key: key, Value: rowstore.Encode(row)}},
	})
}

// markDone marks the order as done in its row if done is set; otherwise its outcome is
// not known, and the row stays intended.
func (m *Manager) markDone(ctx context.Context, key string, version int64, row orderRow, done bool) {
	if !done {
		return
	}
	row.Phase = phaseDone
	row.At = m.clock.Now()
	_, _ = m.writeRow(ctx, key, version, row)
}
