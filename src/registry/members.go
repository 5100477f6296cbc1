package registry

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/ratelimit"

	"github.com/go-logr/logr"
)

// MemberTable is the table with a row for each instance.
const MemberTable = "member"

const (
	// discoveryTime is how long instances that start together may take to write
	// their rows.
	discoveryTime = 1200 * time.Millisecond
	// memberTTL is how long an instance counts as live after a renewal.
	memberTTL = 16 * time.Second
)

// memberRow is the value of an instance's row.
type memberRow struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// Cores is the number of CPU cores available to the instance.
	Cores   float64 `json:"cores"`
	Started int64   `json:"started"`
	Renewal int64   `json:"renewal"`
	// Crashes reports the contents that crashed endpoints while the instance ran
	// them.
	Crashes []quarantine.Report `json:"crashes,omitempty"`
	// Limits are the endpoints' rate limits; the granter of requests shares them.
	Limits []ratelimit.Statement `json:"limits,omitempty"`
	// Leaving are the endpoints that told the instance that they are leaving.
	Leaving []Word `json:"leaving,omitempty"`
}

// LeavingSharer shares which endpoints told instances that they are leaving;
// departure.Gate implements it.
type LeavingSharer interface {
	// Share returns what this instance publishes, Receive applies what another one
	// has published.
	Share() []Word
	Receive(words []Word)
	// Changed returns a channel that receives when there is something new.
	Changed() <-chan struct{}
}

// noneLeaving is a LeavingSharer that shares nothing.
type noneLeaving struct{}

// Share implements LeavingSharer.
func (noneLeaving) Share() []Word { return nil }

// Receive implements LeavingSharer.
func (noneLeaving) Receive([]Word) {}

// Changed implements LeavingSharer.
func (noneLeaving) Changed() <-chan struct{} { return nil }

// LimitSharer shares what instances know of endpoints' rate limits; ratelimit.Gate
// implements it.
type LimitSharer interface {
	// Share returns what this instance publishes, Receive applies what another one
	// has published.
	Share() []ratelimit.Statement
	Receive(statements []ratelimit.Statement)
	// Changed returns a channel that receives when there is something new.
	Changed() <-chan struct{}
}

// nothingShared is a LimitSharer that shares nothing.
type nothingShared struct{}

// Share implements LimitSharer.
func (nothingShared) Share() []ratelimit.Statement { return nil }

// Receive implements LimitSharer.
func (nothingShared) Receive([]ratelimit.Statement) {}

// Changed implements LimitSharer.
func (nothingShared) Changed() <-chan struct{} { return nil }

// Members tracks the instances by their rows and renews the row of this one.
type Members struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	table   sesamepitch.Table
	name    string
	centre  string
	address string
	cores   float64
	seeds   []string
	started int64
	// suspects are the suspected contents: this instance's are published in its
	// row, those of others are read from theirs.
	suspects *quarantine.List
	limits   LimitSharer
	leaving  LeavingSharer

	// announcedSince is the start of the time in which no renewal failed.
	announcedSince time.Time

	mu sync.Mutex
	// firstRowsAt is when the first update arrived.
	firstRowsAt time.Time
	members     map[string]memberState
	renewal     int64
}

type memberState struct {
	address string
	centre  string
	cores   float64
	// started is the start time of the instance's process in Unix milliseconds.
	started int64
	// version is that of the row, seenAt when it was first read.
	version int64
	seenAt  time.Time
}

// NewMembers returns the members as seen by the named instance. The address is
// that at which peers reach it; seeds are peer addresses for use before any row
// is known. The rows also share the reports of suspects between instances.
func NewMembers(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, name, centre, address string, cores float64, seeds []string, suspects *quarantine.List) *Members {
	return &Members{
		clock: clock, log: log, table: table, name: name, centre: centre, address: address, cores: cores, seeds: seeds,
		started: clock.Now().UnixMilli(), suspects: suspects, limits: nothingShared{}, leaving: noneLeaving{}, members: map[string]memberState{},
	}
}

// ShareLimits makes the rows also share what instances know of endpoints' rate
// limits. It must be called before Run and Apply.
func (m *Members) ShareLimits(limits LimitSharer) { m.limits = limits }

// ShareLeaving makes the rows also share which endpoints are leaving. It must be
// called before Run and Apply.
func (m *Members) ShareLeaving(leaving LeavingSharer) { m.leaving = leaving }

// Apply applies an update of MemberTable.
func (m *Members) Apply(update Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstRowsAt.IsZero() {
		m.firstRowsAt = m.clock.Now()
	}
	if update.Complete {
		m.retain(update.Rows)
	}
	for _, row := range update.Rows {
		name := row.Name()
		if known, found := m.members[name]; found && known.version == row.Version && row.Version != 0 {
			continue // read again, not renewed
		}
		var decoded memberRow
		if row.Deleted {
			delete(m.members, name)
			continue
		}
		if err := json.Unmarshal(row.Value, &decoded); err != nil {
			m.log.Info("row of an instance is malformed", "row", row.Key, "version", row.Version, "cause", err.Error())
			delete(m.members, name)
			continue
		}
		if name != m.name {
			m.suspects.SetReports(fmt.Sprint(name, "@", decoded.Started), decoded.Crashes)
			m.limits.Receive(decoded.Limits)
			m.leaving.Receive(decoded.Leaving)
		}
		m.members[name] = memberState{address: decoded.Address, centre: decoded.Centre, cores: decoded.Cores, started: decoded.Started, seenAt: m.clock.Now(), version: row.Version}
	}
}

// retain forgets the instances without a row among rows, which are all that there
// are. The caller must hold m.mu.
func (m *Members) retain(rows []sesamepitch.Row) {
	present := map[string]bool{}
	for _, row := range rows {
		present[row.Name()] = true
	}
	for name := range m.members {
		if !present[name] {
			delete(m.members, name)
		}
	}
}

// Peers returns the addresses of the other live instances, followed by the seeds.
// If no row was renewed lately, as after a long outage of the store, it returns the
// addresses of all known instances.
func (m *Members) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live, known []string
	listed := map[string]bool{m.address: true}
	now := m.clock.Now()
	for _, other := range m.members {
		if listed[other.address] {
			continue
		}
		listed[other.address] = true
		known = append(known, other.address)
		if now.Sub(other.seenAt) < memberTTL {
			live = append(live, other.address)
		}
	}
	peers := live
	if len(live) == 0 {
		peers = known
	}
	for _, seed := range m.seeds {
		if seed != m.address && !slices.Contains(peers, seed) {
			peers = append(peers, seed)
		}
	}
	return peers
}

// Count returns the number of instances with a row, at least one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.members), 1)
}

// Rank returns the position of this instance's name among those of all instances
// with a row, and their number; ok is false while no rows were read. Rows that are
// out of date count: during an outage of the store all are.
func (m *Members) Rank() (rank, count int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count = 1
	for name := range m.members {
		if name == m.name {
			continue
		}
		count++
		if name < m.name {
			rank++
		}
	}
	return rank, count, !m.firstRowsAt.IsZero()
}

// similarCoresRatio is the share of the largest instance's cores from which an
// instance counts as equally large.
const similarCoresRatio = 0.9

// Member is a live instance.
type Member struct {
	Name string
	// Address is where peers reach it.
	Address string
	// Cores is the number of CPU cores available to it.
	Cores float64
}

// IsSettled reports whether all instances have had discoveryTime to write their
// rows.
func (m *Members) IsSettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.firstRowsAt.IsZero() && m.clock.Now().Sub(m.firstRowsAt) >= discoveryTime
}

// Stronger returns the live instances with notably more cores than this one.
func (m *Members) Stronger() []Member {
	var stronger []Member
	for _, other := range m.Others() {
		if m.cores < similarCoresRatio*other.Cores {
			stronger = append(stronger, other)
		}
	}
	return stronger
}

// Others returns the other live instances in any order.
func (m *Members) Others() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var others []Member
	for name, other := range m.members {
		if name != m.name && now.Sub(other.seenAt) < memberTTL {
			others = append(others, Member{Name: name, Address: other.address, Cores: other.cores})
		}
	}
	return others
}

// minStartGap is the difference above which another instance counts as started
// later. It exceeds the clock skew between instances.
const minStartGap = 3 * time.Second

// IsAged reports whether a live instance started notably later than this one.
func (m *Members) IsAged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, other := range m.members {
		later := time.Duration(other.started-m.started) * time.Millisecond
		if now.Sub(other.seenAt) < memberTTL && later > minStartGap {
			return true
		}
	}
	return false
}

// RemotePeers returns the addresses of the instances in other data centres that
// were live at a moment.
func (m *Members) RemotePeers(at time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, other := range m.members {
		if other.centre != m.centre && at.Sub(other.seenAt) < memberTTL {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}
