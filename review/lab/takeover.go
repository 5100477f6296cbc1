package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The load of takeover: trainers that ask for steps ahead, so that all jobs are open
// at the same time.
const (
	takeoverEngines  = 12
	takeoverSlots    = 12
	takeoverTrainers = 3
	takeoverSteps    = 4
	takeoverItems    = 60
	takeoverBody     = 120_000
	// stepTime is a trainer's time budget for a step.
	stepTime = 12 * time.Second
	// touchTime, after a disturbance, is not steady; idleTime is how long an item must
	// have been at no worker.
	touchTime = 3 * time.Second
	idleTime  = 5 * time.Second
)

// step is a batch job of a trainer.
type step struct {
	job       string
	items     []string
	submitted time.Time
	accepted  bool
	listed    map[string]bool
}

// takeover kills the instance that drives the jobs, once all are accepted, and checks
// that no step runs out of time with an item that is at no worker.
func takeover(l *lab) (broken bool, err error) {
	l.store.put("op", "config", config)
	for i := range takeoverEngines {
		if _, err = l.startWorker(fmt.Sprintf("lm-%d", i), "lm", takeoverSlots); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	for i := range l.instances {
		go l.enforceMemory(i)
	}
	time.Sleep(3 * time.Second)
	var trainers, readers sync.WaitGroup
	steps := make([]*step, takeoverTrainers*takeoverSteps)
	for trainer := range takeoverTrainers {
		trainers.Add(1)
		go func() {
			defer trainers.Done()
			for k := range takeoverSteps {
				s := newStep(trainer, k)
				steps[trainer*takeoverSteps+k] = s
				l.submitStep(s, trainer+k)
				readers.Add(1)
				go func() {
					defer readers.Done()
					l.readStep(s, trainer+k+1)
				}()
			}
		}()
	}
	trainers.Wait()
	steadyFrom := time.Now().Add(touchTime)
	if l.trouble {
		driver := l.driver()
		l.note("SIGKILL of %s, which drives the jobs", l.instance(driver).name)
		go l.killAndRestart(driver)
	}
	readers.Wait()
	return l.checkSteps(steps, steadyFrom)
}

func newStep(trainer, k int) *step {
	s := &step{job: fmt.Sprintf("job-%d-%d", trainer, k), listed: map[string]bool{}}
	for i := range takeoverItems {
		s.items = append(s.items, fmt.Sprintf("%s-item-%02d", s.job, i))
	}
	return s
}

// submitStep submits a step's job, at other instances after a refusal.
func (l *lab) submitStep(s *step, at int) {
	s.submitted = time.Now()
	for ; time.Since(s.submitted) < stepTime; at++ {
		status, err := l.submit(l.instance(at%len(l.instances)), s.job, s.items, takeoverBody)
		if s.accepted = err == nil && status == 202; s.accepted {
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// readStep reads a step's results until all are listed or its time has run out.
func (l *lab) readStep(s *step, at int) {
	for ; len(s.listed) < len(s.items) && time.Since(s.submitted) < stepTime; at++ {
		results, err := l.read(l.instance(at%len(l.instances)), s.job, len(s.listed))
		if err != nil {
			l.note("read of %s: %v", s.job, err)
		}
		for _, r := range results {
			s.listed[r.ID] = true
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.note("%s: %d of %d items listed after %.1f s", s.job, len(s.listed), len(s.items), time.Since(s.submitted).Seconds())
}

// driver returns the instance that made the last call with a fence, which drives the
// jobs.
func (l *lab) driver() int {
	l.mu.Lock()
	holder := l.holder
	l.mu.Unlock()
	for i := range l.instances {
		if l.instance(i).name == holder {
			return i
		}
	}
	return 0
}

// checkSteps checks the rule LOST for steps that ran out of time.
func (l *lab) checkSteps(steps []*step, steadyFrom time.Time) (broken bool, err error) {
	for _, s := range steps {
		if !s.accepted {
			return false, fmt.Errorf("%s was not accepted", s.job)
		}
		end := s.submitted.Add(stepTime)
		if len(s.listed) == len(s.items) || end.Add(-idleTime).Before(steadyFrom) {
			continue
		}
		begun, idle := 0, 0
		for _, item := range s.items {
			runs := l.runsOf(item)
			if len(runs) > 0 {
				begun++
			}
			if !s.listed[item] && isIdle(runs, end) {
				idle++
			}
		}
		half := takeoverEngines * takeoverSlots / 2
		busiest := l.busiest(end.Add(-idleTime), end)
		l.note("%s ran out of time: %d items begun, %d at no worker for %v, at most %d items at the workers meanwhile", s.job, begun, idle, idleTime, busiest)
		broken = broken || begun > 0 && idle > 0 && busiest < half
	}
	return broken, nil
}

// run is the time that an item spent at a worker.
type run struct {
	from, to time.Time
	done     bool
}

// runsOf returns the runs of an item.
func (l *lab) runsOf(item string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[item]
}

// isIdle reports whether no worker has finished an item or had it within idleTime
// before end.
func isIdle(runs []run, end time.Time) bool {
	for _, r := range runs {
		if r.done || r.to.IsZero() || r.to.After(end.Add(-idleTime)) {
			return false
		}
	}
	return true
}

// busiest returns the largest number of items at workers at the same time.
func (l *lab) busiest(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for at := from; at.Before(to); at = at.Add(20 * time.Millisecond) {
		count := 0
		for _, runs := range l.runs {
			for _, r := range runs {
				if r.from.Before(at) && (r.to.IsZero() || r.to.After(at)) {
					count++
				}
			}
		}
		most = max(most, count)
	}
	return most
}

// noteRun records what a worker tells of its runs.
func (l *lab) noteRun(line string) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.runs[fields[1]]
	switch fields[0] {
	case "began":
		l.runs[fields[1]] = append(runs, run{from: time.Now()})
	case "done", "left":
		for i := range runs {
			if runs[i].to.IsZero() {
				runs[i].to, runs[i].done = time.Now(), fields[0] == "done"
				break
			}
		}
	}
}
