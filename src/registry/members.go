package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/rowstore"

	"github.com/go-logr/logr"
)

// MemberTable has a row for each instance.
const MemberTable = "member"

const (
	// announceEvery is the time between renewals of this instance's row.
	announceEvery = 5 * time.Second
	// announceRetry is the time between tries that failed.
	announceRetry = 500 * time.Millisecond
	announceTime  = 1500 * time.Millisecond
	// announceGap is the least time between two renewals.
	announceGap = 200 * time.Millisecond
	// meetTime is how long instances that start together need to announce
	// themselves.
	meetTime = 1200 * time.Millisecond
	// memberTime is how long an instance counts as present after its renewal.
	memberTime = 16 * time.Second
)

// member is the row of an instance.
type member struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// Cores is the share of processor cores that the instance has.
	Cores   float64 `json:"cores"`
	Started int64   `json:"started"`
	Renewal int64   `json:"renewal"`
	// Crashes are the contents that have crashed endpoints at the instance.
	Crashes []quarantine.Report `json:"crashes,omitempty"`
}

// Members lists the instances by their rows.
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
	// suspects are told in the row and learnt from others'.
	suspects *quarantine.List

	mu sync.Mutex
	// firstAt is when rows were first seen.
	firstAt time.Time
	known   map[string]seenMember
	renewal int64
}

type seenMember struct {
	address string
	centre  string
	cores   float64
	// started is the start of the instance's process in Unix milliseconds.
	started int64
	seen    time.Time
}

// NewMembers returns the list for an instance of a data centre with an address for peers; seeds
// are asked before any row is known. The instances share their suspects.
func NewMembers(clock sesamepitch.Clock, log logr.Logger, table sesamepitch.Table, name, centre, address string, cores float64, seeds []string, suspects *quarantine.List) *Members {
	return &Members{
		clock: clock, log: log, table: table, name: name, centre: centre, address: address, cores: cores, seeds: seeds,
		started: clock.Now().UnixMilli(), suspects: suspects, known: map[string]seenMember{},
	}
}

// Apply takes changes of MemberTable.
func (m *Members) Apply(update Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstAt.IsZero() {
		m.firstAt = m.clock.Now()
	}
	for _, row := range update.Rows {
		name := row.Name()
		var decoded member
		if row.Deleted || json.Unmarshal(row.Value, &decoded) != nil {
			delete(m.known, name)
			continue
		}
		if name != m.name {
			m.suspects.SetReports(fmt.Sprint(name, "@", decoded.Started), decoded.Crashes)
		}
		m.known[name] = seenMember{address: decoded.Address, centre: decoded.Centre, cores: decoded.Cores, started: decoded.Started, seen: m.clock.Now()}
	}
}

// Peers returns the addresses of the other instances, the seeds last.
func (m *Members) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []string
	listed := map[string]bool{m.address: true}
	now := m.clock.Now()
	for _, other := range m.known {
		if !listed[other.address] && now.Sub(other.seen) < memberTime {
			listed[other.address] = true
			peers = append(peers, other.address)
		}
	}
	for _, seed := range m.seeds {
		if !listed[seed] {
			peers = append(peers, seed)
		}
	}
	return peers
}

// Count returns the number of instances that are known, at least one.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(len(m.known), 1)
}

// capacityShare is the part of the largest instance's cores that makes an
// instance as good as that one.
const capacityShare = 0.9

// IsStrong tells whether no live instance has notably more cores than this one.
// As long as the others have not had time to announce themselves, the answer
// is no.
func (m *Members) IsStrong() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, other := range m.known {
		if now.Sub(other.seen) < memberTime && m.cores < capacityShare*other.cores {
			return false
		}
	}
	return len(m.known) > 1 && now.Sub(m.firstAt) >= meetTime
}

// agedAfter is by how much later another instance must have started; clocks of
// instances may differ by less.
const agedAfter = 3 * time.Second

// IsAged tells whether a live instance has started notably later than this one.
func (m *Members) IsAged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, other := range m.known {
		later := time.Duration(other.started-m.started) * time.Millisecond
		if now.Sub(other.seen) < memberTime && later > agedAfter {
			return true
		}
	}
	return false
}

// RemotePeers returns the addresses of the instances of other data centres.
func (m *Members) RemotePeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, other := range m.known {
		if other.centre != m.centre {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}

// Run keeps this instance's row until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for {
		wait := announceEvery
		if err := m.announce(ctx); err != nil {
			m.log.Info("instance not announced", "cause", err.Error())
			wait = announceRetry
		}
		if !m.rest(ctx, announceGap) {
			return ctx.Err()
		}
		select {
		case <-m.clock.After(wait - announceGap):
		case <-m.suspects.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// rest waits and tells whether ctx still goes on.
func (m *Members) rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-m.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Members) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	m.renewal++
	row := member{Address: m.address, Centre: m.centre, Cores: m.cores, Started: m.started, Renewal: m.renewal, Crashes: m.suspects.Reports()}
	_, err := m.table.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: memberKey(m.name), Value: rowstore.Encode(row)}}})
	return err
}

// Leave removes this instance's row.
func (m *Members) Leave(ctx context.Context) {
	_, err := m.table.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: memberKey(m.name), Delete: true}}})
	if err != nil {
		m.log.Info("instance's row not removed", "cause", err.Error())
	}
}

func memberKey(name string) string { return MemberTable + "//" + name }
