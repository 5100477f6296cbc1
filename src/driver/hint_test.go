package driver_test

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/driver"
	"sesamepitch/src/peer"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// unreachablePeers fails each call as unavailable.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return failure{sesamepitch.KindUnavailable, nil}
}

// TestHint disables the change feed: jobs are taken over and ended by hints
// alone, and a late hint does not restart an ended job.
func TestHint(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	f.disableFeed()
	d := f.newDriver("a", "")
	hinter := driver.NewHinter(sesamepitch.SystemClock{}, logr.Discard(), d, unreachablePeers{})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 2)
	go func() { stopped <- d.Run(ctx) }()
	go func() { stopped <- hinter.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-stopped
		<-stopped
	})
	f.submit("j", 1, "x")
	f.engines.scripts["z"] = []script{{last: 100, eventTime: 100 * time.Millisecond}}
	f.submit("endless", 1, "z")
	notify := func(id string, ended bool) {
		header, err := f.ledger.Header(ctx, id)
		assert.NilError(t, err)
		header.Ended = ended
		hinter.Notify(header)
	}
	// Hints are ignored until the driver holds its lease.
	eventually(t, func() bool {
		notify("j", false)
		notify("endless", false)
		return len(f.engines.runsOf("z")) > 0
	})
	assert.Equal(t, f.results("j", 1, 3*time.Second)["x"].Output, outputOf("x"))
	notify("endless", true)
	notify("endless", false)
	time.Sleep(time.Second)
	assert.Equal(t, len(f.engines.runsOf("z")), 1)
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	assert.Equal(t, f.engines.running["e0"], 0, "the ended job's run has ended")
}

// TestHintFromPeer accepts a job at an instance without the lease: the hint
// reaches the driver by net/rpc, without the change feed.
func TestHintFromPeer(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	f.disableFeed()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	drives, accepts := f.newDriver("a", listener.Addr().String()), f.newDriver("b", "")
	server := rpc.NewServer()
	assert.NilError(t, driver.Register(server, drives))
	peers := peer.NewDialer("")
	hinter := driver.NewHinter(sesamepitch.SystemClock{}, logr.Discard(), accepts, peers)
	ctx, cancel := context.WithCancel(context.Background())
	tasks := []func(context.Context) error{
		func(ctx context.Context) error { return peers.Serve(ctx, listener, server) }, hinter.Run, drives.Run,
	}
	ended := make(chan error, len(tasks)+1)
	for _, task := range tasks {
		go func() { ended <- task(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range len(tasks) + 1 {
			<-ended
		}
	})
	eventually(t, func() bool {
		row, err := f.store.Get(ctx, driver.LeaseKey)
		return err == nil && row.Version > 0
	})
	go func() { ended <- accepts.Run(ctx) }()
	f.submit("j", 1, "x")
	header, err := f.ledger.Header(ctx, "j")
	assert.NilError(t, err)
	eventually(t, func() bool {
		hinter.Notify(header)
		return len(f.engines.runsOf("x")) > 0
	})
	assert.Equal(t, f.results("j", 1, 3*time.Second)["x"].Output, outputOf("x"))
}
