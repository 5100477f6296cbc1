package step

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/standin"
	"sesamepitch/src/usage"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newLedger(p sesamepitch.Platform, clock sesamepitch.Clock, number int64, run string) *ledger {
	spec := Spec{Trainer: "painter", Step: number, Groups: []Group{{Prompt: "p", Samples: 2, MaxTokens: 4}}}
	return &ledger{
		table: p, objects: p.Objects(), clock: clock, spec: spec, digest: specDigest(spec), driverID: run,
		window: func() usage.Window { return usage.WindowAt(clock.Now(), time.Minute) },
	}
}

// TestPastStepsGo sweeps a step a day after it was claimed, and asserts that all its rows
// are removed, its number stays closed, and neither its old driver nor a late
// acknowledgement writes rows again.
func TestPastStepsGo(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	ctx, clock := context.Background(), clockwork.NewFakeClock()
	p := rowstore.New(strings.TrimPrefix(server.URL, "http://"))
	sweeper := NewSweeper(clock, p)
	old := newLedger(p, clock, 7, "d1")
	assert.NilError(t, old.claim(ctx))
	batch := old.newBatch("coaching", []Sample{{Identity: Identity{Index: 0}, Text: "t", Tokens: 4}})
	assert.NilError(t, old.commit(ctx, batch))
	assert.NilError(t, Acknowledge(ctx, p, "painter", 7, []Identity{{Index: 0}}, false))

	clock.Advance(Retention - time.Minute)
	removed, err := sweeper.Sweep(ctx, 100)
	assert.NilError(t, err)
	assert.Equal(t, removed, 0, "too young")
	young := newLedger(p, clock, 8, "d1")
	assert.NilError(t, young.claim(ctx))

	clock.Advance(time.Hour)
	removed, err = sweeper.Sweep(ctx, 100)
	assert.NilError(t, err)
	assert.Equal(t, removed, 2, "a batch and the step")
	_, err = p.Objects().Get(ctx, batch.row.Object)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindNotFound)
	assert.Equal(t, sesamepitch.KindOf(newLedger(p, clock, 7, "d2").claim(ctx)), sesamepitch.KindInvalid)
	late := old.newBatch("coaching", []Sample{{Identity: Identity{Index: 1}, Text: "t", Tokens: 4}})
	assert.Equal(t, sesamepitch.KindOf(old.commit(ctx, late)), sesamepitch.KindConflict)
	assert.NilError(t, Acknowledge(ctx, p, "painter", 7, []Identity{{Index: 1}}, true))
	for _, prefix := range []string{"step/painter/000000000007", "sample/painter/000000000007", "ack/painter/000000000007"} {
		rows, err := p.List(ctx, prefix)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0, prefix)
	}
	assert.NilError(t, newLedger(p, clock, 8, "d2").claim(ctx), "the younger step can be resumed")
}

// TestClosedSteps compares closedSteps with a map.
func TestClosedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOf(rapid.Int64Range(0, 40)).Draw(t, "numbers")
		var closed closedSteps
		plain := map[int64]bool{}
		for _, number := range numbers {
			closed = closed.with(number)
			plain[number] = true
		}
		for number := range int64(42) {
			if closed.has(number) != plain[number] {
				t.Fatalf("%d: %v", number, closed)
			}
		}
		for i := 1; i < len(closed.Spans); i++ {
			if closed.Spans[i].From <= closed.Spans[i-1].To+1 {
				t.Fatalf("spans touch: %v", closed)
			}
		}
	})
}

// failingPlatform is a platform whose object store fails deletes while fails is set.
type failingPlatform struct {
	sesamepitch.Platform
	fails *bool
}

func (s failingPlatform) Objects() sesamepitch.Objects {
	return failingObjects{Objects: s.Platform.Objects(), fails: s.fails}
}

type failingObjects struct {
	sesamepitch.Objects
	fails *bool
}

func (s failingObjects) Delete(ctx context.Context, name string) error {
	if *s.fails {
		return &Error{Op: "test.delete", Kind: sesamepitch.KindUnavailable}
	}
	return s.Objects.Delete(ctx, name)
}

// TestSweepThatStopsHalfWay closes a step and fails to remove its samples, and asserts
// that the step cannot be claimed and that the next sweep removes the rest.
func TestSweepThatStopsHalfWay(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	ctx, clock, fails := context.Background(), clockwork.NewFakeClock(), true
	p := failingPlatform{Platform: rowstore.New(strings.TrimPrefix(server.URL, "http://")), fails: &fails}
	old := newLedger(p, clock, 7, "d1")
	assert.NilError(t, old.claim(ctx))
	assert.NilError(t, old.commit(ctx, old.newBatch("coaching", []Sample{{Text: "t", Tokens: 4}})))
	clock.Advance(Retention + time.Minute)
	sweeper := NewSweeper(clock, p)
	_, err := sweeper.Sweep(ctx, 100)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable)
	assert.Equal(t, sesamepitch.KindOf(newLedger(p, clock, 7, "d2").claim(ctx)), sesamepitch.KindInvalid)
	fails = false
	removed, err := sweeper.Sweep(ctx, 100)
	assert.NilError(t, err)
	assert.Equal(t, removed, 2, "a batch and the step")
}
