package driver

import (
	"cmp"
	"context"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/invariant"
	"sesamepitch/src/supervisor"
)

const (
	// commitRetryDelay is the time between attempts to record results.
	commitRetryDelay = 80 * time.Millisecond
	// checkpointInterval is the time between checkpoints of incomplete outputs.
	checkpointInterval = 250 * time.Millisecond
	// minCheckpointEvents is how many new events make a checkpoint worthwhile.
	minCheckpointEvents = 4
)

// job is a batch job that this driver has taken over.
type job struct {
	batch.Job
	deadline  time.Time
	expiresAt time.Time
	claim     *batch.Claim
	tasks     []*task
	// open are the tasks without a result or with a run that has not ended yet.
	open          []*task
	singleVersion bool
	target        *target
	// lengths estimates the lengths of the outputs of the job's model.
	lengths *lengthModel
	// spans are where the items lie whose bodies are not in memory; nil if they are.
	spans []batch.Span
	// release gives the memory of the bodies back.
	release func()
	pending []batch.Result
	// handOver asks the commit loop to end; the loop closes the channel it
	// receives.
	handOver chan chan struct{}
	// committed is closed once the commit loop has ended.
	committed chan struct{}
	wake      chan struct{}
	cancel    context.CancelFunc
	ended     bool
	recorded  int
}

// commit records the job's results as they arrive, until ctx ends, all are
// recorded, the job is handed over or another process has taken it over.
func (s *session) commit(ctx context.Context, j *job) {
	defer close(j.committed)
	nextCheckpoint := s.clock.After(checkpointInterval)
	checkpointDue := false
	for {
		results := s.takePending(j)
		var checkpoints []batch.Checkpoint
		if checkpointDue {
			checkpoints = s.takeCheckpoints(j, minCheckpointEvents)
			checkpointDue = false
			nextCheckpoint = s.clock.After(checkpointInterval)
		}
		if len(results)+len(checkpoints) > 0 && !s.appendWithRetry(ctx, j, results, checkpoints) {
			return
		}
		if s.removeIfComplete(j) {
			return
		}
		if len(results) > 0 {
			continue
		}
		select {
		case <-j.wake:
		case done := <-j.handOver:
			close(done)
			return
		case <-nextCheckpoint:
			checkpointDue = true
		case <-ctx.Done():
			return
		}
	}
}

// takeCheckpoints returns what the table lacks of incomplete outputs with at
// least minEvents new events. The outputs expected to be longest come first,
// since their job waits for them.
func (s *session) takeCheckpoints(j *job, minEvents int) []batch.Checkpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tasks []*task
	for _, t := range j.open {
		events, end := t.uncheckpointedEvents()
		if !t.finished && (events >= minEvents || end) {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(b.expectedEvents(), a.expectedEvents()) })
	var checkpoints []batch.Checkpoint
	bytes := 0
	for _, t := range tasks[:min(batch.MaxCheckpoints, len(tasks))] {
		part := t.nextCheckpoint(s.ledger.CheckpointSize())
		bytes += part.Size()
		if bytes > batch.MaxCheckpointBytes && len(checkpoints) > 0 {
			break
		}
		t.checkpointed = part.From + len(part.Events)
		t.checkpointedComplete = part.Complete
		checkpoints = append(checkpoints, part)
	}
	return checkpoints
}

func (s *session) takePending(j *job) []batch.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.ledger.AppendLimit(j.pending)
	taken := j.pending[:count]
	j.pending = j.pending[count:]
	return taken
}

// removeIfComplete removes a job whose results are all recorded and reports
// whether it did.
func (s *session) removeIfComplete(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.recorded < len(j.Items) {
		return false
	}
	delete(s.jobs, j.ID)
	return true
}

// appendWithRetry repeats one append until its outcome is known. It reports
// whether the append succeeded.
func (s *session) appendWithRetry(ctx context.Context, j *job, results []batch.Result, checkpoints []batch.Checkpoint) bool {
	start := s.clock.Now()
	for {
		err := j.claim.Append(ctx, results, checkpoints)
		switch sesamepitch.KindOf(err) {
		case "":
			s.mu.Lock()
			j.recorded += len(results)
			recorded := j.recorded
			s.mu.Unlock()
			s.log.Info("results recorded", "job", j.ID, "count", len(results), "kept", len(checkpoints), "total", len(j.Items), "listed", recorded,
				"ms", s.clock.Now().Sub(start).Milliseconds())
			return true
		case sesamepitch.KindConflict:
			s.log.Info("job taken over by another driver", "job", j.ID, "cause", err.Error())
			s.dropJob(j)
			return false
		case sesamepitch.KindInvalid:
			s.log.Info("results not recorded", "job", j.ID, "count", len(results), "kept", len(checkpoints), "cause", err.Error())
			checkpoints = nil // results go without them; the next driver runs the items anew
			if len(results) == 0 {
				return true
			}
		}
		select {
		case <-s.clock.After(commitRetryDelay):
		case <-ctx.Done():
			return false
		}
	}
}

// finish queues a task's result for the table and releases the slot reserved
// for the task's next run. The caller holds s.mu.
func (s *session) finish(t *task, result batch.Result) {
	s.checks.Check(!t.finished, invariant.ResultOnce, "job", t.job.ID, "item", t.item.ID)
	if t.finished {
		return
	}
	t.finished = true
	t.release()
	t.job.target.finish(t.item.Group)
	result.TargetMet = t.job.target.isMet()
	resultOutput := output{eventVersions: result.Versions}
	s.checks.Check(resultOutput.allowed(t.job.MinVersion, t.job.singleVersion), invariant.ResultVersions,
		"job", t.job.ID, "item", t.item.ID, "versions", result.Versions, "min_version", t.job.MinVersion)
	s.checks.Check(result.State != batch.Done || t.item.Reward == nil || result.Score != "", invariant.ResultScored, "job", t.job.ID, "item", t.item.ID)
	if t.job.ended {
		return
	}
	result.Item = t.index
	t.job.pending = append(t.job.pending, result)
	supervisor.Wake(t.job.wake)
}
