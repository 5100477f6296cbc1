package registry

import (
	"context"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// announceInterval is the time between renewals of this instance's row.
	announceInterval = 5 * time.Second
	// announceRetryDelay is the delay after a failed renewal.
	announceRetryDelay = 500 * time.Millisecond
	announceTimeout    = 1500 * time.Millisecond
	// minAnnounceInterval is the minimum time between two renewals.
	minAnnounceInterval = 200 * time.Millisecond
	// deadAfter is the time without a renewal after which an instance's row is
	// removed. An instance that lives writes it again.
	deadAfter = 5 * time.Minute
)

// Run renews this instance's row until ctx ends, and early when a crash is
// reported.
func (m *Members) Run(ctx context.Context) error {
	m.announcedSince = m.clock.Now()
	for {
		wait := announceInterval
		if err := m.announce(ctx); err != nil {
			m.log.Info("renewal of this instance's row failed", "cause", err.Error())
			wait = announceRetryDelay
			m.announcedSince = m.clock.Now()
		}
		m.removeDead(ctx)
		if !m.sleep(ctx, minAnnounceInterval) {
			return ctx.Err()
		}
		select {
		case <-m.clock.After(wait - minAnnounceInterval):
		case <-m.suspects.Changed():
		case <-m.limits.Changed():
		case <-m.leaving.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d and reports whether ctx is still active.
func (m *Members) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-m.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Members) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m.renewal++
	row := memberRow{Address: m.address, Centre: m.centre, Cores: m.cores, Started: m.started, Renewal: m.renewal, Crashes: m.suspects.Reports(), Limits: m.limits.Share(), Leaving: m.leaving.Share()}
	_, err := m.table.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: memberKey(m.name), Value: rowstore.Encode(row)}}})
	return err
}

// removeDead removes the rows of instances that ended without leaving: nothing else
// does, and each takes a share of what is divided among all instances. One instance
// does this, after a time in which its own renewals all succeeded.
func (m *Members) removeDead(ctx context.Context) {
	if m.clock.Now().Sub(m.announcedSince) < deadAfter || !m.isFirstLive() {
		return
	}
	for _, dead := range m.dead() {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := m.table.Commit(ctx, dead)
		cancel()
		if err != nil {
			m.log.Info("row of a dead instance not removed", "row", dead.Checks[0].Key, "cause", err.Error())
			return
		}
		m.log.Info("row of a dead instance removed", "row", dead.Checks[0].Key)
	}
}

// isFirstLive reports whether no other live instance's name precedes this one's.
func (m *Members) isFirstLive() bool {
	return !slices.ContainsFunc(m.Others(), func(other Member) bool { return other.Name < m.name })
}

// dead returns a removal for each row that was not renewed for deadAfter.
func (m *Members) dead() []sesamepitch.Txn {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var removals []sesamepitch.Txn
	for name, other := range m.members {
		if name == m.name || now.Sub(other.seenAt) < deadAfter {
			continue
		}
		removals = append(removals, sesamepitch.Txn{
			Checks: []sesamepitch.Check{{Key: memberKey(name), Version: other.version}},
			Writes: []sesamepitch.Write{{Key: memberKey(name), Delete: true}},
		})
	}
	return removals
}

// Leave removes this instance's row.
func (m *Members) Leave(ctx context.Context) {
	_, err := m.table.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: memberKey(m.name), Delete: true}}})
	if err != nil {
		m.log.Info("removal of this instance's row failed", "cause", err.Error())
	}
}

func memberKey(name string) string { return MemberTable + "//" + name }
