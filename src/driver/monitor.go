package driver

import "time"

const (
	// movePause is the time between two moves of a text.
	moveInterval = time.Second
	// migrateGain is how much sooner a text must be whole elsewhere to move it.
	minMigrateGain = 400 * time.Millisecond
)

// endStalled ends runs whose engine has been silent for too long.
func (s *session) endStalled(now time.Time) {
	for _, t := range s.runningTasks() {
		if t.run.endReason != "" || now.Sub(t.run.lastActivity) <= t.run.stallLimit() {
			continue
		}
		t.run.engine.recordMiss(now)
		t.avoid, t.avoidCentre = t.run.engine.entry.ID, t.run.engine.entry.Centre
		s.stopRun(t.run, "engine is silent")
	}
}

// silenceLimit is how long the engine may say nothing until the run is given up.
func (r *run) stallLimit() time.Duration {
	if !r.gotEvent {
		return firstEventTimeout
	}
	return min(max(stallFactor*r.engine.eventTime, minStallTime), maxStallTime)
}

// stop ends a run from this side; its task goes on with the text so far.
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

// migrate moves texts away from engines that are slow or about to leave, while
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
		n := s.requirementOf(t)
		n.avoid = e.entry.ID
		other := choose(s.engineStates, now, n)
		if other == nil || other == e || other.isSlow(median) {
			continue
		}
		s.stopRun(t.run, "moved to a faster engine")
		t.avoid = e.entry.ID
		t.lastMoved = now
		t.reserve(other)
	}
}

// giveUpDue ends the items of jobs whose time is over.
func (s *session) abandonExpired(now time.Time) {
	for _, j := range s.jobs {
		if now.Before(j.expiresAt) {
			continue
		}
		for _, t := range j.open {
			if !t.finished {
				s.log.Info("item given up", "job", j.ID, "item", t.item.ID, "failures", t.failures, "breaks", t.interruptions)
				s.finish(t, t.abandonedResult())
				s.cancelTask(t)
			}
		}
	}
}

// abandon ends a task's run for good.
func (s *session) cancelTask(t *task) {
	t.release()
	if t.run != nil {
		s.stopRun(t.run, "job is over")
	}
}
