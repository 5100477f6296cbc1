package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	costDaemons   = flag.String("cost.daemons", "3,9", "numbers of daemons of one data centre to measure")
	costEndpoints = flag.String("cost.endpoints", "10", "numbers of endpoints to measure")
	costSeconds   = flag.Int("cost.seconds", 8, "length of each measurement")
)

// Bounds for the cost of control at one daemon.
const (
	maxCPUCores           = 0.022
	maxMemoryBytes        = 64e6
	maxPeerBytesPerSecond = 5000 // sent to and received from other daemons
)

// cost is the use of resources by one daemon: CPU seconds, or cores as a rate;
// resident memory in bytes; and bytes to and from other daemons.
type cost struct {
	cpu, memory, bytes float64
}

// TestControlCost measures the cost of control at the leader and at the other
// daemons of one data centre while no requests run.
func TestControlCost(t *testing.T) {
	for _, daemons := range parseNumbers(t, *costDaemons) {
		for _, endpoints := range parseNumbers(t, *costEndpoints) {
			t.Run(fmt.Sprintf("%d daemons, %d endpoints", daemons, endpoints), func(t *testing.T) {
				leader, worst, reads, writes := measureControlCost(t, daemons, endpoints)
				t.Logf("leader: %.2f%% of a core, %.0f MB, %.0f B/s; worst member: %.2f%%, %.0f MB, %.0f B/s; table: %.1f reads/s, %.1f writes/s",
					leader.cpu*100, leader.memory/1e6, leader.bytes, worst.cpu*100, worst.memory/1e6, worst.bytes, reads, writes)
				if raceEnabled {
					return
				}
				assert.Check(t, worst.cpu <= maxCPUCores, "member's processor time")
				assert.Check(t, worst.memory <= maxMemoryBytes, "member's memory")
				assert.Check(t, worst.bytes <= maxPeerBytesPerSecond, "member's traffic")
			})
		}
	}
}

func parseNumbers(t *testing.T, list string) []int {
	t.Helper()
	var out []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		out = append(out, n)
	}
	return out
}

func measureControlCost(t *testing.T, daemons, endpoints int) (leader, worst cost, reads, writes float64) {
	c := newCluster(t)
	c.startProcess("engine", "standin", "engine", "--listen", "0.0.0.0:9155")
	c.awaitListening("engine", "127.0.0.1:9155")
	for i := range daemons {
		c.addDaemon(fmt.Sprintf("d%d", i), "dc-1", 1, i+1, "--heartbeat", "500ms")
	}
	c.apply(costDocument(c, endpoints))
	time.Sleep(4 * time.Second)
	costsBefore := make([]cost, daemons)
	for i, d := range c.daemons {
		costsBefore[i] = d.readCost(t)
	}
	journalBefore := c.platformJournal()
	time.Sleep(time.Duration(*costSeconds) * time.Second)
	journalAfter := c.platformJournal()
	seconds := float64(*costSeconds)
	leaderDaemon := c.leaderOf("dc-1")
	for i, d := range c.daemons {
		now := d.readCost(t)
		used := cost{cpu: (now.cpu - costsBefore[i].cpu) / seconds, memory: now.memory, bytes: (now.bytes - costsBefore[i].bytes) / seconds}
		if d == leaderDaemon {
			leader = used
			continue
		}
		worst = cost{cpu: max(worst.cpu, used.cpu), memory: max(worst.memory, used.memory), bytes: max(worst.bytes, used.bytes)}
	}
	return leader, worst, float64(journalAfter.Reads-journalBefore.Reads) / seconds, float64(journalAfter.Writes-journalBefore.Writes) / seconds
}

func costDocument(c *cluster, endpoints int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "workspaces:\n  - {name: w, class: training, weight: 1}\nkeys:\n  - {name: k, workspace: w, hash: %s}\n", c.keyHash("w"))
	b.WriteString("models:\n  - {name: coach, version: 1}\ndata_centres:\n  - {name: dc-1, region: r}\nendpoints:\n")
	for i := range endpoints {
		fmt.Fprintf(&b, "  - {name: e%d, data_centre: dc-1, model: coach, address: \"127.220.%d.%d:9155\", knee: 8, cold_limit: 2, milli_price: 1000}\n", i, i/250, 1+i%250)
	}
	return b.String()
}

// readMetrics reads the daemon's metrics that have no labels; the map is empty if
// the daemon does not answer.
func (d *daemonProcess) readMetrics() map[string]float64 {
	got := send(context.Background(), http.MethodGet, d.operators, "/metrics", "", "")
	values := map[string]float64{}
	scanner := bufio.NewScanner(strings.NewReader(got.body))
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); found && err == nil {
			values[name] = value
		}
	}
	return values
}

// readCost returns the daemon's cost since its start, from its metrics.
func (d *daemonProcess) readCost(t *testing.T) cost {
	t.Helper()
	values := d.readMetrics()
	assert.Assert(t, len(values) > 0, "%s returned no metrics", d.name)
	return cost{
		cpu: values["process_cpu_seconds_total"], memory: values["process_resident_memory_bytes"],
		bytes: values["sesamepitch_peer_sent_bytes_total"] + values["sesamepitch_peer_received_bytes_total"],
	}
}
