package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/standin"
	"sesamepitch/src/step"

	"gotest.tools/v3/assert"
)

// callLots calls the service whose calls must not be repeated.
func (c *cluster) callLots(address, idempotencyKey, body string, limit time.Duration) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var headers []string
	if idempotencyKey != "" {
		headers = []string{"Idempotency-Key", idempotencyKey}
	}
	return send(ctx, http.MethodPost, address, "/v1/services/lots/do", c.key("field"), body, headers...)
}

// lotsRuns returns how often the two endpoints of the service ran a body.
func (c *cluster) lotsRuns(body string) int {
	return c.serviceSeen("lots-1").Bodies[body] + c.serviceSeen("lots-2").Bodies[body]
}

// TestNotRunIsTrue checks that an error says that a call did not run only if the
// service did not run it, and otherwise that this is unknown. Promise P13.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	address := c.daemons[0].callers
	cases := []struct {
		name   string
		faults standin.ServiceFaults
		ran    string
		runs   int
	}{
		{"connection dies before the work", standin.ServiceFaults{Down: true}, "unknown", 0},
		{"connection dies after the work", standin.ServiceFaults{LoseAnswers: true}, "unknown", 1},
		{"answer is cut short", standin.ServiceFaults{Truncate: true}, "unknown", 1},
	}
	for i, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c.postControl(c.addresses["lots-1"], "faults", test.faults)
			c.postControl(c.addresses["lots-2"], "faults", test.faults)
			body := fmt.Sprintf(`{"case":%d}`, i)
			got := c.callLots(address, fmt.Sprint("case-", i), body, 10*time.Second)
			assert.Equal(t, got.ran, test.ran, got.body)
			assert.Equal(t, c.lotsRuns(body), test.runs)
			// A repeat through another daemon does not run it again.
			c.postControl(c.addresses["lots-1"], "faults", standin.ServiceFaults{})
			c.postControl(c.addresses["lots-2"], "faults", standin.ServiceFaults{})
			again := c.callLots(c.daemons[3].callers, fmt.Sprint("case-", i), body, 10*time.Second)
			assert.Equal(t, again.ran, "unknown", again.body)
			assert.Equal(t, c.lotsRuns(body), test.runs)
			time.Sleep(600 * time.Millisecond)
		})
	}
	t.Run("table down", func(t *testing.T) {
		c.setFaults(standin.PlatformFaults{Down: true})
		got := c.callLots(address, "table-down", `{"case":"t"}`, 10*time.Second)
		c.setFaults(standin.PlatformFaults{})
		assert.Equal(t, got.ran, "no", got.body)
		assert.Equal(t, c.lotsRuns(`{"case":"t"}`), 0)
	})
	t.Run("no endpoint", func(t *testing.T) {
		c.engines["lots-1"].kill()
		c.engines["lots-2"].kill()
		got := c.callLots(address, "no-endpoint", `{"case":"n"}`, 20*time.Second)
		if got.err == nil {
			assert.Equal(t, got.ran, "no", got.body)
		}
		assert.Assert(t, got.status != http.StatusOK)
	})
}

// TestAtMostOnce checks that a call runs at most once when callers repeat it with the
// same idempotency key through other daemons, while the first daemon is killed before,
// during or after the call, or while the table loses answers. Promise P14.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.postControl(c.addresses["lots-1"], "faults", standin.ServiceFaults{SlowMillis: 300})
	c.postControl(c.addresses["lots-2"], "faults", standin.ServiceFaults{SlowMillis: 300})
	for round := range 6 {
		body := fmt.Sprintf(`{"round":%d}`, round)
		idempotencyKey := fmt.Sprint("round-", round)
		if round >= 4 {
			c.setFaults(standin.PlatformFaults{LoseAnswers: 0.5})
		}
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.callLots(c.daemons[0].callers, idempotencyKey, body, 10*time.Second)
		}()
		// The delay places the kill before, during or after the 300 ms of the call.
		time.Sleep(time.Duration(round*100) * time.Millisecond)
		if round < 4 {
			c.daemons[0].kill()
		}
		for i := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.callLots(c.daemons[1+i%3].callers, idempotencyKey, body, 10*time.Second)
			}()
		}
		wg.Wait()
		c.setFaults(standin.PlatformFaults{})
		assert.Assert(t, c.lotsRuns(body) <= 1, "%s ran %d times", body, c.lotsRuns(body))
		if round < 4 {
			c.startDaemon(c.daemons[0])
			eventually(t, 15*time.Second, "the daemon is ready again", func() bool { return getStatus(c.daemons[0].callers, "/readyz") == http.StatusOK })
		}
	}
	// Repeats of a call that ran get the recorded answer.
	first := c.callLots(c.daemons[1].callers, "settled", `{"s":1}`, 10*time.Second)
	assert.Equal(t, first.status, http.StatusOK, first.body)
	again := c.callLots(c.daemons[2].callers, "settled", `{"s":1}`, 10*time.Second)
	assert.Equal(t, again.status, http.StatusOK, again.body)
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, c.lotsRuns(`{"s":1}`), 1)
	// Another request with the same key is refused and does not run.
	other := c.callLots(c.daemons[2].callers, "settled", `{"s":2}`, 10*time.Second)
	assert.Equal(t, other.status, http.StatusConflict)
	assert.Equal(t, other.ran, "no")
	assert.Equal(t, c.lotsRuns(`{"s":2}`), 0)
}

// TestWholeAnswers checks that crossed, truncated and interrupted answers of engines
// never reach a caller as complete, and that each caller gets its own answer.
// Promise P12.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults standin.EngineFaults
	}{
		{"crossed", standin.EngineFaults{CrossAnswers: true}},
		{"truncated", standin.EngineFaults{Truncate: true}},
		{"cut", standin.EngineFaults{CutAfter: 3}},
		{"ended early", standin.EngineFaults{EndAfter: 3}},
	}
	c := newStandardCluster(t)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c.postControl(c.addresses["engine-1-1"], "faults", test.faults)
			c.postControl(c.addresses["engine-2-1"], "faults", test.faults)
			var wg sync.WaitGroup
			for i := range 24 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					defer cancel()
					body := completionBody(8, false, fmt.Sprintf("question %s %d", test.name, i))
					got := send(ctx, http.MethodPost, c.daemons[i%4].callers, "/v1/completions", c.key("field"), body)
					if got.status == http.StatusOK {
						assert.Check(t, got.err)
						assert.Check(t, strings.Contains(got.body, `w0 w1 w2 w3 w4 w5 w6 w7"`), got.body)
					}
				}()
			}
			wg.Wait()
			c.postControl(c.addresses["engine-1-1"], "faults", standin.EngineFaults{})
			c.postControl(c.addresses["engine-2-1"], "faults", standin.EngineFaults{})
			time.Sleep(time.Second)
		})
	}
	t.Run("stream is cut", func(t *testing.T) {
		for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
			c.postControl(c.addresses[name], "faults", standin.EngineFaults{CutAfter: 3})
		}
		s := startStream(t, c.daemons[0].callers, c.key("field"), 50)
		last, ended := s.waitEnd(10 * time.Second)
		assert.Assert(t, ended)
		assert.Assert(t, strings.Contains(last, `"ran":"yes"`) && !strings.Contains(last, "[DONE]"), last)
	})
}

// TestPoisonTakesTwoEndpointsAtMost checks that a content that crashes engines crashes
// no more than two before it is quarantined. It is sent repeatedly through daemons of
// both data centres; another one is sent in a group of a step.
func TestPoisonTakesTwoEndpointsAtMost(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--restart-time", "500ms")
	totalCrashes := func() int {
		sum := 0
		for _, name := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
			sum += c.engineSeen(name).Crashes
		}
		return sum
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			time.Sleep(time.Duration(i*300) * time.Millisecond)
			send(ctx, http.MethodPost, c.daemons[i%2].callers, "/v1/completions", c.key("field"), completionBody(4, false, "paint it "+standin.CrashMarker))
			assert.Check(t, sendCompletion(c.daemons[i%2].callers, c.key("other"), 4).status == http.StatusOK, "another request failed")
		}()
	}
	wg.Wait()
	assert.Equal(t, totalCrashes(), 2)
	time.Sleep(3 * time.Second)
	got := send(context.Background(), http.MethodPost, c.daemons[3].callers, "/v1/completions", c.key("field"), completionBody(4, false, "paint it "+standin.CrashMarker))
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, got.body)
	assert.Equal(t, totalCrashes(), 2, "the content is quarantined in the other data centre, too")
	// A step with such a content crashes at most two more engines, and its error
	// names the group with the content.
	groups := append(makeGroups(3, 4, 4), step.Group{Prompt: "and this " + standin.CrashMarker, Samples: 8, MaxTokens: 4})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.trainerClient().Run(ctx, 1, groups, 1, nil)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindQuarantined, "%v", err)
	assert.ErrorContains(t, err, "group 3")
	assert.Assert(t, totalCrashes() <= 4, "%d crashes", totalCrashes())
}
