package main

import (
	"fmt"
	"net/http"
	"time"
)

// scoredItems is the number of items whose calls are answered at once, before the one
// whose call fails once.
const (
	scoredItems = 49
	lastItem    = "item-last"
	// scoreAttempts is max_attempts of the scoring route.
	scoreAttempts = 2
)

// copiedFailure lets one scoring call fail once, with a late second copy of the answer,
// and checks that its item isn't given up before max_attempts answers of 500. Without
// trouble it fails once without the copy.
func copiedFailure(l *lab) (broken bool, err error) {
	l.scored = true
	l.store.put("op", "config", config)
	for i := range engines {
		if _, err = l.startWorker(fmt.Sprintf("lm-%d", i), "lm", slots); err != nil {
			return false, err
		}
	}
	options := []string{"--fails", "score-" + lastItem}
	if l.trouble {
		options = append(options, "--copied")
	}
	if _, err = l.startWorker("desk-0", "desk", deskSlots, options...); err != nil {
		return false, err
	}
	if err := l.startInstances(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var items []string
	for i := range scoredItems {
		items = append(items, fmt.Sprintf("item-%02d", i))
	}
	results, err := l.runJob("job-1", items)
	if err != nil {
		return false, err
	}
	last, err := l.runJob("job-2", []string{lastItem})
	if err != nil {
		return false, err
	}
	for _, r := range append(results, last...) {
		failures := l.count("answered score-" + r.ID + " 500")
		if r.State == "dead" {
			l.note("%s is dead after %d answers of 500; max_attempts is %d", r.ID, failures, scoreAttempts)
			broken = broken || failures < scoreAttempts
		}
	}
	return broken, nil
}

// runJob submits a job and reads all its results.
func (l *lab) runJob(job string, items []string) ([]result, error) {
	status, err := l.submit(l.instances[0], job, items, bodyBytes)
	if err != nil || status != http.StatusAccepted {
		return nil, fmt.Errorf("%s was not accepted: %d, %w", job, status, err)
	}
	results, err := l.readAll(l.instances[1], job, len(items), 30*time.Second)
	if err == nil && len(results) < len(items) {
		err = fmt.Errorf("only %d of %d results of %s", len(results), len(items), job)
	}
	return results, err
}
