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
	defaultEvents = 30
	// usualPace is expected of engines before events have been seen.
	defaultEventTime = 40 * time.Millisecond
	// tokensPerEvent turns an estimate in tokens into events until texts have
	// shown the figure.
	tokensPerEvent = 59
	// beyondShare is one over the part of its present length that a text is
	// expected to grow by at least.
	growthDivisor = 3
)

// task is an item on its way to a result.
type task struct {
	item batch.Item
	job  *job
	// index is the item's place in its job.
	index  int
	output output
	// lineage grows when the text starts anew; kept is how many of its events
	// the table has.
	attempt      int64
	checkpointed int
	// failures counts answers that the engine failed after it ran the item,
	// breaks the runs that broke off before their first event.
	failures      int
	interruptions int
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
	reserved     *engine
	lastMoved    time.Time
	waitingSince time.Time
	finished     bool
	// whole is set once the text has its last event.
	complete bool
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
	t.output = output{}
	t.attempt++
	t.checkpointed = 0
}

// progress returns the part of the text that the table does not have, up to
// about a number of bytes.
func (t *task) nextCheckpoint(limit int) batch.Progress {
	part := batch.Progress{Item: t.index, Lineage: t.attempt, From: t.checkpointed}
	bytes := 0
	for i := t.checkpointed; i < len(t.output.events); i++ {
		bytes += len(t.output.events[i])
		if bytes > limit && len(part.Events) > 0 {
			break
		}
		part.Events = append(part.Events, t.output.events[i])
		part.Versions = append(part.Versions, t.output.eventVersions[i])
	}
	return part
}

// result is the task's outcome once its text is whole.
func (t *task) result() batch.Result {
	return batch.Result{ID: t.item.ID, State: batch.Done, Text: strings.Join(t.output.events, "\n"), Versions: t.output.versions()}
}

func (t *task) abandonedResult() batch.Result {
	return batch.Result{ID: t.item.ID, State: batch.Dead, Versions: []int64{}}
}

// expectedEvents estimates how many events the text will have. A text that is
// longer than its trainer's estimate is likely to go on for a while.
func (t *task) expectedEvents() int {
	events := defaultEvents
	if t.item.ExpectedTokens > 0 {
		events = int(t.item.ExpectedTokens / tokensPerEvent)
	}
	produced := len(t.output.events)
	return max(events, produced+produced/growthDivisor, produced+1)
}

// expectedLeft estimates the time that the rest of the text takes.
func (t *task) remainingTime(eventTime time.Duration) time.Duration {
	return time.Duration(t.expectedEvents()-len(t.output.events)) * eventTime
}

// byUrgency orders waiting tasks by the time that is left beyond what they
// take: the longest of a job first, and the older of two jobs.
func byUrgency(tasks []*task, now time.Time, eventTime time.Duration) {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Compare(a.slack(now, eventTime), b.slack(now, eventTime))
	})
}

// slack is the time that is left beyond what the text takes at a pace; zero for
// one that is not known yet.
func (t *task) slack(now time.Time, eventTime time.Duration) time.Duration {
	if eventTime <= 0 {
		eventTime = defaultEventTime
	}
	return t.job.deadline.Sub(now) - t.remainingTime(eventTime)
}
