// Package relay reaches the platform's store through other instances while it
// turns this one away or is cut off from it.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"

	"github.com/go-logr/logr"
)

const (
	// directRetry is the time between tries of the direct way while it fails.
	directRetry = 700 * time.Millisecond
	// peerTimeout bounds one call through a peer, beside the wait of a feed.
	peerTimeout = 800 * time.Millisecond
	// peersTried is how many peers one call asks at most.
	peersTried = 2
)

// Store is a sesamepitch.Store that goes the direct way while it works and
// through peers otherwise.
type Store struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	direct sesamepitch.Store
	caller sesamepitch.PeerCaller
	peers  func() []string

	mu       sync.Mutex
	contact  time.Time
	failedAt time.Time
	failing  bool
	next     int
}

// New returns a store; peers lists the addresses of other instances.
func New(clock sesamepitch.Clock, log logr.Logger, direct sesamepitch.Store, caller sesamepitch.PeerCaller, peers func() []string) *Store {
	return &Store{clock: clock, log: log, direct: direct, caller: caller, peers: peers}
}

// Get reads one row.
func (s *Store) Get(ctx context.Context, key string) (sesamepitch.Row, error) {
	reply, err := s.do(ctx, Call{Op: opGet, Key: key})
	return reply.Row, err
}

// List reads all rows whose key starts with prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]sesamepitch.Row, error) {
	reply, err := s.do(ctx, Call{Op: opList, Key: prefix})
	return reply.Changes.Rows, err
}

// Range reads at most limit rows of a part from a key.
func (s *Store) Range(ctx context.Context, from string, limit int) ([]sesamepitch.Row, error) {
	reply, err := s.do(ctx, Call{Op: opRange, Key: from, Limit: limit})
	return reply.Changes.Rows, err
}

// Commit applies a transaction.
func (s *Store) Commit(ctx context.Context, txn sesamepitch.Txn) (int64, error) {
	reply, err := s.do(ctx, Call{Op: opCommit, Txn: txn})
	return reply.Changes.Revision, err
}

// Snapshot reads all rows of a table.
func (s *Store) Snapshot(ctx context.Context, table string) (sesamepitch.Changes, error) {
	reply, err := s.do(ctx, Call{Op: opSnapshot, Key: table})
	return reply.Changes, err
}

// Changes reads the changes of a table after a revision.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) (sesamepitch.Changes, error) {
	reply, err := s.do(ctx, Call{Op: opChanges, Key: table, After: after, Wait: wait})
	return reply.Changes, err
}

// do goes the direct way if it works; a call that surely did nothing there is
// repeated through peers.
func (s *Store) do(ctx context.Context, call Call) (Reply, error) {
	var err error
	if s.tryDirect() {
		var reply Reply
		reply, err = perform(ctx, s.direct, call)
		if !s.turnedAway(ctx, err) {
			return reply, err
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
			return reply, err
		}
	}
	return s.throughPeers(ctx, call, err)
}

func (s *Store) tryDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failing {
		return true
	}
	if s.clock.Now().Sub(s.failedAt) < directRetry {
		return false
	}
	s.failedAt = s.clock.Now()
	return true
}

// turnedAway notes whether the direct way works and tells whether it failed.
func (s *Store) turnedAway(ctx context.Context, err error) bool {
	kind := sesamepitch.KindOf(err)
	failed := kind == sesamepitch.KindUnavailable || kind == sesamepitch.KindOverloaded || kind == sesamepitch.KindUnknown
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return true // says nothing of the store
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		s.contact = s.clock.Now()
	}
	if failed != s.failing {
		s.log.Info("direct way to the store", "works", !failed, "cause", causeOf(err))
	}
	s.failing = failed
	if failed {
		s.failedAt = s.clock.Now()
	}
	return failed
}

func causeOf(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}

// throughPeers asks peers in turn until one has reached the store.
func (s *Store) throughPeers(ctx context.Context, call Call, err error) (Reply, error) {
	peers := s.peers()
	for range min(peersTried, len(peers)) {
		address, index := s.choose(peers)
		reply, failure := s.ask(ctx, address, call)
		s.noteContact(failure)
		switch sesamepitch.KindOf(failure) {
		case sesamepitch.KindUnavailable, sesamepitch.KindOverloaded:
			s.skip(index)
			err = failure
			continue
		case sesamepitch.KindUnknown:
			s.skip(index)
			if call.Op == opCommit {
				return reply, failure
			}
			err = &Error{Op: "relay." + call.Op, Kind: sesamepitch.KindUnavailable, Err: failure}
			continue
		}
		return reply, failure
	}
	if err == nil {
		err = &Error{Op: "relay." + call.Op, Kind: sesamepitch.KindUnavailable}
	}
	return Reply{}, err
}

// noteContact notes that a peer has answered from the store.
func (s *Store) noteContact(err error) {
	switch sesamepitch.KindOf(err) {
	case sesamepitch.KindUnavailable, sesamepitch.KindOverloaded, sesamepitch.KindUnknown:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact = s.clock.Now()
}

// LastContact returns when the store last answered, directly or through a peer.
func (s *Store) LastContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact
}

// Ping tells whether the peer at an address answers within a time.
func (s *Store) Ping(ctx context.Context, address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var reply Reply
	return s.caller.Call(ctx, address, serviceName+".Do", Call{Op: opPing}, &reply) == nil
}

func (s *Store) choose(peers []string) (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peers[s.next%len(peers)], s.next
}

// skip turns to the next peer, unless another call has done so already.
func (s *Store) skip(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == index {
		s.next++
	}
}

func (s *Store) ask(ctx context.Context, address string, call Call) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+peerTimeout)
	defer cancel()
	var reply Reply
	if err := s.caller.Call(ctx, address, serviceName+".Do", call, &reply); err != nil {
		return reply, err
	}
	if reply.Kind != "" {
		return reply, &Error{Op: "relay." + call.Op + " by " + address, Kind: reply.Kind}
	}
	return reply, nil
}
