package pool_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/pool"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// membership is a data centre with one daemon that owns one cell. It also reads
// the load reports of its engines.
type membership struct {
	view *centre.View
	owns bool
	// loaded is whether the engines report that they are warm; otherwise their
	// reports can't be read.
	loaded bool
	// born is the start of the engines' processes as they report it.
	processStart int64
}

func (m *membership) View() *centre.View        { return m.view }
func (m *membership) Owns(centre.CellID) bool   { return m.owns }
func (m *membership) NoteVersion(string, int64) {}
func (m *membership) NoteWarm([]string)         {}
func (m *membership) ReadLoad(context.Context, string) (pool.Load, error) {
	if m.loaded {
		return pool.Load{ProcessStart: m.processStart}, nil
	}
	return pool.Load{}, context.Canceled
}

func (m *membership) OwnedCells() []centre.Cell {
	if !m.owns {
		return nil
	}
	return m.view.Cells
}

var cellID = centre.CellID{Pool: "coach"}

// fixture is an owner with two engines of knee 4 and cold limit 1.
type fixture struct {
	clock   *clockwork.FakeClock
	member  *membership
	notices *notice.Set
	owner   *pool.Owner
	next    int
}

func newFixture(warm ...string) *fixture {
	clock := clockwork.NewFakeClock()
	cell := centre.Cell{ID: cellID, Owner: "d1", Endpoints: []string{"e1", "e2"}}
	f := &fixture{clock: clock, notices: notice.NewSet(clock), member: &membership{owns: true, view: &centre.View{Cells: []centre.Cell{cell}, FirstOwners: true, Warm: warm}}}
	d := document.Document{Models: []document.Model{{Name: "coach", Version: 1}}, DataCentres: []document.DataCentre{{Name: "muc"}}}
	for i, name := range cell.Endpoints {
		d.Endpoints = append(d.Endpoints, document.Endpoint{
			Name: name, DataCentre: "muc", Model: "coach", Address: fmt.Sprintf("10.0.0.%d:1", i+1),
			Knee: 4, ColdLimit: 1, WarmAfter: 1, ColdTime: "1s",
		})
	}
	holder := document.NewHolder()
	holder.Advance(document.NewConfig(1, d))
	f.owner = pool.NewOwner(clock, logr.Discard(), f.member, "muc", holder, f.notices, f.member)
	f.owner.ReconcileCells()
	return f
}

// acquire asks for a stream without waiting.
func (f *fixture) acquire(change func(*pool.Request)) (pool.Request, pool.Reply) {
	f.next++
	r := pool.Request{ID: fmt.Sprint("r", f.next), Entry: "d1", Run: "run", Cell: cellID, Workspace: "w", Weight: 1, Tokens: 10, Slack: time.Minute}
	if change != nil {
		change(&r)
	}
	return r, f.owner.Acquire(context.Background(), r)
}

// acquireAll acquires streams until none is granted and returns their number.
func (f *fixture) acquireAll() int {
	count := 0
	for {
		if _, reply := f.acquire(nil); reply.State != pool.Granted {
			return count
		}
		count++
	}
}

func (f *fixture) release(r pool.Request, endpoint string, outcome pool.Outcome) {
	f.owner.Release(pool.Release{ID: r.ID, Entry: r.Entry, Run: r.Run, Cell: cellID, Endpoint: endpoint, Outcome: outcome, Tokens: 10, TokenTime: time.Millisecond, Fingerprint: r.Fingerprint})
}

func TestColdEngineIsLimited(t *testing.T) {
	f := newFixture()
	assert.Equal(t, f.acquireAll(), 2, "one stream for each cold engine")
}

func TestWarmEngineStartsAtHalfItsKnee(t *testing.T) {
	f := newFixture("e1")
	assert.Equal(t, f.acquireAll(), 3, "half the knee and one cold stream")
}

func TestUncertainOwnerUsesNoColdEngine(t *testing.T) {
	f := newFixture("e1")
	f.member.view.Uncertain = true
	assert.Equal(t, f.acquireAll(), 1, "a quarter of the knee for the warm engine, none for the cold one")
}

func TestLateRenewalDoesNotReviveAStream(t *testing.T) {
	f := newFixture()
	r, reply := f.acquire(nil)
	f.release(r, reply.Endpoint, pool.Complete)
	f.owner.Renew(pool.Renewal{Entry: r.Entry, Run: r.Run, Cell: cellID, Held: []pool.HeldStream{{ID: r.ID, Endpoint: reply.Endpoint}}})
	assert.Equal(t, f.acquireAll(), 2, "the ended stream is not counted")
}

// TestEndThatOvertakesItsRequest handles two calls of one entry out of order:
// the entry gives a request up before the owner has queued it.
func TestEndThatOvertakesItsRequest(t *testing.T) {
	f := newFixture()
	f.clock.Advance(time.Minute)
	f.owner.ReconcileCells()
	f.owner.Release(pool.Release{ID: "early", Entry: "d1", Run: "run", Cell: cellID, Outcome: pool.Cancelled})
	_, reply := f.acquire(func(r *pool.Request) { r.ID = "early" })
	assert.Equal(t, reply.State, pool.Moved)
	assert.Equal(t, f.acquireAll(), 2, "no stream is in use")
}

func TestNewOwnerTakesOverStreams(t *testing.T) {
	f := newFixture()
	f.owner.Renew(pool.Renewal{Entry: "d2", Run: "run", Cell: cellID, Held: []pool.HeldStream{{ID: "old", Endpoint: "e1"}}})
	assert.Equal(t, f.acquireAll(), 1, "one cold engine is full already")
}

func TestUnrenewedStreamExpires(t *testing.T) {
	f := newFixture()
	assert.Equal(t, f.acquireAll(), 2)
	f.clock.Advance(11 * time.Second)
	f.owner.ReconcileCells()
	assert.Equal(t, f.acquireAll(), 2)
}

func TestCrashedContentIsQuarantined(t *testing.T) {
	f := newFixture()
	crashing := func(r *pool.Request) { r.Fingerprint = "poison" }
	for range pool.QuarantineAfter {
		r, reply := f.acquire(crashing)
		assert.Equal(t, reply.State, pool.Granted)
		f.release(r, reply.Endpoint, pool.Crashed)
		f.clock.Advance(10 * time.Second)
	}
	_, reply := f.acquire(crashing)
	assert.Equal(t, reply.State, pool.Quarantined)
	_, reply = f.acquire(func(r *pool.Request) { r.Fingerprint = "innocent" })
	assert.Equal(t, reply.State, pool.Granted)
}

// TestInnocentContentIsNotQuarantined fails every stream of both engines,
// whichever content it runs.
func TestInnocentContentIsNotQuarantined(t *testing.T) {
	f := newFixture()
	innocent := func(r *pool.Request) { r.Fingerprint = "innocent" }
	fail := func(fingerprint string) {
		r, reply := f.acquire(func(r *pool.Request) { r.Fingerprint = fingerprint })
		assert.Equal(t, reply.State, pool.Granted)
		f.release(r, reply.Endpoint, pool.Crashed)
		f.clock.Advance(10 * time.Second)
	}
	fail("one")
	fail("two")
	fail("innocent")
	fail("innocent")
	r, reply := f.acquire(innocent)
	assert.Equal(t, reply.State, pool.Granted, "the engines had failed before")
	f.release(r, reply.Endpoint, pool.Complete)
	assert.Equal(t, f.notices.Crashes("innocent"), 0)
}

// TestProvenElsewhereIsNotSuspected crashes an engine with a content that its
// entry has seen answered completely and the owner has not. The crash is not
// attributed to the content.
func TestProvenElsewhereIsNotSuspected(t *testing.T) {
	for _, proven := range []bool{false, true} {
		f := newFixture()
		r, reply := f.acquire(func(r *pool.Request) { r.Fingerprint, r.Proven = "prompt", proven })
		assert.Equal(t, reply.Event != "", !proven)
		f.release(r, reply.Endpoint, pool.Crashed)
		assert.Equal(t, f.notices.Crashes("prompt") == 0, proven)
	}
}

// directory is a data centre with one daemon that owns the cells itself.
type directory struct{ view *centre.View }

func (d directory) View() *centre.View  { return d.view }
func (d directory) Self() centre.Member { return centre.Member{ID: "d1", Address: "d1"} }
func (d directory) Centre() string      { return "muc" }

// TestSuspectsTakeTurns requests two streams of one suspected content in a pool
// of two cells. Running at once, they could crash two endpoints, which with the
// earlier crash makes three.
func TestSuspectsTakeTurns(t *testing.T) {
	f := newFixture()
	f.member.view.Cells = []centre.Cell{
		{ID: centre.CellID{Pool: "coach"}, Owner: "d1", Address: "d1", Endpoints: []string{"e1"}},
		{ID: centre.CellID{Pool: "coach", Index: 1}, Owner: "d1", Address: "d1", Endpoints: []string{"e2"}},
	}
	f.owner.ReconcileCells()
	client := pool.NewClient(sesamepitch.SystemClock{}, logr.Discard(), directory{view: f.member.view}, nil, f.notices, f.owner, func() pool.UsageWatermark { return pool.UsageWatermark{} })
	f.notices.Add("", f.notices.NewCrash("suspect", "e0/1", "d1"))
	ask := pool.StreamSpec{Pool: "coach", Workspace: "w", Weight: 1, Tokens: 1, Fingerprint: "suspect"}
	first, err := client.Acquire(t.Context(), ask)
	assert.NilError(t, err)
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = client.Acquire(short, ask)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindTimeout)
	client.Release(first, pool.Release{Outcome: pool.Cancelled})
	second, err := client.Acquire(t.Context(), ask)
	assert.NilError(t, err)
	client.Release(second, pool.Release{Outcome: pool.Crashed})
	_, err = client.Acquire(t.Context(), ask)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindQuarantined)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*fixture)
		want    pool.State
	}{
		{"data centre out", func(f *fixture) { f.notices.Add("", f.notices.NewCentreChange("muc", notice.Out, "d1")) }, pool.CentreOut},
		{"lease expired", func(f *fixture) { f.member.owns = false }, pool.Moved},
		{"all leaving", func(f *fixture) { f.member.view.Leaving = []string{"e1", "e2"} }, pool.NoEndpoint},
		{"all busy", func(f *fixture) { f.acquireAll() }, pool.Waiting},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.prepare(f)
			_, reply := f.acquire(nil)
			assert.Equal(t, reply.State, test.want)
		})
	}
}

func TestIdleEngineIsOnProbation(t *testing.T) {
	f := newFixture("e1", "e2")
	r, reply := f.acquire(nil)
	f.release(r, reply.Endpoint, pool.Complete)
	f.clock.Advance(time.Second)
	_, first := f.acquire(func(r *pool.Request) { r.Avoid = []string{other(reply.Endpoint)} })
	assert.Equal(t, first.State, pool.Granted)
	_, second := f.acquire(func(r *pool.Request) { r.Avoid = []string{other(reply.Endpoint)} })
	assert.Equal(t, second.State, pool.Waiting, "the engine may have restarted meanwhile")
}

// TestTokenTimeEndsProbation lets the token time of a running stream end the
// probation of its engine, or not; the complete answer may take minutes.
func TestTokenTimeEndsProbation(t *testing.T) {
	cases := []struct {
		name      string
		tokenTime time.Duration
		more      int
	}{
		{"as fast as before", time.Millisecond, 1}, // The ramp allows half the knee, 2 streams.
		{"slower", 3 * time.Millisecond, 0},
		{"not known yet", 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture("e1")
			f.member.view.Cells[0].Endpoints = []string{"e1"}
			f.owner.ReconcileCells()
			r, reply := f.acquire(nil)
			f.release(r, reply.Endpoint, pool.Complete)
			r, reply = f.acquire(nil)
			f.release(r, reply.Endpoint, pool.Complete)
			f.clock.Advance(time.Second)
			r, reply = f.acquire(nil)
			assert.Equal(t, reply.State, pool.Granted)
			assert.Equal(t, f.acquireAll(), 0, "on probation")
			f.clock.Advance(time.Second)
			f.member.loaded = true
			f.owner.ReadLoads(t.Context())
			f.owner.Renew(pool.Renewal{Entry: "d1", Run: "run", Cell: cellID, Held: []pool.HeldStream{{ID: r.ID, Endpoint: "e1", TokenTime: test.tokenTime}}})
			assert.Equal(t, f.acquireAll(), test.more)
		})
	}
}

func other(endpoint string) string {
	if endpoint == "e1" {
		return "e2"
	}
	return "e1"
}

// TestSurvivedBreakIsNoCrash interrupts the stream of a content, after which the
// engine reports the start of its process. If it is the same as before, the
// content has not crashed the engine.
func TestSurvivedBreakIsNoCrash(t *testing.T) {
	cases := []struct {
		name string
		// before and after are the reported process starts.
		before, after int64
		crashes       int
	}{
		{"same process", 7, 7, 0},
		{"new process", 7, 9, 1},
		{"not reported", 0, 0, 1},
		{"not reported before", 0, 9, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture("e1", "e2")
			report := func(processStart int64) {
				f.member.loaded, f.member.processStart = true, processStart
				f.clock.Advance(2 * time.Second)
				f.owner.ReconcileCells()
				f.owner.ReadLoads(t.Context())
			}
			report(c.before)
			r, reply := f.acquire(func(r *pool.Request) { r.Fingerprint = "x" })
			assert.Equal(t, reply.State, pool.Granted)
			f.release(r, reply.Endpoint, pool.Crashed)
			assert.Equal(t, f.notices.Crashes("x"), 1)
			report(c.after)
			assert.Equal(t, f.notices.Crashes("x"), c.crashes)
		})
	}
}
