package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load of bodies: one job whose items wait for a worker with few places, and
// clients that ask for the bodies of its items, each for one after the other.
const (
	bodiesSize     = 290_000
	bodiesSlots    = 2
	bodiesTime     = 25 * time.Second
	bodiesPerEntry = 3
	// maxEnds is how often processes of a machine may end, on two machines at least,
	// before the rule is broken.
	maxEnds     = 3
	minMachines = 2
)

// itemBodies lets several clients ask for the bodies of items, three at each instance,
// and checks how often the instances' processes end. Without trouble it is one client
// at each instance.
func itemBodies(l *lab) (broken bool, err error) {
	l.store.put("op", "config", config)
	if _, err = l.startWorker("lm-0", "lm", bodiesSlots); err != nil {
		return false, err
	}
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	for i := range l.instances {
		go l.enforceMemory(i)
	}
	time.Sleep(3 * time.Second)
	s := newStep(0, 0)
	if status, err := l.submit(l.instance(0), s.job, s.items, bodiesSize); err != nil || status != http.StatusAccepted {
		return false, fmt.Errorf("the job was not accepted: %d, %w", status, err)
	}
	perEntry := 1
	if l.trouble {
		perEntry = bodiesPerEntry
	}
	var clients sync.WaitGroup
	until := time.Now().Add(bodiesTime)
	for c := range perEntry * len(l.instances) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			l.askForBodies(s, c, until)
		}()
	}
	clients.Wait()
	machines := 0
	for i := range l.instances {
		ends := l.count(l.instance(i).name+" exceeds ", "killed by the platform")
		l.note("%s ended %d times", l.instance(i).name, ends)
		if ends >= maxEnds {
			machines++
		}
	}
	return machines >= minMachines, nil
}

// askForBodies asks for the bodies of a job's items until a time, after a failure at
// another instance.
func (l *lab) askForBodies(s *step, client int, until time.Time) {
	at, answered, failed := client, 0, 0
	for n := len(s.items) - 1; time.Now().Before(until); n-- {
		item := s.items[(n+len(s.items))%len(s.items)]
		if n == 0 {
			n = len(s.items)
		}
		path := fmt.Sprintf("/v1/items/%s?id=%s", s.job, item)
		response, content, err := l.call(l.instance(at%len(l.instances)), http.MethodGet, path, fmt.Sprintf("body-%d-%d", client, n), nil, nil)
		if err != nil || response.StatusCode == http.StatusServiceUnavailable {
			failed++
			at++
			time.Sleep(400 * time.Millisecond)
			continue
		}
		if response.StatusCode == http.StatusOK && len(content) != bodiesSize {
			l.note("the body of %s has %d bytes", item, len(content))
		}
		answered++
		time.Sleep(100 * time.Millisecond)
	}
	l.note("client %d: %d requests answered, %d failed", client, answered, failed)
}
