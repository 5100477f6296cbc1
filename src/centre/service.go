package centre

import (
	"context"

	"sesamepitch/src/document"
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
		n.takeDocument(args.Member.Address)
	}
	if args.Age < 0 || args.Config > n.holder.Current().Version() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshenLocked(n.clock.Now().Add(-args.Age - n.callTime()))
}

// takeDocument takes the document over from a member that has a newer one, as
// after the leader's own restart while the table is out of reach.
func (n *Node) takeDocument(address string) {
	calling, cancel := context.WithTimeout(context.Background(), n.callTime())
	defer cancel()
	var whole DocumentReply
	if err := n.dialer.Call(calling, address, "Centre.Document", DocumentArgs{}, &whole); err != nil {
		return
	}
	n.advance(document.NewConfig(whole.Version, whole.Document), nil)
}

// Document answers with the whole document.
func (s *Service) Document(_ DocumentArgs, reply *DocumentReply) error {
	current := s.node.holder.Current()
	reply.Version, reply.Document = current.Version(), current.Document()
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
	wake(s.node.nudge)
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
