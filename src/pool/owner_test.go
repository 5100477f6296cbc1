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

// membership is a data centre of one daemon that owns one cell.
type membership struct {
	view *centre.View
	owns bool
	// loaded is whether the engines report that they are warm.
	loaded bool
	// born is the start of the engines' processes as they report it.
	born int64
}

func (m *membership) View() *centre.View        { return m.view }
func (m *membership) Owns(centre.CellID) bool   { return m.owns }
func (m *membership) NoteVersion(string, int64) {}
func (m *membership) NoteWarm([]string)         {}
func (m *membership) ReadLoad(context.Context, string) (pool.Load, error) {
	if m.loaded {
		return pool.Load{ProcessStart: m.born}, nil
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

// bench is an owner with two engines of knee 4 that bear one stream when cold.
type bench struct {
	clock   *clockwork.FakeClock
	member  *membership
	notices *notice.Set
	owner   *pool.Owner
	next    int
}

func newBench(warm ...string) *bench {
	clock := clockwork.NewFakeClock()
	cell := centre.Cell{ID: cellID, Owner: "d1", Endpoints: []string{"e1", "e2"}}
	b := &bench{clock: clock, notices: notice.NewSet(clock), member: &membership{owns: true, view: &centre.View{Cells: []centre.Cell{cell}, FirstOwners: true, Warm: warm}}}
	d := document.Document{Models: []document.Model{{Name: "coach", Version: 1}}, DataCentres: []document.DataCentre{{Name: "muc"}}}
	for i, name := range cell.Endpoints {
		d.Endpoints = append(d.Endpoints, document.Endpoint{
			Name: name, DataCentre: "muc", Model: "coach", Address: fmt.Sprintf("10.0.0.%d:1", i+1),
			Knee: 4, ColdLimit: 1, WarmAfter: 1, ColdTime: "1s",
		})
	}
	holder := document.NewHolder()
	holder.Advance(document.NewConfig(1, d))
	b.owner = pool.NewOwner(clock, logr.Discard(), b.member, "muc", holder, b.notices, b.member)
	b.owner.ReconcileCells()
	return b
}

// acquire asks for a stream without waiting.
func (b *bench) acquire(change func(*pool.Request)) (pool.Request, pool.Reply) {
	b.next++
	r := pool.Request{ID: fmt.Sprint("r", b.next), Entry: "d1", Run: "run", Cell: cellID, Workspace: "w", Weight: 1, Tokens: 10, Slack: time.Minute}
	if change != nil {
		change(&r)
	}
	return r, b.owner.Acquire(context.Background(), r)
}

// granted takes as many streams as there are.
func (b *bench) granted() int {
	count := 0
	for {
		if _, reply := b.acquire(nil); reply.State != pool.Granted {
			return count
		}
		count++
	}
}

func (b *bench) release(r pool.Request, endpoint string, outcome pool.Outcome) {
	b.owner.Release(pool.Release{ID: r.ID, Entry: r.Entry, Run: r.Run, Cell: cellID, Endpoint: endpoint, Outcome: outcome, Tokens: 10, TokenTime: time.Millisecond, Fingerprint: r.Fingerprint})
}

func TestColdEngineGetsItsLimit(t *testing.T) {
	b := newBench()
	assert.Equal(t, b.granted(), 2, "one stream for each cold engine")
}

func TestKnownWarmEngineStartsAtHalf(t *testing.T) {
	b := newBench("e1")
	assert.Equal(t, b.granted(), 3, "half of the knee and one cold stream")
}

func TestUncertainOwnerSparesColdEngines(t *testing.T) {
	b := newBench("e1")
	b.member.view.Uncertain = true
	assert.Equal(t, b.granted(), 1, "half of half for the warm engine, nothing for the cold one")
}

func TestLateRenewalDoesNotReviveAStream(t *testing.T) {
	b := newBench()
	r, reply := b.acquire(nil)
	b.release(r, reply.Endpoint, pool.Complete)
	b.owner.Renew(pool.Renewal{Entry: r.Entry, Run: r.Run, Cell: cellID, Held: []pool.HeldStream{{ID: r.ID, Endpoint: reply.Endpoint}}})
	assert.Equal(t, b.granted(), 2, "the ended stream counts for nothing")
}

// TestEndThatOvertakesItsRequest is the order in which two calls of one entry can
// be handled: it gave the request up before the owner had queued it.
func TestEndThatOvertakesItsRequest(t *testing.T) {
	b := newBench()
	b.clock.Advance(time.Minute)
	b.owner.ReconcileCells()
	b.owner.Release(pool.Release{ID: "early", Entry: "d1", Run: "run", Cell: cellID, Outcome: pool.Cancelled})
	_, reply := b.acquire(func(r *pool.Request) { r.ID = "early" })
	assert.Equal(t, reply.State, pool.Moved)
	assert.Equal(t, b.granted(), 2, "nobody holds a stream")
}

func TestNewOwnerAdoptsRunningStreams(t *testing.T) {
	b := newBench()
	b.owner.Renew(pool.Renewal{Entry: "d2", Run: "run", Cell: cellID, Held: []pool.HeldStream{{ID: "old", Endpoint: "e1"}}})
	assert.Equal(t, b.granted(), 1, "one cold engine is full already")
}

func TestUnrenewedStreamLapses(t *testing.T) {
	b := newBench()
	assert.Equal(t, b.granted(), 2)
	b.clock.Advance(11 * time.Second)
	b.owner.ReconcileCells()
	assert.Equal(t, b.granted(), 2)
}

func TestCrashedContentIsQuarantined(t *testing.T) {
	b := newBench()
	poison := func(r *pool.Request) { r.Fingerprint = "poison" }
	for range pool.QuarantineAfter {
		r, reply := b.acquire(poison)
		assert.Equal(t, reply.State, pool.Granted)
		b.release(r, reply.Endpoint, pool.Crashed)
		b.clock.Advance(10 * time.Second)
	}
	_, reply := b.acquire(poison)
	assert.Equal(t, reply.State, pool.Quarantined)
	_, reply = b.acquire(func(r *pool.Request) { r.Fingerprint = "innocent" })
	assert.Equal(t, reply.State, pool.Granted)
}

// TestInnocentContentIsNotQuarantined lets both engines fail whatever they get.
func TestInnocentContentIsNotQuarantined(t *testing.T) {
	b := newBench()
	innocent := func(r *pool.Request) { r.Fingerprint = "innocent" }
	fail := func(fingerprint string) {
		r, reply := b.acquire(func(r *pool.Request) { r.Fingerprint = fingerprint })
		assert.Equal(t, reply.State, pool.Granted)
		b.release(r, reply.Endpoint, pool.Crashed)
		b.clock.Advance(10 * time.Second)
	}
	fail("one")
	fail("two")
	fail("innocent")
	fail("innocent")
	r, reply := b.acquire(innocent)
	assert.Equal(t, reply.State, pool.Granted, "the engines had failed before")
	b.release(r, reply.Endpoint, pool.Complete)
	assert.Equal(t, b.notices.Crashes("innocent"), 0)
}

// TestProvenElsewhereIsNotSuspected: an entry has seen a content answered whole;
// the owner, which has not, holds no crash against it.
func TestProvenElsewhereIsNotSuspected(t *testing.T) {
	for _, proven := range []bool{false, true} {
		b := newBench()
		r, reply := b.acquire(func(r *pool.Request) { r.Fingerprint, r.Proven = "prompt", proven })
		assert.Equal(t, reply.Event != "", !proven)
		b.release(r, reply.Endpoint, pool.Crashed)
		assert.Equal(t, b.notices.Crashes("prompt") == 0, proven)
	}
}

// directory is a data centre of one daemon that owns the cell itself.
type directory struct{ view *centre.View }

func (d directory) View() *centre.View  { return d.view }
func (d directory) Self() centre.Member { return centre.Member{ID: "d1", Address: "d1"} }
func (d directory) Centre() string      { return "muc" }

// TestSuspectsTakeTurns asks for two streams of one suspected content in a pool
// of two cells: two at once could crash two endpoints, which with the first makes
// three.
func TestSuspectsTakeTurns(t *testing.T) {
	b := newBench()
	b.member.view.Cells = []centre.Cell{
		{ID: centre.CellID{Pool: "coach"}, Owner: "d1", Address: "d1", Endpoints: []string{"e1"}},
		{ID: centre.CellID{Pool: "coach", Index: 1}, Owner: "d1", Address: "d1", Endpoints: []string{"e2"}},
	}
	b.owner.ReconcileCells()
	client := pool.NewClient(sesamepitch.SystemClock{}, logr.Discard(), directory{view: b.member.view}, nil, b.notices, b.owner, func() pool.UsageWatermark { return pool.UsageWatermark{} })
	b.notices.Add("", b.notices.NewCrash("suspect", "e0/1", "d1"))
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
		prepare func(*bench)
		want    pool.State
	}{
		{"data centre out", func(b *bench) { b.notices.Add("", b.notices.NewCentreChange("muc", notice.Out, "d1")) }, pool.CentreOut},
		{"lease lapsed", func(b *bench) { b.member.owns = false }, pool.Moved},
		{"all leaving", func(b *bench) { b.member.view.Leaving = []string{"e1", "e2"} }, pool.NoEndpoint},
		{"all busy", func(b *bench) { b.granted() }, pool.Waiting},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench()
			test.prepare(b)
			_, reply := b.acquire(nil)
			assert.Equal(t, reply.State, test.want)
		})
	}
}

func TestIdleEngineIsOnProbation(t *testing.T) {
	b := newBench("e1", "e2")
	r, reply := b.acquire(nil)
	b.release(r, reply.Endpoint, pool.Complete)
	b.clock.Advance(time.Second)
	_, first := b.acquire(func(r *pool.Request) { r.Avoid = []string{other(reply.Endpoint)} })
	assert.Equal(t, first.State, pool.Granted)
	_, second := b.acquire(func(r *pool.Request) { r.Avoid = []string{other(reply.Endpoint)} })
	assert.Equal(t, second.State, pool.Waiting, "the engine may have started anew meanwhile")
}

// TestPaceEndsProbation lets a running stream show that its engine is as fast as
// before, or not; its whole answer may be minutes away.
func TestPaceEndsProbation(t *testing.T) {
	cases := []struct {
		name      string
		tokenTime time.Duration
		more      int
	}{
		{"as fast as before", time.Millisecond, 1}, // Its ramp stands at half of its knee, 2.
		{"slower", 3 * time.Millisecond, 0},
		{"not known yet", 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench("e1")
			b.member.view.Cells[0].Endpoints = []string{"e1"}
			b.owner.ReconcileCells()
			r, reply := b.acquire(nil)
			b.release(r, reply.Endpoint, pool.Complete)
			r, reply = b.acquire(nil)
			b.release(r, reply.Endpoint, pool.Complete)
			b.clock.Advance(time.Second)
			r, reply = b.acquire(nil)
			assert.Equal(t, reply.State, pool.Granted)
			assert.Equal(t, b.granted(), 0, "on probation")
			b.clock.Advance(time.Second)
			b.member.loaded = true
			b.owner.ReadLoads(t.Context())
			b.owner.Renew(pool.Renewal{Entry: "d1", Run: "run", Cell: cellID, Held: []pool.HeldStream{{ID: r.ID, Endpoint: "e1", TokenTime: test.tokenTime}}})
			assert.Equal(t, b.granted(), test.more)
		})
	}
}

func other(endpoint string) string {
	if endpoint == "e1" {
		return "e2"
	}
	return "e1"
}

// TestSurvivedBreakIsNoCrash has a content break off on an engine, and the engine
// report the start of its process: if that is the same as before the break, the
// content is not held to have crashed it.
func TestSurvivedBreakIsNoCrash(t *testing.T) {
	cases := []struct {
		name string
		// before and after are the starts that are reported before and after the break.
		before, after int64
		crashes       int
	}{
		{"the process goes on", 7, 7, 0},
		{"the process is a new one", 7, 9, 1},
		{"the engine does not say", 0, 0, 1},
		{"it was not known before", 0, 9, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("e1", "e2")
			report := func(born int64) {
				b.member.loaded, b.member.born = true, born
				b.clock.Advance(2 * time.Second)
				b.owner.ReconcileCells()
				b.owner.ReadLoads(t.Context())
			}
			report(c.before)
			r, reply := b.acquire(func(r *pool.Request) { r.Fingerprint = "x" })
			assert.Equal(t, reply.State, pool.Granted)
			b.release(r, reply.Endpoint, pool.Crashed)
			assert.Equal(t, b.notices.Crashes("x"), 1)
			report(c.after)
			assert.Equal(t, b.notices.Crashes("x"), c.crashes)
		})
	}
}
