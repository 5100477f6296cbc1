package centre

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/lease"
	"sesamepitch/src/notice"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/supervisor"
)

const (
	remotesInterval = 5 * time.Second
	statusInterval  = 10 * time.Second
	// nudgeDelay lets one round of nudges cover several changes.
	nudgeDelay     = 20 * time.Millisecond
	exchangeFanOut = 3
)

// runSync synchronises a leader with the platform: lease, notices,
// configuration, live list and status.
func (n *Node) runSync(ctx context.Context) error {
	var state syncState
	for {
		if n.IsLeader() {
			n.sync(ctx, &state)
		}
		select {
		case <-n.clock.After(n.settings.Beat):
		case <-n.syncNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// syncState is what a leader last wrote to or read from the table.
type syncState struct {
	remotesAt time.Time
	status    Status
	statusAt  time.Time
}

func (n *Node) sync(ctx context.Context, state *syncState) {
	if err := n.lease.Step(ctx); err == nil {
		n.checkLeadership()
	}
	if err := n.catchUp(ctx); err != nil {
		n.log.Info("platform unreachable", "centre", n.settings.Centre, "kind", sesamepitch.KindOf(err), "cause", err.Error())
		return
	}
	n.syncedBatches.Store(n.noticeLog.Batches())
	n.pullLists(ctx, state)
	n.writeStatus(ctx, state)
}

// checkLeadership updates the role from the lease's row: an acting leader that
// holds the lease becomes an elected one, and a leader whose row names a newer
// leader steps down.
func (n *Node) checkLeadership() {
	epoch, _, held := n.lease.Held()
	record := n.lease.Record()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == follower {
		return
	}
	if held {
		if n.role == actingLeader || n.epoch.Table != epoch {
			n.role = elected
			n.epoch = Epoch{Table: epoch}
			n.lead.epoch = n.epoch
			supervisor.Wake(n.nudge)
		}
		return
	}
	if record.Holder != "" && record.Address != n.settings.Self.Address && record.Epoch > n.epoch.Table {
		n.log.Info("leader stepped down", "reason", "lease taken", "holder", record.Holder)
		n.stepDownLocked()
		supervisor.Wake(n.nudge)
	}
}

// pullAll reads all changes from the table. It also publishes notices.
func (n *Node) pullAll(ctx context.Context) error {
	if err := n.noticeLog.Sync(ctx); err != nil {
		return err
	}
	return n.followConfig(ctx)
}

// followConfig puts the table's configuration in force, by its deltas if
// possible.
func (n *Node) followConfig(ctx context.Context) error {
	deltas, next, err := n.store.ReadSince(ctx, n.holder.Current())
	if err != nil {
		return err
	}
	if next.Version() > n.holder.Current().Version() {
		n.advance(next, deltas)
		supervisor.Wake(n.nudge)
		n.nudgeMembers()
	}
	return nil
}

// pullLists reads the live list and, every remotesInterval, the other data
// centres' leaders.
func (n *Node) pullLists(ctx context.Context, state *syncState) {
	live, err := n.platform.Live(ctx)
	if err != nil {
		return
	}
	var leaving []string
	liveStates := map[string]string{}
	for _, liveness := range live {
		if liveness.Centre != n.settings.Centre {
			continue
		}
		liveStates[liveness.Name] = liveness.State
		if liveness.State == sesamepitch.StateLeaving {
			leaving = append(leaving, liveness.Name)
		}
	}
	remotes := n.readRemotes(ctx, state)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.liveStates = liveStates
	if n.lead == nil {
		return
	}
	changed := strings.Join(leaving, " ") != strings.Join(n.lead.leaving, " ")
	n.lead.leaving = leaving
	if remotes != nil {
		n.lead.remotes = remotes
	}
	if changed {
		supervisor.Wake(n.nudge)
	}
}

// Listed returns the state of each endpoint in the platform's live list as this
// leader last read it, or nil before the first read.
func (n *Node) Listed() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.liveStates
}

func (n *Node) readRemotes(ctx context.Context, state *syncState) []Remote {
	now := n.clock.Now()
	if now.Sub(state.remotesAt) < remotesInterval {
		return nil
	}
	rows, err := n.platform.List(ctx, leaderKeyPrefix)
	if err != nil {
		return nil
	}
	state.remotesAt = now
	return n.decodeRemotes(rows)
}

func (n *Node) decodeRemotes(rows []sesamepitch.Row) []Remote {
	remotes := []Remote{}
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, leaderKeyPrefix)
		address, ok := recordAddress(row)
		if ok && name != n.settings.Centre {
			remotes = append(remotes, Remote{Centre: name, Address: address})
		}
	}
	sort.Slice(remotes, func(i, j int) bool { return remotes[i].Centre < remotes[j].Centre })
	return remotes
}

// nudgeMembers asks every member to send its heartbeat immediately.
func (n *Node) nudgeMembers() { supervisor.Wake(n.nudgeAll) }

// runNudges nudges a leader's members nudgeDelay after notices or the view have
// changed.
func (n *Node) runNudges(ctx context.Context) error {
	watch := n.notices.Watch()
	for {
		select {
		case <-watch:
			supervisor.Wake(n.syncNow)
			supervisor.Wake(n.nudge)
		case <-n.nudgeAll:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-n.clock.After(nudgeDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
		n.sendNudges(ctx)
	}
}

func (n *Node) sendNudges(ctx context.Context) {
	n.mu.Lock()
	var addresses []string
	if n.lead != nil {
		for _, member := range n.liveMembers() {
			if member.ID != n.settings.Self.ID {
				addresses = append(addresses, member.Address)
			}
		}
	}
	n.mu.Unlock()
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			defer func() { done <- struct{}{} }()
			callCtx, cancel := context.WithTimeout(ctx, n.callTimeout())
			defer cancel()
			_ = n.dialer.Call(callCtx, address, "Centre.Nudge", NudgeArgs{}, &NudgeReply{})
		}()
	}
	for range addresses {
		<-done
	}
}

// noticesFor returns the notices that a peer has not read yet, without those
// that came from the peer's own set.
func (n *Node) noticesFor(read NoticeState, set string) ([]notice.Notice, NoticeState) {
	index := 0
	if read.Set == n.notices.ID() {
		index = read.Index
	}
	notices, next := n.notices.Since(index, set)
	return notices, NoticeState{Set: n.notices.ID(), Index: next}
}

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

func recordAddress(row sesamepitch.Row) (string, bool) {
	var record lease.Record
	err := json.Unmarshal(row.Value, &record)
	return record.Address, err == nil && record.Address != ""
}

// MemberStatus is the state of one daemon.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Config  int64  `json:"config"`
	// Batches counts the batches of the notice log that the daemon holds.
	Batches int64 `json:"batches"`
}

// Status is a data centre's row in the table, written by its leader.
type Status struct {
	Centre  string         `json:"centre"`
	Leader  string         `json:"leader"`
	Epoch   int64          `json:"epoch"`
	Members []MemberStatus `json:"members"`
	At      time.Time      `json:"at"`
}

// StatusPrefix is the key prefix of the data centres' status rows.
const StatusPrefix = "status/"

func (n *Node) writeStatus(ctx context.Context, state *syncState) {
	status, leading := n.Status()
	if !leading {
		return
	}
	now := n.clock.Now()
	if sameStatus(status, state.status) && now.Sub(state.statusAt) < statusInterval {
		return
	}
	_, err := n.platform.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: StatusPrefix + n.settings.Centre, Value: rowstore.Encode(status)}}})
	if err == nil {
		state.status, state.statusAt = status, now
	}
}

func sameStatus(a, b Status) bool {
	if a.Leader != b.Leader || a.Epoch != b.Epoch || len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

// Status returns the data centre's state. On a follower, leading is false and
// the status has only the follower itself.
func (n *Node) Status() (status Status, leading bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	status = Status{Centre: n.settings.Centre, Leader: n.leader.ID, Epoch: n.epoch.Table, At: n.clock.Now()}
	if n.lead == nil {
		status.Members = []MemberStatus{{ID: n.settings.Self.ID, Address: n.settings.Self.Address, Config: n.holder.Current().Version()}}
		return status, false
	}
	for _, member := range n.liveMembers() {
		state := n.lead.members[member.ID]
		status.Members = append(status.Members, MemberStatus{ID: member.ID, Address: member.Address, Config: state.configVersion, Batches: state.batches})
	}
	return status, true
}
