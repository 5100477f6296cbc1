package driver

import (
	"context"
	"time"

	"sesamepitch/src/batch"
)

const (
	// sweepInterval is the time between checks for expired jobs.
	sweepInterval = 10 * time.Second
	// sweepDelay is added to the time for which results must stay readable.
	sweepDelay = 30 * time.Second
	// unendedTTL is the age at which a job expires that its trainer has never
	// ended.
	unendedTTL = 24 * time.Hour
	// removeTimeout bounds the removal of one job.
	removeTimeout = 5 * time.Second
)

// sweep removes the rows of expired jobs until ctx ends.
func (s *session) sweep(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(sweepInterval):
		case <-ctx.Done():
			return
		}
		for _, id := range s.expiredJobs(s.clock.Now()) {
			s.guard("removal of job "+id, func() { s.removeJob(ctx, id) })
		}
	}
}

// expiredJobs returns the jobs whose results need not be readable any more.
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

// rememberHeader stores a job's header; the header of an ended job is not
// replaced. forgetHeader removes it once its row is deleted.
func (s *session) rememberHeader(header batch.Header) {
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
