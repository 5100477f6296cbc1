package centre

import (
	"context"
	"math/rand/v2"

	"sesamepitch/src/document"
	"sesamepitch/src/supervisor"
)

// runExchange makes a leader exchange configuration and notices with the
// leaders of other data centres: a few at random, or all while the table is
// unreachable.
func (n *Node) runExchange(ctx context.Context) error {
	for {
		if n.IsLeader() {
			for _, remote := range n.pickRemotes() {
				n.exchange(ctx, remote)
			}
		}
		select {
		case <-n.clock.After(n.settings.Beat):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) pickRemotes() []Remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead == nil {
		return nil
	}
	remotes := append([]Remote(nil), n.lead.remotes...)
	if n.clock.Now().Sub(n.syncedAt) > 2*n.settings.Beat+n.callTimeout() {
		return remotes
	}
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	return remotes[:min(len(remotes), exchangeFanOut)]
}

func (n *Node) exchange(ctx context.Context, remote Remote) {
	n.mu.Lock()
	state := n.exchanges[remote.Address]
	if state == nil {
		state = &exchangeState{}
		n.exchanges[remote.Address] = state
	}
	args := ExchangeArgs{Centre: n.settings.Centre, Config: n.holder.Current().Version(), Set: n.notices.ID(), Read: state.read}
	n.mu.Unlock()
	next := 0
	args.Notices, next = n.notices.Since(state.sent, state.read.Set)
	sent := n.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	var reply ExchangeReply
	if err := n.dialer.Call(callCtx, remote.Address, "Centre.Exchange", args, &reply); err != nil || !reply.Leading {
		return
	}
	n.notices.Add(reply.Read.Set, reply.Notices...)
	if !n.applyExchange(reply) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if state.read.Set != "" && state.read.Set != reply.Read.Set {
		next = 0
	}
	state.sent, state.read = next, reply.Read
	if reply.Age >= 0 {
		n.advanceSyncedAtLocked(sent.Add(-reply.Age))
	}
}

// exchangeState is how far two leaders have read each other's notices.
type exchangeState struct {
	sent int
	read NoticeState
}

func (n *Node) applyExchange(reply ExchangeReply) bool {
	current := n.holder.Current()
	if reply.Config <= current.Version() {
		return true
	}
	next, err := document.ApplyDeltas(current, reply.Deltas)
	if err != nil || next.Version() < reply.Config {
		if reply.Document == nil {
			return false
		}
		next = document.NewConfig(reply.Config, *reply.Document)
	}
	n.advance(next, reply.Deltas)
	supervisor.Wake(n.nudge)
	n.nudgeMembers()
	return true
}

// Exchange handles the call of another data centre's leader.
func (s *Service) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	n := s.node
	if !n.IsLeader() {
		return nil
	}
	reply.Leading = true
	n.notices.Add(args.Set, args.Notices...)
	reply.Notices, reply.Read = n.noticesFor(args.Read, args.Set)
	current := n.holder.Current()
	reply.Config = current.Version()
	if args.Config < reply.Config {
		reply.Deltas = n.deltasAfter(args.Config)
		if reply.Deltas == nil {
			reply.Document = n.currentDocument()
		}
	}
	synced, _ := n.Contact()
	reply.Age = -1
	if !synced.IsZero() {
		reply.Age = n.clock.Now().Sub(synced)
	}
	return nil
}
