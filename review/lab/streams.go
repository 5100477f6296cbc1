package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// deskSlots is the number of requests that a plain worker processes at once.
const deskSlots = 6

// tornStream kills the worker amid an event of a stream without a length, and checks
// that the stream doesn't look complete to the client.
func tornStream(l *lab) (broken bool, err error) {
	l.store.put("op", "config", config)
	workers := map[string]*process{}
	for i := range engines {
		id := fmt.Sprintf("desk-%d", i)
		if workers[id], err = l.startWorker(id, "desk", deskSlots, "--unframed", "all", "--torn", "--events"); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(2); err != nil {
		return false, err
	}
	if l.trouble {
		go func() {
			l.await(10*time.Second, "event r-1 10")
			for id, p := range workers {
				if l.seen(id+": ", "event r-1 10") {
					l.note("SIGKILL of %s", id)
					l.signal(p, syscall.SIGKILL)
				}
			}
		}()
	}
	response, content, err := l.call(l.instances[0], http.MethodPost, "/stream/7", "r-1", http.Header{"Deadline-Remaining": {"10000"}}, []byte("prompt"))
	text := string(content)
	ended := strings.Count(text, "\n\n")
	if err != nil {
		l.note("the client's stream broke off after %d of %d events: %v", ended, streamEvents, err)
		return false, nil
	}
	l.note("the client's stream ended as complete: status %d, %d of %d events, last bytes %q", response.StatusCode, ended, streamEvents, text[max(0, len(text)-30):])
	if response.StatusCode != http.StatusOK {
		return false, nil
	}
	if ended > streamEvents {
		return false, fmt.Errorf("%d events", ended)
	}
	return ended < streamEvents, nil
}
