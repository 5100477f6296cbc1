package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/registry"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// connectivity is lost at once or later.
type connectivity struct{ ctx context.Context }

func (r connectivity) StoreReachable() (context.Context, time.Duration) {
	return r.ctx, 900 * time.Millisecond
}

// unresponsiveStore is a store that answers nobody.
type unresponsiveStore struct{ *standin.Memory }

func (unresponsiveStore) Get(ctx context.Context, _ string) (sesamepitch.Row, error) {
	<-ctx.Done()
	return sesamepitch.Row{}, &Error{Op: "silent", Kind: sesamepitch.KindUnavailable, Err: ctx.Err()}
}

func (unresponsiveStore) Commit(ctx context.Context, _ sesamepitch.Txn) (int64, error) {
	<-ctx.Done()
	return 0, &Error{Op: "silent", Kind: sesamepitch.KindUnknown, Err: ctx.Err()}
}

// TestCutOff makes each call for jobs while the store is out of reach, or gets
// out of reach during the call: it is refused at once, not after the time that
// calls of the store may take, and the caller is told when to come back.
func TestCutOff(t *testing.T) {
	const limit = 300 * time.Millisecond
	admission := Admission{Route: registry.Route{Name: "train", Kind: registry.Rollout}, Workspace: "w"}
	job := batch.Job{Header: batch.Header{ID: "j"}, Items: []batch.Item{{ID: "x", Path: "/p/1", Group: "g"}}}
	calls := []struct {
		name string
		call func(g *Gateway) error
	}{
		{"submit", func(g *Gateway) error { return g.Submit(context.Background(), admission, job) }},
		{"read", func(g *Gateway) error {
			_, err := g.Read(context.Background(), "w", "j", 0, time.Second)
			return err
		}},
		{"item", func(g *Gateway) error {
			_, err := g.ItemBody(context.Background(), "w", "j", "x")
			return err
		}},
		{"end", func(g *Gateway) error { return g.End(context.Background(), "w", "j") }},
	}
	for _, c := range calls {
		for _, during := range []bool{false, true} {
			name := c.name + " while cut off"
			if during {
				name = c.name + " as it gets cut off"
			}
			t.Run(name, func(t *testing.T) {
				clock := sesamepitch.SystemClock{}
				connected, disconnect := context.WithCancel(context.Background())
				defer disconnect()
				if during {
					time.AfterFunc(limit/3, disconnect)
				} else {
					disconnect()
				}
				ledger := batch.NewLedger(clock, unresponsiveStore{standin.NewMemory()})
				g := New(clock, logr.Discard(), registry.New(clock, decoder{}), &forwarder{}, ledger, &meter{}, "near", "here", WithConnectivity(connectivity{connected}))
				began := time.Now()
				err := c.call(g)
				assert.Assert(t, time.Since(began) < limit, "answered after %s", time.Since(began))
				var refusal *Refusal
				assert.Assert(t, errors.As(err, &refusal), "%v", err)
				if !during {
					assert.Equal(t, refusal.Kind, sesamepitch.KindUnavailable)
					assert.Equal(t, refusal.After, 900*time.Millisecond)
				}
			})
		}
	}
}
