package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/invariant"
	"sesamepitch/src/lease"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// fakeLease is held by one instance.
type fakeLease struct {
	holder, instance string
	epoch            int64
}

func (l *fakeLease) Held() (int64, time.Time, bool) {
	return l.epoch, time.Time{}, l.holder == l.instance
}

func (l *fakeLease) MayCall() (int64, bool) { return l.epoch, l.holder == l.instance }

func (l *fakeLease) Record() lease.Record {
	return lease.Record{Holder: l.holder, Address: l.holder, Epoch: l.epoch}
}

// place is an instance's place among all.
type place struct {
	rank, count int
	unknown     bool
}

func (p place) Rank() (int, int, bool) { return p.rank, p.count, !p.unknown }

// network connects gates by the instance's name, unless they are cut off.
type network struct {
	gates map[string]*Gate
	cut   map[string]bool
	calls int
}

func (n *network) Call(_ context.Context, address, method string, args, reply any) error {
	n.calls++
	gate := n.gates[address]
	if gate == nil || n.cut[address] {
		return &Error{Op: "call", Kind: sesamepitch.KindUnavailable, Err: errors.New("no route")}
	}
	service := &Service{gate: gate}
	if method == serviceName+".Tell" {
		return service.Tell(args.(Statement), reply.(*struct{}))
	}
	return service.Ask(args.(Question), reply.(*Grant))
}

// cluster is a number of gates of which "a" is the granter.
type cluster struct {
	*network
	clock  *settableClock
	leases map[string]*fakeLease
}

func newCluster(names ...string) *cluster {
	c := &cluster{network: &network{gates: map[string]*Gate{}, cut: map[string]bool{}}, clock: &settableClock{now: start}, leases: map[string]*fakeLease{}}
	for i, name := range names {
		c.leases[name] = &fakeLease{holder: "a", instance: name, epoch: 1}
		c.gates[name] = New(c.clock, logr.Discard(), NewStatements(c.clock, logr.Discard()), c.leases[name], place{rank: i, count: len(names)}, c.network)
	}
	return c
}

// hear has an instance hear of a limit.
func (c *cluster) hear(name string, to sesamepitch.Destination, limit sesamepitch.StatedLimit) {
	c.gates[name].Answered(to, c.clock.now, sesamepitch.Statement{Limit: limit})
}

// sendFor has each instance ask for a request every 10 ms, and returns the times
// of those that were admitted.
func (c *cluster) sendFor(d time.Duration, to sesamepitch.Destination) []time.Time {
	var sent []time.Time
	for end := c.clock.now.Add(d); c.clock.now.Before(end); c.clock.now = c.clock.now.Add(10 * time.Millisecond) {
		for _, gate := range c.gates {
			if _, admitted := gate.Take(context.Background(), to, 0); admitted {
				sent = append(sent, c.clock.now)
			}
		}
	}
	return sent
}

var limitedEndpoint = sesamepitch.Destination{ID: "e", Address: "e", Born: 7}

// TestSumOfInstances has four instances send as much as they are admitted, while the
// granter is at hand, cut off, replaced or unknown, and the limit falls: the sum
// keeps to the rate, and the endpoint gets its part.
func TestSumOfInstances(t *testing.T) {
	const perSecond = 2.0
	cases := []struct {
		name string
		// disturb is called after 10 s of 20.
		disturb func(c *cluster)
		rate    float64
		least   int
	}{
		{"granter at hand", func(*cluster) {}, perSecond, 38},
		{"granter cut off", func(c *cluster) { c.cut["a"] = true }, perSecond, 38},
		{"no granter", func(c *cluster) {
			for _, l := range c.leases {
				l.holder = ""
			}
		}, perSecond, 24},
		{"another granter", func(c *cluster) {
			for _, l := range c.leases {
				l.holder, l.epoch = "b", 2
			}
		}, perSecond, 38},
		{"granter lost the lease, others don't know", func(c *cluster) { c.leases["a"].holder = "z" }, perSecond, 24},
		{"the limit falls", func(c *cluster) { c.hear("c", limitedEndpoint, named(1)) }, perSecond, 28},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newCluster("a", "b", "c", "d")
			for name := range cluster.gates {
				cluster.hear(name, limitedEndpoint, named(perSecond))
			}
			sent := cluster.sendFor(10*time.Second, limitedEndpoint)
			cluster.clock.now = cluster.clock.now.Add(time.Millisecond)
			c.disturb(cluster)
			sent = append(sent, cluster.sendFor(10*time.Second, limitedEndpoint)...)
			assert.Assert(t, busiest(sent, 4*time.Second) <= int(1.5*c.rate*4)+5, "%d in 4 s", busiest(sent, 4*time.Second))
			assert.Assert(t, len(sent) >= c.least, "only %d in 20 s", len(sent))
		})
	}
}

// TestFallIsNoViolation lowers a limit right after many requests were granted by
// the former one: they violate nothing, and the new one holds at once.
func TestFallIsNoViolation(t *testing.T) {
	c := newCluster("a")
	checks := invariant.New(logr.Discard())
	c.gates["a"].checks = checks
	c.hear("a", limitedEndpoint, named(50))
	c.sendFor(2*time.Second, limitedEndpoint)
	c.hear("a", limitedEndpoint, named(1))
	sent := c.sendFor(10*time.Second, limitedEndpoint)
	assert.Assert(t, len(sent) <= 10+burstOf(1), "%d", len(sent))
	assert.Equal(t, len(checks.Violations()), 0)
}

// TestKnownToAll has one instance hear of a limit and of its end: the granter is
// told, publishes it, and instances that sent nothing know it.
func TestKnownToAll(t *testing.T) {
	c := newCluster("a", "b", "new")
	spread := func() {
		for len(c.gates["b"].news) > 0 {
			c.gates["b"].tell(context.Background(), <-c.gates["b"].news)
		}
		assert.Equal(t, len(c.gates["b"].Share()), 0, "only the granter publishes")
		c.gates["new"].Receive(c.gates["a"].Share())
	}
	c.hear("b", limitedEndpoint, named(2))
	spread()
	assert.Equal(t, c.gates["new"].Interval(limitedEndpoint), 500*time.Millisecond)
	c.clock.now = c.clock.now.Add(time.Second)
	c.hear("b", limitedEndpoint, sesamepitch.StatedLimit{})
	spread()
	assert.Equal(t, c.gates["new"].Interval(limitedEndpoint), time.Duration(0))
}

// TestEndLearnedFromGranter asks for a request to an endpoint whose limit has ended:
// the reply says so.
func TestEndLearnedFromGranter(t *testing.T) {
	c := newCluster("a", "b")
	c.hear("b", limitedEndpoint, named(1))
	c.hear("a", limitedEndpoint, named(1))
	c.clock.now = c.clock.now.Add(time.Second)
	c.hear("a", limitedEndpoint, sesamepitch.StatedLimit{})
	_, admitted := c.gates["b"].Take(context.Background(), limitedEndpoint, 0)
	assert.Assert(t, admitted)
	assert.Equal(t, c.gates["b"].Interval(limitedEndpoint), time.Duration(0))
}

// TestUnreachableGranterIsLeftAlone checks that a granter that does not answer is
// asked once, not by each request.
func TestUnreachableGranterIsLeftAlone(t *testing.T) {
	c := newCluster("a", "b")
	c.hear("b", limitedEndpoint, named(1))
	c.cut["a"] = true
	for range 50 {
		c.gates["b"].Take(context.Background(), limitedEndpoint, 0)
	}
	assert.Equal(t, c.calls, 1)
	c.leases["b"].holder, c.leases["b"].epoch = "z", 2
	c.gates["b"].Take(context.Background(), limitedEndpoint, 0)
	assert.Equal(t, c.calls, 2, "the next granter is asked at once")
}

// TestCallerThatLeft ends a request while the granter is asked: that says nothing
// of the granter.
func TestCallerThatLeft(t *testing.T) {
	c := newCluster("a", "b")
	c.hear("b", limitedEndpoint, named(1))
	left, leave := context.WithCancel(context.Background())
	leave()
	c.cut["a"] = true
	c.gates["b"].Take(left, limitedEndpoint, 0)
	c.cut["a"] = false
	_, admitted := c.gates["b"].Take(context.Background(), limitedEndpoint, 0)
	assert.Assert(t, admitted)
}

// TestAdmit checks each kind of request at the gate: without admission it takes one,
// and none passes that the rate does not allow.
func TestAdmit(t *testing.T) {
	c := newCluster("a")
	gate, checks := c.gates["a"], invariant.New(logr.Discard())
	gate.checks = checks
	c.hear("a", limitedEndpoint, named(1))
	for i, purpose := range sesamepitch.Purposes {
		err := gate.Admit(context.Background(), limitedEndpoint, purpose)
		assert.Equal(t, err == nil, i == 0, "%s", purpose)
		if i > 0 {
			assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable)
		}
	}
	admitted := limitedEndpoint
	admitted.Admitted = true
	assert.NilError(t, gate.Admit(context.Background(), admitted, sesamepitch.PurposeItem))
	assert.Equal(t, len(checks.Violations()), 0)
	all, limited, denied := gate.Sent(sesamepitch.PurposeItem)
	assert.DeepEqual(t, []int{all, limited, denied}, []int{1, 1, 1})
}

// TestLoneInstance checks that an instance that knows no others yet sends nothing to
// a limited endpoint as if it were alone.
func TestLoneInstance(t *testing.T) {
	c := newCluster("b")
	c.gates["b"].members = place{unknown: true}
	c.hear("b", limitedEndpoint, named(100))
	_, admitted := c.gates["b"].Take(context.Background(), limitedEndpoint, 0)
	assert.Assert(t, !admitted)
}

// TestColdEndpoint has 20 instances send to an endpoint that is cold, or cold and
// limited as well: together they keep to the lower rate at each second, with the
// granter at hand or not.
func TestColdEndpoint(t *testing.T) {
	cases := []struct {
		name         string
		cold, named  float64
		lower        float64
		granterAway  bool
		leastIn20Sec int
	}{
		{"cold", 10, 0, 10, false, 190},
		{"cold, no granter", 10, 0, 10, true, 70},
		{"cold and named lower", 10, 2, 2, false, 38},
		{"cold lower", 3, 8, 3, false, 57},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			names := []string{"a"}
			for i := range 19 {
				names = append(names, fmt.Sprintf("b%02d", i))
			}
			cluster := newCluster(names...)
			cluster.cut["a"] = c.granterAway
			for name, gate := range cluster.gates {
				gate.coldRate = func(sesamepitch.Destination) float64 { return c.cold }
				if c.named > 0 {
					cluster.hear(name, limitedEndpoint, named(c.named))
				}
				if c.granterAway && name == "a" {
					delete(cluster.gates, name)
				}
			}
			sent := cluster.sendFor(20*time.Second, limitedEndpoint)
			most := busiest(sent, time.Second)
			assert.Assert(t, float64(most) <= 1.5*c.lower+5, "%d in a second", most)
			assert.Assert(t, len(sent) >= c.leastIn20Sec, "%d sent in all", len(sent))
		})
	}
}
