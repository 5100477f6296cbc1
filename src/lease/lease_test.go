package lease_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/lease"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// table is a table of one row. The fault applies to all calls until it is changed:
// "down" fails them, "lost before" and "lost after" lose the answer of a commit that
// did not or did take effect, and "late" defers a commit until applyLate.
type table struct {
	mu    sync.Mutex
	row   sesamepitch.Row
	fault string
	late  []sesamepitch.Txn
}

// applyLate applies the oldest deferred commit if its check still holds.
func (t *table) applyLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.late) == 0 {
		return
	}
	txn := t.late[0]
	t.late = t.late[1:]
	if txn.Checks[0].Version == t.row.Version {
		t.row = sesamepitch.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: t.row.Version + 1}
	}
}

type tableError struct{ kind sesamepitch.Kind }

func (e tableError) Error() string               { return string(e.kind) }
func (e tableError) ErrorKind() sesamepitch.Kind { return e.kind }

func (t *table) Get(context.Context, string) (sesamepitch.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == "down" {
		return sesamepitch.Row{}, tableError{sesamepitch.KindUnavailable}
	}
	return t.row, nil
}

func (t *table) List(context.Context, string) ([]sesamepitch.Row, error) {
	return nil, errors.New("not used")
}

func (t *table) Commit(_ context.Context, txn sesamepitch.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.fault == "down":
		return 0, tableError{sesamepitch.KindUnavailable}
	case t.fault == "lost before":
		return 0, tableError{sesamepitch.KindUnknown}
	case t.fault == "late":
		t.late = append(t.late, txn)
		return 0, tableError{sesamepitch.KindUnknown}
	case txn.Checks[0].Version != t.row.Version:
		return 0, tableError{sesamepitch.KindConflict}
	}
	t.row = sesamepitch.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: t.row.Version + 1}
	if t.fault == "lost after" {
		return 0, tableError{sesamepitch.KindUnknown}
	}
	return t.row.Version, nil
}

// TestOneHolder draws steps of three contenders, elapsed time and lost or late
// answers, and asserts that no two contenders hold the lease at the same time, that
// none holds it for longer than the TTL, and that fencing numbers never decrease.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		shared := &table{}
		settings := lease.Settings{TTL: 3 * time.Second, Margin: 500 * time.Millisecond}
		contenders := make([]*lease.Lease, 3)
		for i := range contenders {
			contenders[i] = lease.New(clock, shared, "lease", string(rune('a'+i)), "", settings)
		}
		last := int64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond)
			shared.fault = rapid.SampledFrom([]string{"", "", "", "down", "lost before", "lost after", "late"}).Draw(t, "fault")
			if rapid.Bool().Draw(t, "settle") {
				shared.applyLate()
			}
			chosen := contenders[rapid.IntRange(0, 2).Draw(t, "contender")]
			_ = chosen.Step(context.Background())
			holders := 0
			for _, contender := range contenders {
				epoch, until, held := contender.Held()
				if !held {
					continue
				}
				holders++
				if epoch < last {
					t.Fatalf("epoch %d after %d", epoch, last)
				}
				last = epoch
				if until.Sub(clock.Now()) > settings.TTL {
					t.Fatalf("held for %s", until.Sub(clock.Now()))
				}
			}
			if holders > 1 {
				t.Fatalf("%d holders", holders)
			}
		}
	})
}

func TestTakeover(t *testing.T) {
	ctx, clock, shared := context.Background(), clockwork.NewFakeClock(), &table{}
	settings := lease.Settings{TTL: 3 * time.Second, Margin: 500 * time.Millisecond}
	a := lease.New(clock, shared, "lease", "a", "addr-a", settings)
	b := lease.New(clock, shared, "lease", "b", "addr-b", settings)
	a.SetNote("members")
	assert.NilError(t, a.Step(ctx))
	assert.NilError(t, a.Step(ctx))
	assert.NilError(t, b.Step(ctx))
	clock.Advance(2600 * time.Millisecond)
	_, _, held := a.Held()
	assert.Assert(t, !held, "a stops before b may start")
	assert.NilError(t, b.Step(ctx))
	_, _, held = b.Held()
	assert.Assert(t, !held, "b waits for the TTL and the margin")
	clock.Advance(time.Second)
	assert.NilError(t, b.Step(ctx))
	epoch, _, held := b.Held()
	assert.Assert(t, held)
	assert.Equal(t, epoch, int64(2))
	assert.Equal(t, b.Previous().Note, "members")
	assert.NilError(t, a.Step(ctx))
	_, _, held = a.Held()
	assert.Assert(t, !held, "a finds out that it was replaced")
	assert.NilError(t, b.Release(ctx))
	assert.NilError(t, a.Step(ctx))
	epoch, _, held = a.Held()
	assert.Assert(t, held, "a released lease is taken at once")
	assert.Equal(t, epoch, int64(3))
}

// TestTurns lets a former holder take the lease again after its successor's lease
// lapsed or was released, also as a new process of the same instance. The lease must
// not be reported as held for fenced calls until the takeover time has passed since
// the former holder first saw its successor.
func TestTurns(t *testing.T) {
	cases := []struct {
		name              string
		released, restart bool
		holdOff           time.Duration
	}{
		{"lapsed", false, false, 0},
		{"released", true, false, 3 * time.Second},
		{"restarted", true, true, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, clock, shared := context.Background(), clockwork.NewFakeClock(), &table{}
			settings := lease.SettingsFor(3 * time.Second)
			a := lease.New(clock, shared, "lease", "a", "", settings)
			b := lease.New(clock, shared, "lease", "b", "", settings)
			assert.NilError(t, a.Step(ctx))
			_, _, first := a.ForFencedCalls().Held()
			assert.Assert(t, first, "there was no holder before")
			assert.NilError(t, a.Release(ctx))
			assert.NilError(t, b.Step(ctx))
			_, _, second := b.ForFencedCalls().Held()
			assert.Assert(t, second, "b has not held the lease before")
			if c.restart {
				a = lease.New(clock, shared, "lease", "a", "", settings)
			}
			assert.NilError(t, a.Step(ctx))
			if c.released {
				assert.NilError(t, b.Release(ctx))
			} else {
				clock.Advance(3 * time.Second)
			}
			assert.NilError(t, a.Step(ctx))
			_, _, held := a.Held()
			assert.Assert(t, held)
			_, _, fenced := a.ForFencedCalls().Held()
			assert.Equal(t, fenced, c.holdOff == 0)
			for waited := time.Duration(0); waited < c.holdOff; waited += time.Second {
				clock.Advance(time.Second)
				assert.NilError(t, a.Step(ctx))
			}
			_, _, fenced = a.ForFencedCalls().Held()
			assert.Assert(t, fenced)
		})
	}
}

// TestStepDelay checks the delay before a contender's next step: the time until it
// may take the lease, but no longer than the given maximum.
func TestStepDelay(t *testing.T) {
	ctx, clock, shared := context.Background(), clockwork.NewFakeClock(), &table{}
	a := lease.New(clock, shared, "lease", "a", "", lease.SettingsFor(3*time.Second))
	b := lease.New(clock, shared, "lease", "b", "", lease.SettingsFor(3*time.Second))
	assert.Equal(t, b.StepDelay(time.Second), time.Second, "the row has not been read yet")
	assert.NilError(t, a.Step(ctx))
	assert.Equal(t, a.StepDelay(time.Second), time.Second, "a holds the lease")
	assert.NilError(t, b.Step(ctx))
	assert.Equal(t, b.StepDelay(time.Second), time.Second)
	clock.Advance(1500 * time.Millisecond)
	assert.Equal(t, b.StepDelay(time.Second), 300*time.Millisecond)
	clock.Advance(300 * time.Millisecond)
	assert.Equal(t, b.StepDelay(time.Second), time.Duration(0))
	assert.NilError(t, b.Step(ctx))
	_, _, held := b.Held()
	assert.Assert(t, held)
	b.SetTakeoverDelay(0, 200*time.Millisecond)
	assert.NilError(t, b.Release(ctx))
	assert.NilError(t, a.Step(ctx), "a finds out that it was replaced")
	assert.NilError(t, a.Step(ctx))
	_, _, held = a.Held()
	assert.Assert(t, held, "a has no takeover delay")
	assert.NilError(t, a.Release(ctx))
	assert.NilError(t, b.Step(ctx))
	assert.Equal(t, b.StepDelay(time.Second), 200*time.Millisecond)
}
