package document_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/standin"

	"gotest.tools/v3/assert"
)

const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const validYAML = `workspaces:
  - {name: coaching, class: training, weight: 2}
keys:
  - {name: k1, workspace: coaching, hash: ` + hash + `}
trainers:
  - {name: painter, workspace: coaching, model: coach, max_lag: 1, step_time: 29m}
models:
  - {name: coach, version: 1}
data_centres:
  - {name: muc-a, region: bavaria}
endpoints:
  - {name: e1, data_centre: muc-a, model: coach, address: "10.0.0.1:9000", knee: 8, cold_limit: 2, milli_price: 1000}
limits:
  - {name: body_bytes, value: 1000}
`

// blobs is an object store in memory.
type blobs map[string][]byte

func (b blobs) Put(_ context.Context, name string, content []byte) error {
	b[name] = content
	return nil
}

func (b blobs) Get(_ context.Context, name string) ([]byte, error) { return b[name], nil }

func (b blobs) Delete(_ context.Context, name string) error {
	delete(b, name)
	return nil
}

// memoryPlatform is a platform in memory with only a table and an object store.
type memoryPlatform struct {
	sesamepitch.Platform
	table   *standin.Memory
	objects blobs
}

func (p memoryPlatform) Get(ctx context.Context, key string) (sesamepitch.Row, error) {
	return p.table.Get(ctx, key)
}

func (p memoryPlatform) Commit(ctx context.Context, txn sesamepitch.Txn) (int64, error) {
	return p.table.Commit(ctx, txn)
}

func (p memoryPlatform) Objects() sesamepitch.Objects { return p.objects }

// TestLateCommit guards against reporting a change as failed when it may still
// take effect: responses to commits are lost, and some commits are applied later.
func TestLateCommit(t *testing.T) {
	d, err := document.Parse([]byte(validYAML))
	assert.NilError(t, err)
	cases := []struct {
		name    string
		outcome standin.Outcome
		kind    sesamepitch.Kind
		applied bool
	}{
		{"lost before commit", standin.RequestLost, sesamepitch.KindUnknown, false},
		{"lost after commit", standin.ReplyLost, "", true},
		{"applied later", standin.Delayed, sesamepitch.KindUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := standin.NewMemory()
			table.SetFault(func(op, _ string) standin.Outcome {
				if op == "commit" {
					return c.outcome
				}
				return standin.Served
			})
			store := document.NewStore(memoryPlatform{table: table, objects: blobs{}})
			_, err := store.Accept(context.Background(), nil, d, "a")
			assert.Equal(t, sesamepitch.KindOf(err), c.kind, "%v", err)
			table.SetFault(nil)
			table.ApplyDelayed()
			head, err := store.Head(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, head.Version == 1, c.applied)
		})
	}
}

func TestParse(t *testing.T) {
	cases := []struct{ name, old, with, fault string }{
		{"valid", "", "", ""},
		{"unknown section", "limits:", "limit:", `line 13: limit : unknown section`},
		{"unknown field", "weight: 2", "wheight: 2", `line 2: workspaces : unknown field "wheight"`},
		{"doubled name", "data_centres:\n", "data_centres:\n  - {name: muc-a, region: x}\n", `line 11: data_centres muc-a: stands twice`},
		{"dangling reference", "workspace: coaching, model", "workspace: couching, model", `line 6: trainers painter: workspace "couching" is not in section workspaces`},
		{"bad unit", "29m", "29minutes", `line 6: trainers painter: step_time "29minutes" is no duration`},
		{"key in clear text", hash, "sp-secret", `line 4: keys k1: hash must be a key's SHA-256`},
		{"host name", "10.0.0.1:9000", "engine:9000", `line 12: endpoints e1: address "engine:9000" must be IP:port`},
		{"cold limit over the knee", "cold_limit: 2", "cold_limit: 9", `cold_limit must be 1 to knee`},
		{"negative", "max_lag: 1", "max_lag: -1", `max_lag must not be negative`},
		{"wrong type", "version: 1", "version: one", `line 8: models`},
		{"not YAML", "workspaces:", "workspaces: [", `line`},
		{"neither model nor service", "model: coach, address", "address", `must name either a model or a service`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := document.Parse([]byte(strings.Replace(validYAML, test.old, test.with, 1)))
			if test.fault == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.fault)
			assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindInvalid)
		})
	}
	t.Run("all faults at once", func(t *testing.T) {
		text := strings.Replace(strings.Replace(validYAML, "29m", "29x", 1), "knee: 8", "knee: 0", 1)
		_, err := document.Parse([]byte(text))
		assert.ErrorContains(t, err, "step_time")
		assert.ErrorContains(t, err, "knee")
	})
}

func parse(t *testing.T, text string) document.Document {
	t.Helper()
	d, err := document.Parse([]byte(text))
	assert.NilError(t, err)
	return d
}

func TestMerge(t *testing.T) {
	base := parse(t, validYAML)
	lag := parse(t, strings.Replace(validYAML, "max_lag: 1", "max_lag: 2", 1))
	knee := parse(t, strings.Replace(validYAML, "knee: 8", "knee: 9", 1))
	other := parse(t, strings.Replace(validYAML, "max_lag: 1", "max_lag: 3", 1))
	merged, err := document.Merge(base, lag, knee)
	assert.NilError(t, err)
	assert.Equal(t, merged.Trainers[0].MaxLag, int64(2))
	assert.Equal(t, merged.Endpoints[0].Knee, 9)
	_, err = document.Merge(base, lag, other)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindConflict)
	same, err := document.Merge(base, lag, lag)
	assert.NilError(t, err)
	assert.Equal(t, same.Digest(), lag.Digest())
}

func TestDeltasLeadToTheDigest(t *testing.T) {
	one, two := parse(t, validYAML), parse(t, strings.Replace(validYAML, "knee: 8", "knee: 9", 1))
	from := document.NewConfig(1, one)
	delta := document.Delta{Version: 2, Digest: two.Digest(), Changes: document.Diff(one, two)}
	next, err := document.ApplyDeltas(from, []document.Delta{delta})
	assert.NilError(t, err)
	assert.Equal(t, next.Digest(), two.Digest())
	gap := delta
	gap.Version = 3
	_, err = document.ApplyDeltas(from, []document.Delta{gap})
	assert.ErrorContains(t, err, "does not lead")
	wrong := delta
	wrong.Digest = one.Digest()
	_, err = document.ApplyDeltas(from, []document.Delta{wrong})
	assert.ErrorContains(t, err, "does not lead")
}

func TestHolderNeverGoesBack(t *testing.T) {
	h := document.NewHolder()
	assert.Assert(t, h.Advance(document.NewConfig(2, document.Document{})))
	assert.Assert(t, !h.Advance(document.NewConfig(1, document.Document{})))
	assert.Assert(t, !h.Advance(document.NewConfig(2, document.Document{})))
	assert.Equal(t, h.Current().Version(), int64(2))
}

// FuzzParse asserts that any input either fails with KindInvalid or gives a valid
// document whose stored form has the same digest.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("workspaces: [{name: a}]"))
	f.Add([]byte("keys:\n  - &a {name: x}\n  - *a\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		d, err := document.Parse(content)
		if err != nil {
			assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindInvalid)
			return
		}
		assert.NilError(t, document.Check(d))
		again, err := document.Apply(document.Document{}, document.Diff(document.Document{}, d))
		assert.NilError(t, err)
		assert.Equal(t, again.Digest(), d.Digest())
	})
}

// TestLargeDocument guards against quadratic allocation: it parses and changes
// documents with 2,500 and 10,000 keys, and compares the bytes allocated. Four times
// the keys must allocate less than 8 times the bytes; quadratic growth gives 16 times.
func TestLargeDocument(t *testing.T) {
	small, large := allocated(t, 2500), allocated(t, 10000)
	assert.Assert(t, large < 8*small, "%d and %d bytes allocated", small, large)
}

// allocated returns the bytes allocated by parsing and changing a document.
func allocated(t *testing.T, keys int) uint64 {
	t.Helper()
	var text strings.Builder
	text.WriteString("workspaces:\n  - {name: w, class: training, weight: 1}\nkeys:\n")
	for i := range keys {
		fmt.Fprintf(&text, "  - {name: k%d, workspace: w, hash: %s}\n", i, sesamepitch.KeyHash(fmt.Sprint(i)))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	d, err := document.Parse([]byte(text.String()))
	assert.NilError(t, err)
	changed := d
	changed.Workspaces = []document.Workspace{{Name: "w", Class: document.Training, Weight: 2}}
	changes := document.Diff(d, changed)
	assert.Equal(t, len(changes), 1)
	next, err := document.Apply(d, changes)
	assert.NilError(t, err)
	assert.Equal(t, next.Workspaces[0].Weight, 2)
	assert.Equal(t, len(next.Keys), keys)
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
