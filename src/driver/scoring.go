package driver

import (
	"context"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/reward"
	"sesamepitch/src/supervisor"
)

// scoring is the progress of the reward call of a complete output.
type scoring struct {
	call  reward.Call
	since time.Time
	// cancels end the tries that are under way, by endpoint.
	cancels map[string]context.CancelFunc
	// waitCause is why the call could not be sent when it was last due.
	waitCause string
	// body is the call's body if it was read from the store, hasBody whether it was, free
	// gives its memory back. reading is set while it is read, readAfter is when that may
	// be tried again.
	body      []byte
	hasBody   bool
	free      func()
	reading   bool
	readAfter time.Time
}

// finishComplete queues the result of a task whose output is complete, or starts
// its reward call if the score is missing. The caller holds s.mu.
func (s *session) finishComplete(t *task, now time.Time) {
	if t.item.Reward == nil || t.score != "" {
		s.finish(t, t.result())
		return
	}
	t.scoring = &scoring{since: now, cancels: map[string]context.CancelFunc{}}
	s.wakeUp()
}

// endScoring cancels a task's reward call.
func (t *task) endScoring() {
	if t.scoring == nil {
		return
	}
	for _, cancel := range t.scoring.cancels {
		cancel()
	}
	if t.scoring.free != nil {
		t.scoring.free()
	}
	t.scoring = nil
}

// rewardPriority returns the priority of a task's reward call.
func (t *task) rewardPriority() reward.Priority {
	return reward.Priority{TargetMet: t.job.target.isMet(), Deadline: t.job.deadline, GroupLeft: t.job.target.unfinished[t.item.Group]}
}

// sendRewardCalls sends the reward calls that are due, the most urgent first. The
// caller holds s.mu.
func (s *session) sendRewardCalls(ctx context.Context, now time.Time) {
	var waiting []*task
	for _, j := range s.jobs {
		for _, t := range j.open {
			if t.scoring != nil {
				waiting = append(waiting, t)
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *task) int { return reward.Compare(a.rewardPriority(), b.rewardPriority()) })
	for _, t := range waiting {
		s.sendRewardCall(ctx, t, now)
	}
}

// sendRewardCall sends a task's reward call if it is due and an endpoint has room.
func (s *session) sendRewardCall(ctx context.Context, t *task, now time.Time) {
	if now.Before(t.scoring.call.NotBefore()) {
		return
	}
	route, found := s.rewards.RewardRoute(*t.item.Reward)
	if !found {
		s.logRewardWait(t, "no route matches the call's host and path")
		return
	}
	if !t.scoring.call.IsDue(now, s.rewardPatience(route)) {
		return
	}
	rewardCall, hasBody := t.rewardCall()
	if !hasBody {
		s.readReward(ctx, t, now)
		return
	}
	try, err := s.rewards.ReserveReward(rewardCall, t.scoring.call.Busy(), t.scoring.call.Avoided())
	if err != nil {
		s.logRewardWait(t, causeOf(err))
		return
	}
	t.scoring.waitCause = ""
	t.scoring.call.Begin(try.Endpoint(), now)
	ctx, cancel := context.WithCancel(ctx)
	t.scoring.cancels[try.Endpoint()] = cancel
	s.log.Info("reward call sent", "job", t.job.ID, "item", t.item.ID, "call", t.item.Reward.ID, "endpoint", try.Endpoint(),
		"sends", t.scoring.call.Sent(), "failures", t.scoring.call.Failures(), "waited_ms", now.Sub(t.scoring.since).Milliseconds(),
		"slack_ms", t.job.deadline.Sub(now).Milliseconds())
	call := t.scoring
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel()
		var score string
		err := supervisor.Guard(func() (err error) {
			score, err = try.Send(ctx)
			return err
		})
		s.endRewardTry(t, call, try.Endpoint(), now, score, err)
	}()
}

// rewardPatience returns how long an endpoint may work on a reward call before
// another one gets it, too.
func (s *session) rewardPatience(route sesamepitch.RewardRoute) time.Duration {
	return s.rewardLatency.Patience(reward.ExpectedLatency(route.LatencyTarget), reward.MinPatience)
}

// logRewardWait logs why a due call is not sent, once for each cause in a row.
func (s *session) logRewardWait(t *task, cause string) {
	if len(t.scoring.cancels) > 0 || t.scoring.waitCause == cause {
		return
	}
	t.scoring.waitCause = cause
	s.log.Info("reward call waits", "job", t.job.ID, "item", t.item.ID, "call", t.item.Reward.ID, "sends", t.scoring.call.Sent(), "cause", cause)
}

// endRewardTry handles the outcome of one try: the task is finished, or the call
// is sent again.
func (s *session) endRewardTry(t *task, call *scoring, endpoint string, sentAt time.Time, score string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	if t.scoring != call {
		return // answered by another endpoint, or the job has ended
	}
	delete(call.cancels, endpoint)
	now := s.clock.Now()
	s.observeReward(sesamepitch.KindOf(err), now.Sub(sentAt))
	if err != nil {
		s.handleRewardFailure(t, endpoint, now, err)
		return
	}
	s.rewardLatency.Observe(now.Sub(sentAt))
	s.log.Info("reward call answered", "job", t.job.ID, "item", t.item.ID, "call", t.item.Reward.ID, "endpoint", endpoint,
		"sends", call.call.Sent(), "ms", now.Sub(sentAt).Milliseconds(), "waited_ms", now.Sub(call.since).Milliseconds())
	t.endScoring()
	t.score = score
	s.finish(t, t.result())
}

// handleRewardFailure decides whether a call without a score is sent again or its
// item is abandoned.
func (s *session) handleRewardFailure(t *task, endpoint string, now time.Time, err error) {
	call := &t.scoring.call
	call.Fail(endpoint, sesamepitch.KindOf(err), now)
	route, found := s.rewards.RewardRoute(*t.item.Reward)
	hopeless := found && call.IsHopeless(route, s.rewards.RewardEndpoints(*t.item.Reward))
	s.log.Info("reward call failed", "job", t.job.ID, "item", t.item.ID, "call", t.item.Reward.ID, "endpoint", endpoint,
		"sends", call.Sent(), "failures", call.Failures(), "kind", string(sesamepitch.KindOf(err)), "cause", causeOf(err), "given_up", hopeless)
	if hopeless {
		t.endScoring()
		s.finish(t, t.abandonedResult())
	}
}
