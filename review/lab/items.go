package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// A job of jobItems items at engines workers, each with slots of its own. One item
// (2% of the answers) is answered without a length by each worker that runs it first.
const (
	engines   = 6
	jobItems  = 50
	bodyBytes = 600
	slots     = 12
	oddItem   = "item-00"
)

// unframedItem kills the worker that sends an answer without a length, and checks the
// texts of all results.
func unframedItem(l *lab) (broken bool, err error) {
	l.store.put("op", "config", config)
	workers := map[string]*process{}
	for i := range engines {
		id := fmt.Sprintf("lm-%d", i)
		if workers[id], err = l.startWorker(id, "lm", slots, "--unframed", oddItem, "--events"); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var items []string
	for i := range jobItems {
		items = append(items, fmt.Sprintf("item-%02d", i))
	}
	if status, err := l.submit(l.instances[0], "job-1", items, bodyBytes); err != nil || status != 202 {
		return false, fmt.Errorf("the job was not accepted: %d, %w", status, err)
	}
	if !l.await(10*time.Second, "event "+oddItem+" 10") {
		return false, fmt.Errorf("%s was not run", oddItem)
	}
	if l.trouble {
		for id, p := range workers {
			if l.seen(id+": ", "event "+oddItem+" 10") {
				l.note("SIGKILL of %s", id)
				l.signal(p, syscall.SIGKILL)
			}
		}
	}
	results, err := l.readAll(l.instances[1], "job-1", jobItems, 30*time.Second)
	if err != nil {
		return false, err
	}
	if len(results) < jobItems {
		return false, fmt.Errorf("only %d of %d results", len(results), jobItems)
	}
	for _, r := range results {
		events := strings.Count(r.Text, "\n") + 1
		if r.State == "done" && r.Text != wholeText(r.ID) {
			l.note("result of %s is done with %d of %d events", r.ID, events, streamEvents)
			broken = true
		}
	}
	return broken, nil
}
