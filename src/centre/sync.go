package centre

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/lease"
	"sesamepitch/src/notice"
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

func recordAddress(row sesamepitch.Row) (string, bool) {
	var record lease.Record
	err := json.Unmarshal(row.Value, &record)
	return record.Address, err == nil && record.Address != ""
}

// StatusPrefix is the key prefix of the data centres' status rows.
const StatusPrefix = "status/"
