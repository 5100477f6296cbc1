package driver_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/driver"
	"sesamepitch/src/peer"
	"sesamepitch/src/registry"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// decoder has one route and one service with engines that hold one model.
type decoder struct{}

func (decoder) Config(sesamepitch.Row) (*registry.Config, error) {
	return registry.NewConfig(registry.Config{
		Version: 1,
		Routes: []registry.Route{{
			Name: "train", Host: "h", Prefix: "/p/", Kind: registry.Rollout, MaxAttempts: 2,
			Split: []registry.Share{{Service: "lm", Weight: 1}}, QueueTTL: 20 * time.Second, ResultDeadline: 5 * time.Second,
		}},
		Services: map[string]registry.Service{"lm": {Name: "lm", Models: []string{"coach"}}},
	}), nil
}

func (decoder) Endpoint(row sesamepitch.Row, _ time.Time) (registry.Endpoint, error) {
	id := row.Name()
	return registry.Endpoint{ID: id, Address: id, Service: "lm", Centre: "dc", Slots: 4, Versions: map[string]int64{"coach": 1}}, nil
}

func (decoder) Operation(row sesamepitch.Row) registry.Operation {
	if strings.HasSuffix(row.Key, "config") {
		return registry.Operation{Kind: registry.OperationConfig}
	}
	return registry.Operation{Kind: registry.OperationVersion, Model: "coach", Version: row.Version}
}

// engines are engines in memory. Each item has a script of what its runs do;
// the last entry is repeated.
type engines struct {
	mu       sync.Mutex
	scripts  map[string][]script
	runs     map[string][]int64
	at       map[string]int
	versions map[string]int64
	loads    int
	most     int
	// orders counts the accepted orders by engine. An order that names another
	// count is refused. The first uncounted ones are answered like repeats of an
	// order that is being carried out: accepted and not counted.
	orders    map[string]int64
	uncounted int
	refused   int
}

// script is what one run does: it makes events up to last and ends with err,
// ErrComplete for a whole text. An error of start comes before any event.
type script struct {
	start error
	last  int64
	err   error
	pace  time.Duration
}

const textEvents = 6

var whole = script{last: textEvents, err: sesamepitch.ErrComplete}

func newEngines() *engines {
	return &engines{scripts: map[string][]script{}, runs: map[string][]int64{}, at: map[string]int{}, versions: map[string]int64{}, orders: map[string]int64{}}
}

// failure is an error of a kind.
type failure struct {
	kind sesamepitch.Kind
	err  error
}

func (f failure) Error() string               { return string(f.kind) }
func (f failure) Unwrap() error               { return f.err }
func (f failure) ErrorKind() sesamepitch.Kind { return f.kind }

func (e *engines) Generate(ctx context.Context, to sesamepitch.Destination, sample sesamepitch.Sample) (sesamepitch.Generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := len(e.runs[sample.ID])
	e.runs[sample.ID] = append(e.runs[sample.ID], sample.After)
	todo := whole
	if scripts := e.scripts[sample.ID]; len(scripts) > 0 {
		todo = scripts[min(run, len(scripts)-1)]
	}
	if todo.start != nil {
		return nil, todo.start
	}
	e.at[to.ID]++
	e.most = max(e.most, e.at[to.ID])
	return &generation{engines: e, ctx: ctx, to: to.ID, id: sample.ID, script: todo, next: sample.After + 1, version: max(e.versions[to.ID], 1)}, nil
}

func (e *engines) Order(_ context.Context, to sesamepitch.Destination, order sesamepitch.WeightOrder) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.After != e.orders[to.ID] {
		e.refused++
		return false, failure{sesamepitch.KindConflict, errors.New("another count of orders")}
	}
	e.loads++
	e.versions[to.ID] = order.Version
	if e.uncounted > 0 {
		e.uncounted--
		return false, nil
	}
	e.orders[to.ID]++
	return false, nil
}

func (e *engines) Report(_ context.Context, to sesamepitch.Destination) (sesamepitch.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return sesamepitch.EngineReport{Versions: map[string]int64{"coach": max(e.versions[to.ID], 1)}, Orders: e.orders[to.ID]}, nil
}

func (e *engines) runsOf(item string) []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int64(nil), e.runs[item]...)
}

type generation struct {
	engines *engines
	ctx     context.Context
	to, id  string
	script  script
	next    int64
	version int64
}

func (g *generation) Version() int64 { return g.version }

func (g *generation) Next() (sesamepitch.Event, error) {
	select {
	case <-time.After(g.script.pace):
	case <-g.ctx.Done():
		return sesamepitch.Event{}, failure{sesamepitch.KindCrashed, g.ctx.Err()}
	}
	if g.next > g.script.last {
		return sesamepitch.Event{}, g.script.err
	}
	event := sesamepitch.Event{ID: g.next, Data: fmt.Sprintf("%s-%d", g.id, g.next), Version: g.version}
	g.next++
	return event, nil
}

func (g *generation) Close() {
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	g.engines.at[g.to]--
}

// rig is a store with a driver's surroundings.
type rig struct {
	t       *testing.T
	store   *standin.Memory
	ledger  *batch.Ledger
	engines *engines
	known   *registry.Registry
}

func newRig(t *testing.T, engineCount int) *rig {
	t.Helper()
	clock := sesamepitch.SystemClock{}
	r := &rig{t: t, store: standin.NewMemory(), engines: newEngines(), known: registry.New(clock, decoder{})}
	r.ledger = batch.NewLedger(clock, r.store)
	r.known.ApplyOperators([]sesamepitch.Row{{Key: "op//config", Version: 1}, {Key: "op//version", Version: 1}}, true)
	var rows []sesamepitch.Row
	for i := range engineCount {
		rows = append(rows, sesamepitch.Row{Key: fmt.Sprintf("servers//e%d", i), Version: 1})
	}
	r.known.ApplyEndpoints(rows, true, time.Time{})
	return r
}

// fit is as well suited as any other instance.
type fit struct{}

func (fit) IsStrong() bool { return true }
func (fit) IsAged() bool   { return false }

// newDriver returns a driver of an instance that peers reach at an address.
func (r *rig) newDriver(instance, address string) *driver.Driver {
	clock := sesamepitch.SystemClock{}
	held := driver.NewLease(clock, r.store, instance, address, 3*time.Second)
	return driver.New(clock, logr.Discard(), r.store, r.ledger, r.known, r.engines, r.engines, held, instance, fit{})
}

// refuseFeed has the store's feed answer nobody.
func (r *rig) refuseFeed() {
	r.store.SetFault(func(op, _ string) standin.Outcome {
		if op == "changes" || op == "snapshot" {
			return standin.Refused
		}
		return standin.Served
	})
}

// drive runs a driver of an instance until the returned function is called;
// leave hands over first.
func (r *rig) drive(instance string) (leave, kill func()) {
	d := r.newDriver(instance, "")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	var once sync.Once
	kill = func() {
		once.Do(func() {
			cancel()
			<-ended
		})
	}
	r.t.Cleanup(kill)
	leave = func() { d.Leave(3 * time.Second) }
	return leave, kill
}

func (r *rig) submit(id string, minVersion int64, items ...string) {
	r.t.Helper()
	job := batch.Job{Header: batch.Header{ID: id, Workspace: "w", Route: "train", Host: "h", Model: "coach", MinVersion: minVersion, Submitted: time.Now()}}
	for _, item := range items {
		job.Items = append(job.Items, batch.Item{ID: item, Path: "/p/1", Group: "g"})
	}
	assert.NilError(r.t, r.ledger.Accept(context.Background(), job))
}

// results waits until a number of results is listed and returns them by item.
func (r *rig) results(id string, count int, limit time.Duration) map[string]batch.Result {
	r.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		all, err := r.ledger.AllResults(context.Background(), id)
		assert.NilError(r.t, err)
		if len(all) >= count {
			byItem := map[string]batch.Result{}
			for _, result := range all {
				byItem[result.ID] = result
			}
			assert.Equal(r.t, len(byItem), len(all), "an item is listed twice")
			return byItem
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("%d of %d results after %s", len(all), count, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func textOf(item string) string {
	var events []string
	for i := range textEvents {
		events = append(events, fmt.Sprintf("%s-%d", item, i+1))
	}
	return strings.Join(events, "\n")
}

// TestRuns has for each way in which a run can end what becomes of the item.
func TestRuns(t *testing.T) {
	crash := failure{sesamepitch.KindCrashed, nil}
	cases := []struct {
		name    string
		scripts []script
		state   batch.State
		// after lists with which event each run went on.
		after []int64
	}{
		{"whole at once", []script{whole}, batch.Done, []int64{0}},
		{"closed without an answer: EOF is no whole text", []script{{start: failure{sesamepitch.KindUnknown, io.EOF}}, whole}, batch.Done, []int64{0, 0}},
		{"broken off in the middle", []script{{last: 4, err: crash}, whole}, batch.Done, []int64{0, 4}},
		{"broken off twice", []script{{last: 2, err: crash}, {last: 5, err: crash}, whole}, batch.Done, []int64{0, 2, 5}},
		{"full", []script{{start: failure{sesamepitch.KindOverloaded, nil}}, whole}, batch.Done, []int64{0, 0}},
		{"cannot be made", []script{{start: failure{sesamepitch.KindInvalid, nil}}}, batch.Abandoned, []int64{0}},
		{"fails as often as allowed", []script{{start: failure{sesamepitch.KindFailed, nil}}}, batch.Abandoned, []int64{0, 0}},
		{"fails once", []script{{start: failure{sesamepitch.KindFailed, nil}}, whole}, batch.Done, []int64{0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 3)
			r.engines.scripts["x"] = c.scripts
			r.drive("a")
			r.submit("j", 1, "x", "y")
			results := r.results("j", 2, 8*time.Second)
			assert.Equal(t, results["x"].State, c.state)
			assert.DeepEqual(t, r.engines.runsOf("x"), c.after)
			assert.Equal(t, results["y"].Output, textOf("y"))
			if c.state == batch.Done {
				assert.Equal(t, results["x"].Output, textOf("x"))
				assert.DeepEqual(t, results["x"].Versions, []int64{1})
			}
		})
	}
}

// TestSilentEngine ends a run whose engine says nothing more and goes on
// elsewhere from the last event.
func TestSilentEngine(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2)
	r.engines.scripts["x"] = []script{{last: 100, pace: time.Minute}, whole}
	r.drive("a")
	r.submit("j", 1, "x")
	assert.Equal(t, r.results("j", 1, 8*time.Second)["x"].Output, textOf("x"))
	assert.Equal(t, len(r.engines.runsOf("x")), 2)
}

// TestStaleWeights asks for weights that no engine has yet: they are ordered,
// and no older ones stand in a result.
func TestStaleWeights(t *testing.T) {
	t.Parallel()
	r := newRig(t, 3)
	r.known.ApplyOperators([]sesamepitch.Row{{Key: "op//version", Version: 4}}, false)
	r.drive("a")
	r.submit("j", 3, "x", "y")
	for _, result := range r.results("j", 2, 8*time.Second) {
		assert.DeepEqual(t, result.Versions, []int64{4})
	}
}

// eventually fails unless a condition holds within five seconds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not in time")
}

// noCaller reaches no peer.
type noCaller struct{}

func (noCaller) Call(context.Context, string, string, any, any) error {
	return failure{sesamepitch.KindUnavailable, nil}
}

// TestRepeatedOrder has an engine accept an order without counting it, as it
// does with a repeat of one that it is carrying out. It takes the next version
// all the same.
func TestRepeatedOrder(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1)
	r.engines.uncounted = 1
	r.drive("a")
	for version := int64(2); version <= 3; version++ {
		r.known.ApplyOperators([]sesamepitch.Row{{Key: "op//version", Version: version}}, false)
		job := fmt.Sprint("j", version)
		r.submit(job, version, "x"+job)
		r.results(job, 1, 8*time.Second)
	}
}

// TestHint hears nothing of the feed: jobs are taken over and ended by hints
// alone, and an old hint does not bring an ended job back.
func TestHint(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1)
	r.refuseFeed()
	d := r.newDriver("a", "")
	hinter := driver.NewHinter(sesamepitch.SystemClock{}, logr.Discard(), d, noCaller{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- d.Run(ctx) }()
	go func() { ended <- hinter.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	r.submit("j", 1, "x")
	r.engines.scripts["z"] = []script{{last: 100, pace: 100 * time.Millisecond}}
	r.submit("endless", 1, "z")
	tell := func(id string, over bool) {
		head, err := r.ledger.Header(ctx, id)
		assert.NilError(t, err)
		head.Ended = over
		hinter.Notify(head)
	}
	// Until the driver has its lease, hints are ignored.
	eventually(t, func() bool {
		tell("j", false)
		tell("endless", false)
		return len(r.engines.runsOf("z")) > 0
	})
	assert.Equal(t, r.results("j", 1, 3*time.Second)["x"].Output, textOf("x"))
	tell("endless", true)
	tell("endless", false)
	time.Sleep(time.Second)
	assert.Equal(t, len(r.engines.runsOf("z")), 1)
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	assert.Equal(t, r.engines.at["e0"], 0, "the ended job's run is over")
}

// TestHintFromPeer has another instance than the driver's accept a job: the
// driver hears of it over net/rpc, without the feed.
func TestHintFromPeer(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1)
	r.refuseFeed()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	drives, accepts := r.newDriver("a", listener.Addr().String()), r.newDriver("b", "")
	server := rpc.NewServer()
	assert.NilError(t, driver.Register(server, drives))
	peers := peer.NewDialer("")
	hinter := driver.NewHinter(sesamepitch.SystemClock{}, logr.Discard(), accepts, peers)
	ctx, cancel := context.WithCancel(context.Background())
	tasks := []func(context.Context) error{
		func(ctx context.Context) error { return peers.Serve(ctx, listener, server) }, hinter.Run, drives.Run,
	}
	ended := make(chan error, len(tasks)+1)
	for _, task := range tasks {
		go func() { ended <- task(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range len(tasks) + 1 {
			<-ended
		}
	})
	eventually(t, func() bool {
		row, err := r.store.Get(ctx, driver.LeaseKey)
		return err == nil && row.Version > 0
	})
	go func() { ended <- accepts.Run(ctx) }()
	r.submit("j", 1, "x")
	head, err := r.ledger.Header(ctx, "j")
	assert.NilError(t, err)
	eventually(t, func() bool {
		hinter.Notify(head)
		return len(r.engines.runsOf("x")) > 0
	})
	assert.Equal(t, r.results("j", 1, 3*time.Second)["x"].Output, textOf("x"))
}

// TestHandOver stops a driver in the middle of texts: the next one goes on
// from where it was.
func TestHandOver(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2)
	slow := script{last: textEvents, err: sesamepitch.ErrComplete, pace: 400 * time.Millisecond}
	r.engines.scripts["x"] = []script{slow, whole}
	leave, _ := r.drive("a")
	r.submit("j", 1, "x")
	time.Sleep(1500 * time.Millisecond)
	r.drive("b")
	leave()
	assert.Equal(t, r.results("j", 1, 8*time.Second)["x"].Output, textOf("x"))
	runs := r.engines.runsOf("x")
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[1] >= 1, "the second run went on after event %d", runs[1])
}

// TestLeaveWhileStoreIsAway stops a driver while the store answers nobody: it goes
// on with its texts until they can be handed over, and leaves then.
func TestLeaveWhileStoreIsAway(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2)
	slow := script{last: textEvents, err: sesamepitch.ErrComplete, pace: 350 * time.Millisecond}
	r.engines.scripts["x"] = []script{slow, whole}
	leave, _ := r.drive("a")
	r.submit("j", 1, "x")
	for len(r.engines.runsOf("x")) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	r.store.SetFault(func(string, string) standin.Outcome { return standin.Refused })
	leave()
	time.Sleep(1500 * time.Millisecond)
	r.store.SetFault(func(string, string) standin.Outcome { return standin.Served })
	r.drive("b")
	assert.Equal(t, r.results("j", 1, 8*time.Second)["x"].Output, textOf("x"))
	runs := r.engines.runsOf("x")
	assert.Assert(t, len(runs) == 1 || len(runs) == 2 && runs[1] >= 3, "runs %v", runs)
}

// TestKilledDriver is followed by another one once its lease has lapsed; what
// it had listed stays, and nothing is listed twice.
func TestKilledDriver(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2)
	r.engines.scripts["x"] = []script{{last: 100, pace: time.Minute}, whole}
	_, kill := r.drive("a")
	r.submit("j", 1, "x", "y")
	r.results("j", 1, 8*time.Second)
	r.drive("b")
	kill()
	results := r.results("j", 2, 10*time.Second)
	assert.Equal(t, results["x"].Output, textOf("x"))
	assert.Equal(t, results["y"].Output, textOf("y"))
}

// TestEndedJob gets no more runs, and its texts serve a later job with the
// same items.
func TestEndedJob(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1)
	r.engines.scripts["x"] = []script{{last: 100, pace: 300 * time.Millisecond}, whole}
	r.drive("a")
	r.submit("j1", 1, "x")
	time.Sleep(1200 * time.Millisecond)
	assert.NilError(t, r.ledger.End(context.Background(), "j1"))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(r.engines.runsOf("x")), 1)
	r.submit("j2", 1, "x")
	assert.Equal(t, r.results("j2", 1, 5*time.Second)["x"].Output, textOf("x"))
	runs := r.engines.runsOf("x")
	assert.Assert(t, len(runs) == 2 && runs[1] >= 1, "runs %v", runs)
}

// TestStoreAway loses answers of the store while results are listed: all are
// listed once.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	for _, outcome := range []standin.Outcome{standin.Refused, standin.LostBefore, standin.LostAfter} {
		r := newRig(t, 3)
		r.drive("a")
		var items []string
		for i := range 40 {
			items = append(items, fmt.Sprintf("i%d", i))
		}
		calls := 0
		r.store.SetFault(func(op, key string) standin.Outcome {
			calls++
			if op == "commit" && !strings.HasPrefix(key, "open/") && calls%3 == 0 {
				return outcome
			}
			return standin.Served
		})
		r.submit("j", 1, items...)
		results := r.results("j", len(items), 10*time.Second)
		for _, item := range items {
			assert.Equal(t, results[item].Output, textOf(item))
		}
	}
}

// TestOutlivedJob is removed once its results need not be readable any more.
func TestOutlivedJob(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1)
	r.drive("a")
	job := batch.Job{Header: batch.Header{ID: "old", Workspace: "w", Route: "train", Host: "h", Model: "coach", Submitted: time.Now().Add(-time.Hour), Ended: true}}
	job.Items = []batch.Item{{ID: "x", Path: "/p/1"}}
	assert.NilError(t, r.ledger.Accept(context.Background(), job))
	r.submit("new", 1, "y")
	r.results("new", 1, 5*time.Second)
	assert.NilError(t, r.ledger.End(context.Background(), "new"))
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		row, err := r.store.Get(context.Background(), "open/old/old")
		assert.NilError(t, err)
		if row.Version == 0 {
			r.results("new", 1, time.Second)
			return
		}
	}
	t.Fatal("the job is still there")
}

// TestSlots never runs more items at an engine than it has slots for.
func TestSlots(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2)
	var items []string
	for i := range 40 {
		items = append(items, fmt.Sprintf("i%d", i))
		r.engines.scripts[items[i]] = []script{{last: textEvents, err: sesamepitch.ErrComplete, pace: 5 * time.Millisecond}}
	}
	r.drive("a")
	r.submit("j", 1, items...)
	r.results("j", 40, 10*time.Second)
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	assert.Assert(t, r.engines.most <= 4, "%d at once", r.engines.most)
	assert.Assert(t, !errors.Is(sesamepitch.ErrComplete, io.EOF))
}
