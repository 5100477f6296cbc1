package driver

import (
	"context"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
)

// commitPause is the time between tries to list results.
const commitPause = 80 * time.Millisecond

// job is a batch job that this driver has taken over.
type job struct {
	batch.Job
	due     time.Time
	giveUp  time.Time
	claim   *batch.Claim
	tasks   []*task
	single  bool
	pending []batch.Result
	wake    chan struct{}
	cancel  context.CancelFunc
	ended   bool
	listed  int
}

// commit lists the job's results as they come, until ctx ends, all are listed
// or another process has taken the job over.
func (s *session) commit(ctx context.Context, j *job) {
	for {
		batchOf := s.takePending(j)
		if len(batchOf) > 0 && !s.appendAll(ctx, j, batchOf) {
			return
		}
		if s.isComplete(j) {
			return
		}
		if len(batchOf) > 0 {
			continue
		}
		select {
		case <-j.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) takePending(j *job) []batch.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := batch.Fitting(j.pending)
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
func (s *session) appendAll(ctx context.Context, j *job, results []batch.Result) bool {
	start := s.clock.Now()
	for {
		err := j.claim.Append(ctx, results)
		switch sesamepitch.KindOf(err) {
		case "":
			s.mu.Lock()
			j.listed += len(results)
			listed := j.listed
			s.mu.Unlock()
			s.log.Info("results listed", "job", j.ID, "count", len(results), "total", len(j.Items), "listed", listed,
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

// finish puts a task's result in line for the table; it needs s.mu.
func (s *session) finish(t *task, result batch.Result) {
	if t.finished {
		return
	}
	t.finished = true
	if t.job.ended {
		return
	}
	t.job.pending = append(t.job.pending, result)
	select {
	case t.job.wake <- struct{}{}:
	default:
	}
}
