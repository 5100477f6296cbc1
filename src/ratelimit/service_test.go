package ratelimit

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/peer"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// newPeers returns the gates of a granter and of an instance that asks it by
// net/rpc.
func newPeers(t testing.TB) (granter, asker *Gate) {
	t.Helper()
	clock := sesamepitch.SystemClock{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	dialer := peer.NewDialer("")
	newGate := func(name string, rank int) *Gate {
		return New(clock, logr.Discard(), NewStatements(clock, logr.Discard()), &fakeLease{holder: address, instance: name, epoch: 1}, place{rank: rank, count: 2}, dialer)
	}
	granter, asker = newGate(address, 0), newGate("asker", 1)
	server := rpc.NewServer()
	assert.NilError(t, Register(server, granter))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- dialer.Serve(ctx, listener, server) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		dialer.Close()
	})
	return granter, asker
}

// TestAskOverNetwork asks a granter in another process's place: grants, waits and
// refusals arrive, and what the asker knows reaches the granter.
func TestAskOverNetwork(t *testing.T) {
	granter, asker := newPeers(t)
	now := time.Now()
	asker.Answered(limitedEndpoint, now, sesamepitch.Statement{Limit: named(5)})
	_, admitted := asker.Take(context.Background(), limitedEndpoint, 0)
	assert.Assert(t, admitted)
	assert.Equal(t, granter.Interval(limitedEndpoint), 200*time.Millisecond, "the granter knows from the question")
	retryIn, admitted := asker.Take(context.Background(), limitedEndpoint, 0)
	assert.Assert(t, !admitted && retryIn > 100*time.Millisecond && retryIn <= 200*time.Millisecond, "%s", retryIn)
	began := time.Now()
	_, admitted = asker.Take(context.Background(), limitedEndpoint, time.Second)
	waited := time.Since(began)
	assert.Assert(t, admitted && waited > 100*time.Millisecond && waited < 400*time.Millisecond, "after %s", waited)
	asker.Answered(limitedEndpoint, time.Now().Add(time.Second), sesamepitch.Statement{Limit: sesamepitch.StatedLimit{}})
	asker.tell(context.Background(), <-asker.news)
	asker.tell(context.Background(), <-asker.news)
	assert.Equal(t, granter.Interval(limitedEndpoint), time.Duration(0))
}

// TestMalformedQuestions sends questions that no instance would: none is granted,
// and none changes what the granter knows.
func TestMalformedQuestions(t *testing.T) {
	cases := []struct {
		name     string
		question Question
	}{
		{"empty", Question{}},
		{"negative rate", Question{Statement: Statement{ID: "e"}, PerSecond: -1}},
		{"rate of another order", Question{Statement: Statement{ID: "e", PerSecond: 1e300, At: 1}, PerSecond: 1e300}},
		{"negative limit", Question{Statement: Statement{ID: "e", PerSecond: -3, At: 1}, PerSecond: 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			granter := newCluster("a").gates["a"]
			assert.Assert(t, !granter.answer(c.question).Granted)
			assert.Equal(t, granter.Limited(), 0)
		})
	}
}

// BenchmarkAsk measures a question to the granter, both ends and the connection.
func BenchmarkAsk(b *testing.B) {
	_, asker := newPeers(b)
	var endpoints []sesamepitch.Destination
	for i := range 64 {
		to := sesamepitch.Destination{ID: fmt.Sprint("e", i)}
		endpoints = append(endpoints, to)
		asker.Answered(to, time.Now(), sesamepitch.Statement{Limit: named(9000)})
	}
	for i := 0; b.Loop(); i++ {
		asker.Take(context.Background(), endpoints[i%len(endpoints)], time.Second)
	}
}

// BenchmarkUnlimited measures the admission of a request to an endpoint without a
// limit.
func BenchmarkUnlimited(b *testing.B) {
	gate := newCluster("a").gates["a"]
	for b.Loop() {
		gate.Take(context.Background(), limitedEndpoint, time.Second)
		_ = gate.Admit(context.Background(), limitedEndpoint, sesamepitch.PurposeRequest)
	}
}
