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

// The bounds of letter 1 for control at one daemon.
const (
	boundCPU    = 0.022 // of a core
	boundMemory = 64e6  // bytes
	boundBytes  = 5000  // a second, to and from other daemons
)

// cost is what control takes at one daemon.
type cost struct {
	cpu, memory, bytes float64
}

// TestControlCost measures what control takes at the leader and at the other
// daemons of one data centre, without any work.
func TestControlCost(t *testing.T) {
	for _, daemons := range numbers(t, *costDaemons) {
		for _, endpoints := range numbers(t, *costEndpoints) {
			t.Run(fmt.Sprintf("%d daemons, %d endpoints", daemons, endpoints), func(t *testing.T) {
				leader, worst, reads, writes := measureControl(t, daemons, endpoints)
				t.Logf("leader: %.2f%% of a core, %.0f MB, %.0f B/s; worst member: %.2f%%, %.0f MB, %.0f B/s; table: %.1f reads/s, %.1f writes/s",
					leader.cpu*100, leader.memory/1e6, leader.bytes, worst.cpu*100, worst.memory/1e6, worst.bytes, reads, writes)
				if raceEnabled {
					return
				}
				assert.Check(t, worst.cpu <= boundCPU, "member's processor time")
				assert.Check(t, worst.memory <= boundMemory, "member's memory")
				assert.Check(t, worst.bytes <= boundBytes, "member's traffic")
			})
		}
	}
}

func numbers(t *testing.T, list string) []int {
	t.Helper()
	var out []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		out = append(out, n)
	}
	return out
}

func measureControl(t *testing.T, daemons, endpoints int) (leader, worst cost, reads, writes float64) {
	c := newCluster(t)
	c.start("engine", "standin", "engine", "--listen", "0.0.0.0:9155")
	c.await("engine", "127.0.0.1:9155")
	for i := range daemons {
		c.daemon(fmt.Sprintf("d%d", i), "dc-1", 1, i+1, "--heartbeat", "500ms")
	}
	c.apply(costDocument(c, endpoints))
	time.Sleep(4 * time.Second)
	before := make([]cost, daemons)
	for i, d := range c.daemons {
		before[i] = d.cost(t)
	}
	first := c.journal()
	time.Sleep(time.Duration(*costSeconds) * time.Second)
	last := c.journal()
	seconds := float64(*costSeconds)
	lead := c.leaderOf("dc-1")
	for i, d := range c.daemons {
		now := d.cost(t)
		used := cost{cpu: (now.cpu - before[i].cpu) / seconds, memory: now.memory, bytes: (now.bytes - before[i].bytes) / seconds}
		if d == lead {
			leader = used
			continue
		}
		worst = cost{cpu: max(worst.cpu, used.cpu), memory: max(worst.memory, used.memory), bytes: max(worst.bytes, used.bytes)}
	}
	return leader, worst, float64(last.Reads-first.Reads) / seconds, float64(last.Writes-first.Writes) / seconds
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

// metrics reads a daemon's own metrics without labels; none if it does not answer.
func (d *daemonProcess) metrics() map[string]float64 {
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

// cost is what a daemon has taken until now, from its metrics.
func (d *daemonProcess) cost(t *testing.T) cost {
	t.Helper()
	values := d.metrics()
	assert.Assert(t, len(values) > 0, "%s shows no metrics", d.name)
	return cost{
		cpu: values["process_cpu_seconds_total"], memory: values["process_resident_memory_bytes"],
		bytes: values["sesamepitch_peer_sent_bytes_total"] + values["sesamepitch_peer_received_bytes_total"],
	}
}
