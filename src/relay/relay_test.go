package relay_test

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/peer"
	"sesamepitch/src/relay"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// view is the store as one instance sees it; it can reject all calls.
type view struct {
	*standin.Memory
	rejects bool
}

func (v *view) rejected() error {
	if v.rejects {
		return &relay.Error{Op: "view", Kind: sesamepitch.KindUnavailable}
	}
	return nil
}

func (v *view) Get(ctx context.Context, key string) (sesamepitch.Row, error) {
	if err := v.rejected(); err != nil {
		return sesamepitch.Row{}, err
	}
	return v.Memory.Get(ctx, key)
}

func (v *view) Commit(ctx context.Context, txn sesamepitch.Txn) (int64, error) {
	if err := v.rejected(); err != nil {
		return 0, err
	}
	return v.Memory.Commit(ctx, txn)
}

func (v *view) Changes(ctx context.Context, table string, after int64, wait time.Duration) (sesamepitch.Changes, error) {
	if err := v.rejected(); err != nil {
		return sesamepitch.Changes{}, err
	}
	return v.Memory.Changes(ctx, table, after, wait)
}

// serve starts a peer that relays calls to direct, and returns its address.
func serve(t *testing.T, direct sesamepitch.Store) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.NewServer()
	assert.NilError(t, relay.Register(server, relay.New(sesamepitch.SystemClock{}, logr.Discard(), direct, nil, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- peer.NewDialer("").Serve(ctx, listener, server) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return listener.Addr().String()
}

// TestThroughPeers reads, follows changes and writes while the store rejects this
// instance's calls, through the only peer that can still reach it.
func TestThroughPeers(t *testing.T) {
	ctx := context.Background()
	memory := standin.NewMemory()
	local := &view{Memory: memory, rejects: true}
	rejected := serve(t, &view{Memory: memory, rejects: true})
	served := serve(t, &view{Memory: memory})
	dialer := peer.NewDialer("")
	defer dialer.Close()
	store := relay.New(sesamepitch.SystemClock{}, logr.Discard(), local, dialer, func() []string { return []string{"127.0.0.1:1", rejected, served} })
	commit := func(check int64) (int64, error) {
		return store.Commit(ctx, sesamepitch.Txn{
			Checks: []sesamepitch.Check{{Key: "t//a", Version: check}},
			Writes: []sesamepitch.Write{{Key: "t//a", Value: []byte("x")}},
		})
	}
	var err error
	for range 3 { // each call tries at most two peers and skips those that failed before
		if _, err = commit(0); err == nil {
			break
		}
		assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable)
	}
	assert.NilError(t, err)
	_, err = commit(0)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindConflict)
	row, err := store.Get(ctx, "t//a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "x")
	changes, err := store.Changes(ctx, "t", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(changes.Rows), 1)
	assert.Assert(t, time.Since(store.LastContact()) < time.Second)

	local.rejects = false
	time.Sleep(800 * time.Millisecond)
	_, err = store.Get(ctx, "t//a")
	assert.NilError(t, err)
}

// TestUnknownStaysUnknown loses the answer of a direct commit: the commit must not be
// sent again through a peer, since it may have been carried out.
func TestUnknownStaysUnknown(t *testing.T) {
	memory := standin.NewMemory()
	memory.SetFault(func(op, key string) standin.Outcome {
		if op == "commit" && strings.HasPrefix(key, "t/") {
			return standin.ReplyLost
		}
		return standin.Served
	})
	dialer := peer.NewDialer("")
	defer dialer.Close()
	served := serve(t, &view{Memory: memory})
	store := relay.New(sesamepitch.SystemClock{}, logr.Discard(), memory, dialer, func() []string { return []string{served} })
	_, err := store.Commit(context.Background(), sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: "t//a"}}})
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnknown)
	assert.Equal(t, memory.Commits(), 1)
}

func TestPing(t *testing.T) {
	dialer := peer.NewDialer("")
	defer dialer.Close()
	memory := standin.NewMemory()
	store := relay.New(sesamepitch.SystemClock{}, logr.Discard(), memory, dialer, func() []string { return nil })
	assert.Assert(t, store.Ping(context.Background(), serve(t, memory), time.Second))
	assert.Assert(t, !store.Ping(context.Background(), "127.0.0.1:1", 200*time.Millisecond))
}

// unresponsive is a store that never answers reads.
type unresponsive struct{ *standin.Memory }

func (unresponsive) Get(ctx context.Context, _ string) (sesamepitch.Row, error) {
	<-ctx.Done()
	return sesamepitch.Row{}, &relay.Error{Op: "silent", Kind: sesamepitch.KindUnavailable, Err: ctx.Err()}
}

// TestUnresponsiveStore reads from a store that does not answer this instance: after
// a call has timed out, the next one goes through a peer. A call cancelled by its
// caller must not count as a failure of the store.
func TestUnresponsiveStore(t *testing.T) {
	memory := standin.NewMemory()
	_, err := memory.Commit(context.Background(), sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: "t//a", Value: []byte("x")}}})
	assert.NilError(t, err)
	dialer := peer.NewDialer("")
	defer dialer.Close()
	served := serve(t, memory)
	store := relay.New(sesamepitch.SystemClock{}, logr.Discard(), unresponsive{memory}, dialer, func() []string { return []string{served} })
	get := func(ctx context.Context) error {
		_, err := store.Get(ctx, "t//a")
		return err
	}
	cancelled, cancelCall := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancelCall)
	assert.Assert(t, get(cancelled) != nil)
	for _, answered := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		assert.Equal(t, get(ctx) == nil, answered)
		cancel()
	}
}

// TestNoWriteProbesTheStore writes while direct access fails: the writes go through
// a peer at once, since one that got no answer would have an unknown outcome.
func TestNoWriteProbesTheStore(t *testing.T) {
	memory := standin.NewMemory()
	dialer := peer.NewDialer("")
	defer dialer.Close()
	served := serve(t, memory)
	local := &view{Memory: standin.NewMemory(), rejects: true}
	store := relay.New(sesamepitch.SystemClock{}, logr.Discard(), local, dialer, func() []string { return []string{served} })
	_, err := store.Get(context.Background(), "t//a")
	assert.NilError(t, err)
	time.Sleep(800 * time.Millisecond) // a read would try the direct way now
	local.rejects = false
	_, err = store.Commit(context.Background(), sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: "t//a"}}})
	assert.NilError(t, err)
	assert.Equal(t, memory.Commits(), 1)
	assert.Equal(t, local.Commits(), 0)
}

// panicking is a store whose reads panic.
type panicking struct{ *standin.Memory }

func (panicking) Get(context.Context, string) (sesamepitch.Row, error) { panic("malformed") }

// TestPanickingCall lets the call of a peer, and a call of this instance, panic: it
// fails, and the next calls are served.
func TestPanickingCall(t *testing.T) {
	dialer := peer.NewDialer("")
	defer dialer.Close()
	memory := standin.NewMemory()
	served := serve(t, panicking{memory})
	store := relay.New(sesamepitch.SystemClock{}, logr.Discard(), &view{Memory: memory, rejects: true}, dialer, func() []string { return []string{served} })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := store.Get(ctx, "t//a")
	assert.Assert(t, err != nil)
	_, err = store.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: "t//a"}}})
	assert.NilError(t, err)
	own := relay.New(sesamepitch.SystemClock{}, logr.Discard(), panicking{memory}, dialer, func() []string { return nil })
	_, err = own.Get(ctx, "t//a")
	assert.Assert(t, err != nil)
	_, err = own.List(ctx, "t//")
	assert.NilError(t, err)
}
