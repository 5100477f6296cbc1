// Package share orders waiting requests by weighted fair queueing: interactive
// requests before training, then the workspace with the fewest tokens in use for
// its weight, then the one that has used the fewest so far, then the earliest
// deadline. It reads no clock and does no I/O.
package share

import (
	"sort"
	"time"
)

// Request is a waiting request. Weight is its workspace's weight, Tokens its
// estimated cost.
type Request struct {
	ID          string
	Workspace   string
	Weight      int
	Interactive bool
	Tokens      int
	Deadline    time.Time
	Arrived     time.Time
}

func (r Request) before(other Request) bool {
	if !r.Deadline.Equal(other.Deadline) {
		return r.Deadline.Before(other.Deadline)
	}
	return r.Arrived.Before(other.Arrived)
}

// account holds a workspace's waiting requests, earliest deadline first, the
// tokens of its running requests, and all tokens charged to it so far. Both
// numbers of tokens are divided by the workspace's weight.
type account struct {
	name     string
	requests []Request
	active   float64
	used     float64
}

// Queue is a fair queue of the workspaces' requests.
type Queue struct {
	accounts map[string]*account
	// workspaces maps the IDs of the waiting requests to their workspaces.
	workspaces map[string]string
	// virtualTime is the highest weighted usage at which a workspace was served.
	virtualTime float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{accounts: map[string]*account{}, workspaces: map[string]string{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.workspaces) }

// Push adds a request unless one with its ID is waiting. A workspace without
// waiting requests is raised to the queue's virtual time, so that it cannot save
// up its share while idle.
func (q *Queue) Push(request Request) {
	if _, waiting := q.workspaces[request.ID]; waiting {
		return
	}
	a := q.account(request.Workspace)
	if len(a.requests) == 0 {
		a.used = max(a.used, q.virtualTime)
	}
	at := sort.Search(len(a.requests), func(i int) bool { return request.before(a.requests[i]) })
	a.requests = append(a.requests, Request{})
	copy(a.requests[at+1:], a.requests[at:])
	a.requests[at] = request
	q.workspaces[request.ID] = request.Workspace
}

// Remove removes a request without charging for it, and reports whether it was
// waiting.
func (q *Queue) Remove(id string) bool {
	workspace, waiting := q.workspaces[id]
	if !waiting {
		return false
	}
	delete(q.workspaces, id)
	a := q.accounts[workspace]
	for i, request := range a.requests {
		if request.ID == id {
			a.requests = append(a.requests[:i], a.requests[i+1:]...)
			break
		}
	}
	return true
}

// maxScanned is the maximum number of a workspace's requests that one call of Next
// considers, from the earliest deadline on, interactive and training together.
const maxScanned = 16

// Next removes and returns the next request that fits, and charges its workspace
// the estimated cost.
func (q *Queue) Next(fits func(Request) bool) (Request, bool) {
	for _, interactive := range []bool{true, false} {
		for _, a := range q.order() {
			if request, found := a.firstFitting(interactive, fits); found {
				q.Remove(request.ID)
				q.charge(a, request)
				return request, true
			}
		}
	}
	return Request{}, false
}

func (a *account) firstFitting(interactive bool, fits func(Request) bool) (Request, bool) {
	for _, request := range a.requests[:min(len(a.requests), maxScanned)] {
		if request.Interactive == interactive && fits(request) {
			return request, true
		}
	}
	return Request{}, false
}

// order returns the workspaces with waiting requests, least served first.
func (q *Queue) order() []*account {
	var waiting []*account
	for _, a := range q.accounts {
		if len(a.requests) > 0 {
			waiting = append(waiting, a)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].active != waiting[j].active {
			return waiting[i].active < waiting[j].active
		}
		if waiting[i].used != waiting[j].used {
			return waiting[i].used < waiting[j].used
		}
		return waiting[i].name < waiting[j].name
	})
	return waiting
}

func (q *Queue) charge(a *account, request Request) {
	q.virtualTime = max(q.virtualTime, a.used)
	cost := weighted(request.Tokens, request.Weight)
	a.used += cost
	a.active += cost
}

func weighted(tokens, weight int) float64 { return float64(tokens) / float64(max(weight, 1)) }

// Done marks a request as no longer running; tokens is its estimated cost.
func (q *Queue) Done(workspace string, weight, tokens int) {
	a := q.account(workspace)
	a.active = max(a.active-weighted(tokens, weight), 0)
}

func (q *Queue) account(workspace string) *account {
	a := q.accounts[workspace]
	if a == nil {
		a = &account{name: workspace}
		q.accounts[workspace] = a
	}
	return a
}

// AdjustCharge charges a workspace for the tokens that a request used beyond its
// estimate; a negative number is a credit.
func (q *Queue) AdjustCharge(workspace string, weight, tokens int) {
	if a := q.accounts[workspace]; a != nil {
		a.used += weighted(tokens, weight)
	}
}
