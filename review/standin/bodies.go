package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["bodies"] = largeBodies }

// Figures of the case "bodies".
const (
	// uploads is the number of consumers that send a body at the same time, and
	// uploadBytes the size of a body: under the limit of the configuration.
	uploads     = 5
	uploadBytes = 30 << 20
	smallBytes  = 600
	// bystanders are consumers with a request under way on a kept channel.
	bystanders    = 8
	bystanderWork = 3 * time.Second
	// machineMemory is the memory of a machine of the site lgig-pitch.
	machineMemory = 174
	sampleGap     = 5 * time.Millisecond
)

// largeBodies lets some consumers send bodies within the configuration's limit to
// one instance at the same time. The platform kills a process whose memory exceeds
// its machine's; the case does so, too.
func largeBodies(b *bench) (verdict, error) {
	b.memoryMB = machineMemory
	b.putConfig(route{"name": "r-desk", "path_prefix": "/desk/", "kind": "safe", "timeout_ms": 10000, "target_latency_ms": 4000, "priority": 1, "service": "desk", "max_attempts": 1})
	var running atomic.Int64
	for n := range 2 {
		if err := b.startWorker(fmt.Sprintf("i-desk-%d", n+1), "desk", zones[n], 12, deskWorker(&running)); err != nil {
			return verdict{}, err
		}
	}
	if err := b.addInstances(1); err != nil {
		return verdict{}, err
	}
	target := b.instances[0]
	var bystander, upload sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for n := range bystanders {
		bystander.Go(func() {
			outcome, ok := keptRequest(target.frontend, n)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				lost++
			}
			b.record("request %d on a kept channel: %s", n, outcome)
		})
	}
	for running.Load() < bystanders {
		time.Sleep(10 * time.Millisecond)
	}
	b.record("%d requests are at work at sound workers; the process has %d MB", running.Load(), residentMB(target))
	size := smallBytes
	if b.trouble {
		size = uploadBytes
	}
	for n := range uploads {
		upload.Go(func() { b.record("body %d of %d bytes: %s", n, size, sendBody(target.frontend, n, size)) })
	}
	most, killed := b.watchMemory(target, bystander.Wait)
	bystander.Wait()
	upload.Wait()
	text := fmt.Sprintf("LOST: the process had %d MB at most of %d MB; killed for it: %t; %d of %d requests that were at work at a worker got no answer", most, machineMemory, killed, lost, bystanders)
	return verdict{broken: killed && lost > 3, text: text}, nil
}

// watchMemory samples a process's memory until wait returns, and kills the process
// if it exceeds its machine's memory, as the platform does.
func (b *bench) watchMemory(i *instance, wait func()) (most int, killed bool) {
	done := make(chan struct{})
	go func() {
		wait()
		close(done)
	}()
	for {
		most = max(most, residentMB(i))
		if !killed && most > machineMemory {
			killed = true
			b.record("%s has %d MB, its machine %d MB: the platform kills the process", i.name, most, machineMemory)
			b.signal(i, syscall.SIGKILL)
		}
		select {
		case <-done:
			return most, killed
		case <-time.After(sampleGap):
		}
	}
}

// residentMB returns the resident memory of an instance's process.
func residentMB(i *instance) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

func deskRequest(w io.Writer, id string, path string, size int) {
	_, _ = fmt.Fprintf(w, "POST /desk/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		path, routeHost, id, apiKey, size)
}

// keptRequest sends two requests on one channel: a short one and one that takes
// bystanderWork. It returns the outcome of the second one.
func keptRequest(address string, n int) (string, bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	outcome, ok := "", false
	for k, path := range []string{"short", "long"} {
		deskRequest(conn, fmt.Sprintf("%08x%08x", k, n), path, 0)
		outcome, ok = read(http.ReadResponse(reader, nil))
		if !ok {
			return outcome, false
		}
	}
	return outcome, ok
}

func sendBody(address string, n, size int) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	deskRequest(conn, fmt.Sprintf("b%015x", n), "upload", size)
	part := make([]byte, 64<<10)
	for sent := 0; sent < size; {
		written, err := conn.Write(part[:min(len(part), size-sent)])
		if err != nil {
			return fmt.Sprintf("broken off after %d bytes: %v", sent, err)
		}
		sent += written
	}
	outcome, _ := read(http.ReadResponse(bufio.NewReader(conn), nil))
	return outcome
}

// deskWorker returns the handler of a sound worker.
func deskWorker(running *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/desk/long" {
			running.Add(1)
			time.Sleep(bystanderWork)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "stamp-"+r.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, "an answer")
	})
}
