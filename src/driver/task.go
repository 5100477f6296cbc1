package driver

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sesamepitch/src/batch"
)

const (
	// meanEvents is expected of an item whose trainer gave no estimate.
	meanEvents = 30
	// usualPace is expected of engines before events have been seen.
	usualPace = 40 * time.Millisecond
	// tokensPerEvent turns an estimate in tokens into events until texts have
	// shown the figure.
	tokensPerEvent = 59
	// beyondShare is one over the part of its present length that a text is
	// expected to grow by at least.
	beyondShare = 3
)

// task is an item on its way to a result.
type task struct {
	item batch.Item
	job  *job
	// index is the item's place in its job.
	index int
	text  text
	// lineage grows when the text starts anew; kept is how many of its events
	// the table has.
	lineage int64
	kept    int
	// failures counts answers that the engine failed after it ran the item,
	// breaks the runs that broke off before their first event.
	failures int
	breaks   int
	// notBefore holds a task back after a failure.
	notBefore time.Time
	// run is the present run, nil while the task waits.
	run *run
	// avoid is the engine that failed the task last, avoidCentre its data centre
	// if it could not be reached.
	avoid       string
	avoidCentre string
	// reserved is the engine whose place is kept for the task while its run
	// elsewhere ends.
	reserved  *engine
	movedAt   time.Time
	waitSince time.Time
	finished  bool
	// whole is set once the text has its last event.
	whole bool
}

// reserve keeps a place at an engine for the task's next run.
func (t *task) reserve(e *engine) {
	t.reserved = e
	e.running++
}

// release gives the kept place back and returns its engine, nil if there is
// none.
func (t *task) release() *engine {
	e := t.reserved
	if e == nil {
		return nil
	}
	t.reserved = nil
	e.running--
	return e
}

// restart drops the text; the next one does not continue it.
func (t *task) restart() {
	t.text = text{}
	t.lineage++
	t.kept = 0
}

// progress returns the part of the text that the table does not have, up to
// about a number of bytes.
func (t *task) progress(limit int) batch.Checkpoint {
	part := batch.Checkpoint{Item: t.index, Attempt: t.lineage, From: t.kept}
	bytes := 0
	for i := t.kept; i < len(t.text.events); i++ {
		bytes += len(t.text.events[i])
		if bytes > limit && len(part.Events) > 0 {
			break
		}
		part.Events = append(part.Events, t.text.events[i])
		part.Versions = append(part.Versions, t.text.made[i])
	}
	return part
}

// result is the task's outcome once its text is whole.
func (t *task) result() batch.Result {
	return batch.Result{ID: t.item.ID, State: batch.Done, Output: strings.Join(t.text.events, "\n"), Versions: t.text.versions()}
}

func (t *task) dead() batch.Result {
	return batch.Result{ID: t.item.ID, State: batch.Abandoned, Versions: []int64{}}
}

// expectedEvents estimates how many events the text will have. A text that is
// longer than its trainer's estimate is likely to go on for a while.
func (t *task) expectedEvents() int {
	events := meanEvents
	if t.item.ExpectedTokens > 0 {
		events = int(t.item.ExpectedTokens / tokensPerEvent)
	}
	made := len(t.text.events)
	return max(events, made+made/beyondShare, made+1)
}

// expectedLeft estimates the time that the rest of the text takes.
func (t *task) expectedLeft(pace time.Duration) time.Duration {
	return time.Duration(t.expectedEvents()-len(t.text.events)) * pace
}

// byUrgency orders waiting tasks by the time that is left beyond what they
// take: the longest of a job first, and the older of two jobs.
func byUrgency(tasks []*task, now time.Time, pace time.Duration) {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Compare(a.slack(now, pace), b.slack(now, pace))
	})
}

// slack is the time that is left beyond what the text takes at a pace; zero for
// one that is not known yet.
func (t *task) slack(now time.Time, pace time.Duration) time.Duration {
	if pace <= 0 {
		pace = usualPace
	}
	return t.job.due.Sub(now) - t.expectedLeft(pace)
}
