package driver

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/supervisor"
)

// Bodies of items are kept in memory while there is room for their whole job. Otherwise
// they stay in the store, and each is read for a run or a reward call of its item.

const (
	// residentPart is the part of the memory for jobs that bodies of whole jobs may take.
	// The rest is for bodies that are read for a run.
	residentPart = 0.5
	// unreadRetryDelay is the time until an item whose body could not be read is due again.
	unreadRetryDelay = 100 * time.Millisecond
)

// reserveBodies reserves the memory of all bodies of a job, as far as there is room for
// whole jobs. A job whose items cannot be read one by one is held in any case.
func (s *session) reserveBodies(header batch.Header) (reserved int64, resident bool) {
	size := s.ledger.ContentBytes(header)
	fits := float64(s.resident.Load()+size) <= residentPart*float64(s.memory.Limit())
	if header.HasSpans() && (!fits || !s.memory.TryReserve(size, size)) {
		return 0, false
	}
	if !header.HasSpans() {
		s.memory.Hold(size)
	}
	s.resident.Add(size)
	return size, true
}

// loadItems reads the items of a job, without their bodies if there is no room for them.
func (s *session) loadItems(ctx context.Context, header batch.Header) (*job, error) {
	j := &job{Job: batch.Job{Header: header}}
	reserved, resident := s.reserveBodies(header)
	j.release = func() {
		s.memory.Free(reserved)
		s.resident.Add(-reserved)
	}
	err := s.ledger.Items(ctx, header, func(item batch.Item, at batch.Span) error {
		if !resident {
			item.Body = nil
			if item.Reward != nil {
				item.Reward.Body = nil
			}
			j.spans = append(j.spans, at)
		}
		j.Items = append(j.Items, item)
		return nil
	})
	if err != nil {
		j.release()
		return nil, err
	}
	return j, nil
}

// bodyCost returns the memory that reading the task's item takes; zero if its body is in
// memory.
func (s *session) bodyCost(t *task) int64 {
	if t.job.spans == nil {
		return 0
	}
	return s.ledger.ReadCost(t.job.spans[t.index])
}

// holdBody reserves the memory for reading the task's item, and returns the number of
// bytes. An item that is larger than all the memory is read when no other one is.
func (s *session) holdBody(t *task) (held int64, ok bool) {
	cost := s.bodyCost(t)
	if cost == 0 || s.memory.TryReserve(cost, cost) {
		return cost, true
	}
	if s.memory.Held() <= s.resident.Load() {
		s.memory.Hold(cost)
		return cost, true
	}
	return 0, false
}

// readItem returns the task's item with its bodies. What is reserved for reading it shrinks
// to what its bodies take.
func (s *session) readItem(ctx context.Context, t *task, held *int64) (batch.Item, error) {
	if t.job.spans == nil {
		return t.item, nil
	}
	item, err := s.ledger.ItemAt(ctx, t.job.Header, t.job.spans[t.index])
	if err != nil {
		return item, err
	}
	size := int64(len(item.Body))
	if item.Reward != nil {
		size += int64(len(item.Reward.Body))
	}
	s.memory.Free(*held - size)
	*held = size
	return item, nil
}

// readReward reads the body of a task's reward call from the store, if there is memory for
// it. The caller holds s.mu.
func (s *session) readReward(ctx context.Context, t *task, now time.Time) {
	if t.scoring.reading || now.Before(t.scoring.readAfter) {
		return
	}
	held, ok := s.holdBody(t)
	if !ok {
		s.logRewardWait(t, "no memory for the call's body")
		return
	}
	call := t.scoring
	call.reading = true
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		var item batch.Item
		err := supervisor.Guard(func() (err error) {
			item, err = s.readItem(ctx, t, &held)
			return err
		})
		s.endRewardRead(t, call, item.Reward, held, err)
	}()
}

// endRewardRead gives a task the body of its reward call.
func (s *session) endRewardRead(t *task, call *scoring, read *sesamepitch.RewardCall, held int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	call.reading = false
	if err != nil || t.scoring != call || read == nil {
		s.memory.Free(held)
		call.readAfter = s.clock.Now().Add(unreadRetryDelay)
		if err != nil {
			s.log.Info("reward call not read", "job", t.job.ID, "item", t.item.ID, "cause", err.Error())
		}
		return
	}
	call.body, call.hasBody = read.Body, true
	call.free = func() { s.memory.Free(held) }
}

// endRewards gives the memory of all reward calls back at the end of the session.
func (s *session) endRewards() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		for _, t := range j.open {
			t.endScoring()
		}
	}
}

// rewardCall returns the task's reward call, and whether its body is in memory.
func (t *task) rewardCall() (call sesamepitch.RewardCall, hasBody bool) {
	call = *t.item.Reward
	if t.job.spans == nil {
		return call, true
	}
	call.Body = t.scoring.body
	return call, t.scoring.hasBody
}
