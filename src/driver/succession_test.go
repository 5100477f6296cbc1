package driver_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/driver"
	"sesamepitch/src/peer"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/registry"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// memberRow is the row of an instance with a number of cores at an address.
func memberRow(name, address string, cores float64) sesamepitch.Row {
	return sesamepitch.Row{Key: "member//" + name, Value: []byte(fmt.Sprintf(`{"address":%q,"centre":"dc","cores":%g}`, address, cores))}
}

// membersOf returns the members as instance a, of 0.2 cores, sees them.
func membersOf(f *fixture, rows ...sesamepitch.Row) *registry.Members {
	clock := sesamepitch.SystemClock{}
	m := registry.NewMembers(clock, logr.Discard(), f.store, "a", "dc", "127.0.0.1:1", 0.2, nil, quarantine.New(clock))
	m.Apply(registry.Update{Rows: append(rows, memberRow("a", "127.0.0.1:1", 0.2)), Complete: true})
	return m
}

// longRun is a run that lasts until after the holder of the lease has asked a
// stronger instance to take it.
var longRun = script{last: 18, err: sesamepitch.ErrComplete, eventTime: 300 * time.Millisecond}

// TestLeaseHandedToNobody guards against a holder that gives the lease back though no
// other instance takes it: its runs are cut and nobody drives the jobs.
func TestLeaseHandedToNobody(t *testing.T) {
	cases := []struct {
		name string
		rows []sesamepitch.Row
	}{
		{"no other instance", nil},
		{"the stronger one died without a word", []sesamepitch.Row{memberRow("b", "127.0.0.1:2", 0.8)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2)
			f.engines.scripts["x"] = []script{longRun}
			dialer := peer.NewDialer("")
			t.Cleanup(dialer.Close)
			f.start(f.newDriverAs("a", "", membersOf(f, c.rows...), driver.WithPeers(dialer)))
			f.submit("j", 1, "x")
			assert.Equal(t, f.results("j", 1, 18*time.Second)["x"].State, batch.Done)
			assert.DeepEqual(t, f.engines.runsOf("x"), []int64{0})
		})
	}
}

// serveDriver serves a driver's calls of peers and returns its address.
func serveDriver(t *testing.T, d *driver.Driver) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	assert.NilError(t, driver.Register(server, d))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- peer.NewDialer("").Serve(ctx, listener, server) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return listener.Addr().String()
}

// TestLeaseLeftToStrongerInstance checks that a stronger instance gets the lease if
// it takes it, and that it stays with the weaker one if the stronger one is leaving.
func TestLeaseLeftToStrongerInstance(t *testing.T) {
	cases := []struct {
		name    string
		leaving bool
		runs    int
	}{
		{"takes it", false, 2},
		{"is leaving", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2)
			f.engines.scripts["x"] = []script{longRun}
			dialer := peer.NewDialer("")
			t.Cleanup(dialer.Close)
			strong := f.newDriver("b", "127.0.0.1:2")
			address := serveDriver(t, strong)
			f.start(f.newDriverAs("a", "127.0.0.1:1", membersOf(f, memberRow("b", address, 0.8)), driver.WithPeers(dialer)))
			f.submit("j", 1, "x")
			eventually(t, func() bool { return len(f.engines.runsOf("x")) > 0 })
			f.start(strong)
			if c.leaving {
				strong.Leave(time.Second)
			}
			assert.Equal(t, f.results("j", 1, 18*time.Second)["x"].State, batch.Done)
			assert.Equal(t, len(f.engines.runsOf("x")), c.runs)
		})
	}
}

// TestLastInstanceStops guards against a stop that hands the jobs over at once
// though there is no other instance: the run in progress goes on.
func TestLastInstanceStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2)
	f.engines.scripts["x"] = []script{{last: outputEvents, err: sesamepitch.ErrComplete, eventTime: 300 * time.Millisecond}}
	d := f.newDriverAs("a", "", membersOf(f))
	f.start(d)
	f.submit("j", 1, "x")
	eventually(t, func() bool { return len(f.engines.runsOf("x")) > 0 })
	d.Leave(6 * time.Second)
	assert.Equal(t, f.results("j", 1, 5*time.Second)["x"].Output, outputOf("x"))
	assert.DeepEqual(t, f.engines.runsOf("x"), []int64{0})
}
