package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopUnderLongRequests }

// Figures of the case "stop".
const (
	grace          = 8 * time.Second
	longWork       = 7200 * time.Millisecond
	longRequests   = 24
	longGap        = 50 * time.Millisecond
	longBudget     = 12000 * time.Millisecond
	deskSlots      = 12
	stopAfterStart = longRequests * longGap
)

// longRequest is what the consumer and the worker saw of a request.
type longRequest struct {
	id                string
	stream            bool
	sentAt, endedAt   time.Time
	startedAt, doneAt time.Time
	// dropped is when the worker saw its channel close before it was done.
	dropped time.Time
	outcome string
	ok      bool
}

// longRequests collects requests by ID.
type longRequestSet struct {
	mu   sync.Mutex
	byID map[string]*longRequest
}

func (s *longRequestSet) update(id string, change func(*longRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[id] == nil {
		s.byID[id] = &longRequest{id: id}
	}
	change(s.byID[id])
}

// stopUnderLongRequests stops one of three instances with SIGTERM while requests
// that take some seconds are under way at it. All were sent before the SIGTERM,
// and each would be answered within its time budget and its route's timeout.
func stopUnderLongRequests(b *bench) (verdict, error) {
	b.putConfig(
		route{"name": "r-plain", "path_prefix": "/plain/", "kind": "safe", "timeout_ms": 10000, "target_latency_ms": 8000, "priority": 1, "service": "desk", "max_attempts": 1},
		route{"name": "r-stream", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1, "service": "desk", "max_attempts": 1},
	)
	set := &longRequestSet{byID: map[string]*longRequest{}}
	for n := range 2 {
		if err := b.startWorker(fmt.Sprintf("i-desk-%d", n+1), "desk", zones[n], deskSlots, set.worker()); err != nil {
			return verdict{}, err
		}
	}
	if err := b.addInstances(3); err != nil {
		return verdict{}, err
	}
	target := b.instances[0]
	var consumers sync.WaitGroup
	for n := range longRequests {
		consumers.Go(func() { set.send(target.frontend, fmt.Sprintf("%016x", 0xa000+n), n%2 == 0) })
		time.Sleep(longGap)
	}
	stopAt := time.Now()
	if b.trouble {
		b.signal(target, syscall.SIGTERM)
		go func() {
			time.Sleep(grace)
			if !target.hasEnded() {
				b.signal(target, syscall.SIGKILL)
			}
		}()
	}
	consumers.Wait()
	return b.judgeStop(set, stopAt), nil
}

// judgeStop counts the requests whose channel ended without a complete answer. One
// whose worker would still have been at work in the last sixth of the grace time is
// excused.
func (b *bench) judgeStop(set *longRequestSet, stopAt time.Time) verdict {
	set.mu.Lock()
	defer set.mu.Unlock()
	lastSixth := stopAt.Add(grace * 5 / 6)
	lost, excused := 0, 0
	for n := range longRequests {
		r := set.byID[fmt.Sprintf("%016x", 0xa000+n)]
		wouldEnd := r.startedAt.Add(longWork)
		note := ""
		switch {
		case r.ok:
		case r.startedAt.IsZero():
			note = "never reached a worker"
		case wouldEnd.Before(lastSixth):
			lost++
			note = "LOST"
		default:
			excused++
			note = "not counted: the worker would have been at work in the last sixth"
		}
		b.record("request %s stream=%t sent %+.3f s, at the worker %+.3f s, worker would be done %+.3f s, worker's channel closed %s, consumer's channel ended %+.3f s: %s %s",
			r.id, r.stream, r.sentAt.Sub(stopAt).Seconds(), r.startedAt.Sub(stopAt).Seconds(), wouldEnd.Sub(stopAt).Seconds(),
			since(r.dropped, stopAt), r.endedAt.Sub(stopAt).Seconds(), r.outcome, note)
	}
	text := fmt.Sprintf("%d of %d requests were cut off without a complete answer before the last sixth of grace_s (%.3f s after the SIGTERM); %d more later",
		lost, longRequests, (grace * 5 / 6).Seconds(), excused)
	return verdict{broken: lost > 0, text: "LOST: " + text}
}

func since(at, from time.Time) string {
	if at.IsZero() {
		return "no"
	}
	return fmt.Sprintf("%+.3f s", at.Sub(from).Seconds())
}

// send sends one request on a channel of its own and reads the answer to its end.
func (s *longRequestSet) send(address, id string, stream bool) {
	path := "/plain/report"
	if stream {
		path = "/stream/text"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("an order"))
	if err != nil {
		return
	}
	request.Host = routeHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Remaining", strconv.FormatInt(longBudget.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	s.update(id, func(r *longRequest) { r.sentAt, r.stream = time.Now(), stream })
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	outcome, ok := read(transport.RoundTrip(request))
	s.update(id, func(r *longRequest) { r.endedAt, r.outcome, r.ok = time.Now(), outcome, ok })
}

// read reads an answer to its end, and reports whether it is a complete success.
func read(response *http.Response, err error) (outcome string, ok bool) {
	if err != nil {
		return fmt.Sprintf("no answer (%v)", err), false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("status %d, broken off after %d bytes (%v)", response.StatusCode, len(body), err), false
	}
	return fmt.Sprintf("status %d, %d bytes", response.StatusCode, len(body)), response.StatusCode == http.StatusOK
}

// worker returns the handler of a worker whose requests take longWork. It drops a
// request when its channel closes.
func (s *longRequestSet) worker() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		_, _ = io.ReadAll(r.Body)
		id := r.Header.Get("Request-Id")
		started := time.Now()
		s.update(id, func(r *longRequest) { r.startedAt = started })
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Stamp", "stamp-"+id)
		streams := strings.HasPrefix(r.URL.Path, "/stream/")
		for n := 1; time.Since(started) < longWork; n++ {
			if streams {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", n, n)
				_ = http.NewResponseController(w).Flush()
			}
			select {
			case <-time.After(min(100*time.Millisecond, time.Until(started.Add(longWork)))):
			case <-r.Context().Done():
				s.update(id, func(r *longRequest) { r.dropped = time.Now() })
				return
			}
		}
		_, _ = io.WriteString(w, ": end\n\n")
		s.update(id, func(r *longRequest) { r.doneAt = time.Now() })
	})
}
