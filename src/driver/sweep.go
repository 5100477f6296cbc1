package driver

import (
	"context"
	"time"

	"sesamepitch/src/batch"
)

const (
	// sweepEvery is the time between looks for jobs that have outlived their use.
	sweepInterval = 10 * time.Second
	// sweepLater is kept beyond the time for which results must stay readable.
	sweepDelay = 30 * time.Second
	// abandonedAfter is how old a job is that its trainer has never ended.
	unendedTTL = 24 * time.Hour
	// sweepTime bounds the removal of one job.
	removeTimeout = 5 * time.Second
)

// sweep removes the rows of jobs that nobody reads any more, until ctx ends.
func (s *session) sweep(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(sweepInterval):
		case <-ctx.Done():
			return
		}
		for _, id := range s.expiredJobs(s.clock.Now()) {
			s.removeJob(ctx, id)
		}
	}
}

// outlived lists the jobs whose results need not be readable any more.
func (s *session) expiredJobs(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, header := range s.headers {
		age := now.Sub(header.Submitted)
		if header.Ended && age > s.retention+sweepDelay || age > unendedTTL {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *session) removeJob(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := s.ledger.Remove(ctx, id); err != nil {
		s.log.Info("job not removed", "job", id, "cause", err.Error())
		return
	}
	s.log.Info("job removed", "job", id)
}

// noteHead remembers a job's head, an ended one for good; forgetHead drops it
// once its row is gone.
func (s *session) rememberHeader(header batch.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headers[header.ID].Ended {
		s.headers[header.ID] = header
	}
}

func (s *session) forgetHeader(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.headers, id)
	delete(s.takenOver, id)
	delete(s.ended, id)
}
