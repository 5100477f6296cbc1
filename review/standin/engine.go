package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engineSet plays model workers and remembers what they ran.
type engineSet struct {
	// events is the number of events of an item's output, and gap the time of one.
	events func(item string) int
	gap    time.Duration

	mu   sync.Mutex
	runs []*engineRun
}

// engineRun is one run of an item at a worker.
type engineRun struct {
	item, worker string
	after        int
	began, ended time.Time
	done         bool
}

// handler returns the handler of one model worker.
func (s *engineSet) handler(id string, born int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/health":
			w.Header().Set("Instance-Id", id)
		case "/v1/report":
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{
				"stage": "both", "models": []any{map[string]any{"name": model, "version": 1, "adapters": []string{}}},
				"busy": false, "sequence": 0, "waiting": 0, "running": 0, "born": born,
			})
		case "/v1/order":
			w.WriteHeader(http.StatusOK)
		default:
			s.generateVersion(w, r, id, 1)
		}
	})
}

// generateVersion streams the events of an item after Last-Event-Id, made by a
// version of the weights. It drops the request when the channel closes.
func (s *engineSet) generateVersion(w http.ResponseWriter, r *http.Request, worker string, version int) {
	item := r.Header.Get("Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &engineRun{item: item, worker: worker, after: after, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", item)
	w.Header().Set("Server-Stamp", "stamp-"+item)
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	w.WriteHeader(http.StatusOK)
	for n := after + 1; n <= s.events(item); n++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			s.end(run, false)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, item, n)
		_ = http.NewResponseController(w).Flush()
	}
	s.end(run, true)
}

func (s *engineSet) end(run *engineRun, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.ended, run.done = time.Now(), done
}

// lastAtWorker returns the last time until which an item was at a worker, and
// whether a worker has finished it.
func (s *engineSet) lastAtWorker(item string) (last time.Time, done bool, runs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range s.runs {
		if run.item != item {
			continue
		}
		runs++
		until := run.ended
		if until.IsZero() {
			until = time.Now()
		}
		if until.After(last) {
			last = until
		}
		done = done || run.done
	}
	return last, done, runs
}

// workerOf returns the worker of an item's last run.
func (s *engineSet) workerOf(item string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := ""
	for _, run := range s.runs {
		if run.item == item {
			name = run.worker
		}
	}
	return name
}
