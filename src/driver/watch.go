package driver

import "time"

const (
	// movePause is the time between two moves of a text.
	movePause = time.Second
	// migrateGain is how much sooner a text must be whole elsewhere to move it.
	migrateGain = 400 * time.Millisecond
)

// endStalled ends runs whose engine has been silent for too long.
func (s *session) endStalled(now time.Time) {
	for _, t := range s.runningTasks() {
		if t.run.why != "" || now.Sub(t.run.lastEvent) <= t.run.silenceLimit() {
			continue
		}
		t.run.engine.missed(now)
		t.avoid, t.avoidCentre = t.run.engine.entry.ID, t.run.engine.entry.Centre
		s.stop(t.run, "engine is silent")
	}
}

// silenceLimit is how long the engine may say nothing until the run is given up.
func (r *run) silenceLimit() time.Duration {
	if !r.gotEvent {
		return firstEventTime
	}
	return min(max(gapPaces*r.engine.pace, gapLeast), gapMost)
}

// stop ends a run from this side; its task goes on with the text so far.
func (s *session) stop(r *run, why string) {
	r.why = why
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
	median := medianPace(s.states)
	for _, t := range s.runningTasks() {
		e := t.run.engine
		leaving := !e.entry.LeavesAt.IsZero() && e.entry.LeavesAt.Sub(now) < t.expectedLeft(max(e.pace, median))
		if t.run.why != "" || !leaving && !e.isSlow(median) {
			continue
		}
		gain := t.expectedLeft(e.pace) - t.expectedLeft(median)
		if !leaving && gain < migrateGain {
			continue
		}
		if now.Sub(t.movedAt) < movePause {
			continue
		}
		n := s.needOf(t)
		n.avoid = e.entry.ID
		other := choose(s.states, now, n)
		if other == nil || other == e || other.isSlow(median) {
			continue
		}
		s.stop(t.run, "moved to a faster engine")
		t.avoid = e.entry.ID
		t.movedAt = now
		t.reserve(other)
	}
}

// giveUpDue ends the items of jobs whose time is over.
func (s *session) giveUpDue(now time.Time) {
	for _, j := range s.jobs {
		if now.Before(j.giveUp) {
			continue
		}
		for _, t := range j.open {
			if !t.finished {
				s.log.Info("item given up", "job", j.ID, "item", t.item.ID, "failures", t.failures, "breaks", t.breaks)
				s.finish(t, t.dead())
				s.abandon(t)
			}
		}
	}
}

// abandon ends a task's run for good.
func (s *session) abandon(t *task) {
	t.release()
	if t.run != nil {
		s.stop(t.run, "job is over")
	}
}
