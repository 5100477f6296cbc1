package relay

import (
	"context"
	"net/rpc"
	"time"

	sesamepitch "sesamepitch/src"
)

const serviceName = "Relay"

// maxWait bounds the wait that a peer may ask for.
const maxWait = 30 * time.Second

// The operations of a Call.
const (
	opGet      = "get"
	opList     = "list"
	opRange    = "range"
	opCommit   = "commit"
	opSnapshot = "snapshot"
	opChanges  = "changes"
	opPing     = "ping"
)

// Call is a call of the store as sent to a peer. Key is a key, a prefix or a table,
// depending on the operation.
type Call struct {
	Op    string
	Key   string
	Limit int
	Txn   sesamepitch.Txn
	After int64
	Wait  time.Duration
}

// Reply is the outcome of a Call; Kind is empty if it succeeded.
type Reply struct {
	Kind    sesamepitch.Kind
	Row     sesamepitch.Row
	Changes sesamepitch.Changes
}

// Service performs peers' calls on this instance's direct store.
type Service struct {
	store *Store
}

// Register adds the service to an RPC server.
func Register(server *rpc.Server, store *Store) error {
	return server.RegisterName(serviceName, &Service{store: store})
}

// Do performs one call. Its error is always nil; a failure is returned as the
// reply's Kind.
func (s *Service) Do(call Call, reply *Reply) error {
	if call.Op == opPing {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(call.Wait, maxWait)+peerTimeout)
	defer cancel()
	outcome, err := s.store.doDirect(ctx, call)
	*reply = outcome
	reply.Kind = sesamepitch.KindOf(err)
	return nil
}

func perform(ctx context.Context, store sesamepitch.Store, call Call) (Reply, error) {
	var reply Reply
	var err error
	switch call.Op {
	case opGet:
		reply.Row, err = store.Get(ctx, call.Key)
	case opList:
		reply.Changes.Rows, err = store.List(ctx, call.Key)
	case opRange:
		reply.Changes.Rows, err = store.Range(ctx, call.Key, call.Limit)
	case opCommit:
		reply.Changes.Revision, err = store.Commit(ctx, call.Txn)
	case opSnapshot:
		reply.Changes, err = store.Snapshot(ctx, call.Key)
	case opChanges:
		reply.Changes, err = store.Changes(ctx, call.Key, call.After, call.Wait)
	default:
		err = &Error{Op: "relay." + call.Op, Kind: sesamepitch.KindInvalid}
	}
	return reply, err
}
