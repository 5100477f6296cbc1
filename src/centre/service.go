package centre

import (
	"context"

	"sesamepitch/src/document"
	"sesamepitch/src/supervisor"
)

// Service is the node's net/rpc face.
type Service struct{ node *Node }

// Beat answers a member's heartbeat.
func (s *Service) Beat(args BeatArgs, reply *BeatReply) error {
	n := s.node
	if !n.hear(args, reply) {
		return nil
	}
	reply.Accepted = true
	n.notices.Add(args.Set, args.Notices...)
	n.learnFrom(args)
	reply.Notices, reply.Read = n.noticesFor(args.Read, args.Set)
	reply.Config = n.holder.Current().Version()
	if args.Config < reply.Config {
		reply.Deltas = n.deltasAfter(args.Config)
	}
	return nil
}

// learnFrom takes over what a member knows and this leader does not, as after
// the leader's own restart while the table is out of reach.
func (n *Node) learnFrom(args BeatArgs) {
	if args.Config > n.holder.Current().Version() {
		_ = n.takeDocument(context.Background(), args.Member.Address)
	}
	if args.Age < 0 || args.Config > n.holder.Current().Version() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshenLocked(n.clock.Now().Add(-args.Age - n.callTime()))
}

// takeDocument takes a newer document over from another daemon: the deltas to it
// if they lead there, else the whole.
func (n *Node) takeDocument(ctx context.Context, address string) error {
	current := n.holder.Current()
	reply, err := n.askDocument(ctx, address, current.Version())
	if err != nil {
		return err
	}
	if reply.Document == nil {
		next, err := document.ApplyDeltas(current, reply.Deltas)
		if err == nil && next.Version() >= reply.Version {
			n.advance(next, reply.Deltas)
			return nil
		}
		if reply, err = n.askDocument(ctx, address, 0); err != nil {
			return err
		}
	}
	if reply.Document != nil {
		n.advance(document.NewConfig(reply.Version, *reply.Document), nil)
	}
	return nil
}

func (n *Node) askDocument(ctx context.Context, address string, from int64) (DocumentReply, error) {
	calling, cancel := context.WithTimeout(ctx, n.callTime())
	defer cancel()
	var reply DocumentReply
	err := n.dialer.Call(calling, address, "Centre.Document", DocumentArgs{From: from}, &reply)
	return reply, err
}

// Document answers with the deltas after a version, or with the whole document.
func (s *Service) Document(args DocumentArgs, reply *DocumentReply) error {
	reply.Version = s.node.holder.Current().Version()
	if args.From > 0 {
		reply.Deltas = s.node.deltasAfter(args.From)
	}
	if len(reply.Deltas) == 0 {
		reply.Document = s.node.wholeDocument()
	}
	return nil
}

// Cells answers with a pool's cells.
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

// Nudge makes this daemon send its heartbeat now.
func (s *Service) Nudge(NudgeArgs, *NudgeReply) error {
	supervisor.Wake(s.node.nudge)
	return nil
}

// Ping says who answers here.
func (s *Service) Ping(_ PingArgs, reply *PingReply) error {
	reply.Member = s.node.settings.Self
	return nil
}

// document whole for other data centres' leaders.
func (n *Node) wholeDocument() *document.Document {
	d := n.holder.Current().Document()
	return &d
}
