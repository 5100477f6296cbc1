package driver

import (
	"context"
	"time"

	"sesamepitch/src/batch"
)

const (
	// sweepEvery is the time between looks for jobs that have outlived their use.
	sweepEvery = 10 * time.Second
	// sweepLater is kept beyond the time for which results must stay readable.
	sweepLater = 30 * time.Second
	// abandonedAfter is how old a job is that its trainer has never ended.
	abandonedAfter = 24 * time.Hour
	// sweepTime bounds the removal of one job.
	sweepTime = 5 * time.Second
)

// sweep removes the rows of jobs that nobody reads any more, until ctx ends.
func (s *session) sweep(ctx context.Context) {
	for {
		select {
		case <-s.clock.After(sweepEvery):
		case <-ctx.Done():
			return
		}
		for _, id := range s.outlived(s.clock.Now()) {
			s.remove(ctx, id)
		}
	}
}

// outlived lists the jobs whose results need not be readable any more.
func (s *session) outlived(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, head := range s.heads {
		age := now.Sub(head.Submitted)
		if head.Ended && age > s.readable+sweepLater || age > abandonedAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *session) remove(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, sweepTime)
	defer cancel()
	if err := s.ledger.Remove(ctx, id); err != nil {
		s.log.Info("job not removed", "job", id, "cause", err.Error())
		return
	}
	s.log.Info("job removed", "job", id)
}

// noteHead remembers a job's head, an ended one for good; forgetHead drops it
// once its row is gone.
func (s *session) noteHead(head batch.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heads[head.ID].Ended {
		s.heads[head.ID] = head
	}
}

func (s *session) forgetHead(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heads, id)
	delete(s.adopted, id)
	delete(s.over, id)
}
