package driver

import (
	"context"
	"sync"
	"time"
)

// maxJobReads is the number of jobs that are read from the store at the same time.
const maxJobReads = 4

// readQueue lets a few jobs at a time be read, those due first before the others.
type readQueue struct {
	mu      sync.Mutex
	running int
	waiting []*waitingRead
}

type waitingRead struct {
	due   time.Time
	ready chan struct{}
}

// acquire waits until a job that is due at a time may be read, and reports false if ctx
// ends before.
func (q *readQueue) acquire(ctx context.Context, due time.Time) bool {
	q.mu.Lock()
	if q.running < maxJobReads {
		q.running++
		q.mu.Unlock()
		return true
	}
	w := &waitingRead{due: due, ready: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		q.leave(w)
		return false
	}
}

// leave removes a job that no longer waits, or passes its turn on.
func (q *readQueue) leave(w *waitingRead) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	q.pass()
}

// release ends the turn of a job.
func (q *readQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pass()
}

// pass gives a turn to the job that is due first. The caller holds q.mu.
func (q *readQueue) pass() {
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	first := 0
	for i, w := range q.waiting {
		if w.due.Before(q.waiting[first].due) {
			first = i
		}
	}
	close(q.waiting[first].ready)
	q.waiting = append(q.waiting[:first], q.waiting[first+1:]...)
}
