package scaling

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/registry"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var bounds = registry.Scaling{Min: 1, Max: 4, StartTime: 4 * time.Second, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.2}}

// endpointsOf lists endpoints by name: the data centre's letter, "!" if it drains, "?"
// if it may be reclaimed.
func endpointsOf(names string) []registry.Endpoint {
	var endpoints []registry.Endpoint
	for i, name := range strings.Fields(names) {
		endpoints = append(endpoints, registry.Endpoint{
			ID: fmt.Sprint(name[:1], i), Service: "lm", Centre: name[:1],
			Draining: strings.Contains(name, "!"), Reclaimable: strings.Contains(name, "?"),
		})
	}
	return endpoints
}

// TestKeeper replays lists of endpoints and answers to orders, and compares what
// is ordered when.
func TestKeeper(t *testing.T) {
	const whole = "a a b b c c"
	cases := []struct {
		name string
		// lists are the endpoints from a second on, after the strength was learnt
		// from whole.
		lists map[int]string
		// empty are the data centres that refuse orders, until a second.
		empty      string
		emptyUntil int
		out        string
		// orders are what is asked for, as second, data centre and number.
		orders []string
	}{
		{"nothing happens", nil, "", 0, "", nil},
		{"one is lost", map[int]string{10: "a b b c c", 18: whole}, "", 0, "", []string{"11 a 2"}},
		{"one is lost and does not come", map[int]string{10: "a b b c c"}, "", 0, "", []string{"11 a 2", "20 a 2", "29 a 2", "38 a 2"}},
		{"one comes back at once", map[int]string{10: "a b b c c", 11: whole}, "", 0, "", nil},
		{"a data centre is lost", map[int]string{10: "a a b b", 18: whole}, "", 0, "", []string{"11 c 2"}},
		{"a release", map[int]string{10: "a a b b c c a", 12: "a! a b b c c a", 14: whole}, "", 0, "", nil},
		{"a release that says nothing", map[int]string{10: "a a b b c c a", 14: whole}, "", 0, "", nil},
		{"one is taken away as planned", map[int]string{10: "a a! b b c c", 12: "a b b c c"}, "", 0, "", nil},
		{"not below the least", map[int]string{10: "a! a! b b c c", 12: "b b c c", 20: whole}, "", 0, "", []string{"11 a 1"}},
		{"none is left there", map[int]string{10: "a b b c c", 18: "a b b b c c"}, "a", 40, "", []string{"11 a 2", "13 b 3", "19 a 2", "27 a 2", "35 a 2"}},
		{"it is given back", map[int]string{10: "a b b c c", 16: "a b b b c c", 25: "a a b b b c c", 39: whole}, "a", 20, "", []string{"11 a 2", "13 b 3", "19 a 2", "38 b 2"}},
		{"taken out", map[int]string{10: "a b b c c"}, "", 0, "a", nil},
		{"cheap ones are not counted", map[int]string{10: "a a b b c c c?", 12: whole}, "", 0, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlanner(bounds)
			out := map[string]bool{c.out: true}
			endpoints := endpointsOf(whole)
			var orders []string
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				if names, changes := c.lists[second]; changes {
					endpoints = endpointsOf(names)
				}
				p.observe(now, endpoints)
				for queue := p.orders(now, out); len(queue) > 0; queue = queue[1:] {
					o := queue[0]
					orders = append(orders, fmt.Sprintf("%d %s %d", second, o.centre, o.count))
					if strings.Contains(c.empty, o.centre) && second < c.emptyUntil {
						p.orderRefused(now, o, countPresent(endpoints), out)
						queue = append(queue[:1], p.orders(now, out)...)
						continue
					}
					p.orderAccepted(now, o)
				}
			}
			assert.DeepEqual(t, orders, c.orders)
		})
	}
}

// TestFailedOrder repeats an order that failed after a pause, and asks for no more
// than the operators allow.
func TestFailedOrder(t *testing.T) {
	p := newPlanner(bounds)
	p.restore(CapacityTarget{Configured: map[string]int{"a": 9}})
	var asked []time.Duration
	for at := time.Duration(0); at < 6*time.Second; at += pollInterval {
		now := start.Add(at)
		p.observe(now, endpointsOf("a a"))
		for _, o := range p.orders(now, nil) {
			assert.Equal(t, o, order{centre: "a", count: bounds.Max})
			asked = append(asked, at)
			p.orderFailed(now, o)
		}
	}
	assert.DeepEqual(t, asked, []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second, 5500 * time.Millisecond})
}

// TestGrowth takes endpoints that somebody else added for wanted once they have
// stayed.
func TestGrowth(t *testing.T) {
	p := newPlanner(bounds)
	for second := range 60 {
		names := "a b"
		if second >= 10 {
			names = "a a b"
		}
		changed := p.observe(start.Add(time.Duration(second)*time.Second), endpointsOf(names))
		assert.Equal(t, changed, second == 4 || second == 40, "second %d", second)
	}
	assert.DeepEqual(t, p.target.Configured, map[string]int{"a": 2, "b": 1})
}

// orderRecorder notes the orders.
type orderRecorder struct {
	mu     sync.Mutex
	orders []sesamepitch.EndpointCount
}

func (d *orderRecorder) ReportWindow(context.Context, sesamepitch.WindowUsage) error { return nil }

func (d *orderRecorder) OrderCount(_ context.Context, order sesamepitch.EndpointCount) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders = append(d.orders, order)
	return nil
}

func (d *orderRecorder) recorded() []sesamepitch.EndpointCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.orders)
}

// leaseHolder is a lease that is held or not.
type leaseHolder struct{ held bool }

func (a leaseHolder) Held() (int64, time.Time, bool) { return 7, time.Now().Add(time.Minute), a.held }

type decoder struct{}

func (decoder) Config(sesamepitch.Row) (*registry.Config, error) {
	return registry.NewConfig(registry.Config{Version: 1, Services: map[string]registry.Service{"lm": {Name: "lm", Scaling: &bounds}, "desk": {Name: "desk"}}}), nil
}

func (decoder) Endpoint(row sesamepitch.Row, _ time.Time) (registry.Endpoint, error) {
	return registry.Endpoint{ID: row.Name(), Service: "lm", Centre: row.Name()[:1], Slots: 1}, nil
}

func (decoder) Operation(sesamepitch.Row) registry.Operation {
	return registry.Operation{Kind: registry.OperationConfig}
}

// TestNewHolder has one instance learn a service's strength, all of a data
// centre's endpoints go while nobody is in charge, and another instance take
// over: it orders what is missing, under its fence. An instance without the
// lease orders nothing.
func TestNewHolder(t *testing.T) {
	t.Parallel()
	clock, store, orders := sesamepitch.SystemClock{}, standin.NewMemory(), &orderRecorder{}
	reg := registry.New(clock, decoder{})
	reg.ApplyOperators([]sesamepitch.Row{{Key: "op//config", Version: 1}}, true)
	list := func(version int64, names ...string) {
		var rows []sesamepitch.Row
		for _, name := range names {
			rows = append(rows, sesamepitch.Row{Key: "servers//" + name, Version: version})
		}
		reg.ApplyEndpoints(rows, true, time.Time{})
	}
	list(2, "a1", "a2", "b1")
	run := func(instance string, held bool, length time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		err := New(clock, logr.Discard(), store, reg, orders, leaseHolder{held}, instance).Run(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	}
	run("first", true, initTime+2*pollInterval)
	var target CapacityTarget
	_, err := rowstore.Read(context.Background(), store, targetPrefix+"lm", &target)
	assert.NilError(t, err)
	assert.DeepEqual(t, target.Configured, map[string]int{"a": 2, "b": 1})
	assert.Equal(t, len(orders.recorded()), 0)

	list(3, "b1")
	run("idle", false, replaceAfter+4*pollInterval)
	assert.Equal(t, len(orders.recorded()), 0, "it does not hold the lease")
	run("second", true, replaceAfter+4*pollInterval)
	assert.DeepEqual(t, orders.recorded(), []sesamepitch.EndpointCount{{Service: "lm", Centre: "a", Count: 2, Holder: "second", Fence: 7}})
}
