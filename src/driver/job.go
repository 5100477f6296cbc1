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
	// commitPause is the time between tries to list results.
	commitPause = 80 * time.Millisecond
	// keepEvery is the time after which texts that are not whole are kept.
	keepEvery = 500 * time.Millisecond
	// keepEvents is how many new events make it worth to keep a text.
	keepEvents = 8
)

// job is a batch job that this driver has taken over.
type job struct {
	batch.Job
	due    time.Time
	giveUp time.Time
	claim  *batch.Claim
	tasks  []*task
	// open are the tasks without a result or with a run that is about to end.
	open    []*task
	single  bool
	target  *target
	pending []batch.Result
	// handOver ends the job's commits; what it receives is closed then.
	handOver chan chan struct{}
	// committed is closed once the job's commits have ended.
	committed chan struct{}
	wake      chan struct{}
	cancel    context.CancelFunc
	ended     bool
	listed    int
}

// commit lists the job's results as they come, until ctx ends, all are listed
// or another process has taken the job over.
func (s *session) commit(ctx context.Context, j *job) {
	defer close(j.committed)
	keepNext := s.clock.After(keepEvery)
	keepDue := false
	for {
		results := s.takePending(j)
		var progress []batch.Checkpoint
		if keepDue {
			progress = s.takeProgress(j, keepEvents)
			keepDue = false
			keepNext = s.clock.After(keepEvery)
		}
		if len(results)+len(progress) > 0 && !s.appendAll(ctx, j, results, progress) {
			return
		}
		if s.isComplete(j) {
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
		case <-keepNext:
			keepDue = true
		case <-ctx.Done():
			return
		}
	}
}

// takeProgress returns what the table lacks of texts that have been running
// for a while, first those that a job will wait for.
func (s *session) takeProgress(j *job, atLeast int) []batch.Checkpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tasks []*task
	for _, t := range j.open {
		if !t.finished && len(t.text.events)-t.kept >= atLeast {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(b.expectedEvents(), a.expectedEvents()) })
	var progress []batch.Checkpoint
	bytes := 0
	for _, t := range tasks[:min(batch.MaxCheckpoints, len(tasks))] {
		part := t.progress(s.ledger.CheckpointSize())
		bytes += part.Size()
		if bytes > batch.MaxCheckpointBytes && len(progress) > 0 {
			break
		}
		t.kept = part.From + len(part.Events)
		progress = append(progress, part)
	}
	return progress
}

func (s *session) takePending(j *job) []batch.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.ledger.AppendLimit(j.pending)
	taken := j.pending[:count]
	j.pending = j.pending[count:]
	return taken
}

// isComplete forgets a job of which all results are listed.
func (s *session) isComplete(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.listed < len(j.Items) {
		return false
	}
	delete(s.jobs, j.ID)
	return true
}

// appendAll repeats one append until its outcome is known.
func (s *session) appendAll(ctx context.Context, j *job, results []batch.Result, progress []batch.Checkpoint) bool {
	start := s.clock.Now()
	for {
		err := j.claim.Append(ctx, results, progress)
		switch sesamepitch.KindOf(err) {
		case "":
			s.mu.Lock()
			j.listed += len(results)
			listed := j.listed
			s.mu.Unlock()
			s.log.Info("results listed", "job", j.ID, "count", len(results), "kept", len(progress), "total", len(j.Items), "listed", listed,
				"ms", s.clock.Now().Sub(start).Milliseconds())
			return true
		case sesamepitch.KindConflict:
			s.log.Info("job lost to another driver", "job", j.ID, "cause", err.Error())
			s.drop(j)
			return false
		}
		select {
		case <-s.clock.After(commitPause):
		case <-ctx.Done():
			return false
		}
	}
}

// finish puts a task's result in line for the table and gives back the place
// that was kept for its next run; it needs s.mu.
func (s *session) finish(t *task, result batch.Result) {
	s.checks.Check(!t.finished, invariant.ResultOnce, "job", t.job.ID, "item", t.item.ID)
	if t.finished {
		return
	}
	t.finished = true
	t.release()
	t.job.target.finish(t.item.Group)
	result.TargetMet = t.job.target.isMet()
	known := text{made: result.Versions}
	s.checks.Check(known.allowed(t.job.MinVersion, t.job.single), invariant.ResultVersions,
		"job", t.job.ID, "item", t.item.ID, "versions", result.Versions, "min_version", t.job.MinVersion)
	if t.job.ended {
		return
	}
	t.job.pending = append(t.job.pending, result)
	supervisor.Wake(t.job.wake)
}
