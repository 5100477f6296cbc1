package driver

import (
	"context"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"
)

// apply takes over changes of the table of open jobs.
func (s *session) apply(ctx context.Context, update registry.Update) {
	for _, row := range update.Rows {
		if row.Deleted {
			s.forgetHead(row.Name())
			continue
		}
		head, err := batch.DecodeHeader(row)
		if err != nil {
			s.log.Info("row of an open job is unreadable", "cause", err.Error())
			continue
		}
		s.takeHead(ctx, head)
	}
}

// takeHead takes a job over or ends it, as its head says.
func (s *session) takeHead(ctx context.Context, head batch.Header) {
	s.noteHead(head)
	if head.Ended {
		s.endJob(head.ID)
		return
	}
	s.adopt(ctx, head)
}

// adopt takes a job over unless that has begun already.
func (s *session) adopt(ctx context.Context, head batch.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adopted[head.ID] {
		return
	}
	s.adopted[head.ID] = true
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.drive(ctx, head)
	}()
}

// drive takes a job over and lists its results until it is over.
func (s *session) drive(ctx context.Context, head batch.Header) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		j, before, err := s.load(ctx, head)
		if err == nil {
			j.cancel = cancel
			s.add(j, before)
			s.commit(ctx, j)
			return
		}
		if sesamepitch.KindOf(err) == sesamepitch.KindConflict {
			s.log.Info("job not taken over", "job", head.ID, "cause", err.Error())
			return
		}
		s.log.Info("job not yet taken over", "job", head.ID, "cause", err.Error())
		select {
		case <-s.clock.After(adoptPause):
		case <-ctx.Done():
			return
		}
	}
}

// before is what earlier drivers have made of a job.
type before struct {
	done  []batch.Result
	texts map[int]batch.Checkpoint
}

// load reads a job, claims it and reads what there is of its results.
func (s *session) load(ctx context.Context, head batch.Header) (*job, before, error) {
	loaded, err := s.ledger.Job(ctx, head)
	if err != nil {
		return nil, before{}, err
	}
	claim, err := s.ledger.Claim(ctx, head.ID, s.holder, s.epoch)
	if err != nil {
		return nil, before{}, err
	}
	j := &job{Job: loaded, target: newTarget(loaded), claim: claim, wake: make(chan struct{}, 1), handOver: make(chan chan struct{}), committed: make(chan struct{})}
	if claim.IsFirst() {
		return j, before{}, nil
	}
	done, err := s.ledger.AllResults(ctx, head.ID)
	if err != nil {
		return nil, before{}, err
	}
	texts, err := s.ledger.Checkpoints(ctx, head.ID)
	return j, before{done: done, texts: texts}, err
}

// add puts a job's items in line.
func (s *session) add(j *job, earlier before) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	if s.over[j.ID] {
		j.ended = true
		j.cancel()
		return
	}
	now := s.clock.Now()
	s.setTimes(j)
	finished := map[string]bool{}
	for _, result := range earlier.done {
		finished[result.ID] = true
	}
	j.listed = len(earlier.done)
	known := 0
	for _, item := range j.Items {
		if s.carry.has(carryKey{j.Workspace, j.Route, item.ID}) {
			j.target.await(item.Group)
		}
	}
	for i, item := range j.Items {
		t := &task{item: item, job: j, index: i, waitSince: now, finished: finished[item.ID], lineage: s.epoch << lineageBits}
		j.tasks = append(j.tasks, t)
		if t.finished {
			j.target.finish(item.Group)
			continue
		}
		j.open = append(j.open, t)
		t.whole = s.recall(t, earlier.texts[i])
		if len(t.text.events) > 0 {
			known++
		}
		if t.whole {
			s.finish(t, t.result())
		}
	}
	s.jobs[j.ID] = j
	s.learnLag(j)
	s.log.Info("job taken over", "job", j.ID, "step", j.Step, "model", j.Model, "min_version", j.MinVersion,
		"named", s.registry.Versions()[j.Model], "items", len(j.Items), "listed", len(earlier.done), "carried", known,
		"age_ms", now.Sub(j.Submitted).Milliseconds())
}

// lineageBits leaves room for the texts of one item within an epoch.
const lineageBits = 12

// recall starts a task with a text that is known already, from a former driver
// or a former job, and tells whether it is whole.
func (s *session) recall(t *task, kept batch.Checkpoint) bool {
	former := textOfProgress(kept)
	carried, whole := s.carry.take(t)
	t.text = carried
	if !whole && len(former.events) > len(carried.events) && former.allowed(t.job.MinVersion, t.job.single) {
		t.text = former
	}
	return whole
}

func (s *session) setTimes(j *job) {
	due, giveUp := defaultDue, defaultGiveUp
	if config := s.registry.Config(); config != nil {
		if route, found := config.RouteNamed(j.Route); found {
			j.single = route.SingleVersion
			if route.ResultDeadline > 0 {
				due = route.ResultDeadline
			}
			if route.QueueTTL > 0 {
				giveUp = route.QueueTTL
			}
		}
	}
	j.due, j.giveUp = j.Submitted.Add(due), j.Submitted.Add(giveUp)
}

// endJob ends a job's runs; what is whole already is still listed.
func (s *session) endJob(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopted[id], s.over[id] = true, true
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	s.carry.keepOpenGroups(j, s.clock.Now())
	open := 0
	for _, t := range j.tasks {
		if t.finished {
			continue
		}
		open++
		t.finished = true
		s.abandon(t)
	}
	j.ended = true
	j.cancel()
	s.log.Info("job ended by its trainer", "job", id, "items", len(j.Items), "unfinished", open)
	s.wakeUp()
}

// drop forgets a job that another process has taken over.
func (s *session) drop(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, j.ID)
	j.ended = true
	for _, t := range j.tasks {
		t.finished = true
		s.abandon(t)
	}
}
