package driver

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sesamepitch/src/batch"
)

const (
	// defaultEventTime is the expected time per event before any was measured.
	defaultEventTime = 40 * time.Millisecond
	// An output is expected to grow by at least 1/growthDivisor of its present
	// length.
	growthDivisor = 3
)

// task is the state of an item until it has a result.
type task struct {
	item batch.Item
	job  *job
	// index is the position of the item in its job.
	index  int
	output output
	// attempt grows when the output starts over; checkpointed is how many of
	// its events the table has.
	attempt      int64
	checkpointed int
	// failures counts runs that the engine answered with a failure; only they can
	// end an item. interruptions counts the runs in a row that were interrupted
	// before their first event, for the log: the item is owed all the same.
	failures      int
	interruptions int
	// stalls counts the runs in a row that were ended as stalled before an event.
	stalls int
	// unproven is set if the output ended without a proof that it is complete. Then a run
	// that has nothing to add to it proves it.
	unproven bool
	// notBefore is the earliest time of the next run after a failure.
	notBefore time.Time
	// run is the current run, nil while the task waits.
	run *run
	// avoid is the engine that failed the task last, avoidCentre its data
	// centre if the engine was unreachable or stalled.
	avoid       string
	avoidCentre string
	// reserved is the engine with a slot reserved for the task while its
	// current run ends.
	reserved     *engine
	lastMoved    time.Time
	waitingSince time.Time
	finished     bool
	// complete is set once the output has its last event, checkpointedComplete once
	// the table says so.
	complete             bool
	checkpointedComplete bool
	// scoring is the reward call of the complete output; nil if none is needed or
	// the score is known.
	scoring *scoring
	score   string
}

// needsRun reports whether the task waits for an engine.
func (t *task) needsRun() bool { return !t.finished && !t.complete && t.run == nil }

// uncheckpointedEvents returns how many events the table lacks, and whether it
// lacks the end of a complete output.
func (t *task) uncheckpointedEvents() (events int, end bool) {
	return len(t.output.events) - t.checkpointed, t.complete && !t.checkpointedComplete
}

// reserve reserves a slot at an engine for the task's next run.
func (t *task) reserve(e *engine) {
	t.reserved = e
	e.running++
}

// release frees the reserved slot and returns its engine, nil if there is none.
func (t *task) release() *engine {
	e := t.reserved
	if e == nil {
		return nil
	}
	t.reserved = nil
	e.running--
	return e
}

// restart discards the output and begins a new attempt, which does not continue
// it.
func (t *task) restart() {
	t.output = output{}
	t.attempt++
	t.checkpointed, t.checkpointedComplete = 0, false
	t.complete, t.unproven, t.score = false, false, ""
}

// nextCheckpoint returns the next part of the output that the table does not
// have, of about limit bytes at most.
func (t *task) nextCheckpoint(limit int) batch.Checkpoint {
	part := batch.Checkpoint{Item: t.index, Attempt: t.attempt, From: t.checkpointed}
	bytes := 0
	for i := t.checkpointed; i < len(t.output.events); i++ {
		bytes += batch.EncodedSize(t.output.events[i])
		if bytes > limit && len(part.Events) > 0 {
			break
		}
		part.Events = append(part.Events, t.output.events[i])
		part.Versions = append(part.Versions, t.output.eventVersions[i])
	}
	part.Complete = t.complete && part.From+len(part.Events) == len(t.output.events)
	return part
}

// result returns the task's result once its output is complete.
func (t *task) result() batch.Result {
	return batch.Result{ID: t.item.ID, State: batch.Done, Output: strings.Join(t.output.events, "\n"), Versions: t.output.versions(), Score: t.score}
}

func (t *task) abandonedResult() batch.Result {
	return batch.Result{ID: t.item.ID, State: batch.Abandoned, Versions: []int64{}}
}

// expectedEvents estimates how many events the output will have. An output that
// exceeds its trainer's estimate is likely to go on for a while.
func (t *task) expectedEvents() int {
	events := t.job.lengths.events(t.item.ExpectedTokens)
	produced := len(t.output.events)
	return max(events, produced+produced/growthDivisor, produced+1)
}

// remainingTime estimates the time that the rest of the output takes.
func (t *task) remainingTime(eventTime time.Duration) time.Duration {
	return time.Duration(t.expectedEvents()-len(t.output.events)) * eventTime
}

// byUrgency sorts waiting tasks by slack: the longest of a job first, and the
// older of two jobs.
func byUrgency(tasks []*task, now time.Time, eventTime time.Duration) {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Compare(a.slack(now, eventTime), b.slack(now, eventTime))
	})
}

// slack returns the time until the job's deadline beyond what the rest of the
// output takes. An eventTime of zero stands for one that is not measured yet.
func (t *task) slack(now time.Time, eventTime time.Duration) time.Duration {
	if eventTime <= 0 {
		eventTime = defaultEventTime
	}
	return t.job.deadline.Sub(now) - t.remainingTime(eventTime)
}
