package driver

import (
	"context"
	"slices"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"
	"sesamepitch/src/supervisor"
)

// apply handles changes of the table of open jobs.
func (s *session) apply(ctx context.Context, update registry.Update) {
	var headers []batch.Header
	for _, row := range update.Rows {
		if row.Deleted {
			s.forgetHeader(row.Name())
			continue
		}
		var header batch.Header
		err := supervisor.Guard(func() (err error) {
			header, err = batch.DecodeHeader(row)
			return err
		})
		if err != nil {
			s.log.Info("job header not decoded", "cause", err.Error())
			continue
		}
		headers = append(headers, header)
	}
	slices.SortStableFunc(headers, func(a, b batch.Header) int { return a.Submitted.Compare(b.Submitted) })
	for _, header := range headers {
		s.handleHeader(ctx, header)
	}
}

// handleHeader takes a job over or, if its header says so, ends it.
func (s *session) handleHeader(ctx context.Context, header batch.Header) {
	s.rememberHeader(header)
	if header.Ended {
		s.endJob(header.ID)
		return
	}
	s.takeOver(ctx, header)
}

// takeOver starts to take a job over unless that was started before.
func (s *session) takeOver(ctx context.Context, header batch.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takenOver[header.ID] {
		return
	}
	s.takenOver[header.ID] = true
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.guard("job "+header.ID, func() { s.runJob(ctx, header) })
	}()
}

// runJob takes a job over, retrying until that succeeds, and records its
// results until it ends.
func (s *session) runJob(ctx context.Context, header batch.Header) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		if !s.reads.acquire(ctx, header.Submitted) {
			return
		}
		j, earlier, err := s.loadJob(ctx, header)
		s.reads.release()
		if err == nil {
			defer j.release()
			j.cancel = cancel
			s.addJob(j, earlier)
			s.commit(ctx, j)
			return
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindConflict {
			s.log.Info("job not taken over", "job", header.ID, "cause", err.Error())
			return
		}
		s.log.Info("job not taken over yet; retrying", "job", header.ID, "cause", err.Error())
		select {
		case <-s.clock.After(takeoverRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}

// earlierState is what earlier drivers recorded of a job: the items with a result
// and the checkpoints of the others, by the items' indexes.
type earlierState struct {
	finished    map[int]bool
	checkpoints map[int]batch.Checkpoint
}

// loadJob reads a job, claims it and reads the results and checkpoints that
// earlier drivers recorded.
func (s *session) loadJob(ctx context.Context, header batch.Header) (*job, earlierState, error) {
	j, err := s.loadItems(ctx, header)
	if err != nil {
		return nil, earlierState{}, err
	}
	j.target = newTarget(j.Job)
	j.wake, j.handOver, j.committed = make(chan struct{}, 1), make(chan chan struct{}), make(chan struct{})
	earlier, err := s.claimJob(ctx, j)
	if err != nil {
		j.release()
	}
	return j, earlier, err
}

// claimJob claims a job and reads what earlier drivers recorded of it.
func (s *session) claimJob(ctx context.Context, j *job) (earlierState, error) {
	earlier := earlierState{}
	claim, err := s.ledger.Claim(ctx, j.ID, s.holder, s.epoch)
	if err != nil {
		return earlier, err
	}
	j.claim = claim
	if claim.IsFirst() {
		return earlier, nil
	}
	if earlier.finished, err = s.finishedItems(ctx, j); err != nil {
		return earlier, err
	}
	var unfinished []int
	for i := range j.Items {
		if !earlier.finished[i] {
			unfinished = append(unfinished, i)
		}
	}
	var faults []error
	earlier.checkpoints, faults, err = s.ledger.Checkpoints(ctx, j.ID, unfinished)
	for _, fault := range faults {
		s.log.Info("checkpoint ignored", "job", j.ID, "cause", fault.Error())
	}
	return earlier, err
}

// finishedItems returns the items of a job that have a result, by index.
func (s *session) finishedItems(ctx context.Context, j *job) (map[int]bool, error) {
	finished := map[int]bool{}
	items, known := j.claim.Finished()
	for _, item := range items {
		finished[item] = true
	}
	if known {
		return finished, nil
	}
	results, err := s.ledger.AllResults(ctx, j.ID)
	ids := map[string]bool{}
	for _, result := range results {
		ids[result.ID] = true
	}
	for i, item := range j.Items {
		finished[i] = ids[item.ID]
	}
	return finished, err
}

// addJob queues a job's unfinished items.
func (s *session) addJob(j *job, earlier earlierState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	if s.ended[j.ID] {
		j.ended = true
		j.cancel()
		return
	}
	now := s.clock.Now()
	s.setDeadlines(j)
	if s.lengths[j.Model] == nil {
		s.lengths[j.Model] = newLengthModel(j.Items)
	}
	j.lengths = s.lengths[j.Model]
	resumed := 0
	for _, item := range j.Items {
		if s.cache.has(itemKey{j.Workspace, j.Route, item.ID}) {
			j.target.await(item.Group)
		}
	}
	for i, item := range j.Items {
		t := &task{item: item, job: j, index: i, waitingSince: now, finished: earlier.finished[i], attempt: s.epoch << attemptBits}
		j.tasks = append(j.tasks, t)
		if t.finished {
			j.recorded++
			j.target.finish(item.Group)
			continue
		}
		j.open = append(j.open, t)
		t.complete = s.restoreOutput(t, earlier.checkpoints[i])
		if len(t.output.events) > 0 {
			resumed++
		}
		if t.complete {
			s.finishComplete(t, now)
		}
	}
	s.jobs[j.ID] = j
	s.recordLag(j)
	s.log.Info("job taken over", "job", j.ID, "step", j.Step, "model", j.Model, "min_version", j.MinVersion,
		"named", s.registry.Versions()[j.Model], "items", len(j.Items), "in_memory", j.spans == nil, "listed", j.recorded, "carried", resumed,
		"age_ms", now.Sub(j.Submitted).Milliseconds())
}

// attemptBits leaves room for the attempts of one item within an epoch.
const attemptBits = 12

// restoreOutput starts a task with an output from the cache or from an earlier
// driver's checkpoint, whichever is longer, and reports whether it is complete.
func (s *session) restoreOutput(t *task, checkpoint batch.Checkpoint) bool {
	checkpointed := outputOfCheckpoint(checkpoint)
	cached, found := s.cache.get(t)
	t.output = cached.output
	if found && cached.isScoreOf(t.item.Reward) {
		t.score = cached.score
	}
	if cached.complete || !checkpointed.allowed(t.job.MinVersion, t.job.singleVersion) {
		return cached.complete
	}
	complete := checkpoint.Complete && len(checkpointed.events) > 0
	if complete || len(checkpointed.events) > len(cached.output.events) {
		t.output, t.score = checkpointed, ""
	}
	return complete
}

func (s *session) setDeadlines(j *job) {
	resultDeadline, queueTTL := defaultResultDeadline, defaultQueueTTL
	if config := s.registry.Config(); config != nil {
		if route, found := config.RouteNamed(j.Route); found {
			j.singleVersion = route.SingleVersion
			if route.ResultDeadline > 0 {
				resultDeadline = route.ResultDeadline
			}
			if route.QueueTTL > 0 {
				queueTTL = route.QueueTTL
			}
		}
	}
	j.deadline, j.expiresAt = j.Submitted.Add(resultDeadline), j.Submitted.Add(queueTTL)
}

// endJob cancels a job's runs; results that are already pending are still
// recorded.
func (s *session) endJob(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenOver[id], s.ended[id] = true, true
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	s.cache.putOpenGroups(j, s.clock.Now())
	unfinished := 0
	for _, t := range j.tasks {
		if t.finished {
			continue
		}
		unfinished++
		t.finished = true
		s.cancelTask(t)
	}
	j.ended = true
	j.cancel()
	s.log.Info("job ended by its trainer", "job", id, "items", len(j.Items), "unfinished", unfinished)
	s.wakeUp()
}

// dropJob removes a job that another process has taken over.
func (s *session) dropJob(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, j.ID)
	j.ended = true
	for _, t := range j.tasks {
		t.finished = true
		s.cancelTask(t)
	}
}
