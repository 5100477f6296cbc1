// Package share decides whose request goes next: interactive work before
// training, then the workspace that uses the least for its weight now, then the
// one that has had the least, then the earliest deadline. It keeps no clock and
// does no I/O.
package share

import (
	"sort"
	"time"
)

// Request is one waiting request. Tokens is its estimated cost.
type Request struct {
	ID          string
	Workspace   string
	Weight      int
	Interactive bool
	Tokens      int
	Deadline    time.Time
	Arrived     time.Time
}

func (i Request) before(other Request) bool {
	if !i.Deadline.Equal(other.Deadline) {
		return i.Deadline.Before(other.Deadline)
	}
	return i.Arrived.Before(other.Arrived)
}

// account is one workspace's waiting items, earliest deadline first, the tokens
// of its items in use, and those it has had, both divided by its weight.
type account struct {
	name  string
	items []Request
	inUse float64
	had   float64
}

// Queue orders waiting requests.
type Queue struct {
	accounts map[string]*account
	items    map[string]string
	floor    float64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{accounts: map[string]*account{}, items: map[string]string{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item. A workspace that was idle starts level with the least
// served one, so that it cannot save its share up.
func (q *Queue) Push(item Request) {
	if _, waiting := q.items[item.ID]; waiting {
		return
	}
	a := q.account(item.Workspace)
	if len(a.items) == 0 {
		a.had = max(a.had, q.floor)
	}
	at := sort.Search(len(a.items), func(i int) bool { return item.before(a.items[i]) })
	a.items = append(a.items, Request{})
	copy(a.items[at+1:], a.items[at:])
	a.items[at] = item
	q.items[item.ID] = item.Workspace
}

// Remove takes an item out without serving it and tells whether it waited.
func (q *Queue) Remove(id string) bool {
	workspace, waiting := q.items[id]
	if !waiting {
		return false
	}
	delete(q.items, id)
	a := q.accounts[workspace]
	for i, item := range a.items {
		if item.ID == id {
			a.items = append(a.items[:i], a.items[i+1:]...)
			break
		}
	}
	return true
}

// scanDepth bounds how many items of a workspace are tried in one turn.
const scanDepth = 16

// Next takes out the next item that fits and charges its workspace for it.
func (q *Queue) Next(fits func(Request) bool) (Request, bool) {
	for _, interactive := range []bool{true, false} {
		for _, a := range q.order() {
			if item, found := a.first(interactive, fits); found {
				q.Remove(item.ID)
				q.charge(a, item)
				return item, true
			}
		}
	}
	return Request{}, false
}

func (a *account) first(interactive bool, fits func(Request) bool) (Request, bool) {
	for _, item := range a.items[:min(len(a.items), scanDepth)] {
		if item.Interactive == interactive && fits(item) {
			return item, true
		}
	}
	return Request{}, false
}

// order lists the workspaces with waiting items, least served first.
func (q *Queue) order() []*account {
	var waiting []*account
	for _, a := range q.accounts {
		if len(a.items) > 0 {
			waiting = append(waiting, a)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if waiting[i].inUse != waiting[j].inUse {
			return waiting[i].inUse < waiting[j].inUse
		}
		if waiting[i].had != waiting[j].had {
			return waiting[i].had < waiting[j].had
		}
		return waiting[i].name < waiting[j].name
	})
	return waiting
}

func (q *Queue) charge(a *account, item Request) {
	q.floor = max(q.floor, a.had)
	cost := weighted(item.Tokens, item.Weight)
	a.had += cost
	a.inUse += cost
}

func weighted(tokens, weight int) float64 { return float64(tokens) / float64(max(weight, 1)) }

// Done counts an item as no longer in use; tokens is its estimate.
func (q *Queue) Done(workspace string, weight, tokens int) {
	a := q.account(workspace)
	a.inUse = max(a.inUse-weighted(tokens, weight), 0)
}

func (q *Queue) account(workspace string) *account {
	a := q.accounts[workspace]
	if a == nil {
		a = &account{name: workspace}
		q.accounts[workspace] = a
	}
	return a
}

// AdjustCharge charges a workspace for the tokens that a request took beyond its
// estimate; fewer is a credit.
func (q *Queue) AdjustCharge(workspace string, weight, difference int) {
	if a := q.accounts[workspace]; a != nil {
		a.had += weighted(difference, weight)
	}
}
