// Package relay accesses the platform's store through other instances while the
// store rejects this instance's calls or cannot be reached from it.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	// directRetryInterval is the time between direct attempts while they fail.
	directRetryInterval = 700 * time.Millisecond
	// peerTimeout is the timeout of a call through a peer; a call of Changes has its
	// wait time in addition.
	peerTimeout = 800 * time.Millisecond
	// maxPeersTried is the maximum number of peers that one call is sent to.
	maxPeersTried = 3
)

// Store is a sesamepitch.Store that calls the direct store while that works, and
// goes through peers otherwise.
type Store struct {
	clock  sesamepitch.Clock
	log    logr.Logger
	direct sesamepitch.Store
	caller sesamepitch.PeerCaller
	peers  func() []string

	mu            sync.Mutex
	lastContact   time.Time
	lastAttempt   time.Time // of a direct call, while directFailing
	directFailing bool
	ranking       *ranking
}

// New returns a store; peers returns the addresses of other instances.
func New(clock sesamepitch.Clock, log logr.Logger, direct sesamepitch.Store, caller sesamepitch.PeerCaller, peers func() []string) *Store {
	return &Store{clock: clock, log: log, direct: direct, caller: caller, peers: peers, ranking: newRanking()}
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

// Range reads at most limit rows of a partition, starting at a key.
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

// do calls the direct store if it works. A call that definitely had no effect there
// is repeated through peers.
func (s *Store) do(ctx context.Context, call Call) (Reply, error) {
	reply, err := s.doDirect(ctx, call)
	if !isUnreached(err) || sesamepitch.KindOf(err) == sesamepitch.KindUnknown {
		return reply, err
	}
	return s.viaPeers(ctx, call, err)
}

var errDirectFails = errors.New("direct access to the store fails at present")

// doDirect calls the direct store. While that fails, most calls are refused at once.
func (s *Store) doDirect(ctx context.Context, call Call) (Reply, error) {
	if !s.directAllowed(call) {
		return Reply{}, &Error{Op: "relay." + call.Op, Kind: sesamepitch.KindUnavailable, Err: errDirectFails}
	}
	var reply Reply
	err := supervisor.Guard(func() (err error) {
		reply, err = perform(ctx, s.direct, call)
		return err
	})
	s.recordDirect(ctx, err)
	return reply, err
}

// directAllowed reports whether to call the direct store. While it fails, one read is
// allowed per directRetryInterval; a write would have an unknown outcome.
func (s *Store) directAllowed(call Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directFailing {
		return true
	}
	if call.Op == opCommit || s.clock.Now().Sub(s.lastAttempt) < directRetryInterval {
		return false
	}
	s.lastAttempt = s.clock.Now()
	return true
}

// recordDirect records whether the direct store works, given the error of a call.
func (s *Store) recordDirect(ctx context.Context, err error) {
	failed := isUnreached(err)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return // a cancelled call does not show whether the store works
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		s.lastContact = s.clock.Now()
	}
	if failed != s.directFailing {
		s.log.Info("direct access to the store changed", "works", !failed, "cause", causeOf(err))
	}
	s.directFailing = failed
	if failed {
		s.lastAttempt = s.clock.Now()
	}
}

// isUnreached reports whether an error means that the store was not reached, or may
// not have been.
func isUnreached(err error) bool {
	switch sesamepitch.KindOf(err) {
	case sesamepitch.KindUnavailable, sesamepitch.KindOverloaded, sesamepitch.KindUnknown:
		return true
	}
	return false
}

func causeOf(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}

// viaPeers sends a call to one peer after another until one has reached the store. If
// none has, it returns the last error; err is the one of the direct call.
func (s *Store) viaPeers(ctx context.Context, call Call, err error) (Reply, error) {
	peers := s.peers()
	tried := map[string]bool{}
	for range maxPeersTried {
		address, found := s.choosePeer(peers, tried)
		if !found || ctx.Err() != nil {
			break
		}
		tried[address] = true
		reply, failure := s.callPeer(ctx, address, call)
		s.recordPeer(ctx, address, failure)
		switch sesamepitch.KindOf(failure) {
		case sesamepitch.KindUnavailable, sesamepitch.KindOverloaded:
			err = failure
			continue
		case sesamepitch.KindUnknown:
			// A commit may have been applied, so it is not repeated.
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

// recordPeer records whether the store answered through a peer. A call that was
// cancelled says nothing of it.
func (s *Store) recordPeer(ctx context.Context, address string, err error) {
	failed := isUnreached(err)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.ranking.record(address, !failed, now)
	if !failed {
		s.lastContact = now
	}
}

// LastContact returns when the store last answered, directly or through a peer.
func (s *Store) LastContact() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact
}

// Ping reports whether the peer at an address answers within the timeout.
func (s *Store) Ping(ctx context.Context, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	return s.caller.Call(ctx, address, serviceName+".Do", Call{Op: opPing}, &reply) == nil
}

func (s *Store) choosePeer(peers []string, tried map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranking.choose(peers, tried)
}

func (s *Store) callPeer(ctx context.Context, address string, call Call) (Reply, error) {
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
