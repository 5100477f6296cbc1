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

// endpointsOf returns the endpoints of a list of names: a name is the data centre's
// letter, followed by "!" if the endpoint drains and "?" if it is reclaimable.
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

// TestKeeper replays endpoint lists and outcomes of orders, and checks which orders
// are placed when.
func TestKeeper(t *testing.T) {
	const complete = "a a b b c c"
	cases := []struct {
		name string
		// lists are the endpoints from a second on; before them, complete sets the
		// target.
		lists map[int]string
		// noCapacity are the data centres that refuse orders before noCapacityUntil,
		// in seconds.
		noCapacity      string
		noCapacityUntil int
		// excluded is the data centre that the operators have taken out.
		excluded string
		// orders are the expected orders as second, data centre and number.
		orders []string
	}{
		{"no change", nil, "", 0, "", nil},
		{"endpoint lost", map[int]string{10: "a b b c c", 18: complete}, "", 0, "", []string{"11 a 2"}},
		{"endpoint lost, order without effect", map[int]string{10: "a b b c c"}, "", 0, "", []string{"11 a 2", "20 a 2", "29 a 2", "38 a 2"}},
		{"endpoint back at once", map[int]string{10: "a b b c c", 11: complete}, "", 0, "", nil},
		{"data centre lost", map[int]string{10: "a a b b", 18: complete}, "", 0, "", []string{"11 c 2"}},
		{"rolling update", map[int]string{10: "a a b b c c a", 12: "a! a b b c c a", 14: complete}, "", 0, "", nil},
		{"rolling update without draining", map[int]string{10: "a a b b c c a", 14: complete}, "", 0, "", nil},
		{"endpoint drained and removed", map[int]string{10: "a a! b b c c", 12: "a b b c c"}, "", 0, "", nil},
		{"not below the minimum", map[int]string{10: "a! a! b b c c", 12: "b b c c", 20: complete}, "", 0, "", []string{"11 a 1"}},
		{"no free endpoint in the data centre", map[int]string{10: "a b b c c", 18: "a b b b c c"}, "a", 40, "", []string{"11 a 2", "13 b 3", "19 a 2", "27 a 2", "35 a 2"}},
		{"replacement released", map[int]string{10: "a b b c c", 16: "a b b b c c", 25: "a a b b b c c", 39: complete}, "a", 20, "", []string{"11 a 2", "13 b 3", "19 a 2", "38 b 2"}},
		{"data centre taken out", map[int]string{10: "a b b c c"}, "", 0, "a", nil},
		{"reclaimable endpoints not counted", map[int]string{10: "a a b b c c c?", 12: complete}, "", 0, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlanner(bounds)
			excluded := map[string]bool{c.excluded: true}
			endpoints := endpointsOf(complete)
			var orders []string
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				if names, changes := c.lists[second]; changes {
					endpoints = endpointsOf(names)
				}
				p.observe(now, endpoints)
				for queue := p.orders(now, excluded); len(queue) > 0; queue = queue[1:] {
					o := queue[0]
					orders = append(orders, fmt.Sprintf("%d %s %d", second, o.centre, o.count))
					if strings.Contains(c.noCapacity, o.centre) && second < c.noCapacityUntil {
						p.orderRefused(now, o, countPresent(endpoints), excluded)
						queue = append(queue[:1], p.orders(now, excluded)...)
						continue
					}
					p.orderAccepted(now, o)
				}
			}
			assert.DeepEqual(t, orders, c.orders)
		})
	}
}

// TestFailedOrder checks that a failed order is repeated after retryDelay, and that
// no order exceeds the configured maximum.
func TestFailedOrder(t *testing.T) {
	p := newPlanner(bounds)
	p.restore(CapacityTarget{Configured: map[string]int{"a": 9}})
	var orderedAt []time.Duration
	for at := time.Duration(0); at < 6*time.Second; at += pollInterval {
		now := start.Add(at)
		p.observe(now, endpointsOf("a a"))
		for _, o := range p.orders(now, nil) {
			assert.Equal(t, o, order{centre: "a", count: bounds.Max})
			orderedAt = append(orderedAt, at)
			p.orderFailed(now, o)
		}
	}
	assert.DeepEqual(t, orderedAt, []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second, 5500 * time.Millisecond})
}

// TestGrowth checks that endpoints added by others raise the target after growAfter:
// it is first set at 4 s, after initTime, and raised at 40 s, 30 s after the change.
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

// orderRecorder implements sesamepitch.FencedCalls and records the orders.
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

// leaseHolder is a sesamepitch.LeaseHolder that always or never holds the lease.
type leaseHolder struct{ held bool }

func (h leaseHolder) Held() (int64, time.Time, bool) { return 7, time.Now().Add(time.Minute), h.held }

func (h leaseHolder) MayCall() (int64, bool) { return 7, h.held }

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

// TestNewHolder has one lease holder store a service's target. All endpoints of a
// data centre are lost while nobody holds the lease. The next holder must order the
// missing endpoints from the stored target, with its own fence; an instance without
// the lease must order nothing.
func TestNewHolder(t *testing.T) {
	t.Parallel()
	clock, store, orders := sesamepitch.SystemClock{}, standin.NewMemory(), &orderRecorder{}
	reg := registry.New(clock, decoder{})
	reg.ApplyOperators(registry.Update{Rows: []sesamepitch.Row{{Key: "op//config", Version: 1}}, Complete: true})
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
	assert.Equal(t, len(orders.recorded()), 0, "ordered without the lease")
	run("second", true, replaceAfter+4*pollInterval)
	assert.DeepEqual(t, orders.recorded(), []sesamepitch.EndpointCount{{Service: "lm", Centre: "a", Count: 2, Holder: "second", Fence: 7}})
}
