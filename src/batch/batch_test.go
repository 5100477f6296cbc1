package batch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/standin"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func jobOf(id, workspace string, items, bodyBytes int) batch.Job {
	job := batch.Job{Header: batch.Header{ID: id, Workspace: workspace, Model: "coach", MinVersion: 3}}
	for i := range items {
		job.Items = append(job.Items, batch.Item{
			ID: fmt.Sprintf("item-%d", i), Path: "/p/1", Group: fmt.Sprint(i / 4),
			Body: []byte(strings.Repeat("x", bodyBytes)),
		})
	}
	return job
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// failOnce makes the first commit whose key has the prefix fail with the outcome.
func failOnce(store *standin.Memory, prefix string, outcome standin.Outcome) {
	failed := false
	store.SetFault(func(op, key string) standin.Outcome {
		if op == "commit" && strings.HasPrefix(key, prefix) && !failed {
			failed = true
			return outcome
		}
		return standin.Served
	})
}

// TestAccept stores a job with each outcome of its write: the returned error must
// match what is stored, and the job must be stored once.
func TestAccept(t *testing.T) {
	cases := []struct {
		name    string
		outcome standin.Outcome
		kind    sesamepitch.Kind
		stored  bool
	}{
		{"served", standin.Served, "", true},
		{"refused", standin.Refused, sesamepitch.KindUnavailable, false},
		{"lost before", standin.RequestLost, "", true},
		{"lost after", standin.ReplyLost, "", true},
		{"committed late", standin.Delayed, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := standin.NewMemory()
			failOnce(store, "open/", c.outcome)
			ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
			err := ledger.Accept(timeoutContext(t, time.Second), jobOf("j", "guild", 8, 600))
			assert.Equal(t, sesamepitch.KindOf(err), c.kind)
			store.ApplyDelayed()
			header, err := batch.NewLedger(sesamepitch.SystemClock{}, store).Header(context.Background(), "j")
			assert.Equal(t, err == nil, c.stored)
			if !c.stored {
				assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindNotFound)
				return
			}
			job, err := ledger.Job(context.Background(), header)
			assert.NilError(t, err)
			assert.DeepEqual(t, job.Items, jobOf("j", "guild", 8, 600).Items)
		})
	}
}

// TestAcceptUnsettled gets no answer to its write: Accept must return KindUnknown,
// not KindUnavailable, since the write may still be carried out.
func TestAcceptUnsettled(t *testing.T) {
	store := standin.NewMemory()
	first := true
	store.SetFault(func(op, _ string) standin.Outcome {
		if op == "commit" && first {
			first = false
			return standin.Delayed
		}
		return standin.Refused
	})
	err := batch.NewLedger(sesamepitch.SystemClock{}, store).Accept(timeoutContext(t, 300*time.Millisecond), jobOf("j", "guild", 4, 10))
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnknown, "%v", err)
}

func TestAcceptAgain(t *testing.T) {
	store := standin.NewMemory()
	ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
	assert.NilError(t, ledger.Accept(context.Background(), jobOf("j", "guild", 4, 10)))
	commits := store.Commits()
	assert.NilError(t, batch.NewLedger(sesamepitch.SystemClock{}, store).Accept(context.Background(), jobOf("j", "guild", 4, 10)))
	assert.Equal(t, store.Commits(), commits)
	err := ledger.Accept(context.Background(), jobOf("j", "other", 4, 10))
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindDenied)
}

// TestLargeJob has more items than fit into one transaction.
func TestLargeJob(t *testing.T) {
	store := standin.NewMemory()
	ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
	want := jobOf("j", "guild", 4096, 500)
	assert.NilError(t, ledger.Accept(context.Background(), want))
	header, err := ledger.Header(context.Background(), "j")
	assert.NilError(t, err)
	job, err := ledger.Job(context.Background(), header)
	assert.NilError(t, err)
	assert.Equal(t, len(job.Items), 4096)
	assert.DeepEqual(t, job.Items[4095], want.Items[4095])
}

func TestEnd(t *testing.T) {
	store := standin.NewMemory()
	ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
	assert.Equal(t, sesamepitch.KindOf(ledger.End(timeoutContext(t, time.Second), "j")), sesamepitch.KindNotFound)
	assert.NilError(t, ledger.Accept(context.Background(), jobOf("j", "guild", 4, 10)))
	failOnce(store, "open/", standin.ReplyLost)
	assert.NilError(t, ledger.End(timeoutContext(t, time.Second), "j"))
	assert.NilError(t, ledger.End(timeoutContext(t, time.Second), "j"))
	row, err := store.Get(context.Background(), "open/j/j")
	assert.NilError(t, err)
	header, err := batch.DecodeHeader(row)
	assert.NilError(t, err)
	assert.Assert(t, header.Ended)
}

// boundedStore fails the test on a commit that the platform's store would reject.
type boundedStore struct {
	*standin.Memory
	t        *testing.T
	rowBytes int
}

func (s boundedStore) Commit(ctx context.Context, txn sesamepitch.Txn) (int64, error) {
	assert.Check(s.t, len(txn.Checks)+len(txn.Writes) <= 100, "%d entries", len(txn.Checks)+len(txn.Writes))
	for _, write := range txn.Writes {
		assert.Check(s.t, len(write.Value) <= s.rowBytes, "%s has %d bytes", write.Key, len(write.Value))
	}
	return s.Memory.Commit(ctx, txn)
}

func TestReadPages(t *testing.T) {
	store := standin.NewMemory()
	ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
	assert.NilError(t, ledger.Accept(context.Background(), jobOf("j", "guild", 30, 10)))
	claim, err := ledger.Claim(context.Background(), "j", "a", 1)
	assert.NilError(t, err)
	var results []batch.Result
	for i := range 30 {
		results = append(results, batch.Result{ID: fmt.Sprintf("item-%d", i), State: batch.Done, Output: strings.Repeat("<>&", 30_000), Versions: []int64{3}})
	}
	for rest := results; len(rest) > 0; {
		count := ledger.AppendLimit(rest)
		assert.Assert(t, count > 0)
		assert.NilError(t, claim.Append(context.Background(), rest[:count], nil))
		rest = rest[count:]
	}
	var read []batch.Result
	pages := 0
	for len(read) < 30 {
		page, err := ledger.Read(context.Background(), "j", len(read))
		assert.NilError(t, err)
		assert.Equal(t, page.Total, 30)
		assert.Assert(t, len(page.Results) > 0)
		assert.Equal(t, page.Next, len(read)+len(page.Results))
		read = append(read, page.Results...)
		pages++
	}
	assert.DeepEqual(t, read, results)
	assert.Assert(t, pages > 1, "more than one page")
	page, err := ledger.Read(context.Background(), "j", 30)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Results), 0)
}

// TestPositions draws appends by two drivers, the second with a higher epoch, and
// commits with every kind of fault: the result at a position must never change and
// no item may have two results.
func TestPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := standin.NewMemory()
		ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
		if err := ledger.Accept(ctx, jobOf("j", "guild", 60, 10)); err != nil {
			t.Fatal(err)
		}
		drivers := make([]*writer, 2)
		for i := range drivers {
			drivers[i] = &writer{ledger: ledger, name: fmt.Sprint(i), epoch: int64(i + 1)}
		}
		seen := map[int]batch.Result{}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			outcome := rapid.SampledFrom([]standin.Outcome{standin.Served, standin.Served, standin.Refused, standin.RequestLost, standin.ReplyLost, standin.Delayed}).Draw(t, "fault")
			failOnce(store, "", outcome)
			drivers[rapid.IntRange(0, 1).Draw(t, "driver")].step(ctx)
			if rapid.Bool().Draw(t, "settle") {
				store.ApplyDelayed()
			}
			store.SetFault(nil)
			checkResults(t, ledger, seen)
		}
	})
}

func checkResults(t *rapid.T, ledger *batch.Ledger, seen map[int]batch.Result) {
	results, err := ledger.AllResults(context.Background(), "j")
	if err != nil {
		t.Fatal(err)
	}
	items := map[string]bool{}
	for position, result := range results {
		before, known := seen[position]
		if known && (before.ID != result.ID || before.Output != result.Output) {
			t.Fatalf("position %d changed from %q by %q to %q by %q", position, before.ID, before.Output, result.ID, result.Output)
		}
		if items[result.ID] {
			t.Fatalf("item %q has two results", result.ID)
		}
		items[result.ID] = true
		seen[position] = result
	}
	if len(results) < len(seen) {
		t.Fatalf("%d results, %d were seen before", len(results), len(seen))
	}
}

// writer appends results as a driver does: it repeats an append whose outcome is
// unknown and stops when it is fenced.
type writer struct {
	ledger   *batch.Ledger
	name     string
	epoch    int64
	claim    *batch.Claim
	appended map[string]bool
	pending  []batch.Result
	fenced   bool
}

func (w *writer) step(ctx context.Context) {
	if w.fenced {
		return
	}
	if w.claim == nil {
		w.takeClaim(ctx)
		return
	}
	if w.pending == nil {
		w.pending = w.next()
	}
	switch sesamepitch.KindOf(w.claim.Append(ctx, w.pending, nil)) {
	case "":
		for _, result := range w.pending {
			w.appended[result.ID] = true
		}
		w.pending = nil
	case sesamepitch.KindConflict:
		w.fenced = true
	}
}

func (w *writer) takeClaim(ctx context.Context) {
	claim, err := w.ledger.Claim(ctx, "j", w.name, w.epoch)
	if sesamepitch.KindOf(err) == sesamepitch.KindConflict {
		w.fenced = true
	}
	if err != nil {
		return
	}
	done, err := w.ledger.AllResults(ctx, "j")
	if err != nil {
		return
	}
	w.claim, w.appended = claim, map[string]bool{}
	for _, result := range done {
		w.appended[result.ID] = true
	}
}

func (w *writer) next() []batch.Result {
	var results []batch.Result
	for i := range 60 {
		id := fmt.Sprintf("item-%d", i)
		if !w.appended[id] && len(results) < 3 {
			results = append(results, batch.Result{ID: id, State: batch.Done, Output: w.name, Versions: []int64{3}})
		}
	}
	return results
}

// TestRemove checks that a removal that fails half way can be repeated, that it
// deletes all rows of the job, and that it keeps those of other jobs.
func TestRemove(t *testing.T) {
	ctx := context.Background()
	store := standin.NewMemory()
	ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
	for _, id := range []string{"j", "other"} {
		assert.NilError(t, ledger.Accept(ctx, jobOf(id, "guild", 4, 10)))
		claim, err := ledger.Claim(ctx, id, "a", 1)
		assert.NilError(t, err)
		result := batch.Result{ID: "item-0", State: batch.Done, Output: "x", Versions: []int64{3}}
		assert.NilError(t, claim.Append(ctx, []batch.Result{result}, []batch.Checkpoint{{Item: 1, Attempt: 1, Events: []string{"a"}}}))
	}
	failOnce(store, "spec/", standin.Refused)
	assert.Equal(t, sesamepitch.KindOf(ledger.Remove(ctx, "j")), sesamepitch.KindUnavailable)
	row, err := store.Get(ctx, "open/j/j")
	assert.NilError(t, err)
	assert.Assert(t, row.Version > 0, "the header is deleted last")
	assert.NilError(t, ledger.Remove(ctx, "j"))
	_, err = ledger.Header(ctx, "j")
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindNotFound)
	for _, table := range []string{"open/", "spec/", "mark/", "result/", "progress/"} {
		rows, err := store.List(ctx, table)
		assert.NilError(t, err)
		for _, row := range rows {
			assert.Assert(t, strings.Contains(row.Key, "/other/"), "%s was not deleted", row.Key)
		}
		assert.Assert(t, len(rows) > 0)
	}
}

// racingStore calls before once, ahead of the next commit, so that another write
// comes between a claim's read and its commit.
type racingStore struct {
	*standin.Memory
	before func()
}

func (r *racingStore) Commit(ctx context.Context, txn sesamepitch.Txn) (int64, error) {
	if before := r.before; before != nil {
		r.before = nil
		before()
	}
	return r.Memory.Commit(ctx, txn)
}

// TestClaimRace claims a job while another driver commits its own claim. If the
// other driver is an older one that was paused, the claim must be retryable;
// otherwise this driver would drop a job that it owns.
func TestClaimRace(t *testing.T) {
	cases := []struct {
		name  string
		epoch int64
		kind  sesamepitch.Kind
	}{
		{"an older driver claims first", 2, sesamepitch.KindUnavailable},
		{"a newer driver claims first", 4, sesamepitch.KindConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			memory := standin.NewMemory()
			other := batch.NewLedger(sesamepitch.SystemClock{}, memory)
			assert.NilError(t, other.Accept(ctx, jobOf("j", "guild", 4, 10)))
			store := &racingStore{Memory: memory, before: func() {
				_, err := other.Claim(ctx, "j", "other", c.epoch)
				assert.NilError(t, err)
			}}
			ledger := batch.NewLedger(sesamepitch.SystemClock{}, store)
			_, err := ledger.Claim(ctx, "j", "a", 3)
			assert.Equal(t, sesamepitch.KindOf(err), c.kind, "%v", err)
			_, err = ledger.Claim(ctx, "j", "a", 3)
			assert.Equal(t, err == nil, c.kind == sesamepitch.KindUnavailable)
		})
	}
}
