package registry_test

import (
	"context"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/ratelimit"
	"sesamepitch/src/registry"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestRank gives three instances their places: each its own, also once all rows are
// out of date, as in a long outage of the store.
func TestRank(t *testing.T) {
	clock := clockwork.NewFakeClock()
	rows := []sesamepitch.Row{
		{Key: "member//c", Value: []byte(`{"address":"10.0.0.3:1"}`)},
		{Key: "member//a", Value: []byte(`{"address":"10.0.0.1:1"}`)},
		{Key: "member//b", Value: []byte(`{"address":"10.0.0.2:1"}`)},
	}
	for want, name := range []string{"a", "b", "c"} {
		m := registry.NewMembers(clock, logr.Discard(), standin.NewMemory(), name, "dc-1", "10.0.0.9:1", 1, nil, quarantine.New(clock))
		_, _, known := m.Rank()
		assert.Assert(t, !known, "no rows were read")
		m.Apply(registry.Update{Rows: rows, Complete: true})
		for range 2 {
			rank, count, known := m.Rank()
			assert.Assert(t, known)
			assert.DeepEqual(t, []int{rank, count}, []int{want, len(rows)})
			clock.Advance(time.Hour)
		}
	}
}

// TestRowReadAgainIsNoRenewal guards against a dead instance that counts as live, and
// takes its share, because its row was read once more with the whole table.
func TestRowReadAgainIsNoRenewal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := registry.NewMembers(clock, logr.Discard(), standin.NewMemory(), "a", "dc-1", "10.0.0.1:1", 1, nil, quarantine.New(clock))
	dead := sesamepitch.Row{Key: "member//b", Version: 3, Value: []byte(`{"address":"10.0.0.2:1","centre":"dc-2","cores":4}`)}
	m.Apply(registry.Update{Rows: []sesamepitch.Row{dead}, Complete: true})
	assert.Equal(t, len(m.Stronger()), 1)
	clock.Advance(time.Minute)
	m.Apply(registry.Update{Rows: []sesamepitch.Row{dead}, Complete: true})
	assert.Equal(t, len(m.Stronger()), 0)
	m.Apply(registry.Update{Complete: true})
	assert.Equal(t, m.Count(), 1, "the row is gone")
}

// TestDeadInstanceTakesNoShare guards against rows of instances that ended without a
// word and take their share of endpoints' rates for ever.
func TestDeadInstanceTakesNoShare(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), standin.NewMemory()
	row := []byte(`{"address":"10.0.0.2:1","centre":"dc-2","cores":1}`)
	_, err := store.Commit(context.Background(), sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: "member//b", Value: row}}})
	assert.NilError(t, err)
	m := registry.NewMembers(clock, logr.Discard(), store, "a", "dc-1", "10.0.0.1:1", 1, nil, quarantine.New(clock))
	snapshot, err := store.Snapshot(context.Background(), registry.MemberTable)
	assert.NilError(t, err)
	m.Apply(registry.Update{Rows: snapshot.Rows, Complete: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	for range 80 { // steps of 5 s, as far as two times deadAfter and more
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(5 * time.Second)
	}
	left, err := store.Get(context.Background(), "member//b")
	assert.NilError(t, err)
	assert.Equal(t, left.Version, int64(0), "the row is still there")
	cancel()
	<-ended
}

// sharedLimits publishes and receives statements.
type sharedLimits struct {
	mine     []ratelimit.Statement
	received chan ratelimit.Statement
	changed  chan struct{}
}

func (l *sharedLimits) Share() []ratelimit.Statement { return l.mine }

func (l *sharedLimits) Receive(statements []ratelimit.Statement) {
	for _, said := range statements {
		l.received <- said
	}
}

func (l *sharedLimits) Changed() <-chan struct{} { return l.changed }

// TestLimitsTravel checks that an endpoint's limit that one instance publishes
// reaches another one through its row at once.
func TestLimitsTravel(t *testing.T) {
	clock, store := sesamepitch.SystemClock{}, standin.NewMemory()
	granter := &sharedLimits{changed: make(chan struct{}, 1)}
	other := &sharedLimits{received: make(chan ratelimit.Statement, 64)}
	a := registry.NewMembers(clock, logr.Discard(), store, "a", "dc-1", "10.0.0.1:1", 1, nil, quarantine.New(clock))
	b := registry.NewMembers(clock, logr.Discard(), store, "b", "dc-2", "10.0.0.2:1", 1, nil, quarantine.New(clock))
	a.ShareLimits(granter)
	b.ShareLimits(other)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	said := ratelimit.Statement{ID: "e", Born: 7, PerSecond: 1.5, At: 9}
	granter.mine = []ratelimit.Statement{said}
	granter.changed <- struct{}{}
	go func() { ended <- a.Run(ctx) }()
	go func() {
		ended <- registry.NewFollower(clock, logr.Discard(), store, registry.MemberTable, b.Apply).Run(ctx)
	}()
	select {
	case got := <-other.received:
		assert.Equal(t, got, said)
	case <-time.After(2 * time.Second):
		t.Error("limit not received within two seconds")
	}
	cancel()
	<-ended
	<-ended
}
