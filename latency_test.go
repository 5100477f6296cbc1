package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"
)

// BenchmarkAddedLatency calls an engine directly and through two daemons in turn and
// reports the 50th and 99th percentile of the time of each.
func BenchmarkAddedLatency(b *testing.B) {
	t := &testing.T{}
	c := newCluster(t)
	defer c.stop()
	c.startEngine("engine", 1, 1, "--token-time", "0s", "--prefill-time", "0s")
	c.addDaemon("d1", "dc-1", 1, 1)
	c.addDaemon("d2", "dc-1", 1, 2)
	c.apply(fmt.Sprintf(`workspaces:
  - {name: field, class: interactive, weight: 1}
keys:
  - {name: k, workspace: field, hash: %s}
models:
  - {name: coach, version: 1}
data_centres:
  - {name: dc-1, region: r}
endpoints:
  - {name: engine, data_centre: dc-1, model: coach, address: "%s", knee: 8, cold_limit: 8, milli_price: 1}
`, c.keyHash("field"), c.addresses["engine"]))
	targets := map[string]string{"direct": c.addresses["engine"], "d1": c.daemons[0].callers, "d2": c.daemons[1].callers}
	times := map[string][]time.Duration{}
	client := &http.Client{}
	for b.Loop() {
		for name, address := range targets {
			started := time.Now()
			request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(completionBody(4, true, "p")))
			if err != nil {
				b.Fatal(err)
			}
			request.Header.Set("Content-Type", "application/json")
			if name != "direct" {
				request.Header.Set("Authorization", "Bearer "+c.key("field"))
			}
			response, err := client.Do(request)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			times[name] = append(times[name], time.Since(started))
		}
	}
	for name, list := range times {
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
		b.ReportMetric(float64(list[len(list)/2].Microseconds()), name+"-p50-µs")
		b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), name+"-p99-µs")
	}
}
