package centre

import (
	"context"

	"sesamepitch/src/document"
	"sesamepitch/src/supervisor"
)

// Service exposes the node's net/rpc methods.
type Service struct{ node *Node }

// Beat handles a member's heartbeat.
func (s *Service) Beat(args BeatArgs, reply *BeatReply) error {
	n := s.node
	if !n.receiveHeartbeat(args, reply) {
		return nil
	}
	reply.Accepted = true
	n.notices.Add(args.Set, args.Notices...)
	n.updateFrom(args)
	reply.Notices, reply.Read = n.noticesFor(args.Read, args.Set)
	reply.Config = n.holder.Current().Version()
	if args.Config < reply.Config {
		reply.Deltas = n.deltasAfter(args.Config)
	}
	return nil
}

// updateFrom updates this leader from a member that is ahead of it, for example
// after the leader restarted while the table was unreachable.
func (n *Node) updateFrom(args BeatArgs) {
	if args.Config > n.holder.Current().Version() {
		_ = n.fetchDocument(context.Background(), args.Member.Address)
	}
	if args.Age < 0 || args.Config > n.holder.Current().Version() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advanceSyncedAtLocked(n.clock.Now().Add(-args.Age - n.callTimeout()))
}

// fetchDocument fetches a newer document from another daemon: the deltas if
// they lead to its version, otherwise the full document.
func (n *Node) fetchDocument(ctx context.Context, address string) error {
	current := n.holder.Current()
	reply, err := n.requestDocument(ctx, address, current.Version())
	if err != nil {
		return err
	}
	if reply.Document == nil {
		next, err := document.ApplyDeltas(current, reply.Deltas)
		if err == nil && next.Version() >= reply.Version {
			n.advance(next, reply.Deltas)
			return nil
		}
		if reply, err = n.requestDocument(ctx, address, 0); err != nil {
			return err
		}
	}
	if reply.Document != nil {
		n.advance(document.NewConfig(reply.Version, *reply.Document), nil)
	}
	return nil
}

func (n *Node) requestDocument(ctx context.Context, address string, from int64) (DocumentReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	var reply DocumentReply
	err := n.dialer.Call(callCtx, address, "Centre.Document", DocumentArgs{From: from}, &reply)
	return reply, err
}

// Document returns the deltas after a version, or the full document.
func (s *Service) Document(args DocumentArgs, reply *DocumentReply) error {
	reply.Version = s.node.holder.Current().Version()
	if args.From > 0 {
		reply.Deltas = s.node.deltasAfter(args.From)
	}
	if len(reply.Deltas) == 0 {
		reply.Document = s.node.currentDocument()
	}
	return nil
}

// Cells returns a pool's cells.
func (s *Service) Cells(args CellsArgs, reply *CellsReply) error {
	view := s.node.View()
	if view == nil {
		return nil
	}
	for _, cell := range view.Cells {
		if cell.ID.Pool == args.Pool {
			reply.Cells = append(reply.Cells, cell)
		}
	}
	return nil
}

// Nudge makes this daemon send its heartbeat immediately.
func (s *Service) Nudge(NudgeArgs, *NudgeReply) error {
	supervisor.Wake(s.node.nudge)
	return nil
}

// Ping returns the member that runs at this address.
func (s *Service) Ping(_ PingArgs, reply *PingReply) error {
	reply.Member = s.node.settings.Self
	return nil
}

// currentDocument returns the full document in force.
func (n *Node) currentDocument() *document.Document {
	d := n.holder.Current().Document()
	return &d
}
