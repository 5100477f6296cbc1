package driver

import "time"

const (
	// moveInterval is the least time between two moves of a task.
	moveInterval = time.Second
	// minMigrateGain is how much sooner a task must be complete at another
	// engine to be moved.
	minMigrateGain = 400 * time.Millisecond
	// maxStallDoublings bounds the doublings of the stall limit of a task whose
	// runs stall one after the other: all engines may just be slow.
	maxStallDoublings = 5
)

// endStalled ends the runs of unresponsive engines.
func (s *session) endStalled(now time.Time) {
	for _, t := range s.runningTasks() {
		if t.run.endReason != "" || now.Sub(t.run.lastActivity) <= t.run.stallLimit()<<t.stallDoublings() {
			continue
		}
		t.stalls++
		t.run.engine.recordMiss(now)
		t.avoid, t.avoidCentre = t.run.engine.entry.ID, t.run.engine.entry.Centre
		s.stopRun(t.run, "engine is unresponsive")
	}
}

// stallLimit returns the time without an event after which the run ends. An engine
// whose events take long is not unresponsive.
func (r *run) stallLimit() time.Duration {
	slow := slowEventFactor * r.engine.eventTime
	if !r.gotEvent {
		return max(firstEventTimeout, slow)
	}
	return max(min(max(stallFactor*r.engine.eventTime, minStallTime), maxStallTime), slow)
}

// stallDoublings returns how often the stall limit of the task's run is doubled:
// once for each of its last runs that stalled, from the second one on.
func (t *task) stallDoublings() int { return min(max(t.stalls-1, 0), maxStallDoublings) }

// stopRun ends a run from the driver's side; the task keeps its partial output.
func (s *session) stopRun(r *run, reason string) {
	r.endReason = reason
	r.cancel()
}

func (s *session) runningTasks() []*task {
	var tasks []*task
	for _, j := range s.jobs {
		for _, t := range j.open {
			if t.run != nil {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// migrate moves tasks away from engines that are slow or about to leave, if
// another engine has room.
func (s *session) migrate(now time.Time) {
	median := medianEventTime(s.engineStates)
	for _, t := range s.runningTasks() {
		e := t.run.engine
		leaving := !e.entry.LeavesAt.IsZero() && e.entry.LeavesAt.Sub(now) < t.remainingTime(max(e.eventTime, median))
		if t.run.endReason != "" || !leaving && !e.isSlow(median) {
			continue
		}
		gain := t.remainingTime(e.eventTime) - t.remainingTime(median)
		if !leaving && gain < minMigrateGain {
			continue
		}
		if now.Sub(t.lastMoved) < moveInterval {
			continue
		}
		req := s.requirementOf(t)
		req.avoid = e.entry.ID
		other := choose(s.engineStates, now, req)
		if other == nil || other == e || other.isSlow(median) {
			continue
		}
		s.stopRun(t.run, "moved to another engine")
		t.avoid = e.entry.ID
		t.lastMoved = now
		t.reserve(other)
	}
}

// abandonExpired abandons the unfinished items of expired jobs.
func (s *session) abandonExpired(now time.Time) {
	for _, j := range s.jobs {
		if now.Before(j.expiresAt) {
			continue
		}
		for _, t := range j.open {
			if !t.finished {
				s.log.Info("item abandoned", "job", j.ID, "item", t.item.ID, "failures", t.failures, "breaks", t.interruptions)
				s.finish(t, t.abandonedResult())
				s.cancelTask(t)
			}
		}
	}
}

// cancelTask ends a task's run and its reward call without another one.
func (s *session) cancelTask(t *task) {
	t.release()
	t.endScoring()
	if t.run != nil {
		s.stopRun(t.run, "item or job ended")
	}
}
