package driver

import (
	"context"
	"time"
)

// handOverTime bounds the checkpoints written before the lease is released.
const handOverTime = 1200 * time.Millisecond

// handOver cancels all runs and checkpoints their outputs for the next driver.
func (s *session) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	jobs := s.stopRuns()
	done := make(chan struct{}, len(jobs))
	for _, j := range jobs {
		go func() {
			s.checkpointAll(ctx, j)
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
	s.log.Info("outputs checkpointed for the next driver", "jobs", len(jobs), "in_time", ctx.Err() == nil)
}

// stopRuns cancels all runs, so that no output grows, and returns the jobs.
func (s *session) stopRuns() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, t := range s.runningTasks() {
		if t.run.endReason == "" {
			s.stopRun(t.run, "handover to the next driver")
		}
	}
	var jobs []*job
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

// checkpointAll ends a job's commit loop and writes everything that the table
// lacks of its outputs.
func (s *session) checkpointAll(ctx context.Context, j *job) {
	ended := make(chan struct{})
	select {
	case j.handOver <- ended:
		<-ended
	case <-j.committed:
		return // all results are recorded, or another driver has the job
	case <-ctx.Done():
		return
	}
	for {
		results := s.takePending(j)
		checkpoints := s.takeCheckpoints(j, 1)
		if len(results)+len(checkpoints) == 0 || !s.appendWithRetry(ctx, j, results, checkpoints) {
			return
		}
	}
}
