package main

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"sesamepitch/src/operator"
	"sesamepitch/src/standin"

	"gotest.tools/v3/assert"
)

// TestRequestRunsOnlyForItsKey checks that a key gives no access to the trainers,
// steps, services and idempotency keys of another workspace, and that crafted
// headers give none either. Promise P4.
func TestRequestRunsOnlyForItsKey(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	address, ctx := c.daemons[0].callers, context.Background()
	stepBody := `{"groups":[{"prompt":"p","samples":1,"max_tokens":2}]}`
	cases := []struct {
		name, method, path, key, body string
		headers                       []string
		status                        int
	}{
		{"no key", "POST", "/v1/completions", "", completionBody(2, false, "p"), nil, 401},
		{"unknown key", "POST", "/v1/completions", "sp-unknown", completionBody(2, false, "p"), nil, 401},
		{"two Authorization headers", "POST", "/v1/completions", c.key("field"), completionBody(2, false, "p"), []string{"Authorization", "Bearer " + c.key("other")}, 401},
		{"key in the query", "POST", "/v1/completions?api_key=" + c.key("field"), "", completionBody(2, false, "p"), nil, 401},
		{"key in a cookie", "POST", "/v1/completions", "", completionBody(2, false, "p"), []string{"Cookie", "Authorization=Bearer " + c.key("field")}, 401},
		{"another workspace's trainer", "POST", "/v1/trainers/painter/steps/1", c.key("field"), stepBody, nil, 404},
		{"another workspace's acknowledgement", "POST", "/v1/trainers/painter/steps/1/ack", c.key("field"), `{"done":true}`, nil, 404},
		{"another workspace's weights", "POST", "/v1/models/coach/versions", c.key("field"), `{"version":9}`, nil, 404},
		{"another workspace's service", "POST", "/v1/services/lots/do", c.key("other"), `{}`, nil, 404},
		{"hop-by-hop list names the key", "POST", "/v1/completions", c.key("field"), completionBody(2, false, "p"), []string{"Connection", "Authorization"}, 200},
		{"own key", "POST", "/v1/completions", c.key("field"), completionBody(2, false, "p"), nil, 200},
		{"open route without a key", "POST", "/about", "", `{}`, nil, 200},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := send(ctx, test.method, address, test.path, test.key, test.body, test.headers...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.status, got.body)
			if test.status != http.StatusOK {
				assert.Equal(t, got.ran, "no")
			}
		})
	}
	t.Run("same idempotency key in two workspaces", func(t *testing.T) {
		first := send(ctx, "POST", address, "/v1/services/lots/do", c.key("field"), `{"lot":1}`, "Idempotency-Key", "k1")
		assert.Equal(t, first.status, 200)
		other := send(ctx, "POST", address, "/v1/services/lots/do", c.key("other"), `{"lot":1}`, "Idempotency-Key", "k1")
		assert.Equal(t, other.status, 404)
	})
}

// TestNoEndpointSeesAKey checks that a caller's key reaches no endpoint, log, metric,
// error or table row, wherever in a request it is sent. Promise P5.
func TestNoEndpointSeesAKey(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	ctx, key := context.Background(), c.key("field")
	address := c.daemons[0].callers
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"completion", "/v1/completions", completionBody(2, false, "p"), nil, 200},
		{"crafted headers", "/v1/services/lots/do", `{}`, []string{"X-Api-Key", key, "Proxy-Authorization", "Bearer " + key, "Cookie", "k=" + key, "Trailer", "Authorization"}, 200},
		{"query", "/v1/services/lots/do?api_key=" + key + "&token=" + key + "&lot=7", `{}`, nil, 200},
		{"other query field", "/v1/services/lots/do?lot=" + key, `{}`, nil, 400},
		{"body field", "/v1/services/lots/do", `{"api_key":"` + key + `"}`, nil, 400},
		{"escaped body field", "/v1/services/lots/do", `{"api_key":"\u0073` + key[1:] + `"}`, nil, 400},
		{"prompt", "/v1/completions", completionBody(2, false, "my key is "+key), nil, 400},
		{"dropped body field", "/v1/completions", `{"model":"coach","prompt":"p","max_tokens":2,"api_key":"` + key + `"}`, nil, 200},
		{"open route", "/about", `{}`, nil, 200},
		{"path", "/v1/services/lots/" + key, `{}`, nil, 400},
		{"content type", "/v1/services/lots/do", `{}`, []string{"Content-Type", "x/" + key}, 200},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := send(ctx, http.MethodPost, address, test.path, key, test.body, test.headers...)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Assert(t, !strings.Contains(got.body, key), got.body)
		})
	}
	for name := range c.engines {
		secrets := c.engineSeen(name).Secrets
		if strings.HasPrefix(name, "judge") || strings.HasPrefix(name, "lots") {
			secrets = c.serviceSeen(name).Secrets
		}
		assert.Equal(t, len(secrets), 0, "%s saw %v", name, secrets)
		for body := range c.serviceSeen("lots-1").Bodies {
			assert.Assert(t, !strings.Contains(body, key))
		}
	}
	assert.Assert(t, !strings.Contains(c.dumpState(), key), "a log, metric or row holds the key")
}

// TestRedirectIsNotFollowed checks that an endpoint cannot redirect a request to
// another address. Promise P5.
func TestRedirectIsNotFollowed(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	redirectTarget := c.addresses["lots-2"]
	for _, engine := range []string{"engine-1-1", "engine-1-2", "engine-2-1", "engine-2-2"} {
		c.postControl(c.addresses[engine], "faults", standin.EngineFaults{Redirect: "http://" + redirectTarget + "/stolen"})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	got := send(ctx, http.MethodPost, c.daemons[0].callers, "/v1/completions", c.key("field"), completionBody(2, false, "p"))
	assert.Assert(t, got.err != nil || got.status != http.StatusOK)
	assert.Equal(t, len(c.serviceSeen("lots-2").Bodies), 0)
}

// maxWithdrawTime is the documented bound within which every reachable instance
// refuses a withdrawn key.
const maxWithdrawTime = 3 * time.Second

// TestWithdrawnKeyStops checks that requests with a withdrawn key end within the bound
// at every instance, whether they are new, queued or streaming. Promise P6.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t, "--token-time", "20ms")
	var streams []*completionStream
	for _, d := range c.daemons {
		streams = append(streams, startStream(t, d.callers, c.key("field"), 3000))
	}
	// The cold engines admit fewer requests than these, so that some are queued.
	queued := make(chan callResult, 40)
	for range 40 {
		go func() { queued <- sendCompletion(c.daemons[1].callers, c.key("field"), 2000) }()
	}
	time.Sleep(300 * time.Millisecond)
	started := time.Now()
	confirmation, err := c.daemons[3].client().Withdraw(context.Background(), operator.Withdrawal{Name: "field-1"})
	assert.NilError(t, err)
	assert.Equal(t, len(confirmation.Unconfirmed), 0, "%v", confirmation.Unconfirmed)
	assert.Equal(t, len(confirmation.Confirmed), 4)
	for i, s := range streams {
		last, ended := s.waitEnd(maxWithdrawTime - time.Since(started))
		assert.Assert(t, ended, "stream %d did not end", i)
		assert.Assert(t, strings.Contains(last, "withdrawn"), last)
	}
	for range 40 {
		select {
		case got := <-queued:
			assert.Assert(t, got.err != nil || got.status == http.StatusUnauthorized, "%d %s", got.status, got.body)
		case <-time.After(maxWithdrawTime - time.Since(started)):
			t.Fatal("a queued request did not end")
		}
	}
	for _, d := range c.daemons {
		assert.Equal(t, sendCompletion(d.callers, c.key("field"), 2).status, http.StatusUnauthorized, d.name)
		assert.Equal(t, sendCompletion(d.callers, c.key("other"), 2).status, http.StatusOK, d.name)
	}
}

// TestWithdrawalWhilePlatformIsDown checks that a withdrawal made while the table is
// down spreads from peer to peer. Promise P6.
func TestWithdrawalWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	time.Sleep(6 * time.Second) // The leaders list each other every five seconds.
	c.setFaults(standin.PlatformFaults{Down: true})
	time.Sleep(time.Second)
	started := time.Now()
	confirmation, err := c.daemons[3].client().Withdraw(context.Background(), operator.Withdrawal{Name: "field-1"})
	assert.NilError(t, err)
	assert.Assert(t, confirmation.Local)
	for _, d := range c.daemons {
		eventually(t, maxWithdrawTime-time.Since(started), d.name+" refuses the key", func() bool {
			return sendCompletion(d.callers, c.key("field"), 1).status == http.StatusUnauthorized
		})
	}
	// A daemon that starts when the table is back refuses the key, too.
	c.setFaults(standin.PlatformFaults{})
	c.daemons[0].kill()
	c.startDaemon(c.daemons[0])
	eventually(t, 15*time.Second, "the restarted daemon is ready", func() bool { return getStatus(c.daemons[0].callers, "/readyz") == 200 })
	assert.Equal(t, sendCompletion(c.daemons[0].callers, c.key("field"), 1).status, http.StatusUnauthorized)
}

// TestWithdrawalAndCutOffCentre withdraws keys while a data centre is cut off. The
// answer lists the instances that have not confirmed. In the cut-off data centre a
// workspace without grace is refused, and one with grace is served until its key is
// withdrawn there or the network heals. Promise P6.
func TestWithdrawalAndCutOffCentre(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	c.cutOff(2)
	time.Sleep(4 * time.Second)
	inside, outside := c.daemons[2], c.daemons[0]
	assert.Equal(t, sendCompletion(inside.callers, c.key("field"), 1).status, http.StatusOK, "grace of 1h: served while cut off")
	eventually(t, 4*time.Second, "no grace: refused while cut off", func() bool {
		got := sendCompletion(inside.callers, c.key("other"), 1)
		return got.status == http.StatusServiceUnavailable && got.ran == "no"
	})
	confirmation, err := outside.client().Withdraw(context.Background(), operator.Withdrawal{Name: "field-1"})
	assert.NilError(t, err)
	assert.Assert(t, len(confirmation.Unconfirmed) == 2, "%v", confirmation.Unconfirmed)
	assert.Equal(t, sendCompletion(outside.callers, c.key("field"), 1).status, http.StatusUnauthorized)
	assert.Equal(t, sendCompletion(inside.callers, c.key("field"), 1).status, http.StatusOK, "the withdrawal cannot have arrived here")
	_, err = inside.client().Withdraw(context.Background(), operator.Withdrawal{Name: "coaching-1"})
	assert.NilError(t, err)
	for _, d := range c.daemons[2:] {
		eventually(t, maxWithdrawTime, d.name+" refuses the key withdrawn inside the data centre", func() bool {
			return sendCompletion(d.callers, c.key("coaching"), 1).status == http.StatusUnauthorized
		})
	}
	c.net.heal()
	for _, d := range c.daemons {
		eventually(t, maxWithdrawTime+2*time.Second, d.name+" has both withdrawals", func() bool {
			return sendCompletion(d.callers, c.key("field"), 1).status == http.StatusUnauthorized &&
				sendCompletion(d.callers, c.key("coaching"), 1).status == http.StatusUnauthorized
		})
	}
}

// TestFrozenInstanceChecksBeforeItServes checks that an instance that was frozen while
// a key was withdrawn does not serve the key when it resumes. Promise P6.
func TestFrozenInstanceChecksBeforeItServes(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	frozen := c.daemons[1]
	frozen.signal(stopSignal)
	time.Sleep(200 * time.Millisecond)
	// The requests wait in the sockets of the frozen process until it resumes.
	waiting := make(chan callResult, 8)
	for range 8 {
		go func() { waiting <- sendCompletion(frozen.callers, c.key("field"), 1) }()
	}
	withdrawn := make(chan error, 1)
	go func() {
		_, err := c.daemons[3].client().Withdraw(context.Background(), operator.Withdrawal{Name: "field-1"})
		withdrawn <- err
	}()
	// After this time the instance still owns its cells, and could serve without
	// asking another instance.
	time.Sleep(3300 * time.Millisecond)
	// The network hangs for 300 ms after the instance resumes, so that it reads the
	// requests before it receives the withdrawal.
	c.net.addRule(frozen.ip, "", hanging)
	frozen.signal(continueSignal)
	time.Sleep(300 * time.Millisecond)
	c.net.heal()
	for range 8 {
		got := <-waiting
		assert.Assert(t, got.err != nil || got.status == http.StatusUnauthorized, "%d %s", got.status, got.body)
	}
	assert.NilError(t, <-withdrawn)
}

// TestRestartedPublisherKnowsItsWithdrawal checks that an instance through which a key
// was withdrawn still refuses the key after a restart at the same address. The leader
// of the data centre restarts while the table is down. Promises P6 and P17.
func TestRestartedPublisherKnowsItsWithdrawal(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	refused := func(d *daemonProcess, key string) {
		t.Helper()
		eventually(t, 15*time.Second, d.name+" is ready", func() bool { return getStatus(d.callers, "/readyz") == http.StatusOK })
		assert.Equal(t, sendCompletion(d.callers, c.key(key), 1).status, http.StatusUnauthorized, d.name)
	}
	leader := c.leaderOf("dc-1")
	member := except(c.daemons[:2], leader)[0]
	_, err := member.client().Withdraw(context.Background(), operator.Withdrawal{Name: "field-1"})
	assert.NilError(t, err)
	member.kill()
	c.startDaemon(member)
	refused(member, "field")
	// Without the table, a restarted leader receives the withdrawal only from members.
	c.setFaults(standin.PlatformFaults{Down: true})
	_, err = leader.client().Withdraw(context.Background(), operator.Withdrawal{Name: "coaching-1"})
	assert.NilError(t, err)
	eventually(t, maxWithdrawTime, "the member refuses the key", func() bool {
		return sendCompletion(member.callers, c.key("coaching"), 1).status == http.StatusUnauthorized
	})
	leader.kill()
	c.startDaemon(leader)
	refused(leader, "coaching")
}
