package registry_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/registry"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// decoder returns the length of a row's value as the configuration's version,
// an error for the value "bad", and panics for the value "panic".
type decoder struct{}

func (decoder) Config(row sesamepitch.Row) (*registry.Config, error) {
	if string(row.Value) == "bad" {
		return nil, errors.New("unreadable")
	}
	return registry.NewConfig(registry.Config{Version: int64(len(row.Value))}), nil
}

func (decoder) Endpoint(row sesamepitch.Row, _ time.Time) (registry.Endpoint, error) {
	if string(row.Value) == "bad" {
		return registry.Endpoint{}, errors.New("unreadable")
	}
	if string(row.Value) == "panic" {
		panic("malformed")
	}
	id := row.Key[strings.LastIndexByte(row.Key, '/')+1:]
	return registry.Endpoint{ID: id, Service: "lm", Centre: "dc-" + id, Slots: 1, Draining: string(row.Value) == "draining"}, nil
}

func (decoder) Operation(row sesamepitch.Row) registry.Operation {
	switch {
	case row.Key == "op//config":
		return registry.Operation{Kind: registry.OperationConfig}
	case strings.HasPrefix(row.Key, "op//out/"):
		return registry.Operation{Kind: registry.OperationCentreOut, Centre: strings.TrimPrefix(row.Key, "op//out/")}
	default:
		return registry.Operation{Kind: registry.OperationVersion, Model: "coach", Version: row.Version}
	}
}

func ids(endpoints []registry.Endpoint) map[string]bool {
	set := map[string]bool{}
	for _, e := range endpoints {
		set[e.ID] = true
	}
	return set
}

func endpointRow(id, value string, version int64) sesamepitch.Row {
	return sesamepitch.Row{Key: "servers//" + id, Value: []byte(value), Version: version}
}

// TestNoWayBack applies rows in any order, some repeatedly, and checks that the
// configuration in force and the named version never become older.
func TestNoWayBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registry.New(clockwork.NewFakeClock(), decoder{})
		newestConfig, newestVersion := int64(0), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := rapid.Int64Range(1, 30).Draw(t, "row")
			size := rapid.IntRange(1, 20).Draw(t, "config")
			config := sesamepitch.Row{Key: "op//config", Value: []byte(strings.Repeat("x", size)), Version: version}
			named := sesamepitch.Row{Key: "op//version", Version: version}
			r.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{config, named}, Complete: rapid.Bool().Draw(t, "whole")})
			if r.Config().Version < newestConfig || r.Versions()["coach"] < newestVersion {
				t.Fatalf("version %d after %d", r.Config().Version, newestConfig)
			}
			newestConfig, newestVersion = r.Config().Version, r.Versions()["coach"]
		}
	})
}

func TestEndpoints(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := registry.New(clock, decoder{})
	faults := r.ApplyEndpoints([]sesamepitch.Row{endpointRow("a", "", 1), endpointRow("b", "", 2), endpointRow("c", "bad", 3)}, true, time.Time{})
	assert.Equal(t, len(faults), 1)
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"a": true, "b": true})
	assert.Equal(t, len(r.Endpoints("desk")), 0)

	r.ApplyEndpoints([]sesamepitch.Row{endpointRow("a", "draining", 4)}, false, time.Time{})
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"b": true})
	r.ApplyEndpoints([]sesamepitch.Row{endpointRow("a", "", 3)}, false, time.Time{})
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"b": true}) // an older row changes nothing

	r.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//out/dc-b", Version: 5}}})
	assert.Equal(t, len(r.Endpoints("lm")), 0)
	r.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//out/dc-b", Version: 6, Deleted: true}}})
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"b": true})

	r.ApplyEndpoints([]sesamepitch.Row{{Key: "servers//b", Version: 7, Deleted: true}}, false, time.Time{})
	assert.Equal(t, len(r.Endpoints("lm")), 0)
	_, present := r.All()["b"]
	assert.Assert(t, !present)
}

// TestLapsedEntries checks that entries which expired during an outage of the
// store are kept for the two seconds in which live endpoints register again,
// and no longer.
func TestLapsedEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := registry.New(clock, decoder{})
	r.ApplyEndpoints([]sesamepitch.Row{endpointRow("a", "", 1), endpointRow("b", "", 2)}, true, time.Time{})
	recoveredAt := clock.Now()
	removed := []sesamepitch.Row{{Key: "servers//a", Version: 3, Deleted: true}, {Key: "servers//b", Version: 4, Deleted: true}}
	r.ApplyEndpoints(removed, false, recoveredAt)
	assert.Equal(t, len(r.Endpoints("lm")), 2)
	clock.Advance(time.Second)
	r.ApplyEndpoints([]sesamepitch.Row{endpointRow("a", "", 5)}, false, recoveredAt)
	clock.Advance(1300 * time.Millisecond)
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"a": true})
	r.ApplyEndpoints(nil, false, recoveredAt)
	assert.Equal(t, len(r.All()), 1)
}

// TestSnapshotForgets checks that a complete update removes endpoints without a
// row, and returns data centres without a row to service.
func TestSnapshotForgets(t *testing.T) {
	r := registry.New(clockwork.NewFakeClock(), decoder{})
	r.ApplyEndpoints([]sesamepitch.Row{endpointRow("a", "", 1), endpointRow("b", "", 2)}, true, time.Time{})
	r.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//out/dc-b", Version: 3}}, Complete: true})
	r.ApplyEndpoints([]sesamepitch.Row{endpointRow("b", "", 2)}, true, time.Time{})
	r.ApplyOperators(registry.Update{Complete: true, Revision: 3})
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"b": true})
}

// TestFollower checks that no row is missed when the store refuses calls and when
// it loses the change history.
func TestFollower(t *testing.T) {
	store := standin.NewMemory()
	put := func(key string) {
		_, err := store.Commit(context.Background(), sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: "t//" + key}}})
		assert.NilError(t, err)
	}
	put("before")
	seen := make(chan string, 100)
	follower := registry.NewFollower(sesamepitch.SystemClock{}, logr.Discard(), store, "t", func(update registry.Update) {
		for _, row := range update.Rows {
			seen <- strings.TrimPrefix(row.Key, "t//")
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- follower.Run(ctx) }()
	wait := func(key string) {
		t.Helper()
		for timeout := time.After(5 * time.Second); ; {
			select {
			case got := <-seen:
				if got == key {
					return
				}
			case <-timeout:
				t.Fatalf("row %q not applied", key)
			}
		}
	}
	wait("before")
	put("live")
	wait("live")
	store.SetFault(func(string, string) standin.Outcome { return standin.Refused })
	time.Sleep(50 * time.Millisecond)
	store.SetFault(nil)
	put("after an outage")
	wait("after an outage")
	store.CompactHistory()
	put("after a lost history")
	wait("after a lost history")
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

func TestMembers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := standin.NewMemory()
	weak := registry.NewMembers(clock, logr.Discard(), store, "weak", "dc-1", "10.0.0.1:1", 0.2, []string{"10.0.0.9:1", "10.0.0.1:1"}, quarantine.New(clock))
	assert.DeepEqual(t, weak.Peers(), []string{"10.0.0.9:1"})
	assert.Assert(t, !weak.IsSettled(), "no other instance is known")
	rows := []sesamepitch.Row{
		{Key: "member//weak", Value: []byte(`{"address":"10.0.0.1:1","centre":"dc-1","cores":0.2}`)},
		{Key: "member//strong", Value: []byte(`{"address":"10.0.0.2:1","centre":"dc-2","cores":0.8}`)},
		{Key: "member//stray", Value: []byte(`[`)},
	}
	weak.Apply(registry.Update{Rows: rows, Complete: true})
	strong := registry.NewMembers(clock, logr.Discard(), store, "strong", "dc-2", "10.0.0.2:1", 0.8, nil, quarantine.New(clock))
	strong.Apply(registry.Update{Rows: rows, Complete: true})
	assert.Assert(t, !strong.IsSettled(), "other instances may not have written their rows yet")
	clock.Advance(1200 * time.Millisecond)
	assert.Assert(t, strong.IsSettled() && weak.IsSettled())
	assert.Equal(t, len(strong.Stronger()), 0)
	assert.DeepEqual(t, weak.Stronger(), []registry.Member{{Name: "strong", Address: "10.0.0.2:1", Cores: 0.8}})
	assert.DeepEqual(t, weak.RemotePeers(clock.Now()), []string{"10.0.0.2:1"})
	assert.DeepEqual(t, weak.Peers(), []string{"10.0.0.2:1", "10.0.0.9:1"})
	clock.Advance(20 * time.Second)
	assert.Assert(t, weak.IsSettled() && len(weak.Stronger()) == 0, "the row of the instance with more cores has expired")
	assert.Equal(t, len(weak.RemotePeers(clock.Now())), 0)
	assert.Equal(t, len(weak.RemotePeers(clock.Now().Add(-10*time.Second))), 1)
	assert.DeepEqual(t, weak.Peers(), []string{"10.0.0.2:1", "10.0.0.9:1"}) // no row was renewed lately: all are tried
	renewed := []sesamepitch.Row{{Key: "member//third", Version: 9, Value: []byte(`{"address":"10.0.0.3:1","centre":"dc-2","cores":0.2}`)}}
	weak.Apply(registry.Update{Rows: renewed})
	assert.DeepEqual(t, weak.Peers(), []string{"10.0.0.3:1", "10.0.0.9:1"})
}

// TestIsAged compares the start times of instances. Only a live instance that
// started notably later counts.
func TestIsAged(t *testing.T) {
	cases := []struct {
		name string
		// startedAfter is how much later the other instance started.
		startedAfter time.Duration
		elapsed      time.Duration
		aged         bool
	}{
		{"at the same time", 0, 0, false},
		{"within the clock skew", 2 * time.Second, 0, false},
		{"earlier", -time.Minute, 0, false},
		{"later", 5 * time.Second, 0, true},
		{"later, row expired", 5 * time.Second, 20 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			m := registry.NewMembers(clock, logr.Discard(), standin.NewMemory(), "a", "dc-1", "10.0.0.1:1", 1, nil, quarantine.New(clock))
			row := fmt.Sprintf(`{"address":"10.0.0.2:1","centre":"dc-2","cores":1,"started":%d}`, clock.Now().Add(c.startedAfter).UnixMilli())
			m.Apply(registry.Update{Rows: []sesamepitch.Row{{Key: "member//b", Value: []byte(row)}}, Complete: true})
			clock.Advance(c.elapsed)
			assert.Equal(t, m.IsAged(), c.aged)
		})
	}
}

// TestSuspectsTravel checks that crashes reported by one instance reach another
// one through its row at once, not with the next regular renewal.
func TestSuspectsTravel(t *testing.T) {
	clock, store := sesamepitch.SystemClock{}, standin.NewMemory()
	reporting, receiving := quarantine.New(clock), quarantine.New(clock)
	a := registry.NewMembers(clock, logr.Discard(), store, "a", "dc-1", "10.0.0.1:1", 1, nil, reporting)
	b := registry.NewMembers(clock, logr.Discard(), store, "b", "dc-2", "10.0.0.2:1", 1, nil, receiving)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx) }()
	go func() {
		ended <- registry.NewFollower(clock, logr.Discard(), store, registry.MemberTable, b.Apply).Run(ctx)
	}()
	time.Sleep(50 * time.Millisecond)
	for i := range 3 {
		reporting.RecordCrash("x", fmt.Sprint("endpoint-", i))
	}
	deadline := time.Now().Add(2 * time.Second)
	for quarantined := false; !quarantined; quarantined, _ = receiving.IsQuarantined("x") {
		assert.Assert(t, time.Now().Before(deadline), "suspected content not received within two seconds")
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-ended
	<-ended
}

// TestCentreBackBySnapshotOfBefore guards against a data centre that is put back by a
// read of the table from before it was taken out.
func TestCentreBackBySnapshotOfBefore(t *testing.T) {
	r := registry.New(clockwork.NewFakeClock(), decoder{})
	r.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//out/dc-b", Version: 5}}, Revision: 5})
	r.ApplyOperators(registry.Update{Complete: true, Revision: 4})
	assert.DeepEqual(t, r.CentresOut(), map[string]bool{"dc-b": true})
	r.ApplyOperators(registry.Update{Complete: true, Revision: 6})
	assert.DeepEqual(t, r.CentresOut(), map[string]bool{})
}

// TestPanickingRow decodes a row with a defect of the decoder among others: it is a
// fault of that row, and the others are applied.
func TestPanickingRow(t *testing.T) {
	r := registry.New(sesamepitch.SystemClock{}, decoder{})
	faults := r.ApplyEndpoints([]sesamepitch.Row{
		endpointRow("a", "", 1), endpointRow("b", "panic", 2), endpointRow("c", "bad", 3), endpointRow("d", "", 4),
	}, true, time.Time{})
	assert.Equal(t, len(faults), 2, "%v", faults)
	assert.DeepEqual(t, ids(r.Endpoints("lm")), map[string]bool{"a": true, "d": true})
}
