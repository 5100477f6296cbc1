package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// deskSlots is the number of requests that a plain worker processes at once.
	deskSlots = 6
	// soundStreams is the number of streams in chunks, before the one without a length.
	soundStreams = 49
	oddStream    = "r-odd"
)

// tornStream kills the worker amid an event of a stream without a length, and checks
// that the stream doesn't look complete to the client.
func tornStream(l *lab) (broken bool, err error) {
	l.store.put("op", "config", config)
	workers := map[string]*process{}
	for i := range engines {
		id := fmt.Sprintf("desk-%d", i)
		if workers[id], err = l.startWorker(id, "desk", deskSlots, "--unframed", oddStream, "--torn", "--events"); err != nil {
			return false, err
		}
	}
	if err := l.startInstances(2); err != nil {
		return false, err
	}
	if err := l.soundStreams(); err != nil {
		return false, err
	}
	if l.trouble {
		go func() {
			l.await(10*time.Second, "event "+oddStream+" 10")
			for id, p := range workers {
				if l.seen(id+": ", "event "+oddStream+" 10") {
					l.note("SIGKILL of %s", id)
					l.signal(p, syscall.SIGKILL)
				}
			}
		}()
	}
	response, text, err := l.readStream(0, oddStream)
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

// readStream sends a streaming request and reads its answer.
func (l *lab) readStream(instance int, id string) (*http.Response, string, error) {
	header := http.Header{"Deadline-Remaining": {"10000"}}
	response, content, err := l.call(l.instances[instance], http.MethodPost, "/stream/7", id, header, []byte("prompt"))
	return response, string(content), err
}

// soundStreams reads streams that have chunks and checks that they are whole.
func (l *lab) soundStreams() error {
	ended := make(chan error, soundStreams)
	for i := range soundStreams {
		go func() {
			id := fmt.Sprintf("r-%02d", i)
			_, text, err := l.readStream(i%len(l.instances), id)
			if events := strings.Count(text, "\n\n"); err == nil && events != streamEvents {
				err = fmt.Errorf("%s has %d events", id, events)
			}
			ended <- err
		}()
	}
	var failed error
	for range soundStreams {
		if err := <-ended; err != nil {
			failed = err
		}
	}
	return failed
}
