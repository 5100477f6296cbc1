package billing_test

import (
	"context"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/billing"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// fencedCalls records reports. The answers to the first reports, as many as
// answersToLose, are lost.
type fencedCalls struct {
	mu            sync.Mutex
	reports       []sesamepitch.WindowUsage
	answersToLose int
}

func (c *fencedCalls) ReportWindow(_ context.Context, usage sesamepitch.WindowUsage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, usage)
	if c.answersToLose > 0 {
		c.answersToLose--
		return &billing.Error{Op: "report", Kind: sesamepitch.KindUnknown}
	}
	return nil
}

func (c *fencedCalls) OrderCount(context.Context, sesamepitch.EndpointCount) error { return nil }

func (c *fencedCalls) seen() []sesamepitch.WindowUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sesamepitch.WindowUsage(nil), c.reports...)
}

// heldLease is a lease that is held for good with this epoch; zero is a lease
// that is not held.
type heldLease int64

func (l heldLease) Held() (int64, time.Time, bool) {
	return int64(l), time.Now().Add(time.Hour), l > 0
}

func (l heldLease) MayCall() (int64, bool) { return int64(l), l > 0 }

const window = 500 * time.Millisecond

// TestReports counts at two instances and runs two reporters at the same time,
// with answers lost: all reports of a window must have the same counts, and no
// request may be missing.
func TestReports(t *testing.T) {
	store := standin.NewMemory()
	clock := sesamepitch.SystemClock{}
	ctx, cancel := context.WithCancel(context.Background())
	sent := &fencedCalls{answersToLose: 2}
	ended := make(chan error, 4)
	start := func(run func(context.Context) error) {
		go func() { ended <- run(ctx) }()
	}
	var meters []*billing.Meter
	for _, name := range []string{"a", "b"} {
		meter := billing.NewMeter(clock, logr.Discard(), store, window, name)
		meters = append(meters, meter)
		start(meter.Run)
	}
	for epoch, name := range []string{"a", "b"} {
		reporter := billing.NewReporter(clock, logr.Discard(), store, sent, heldLease(epoch+1), name, window, 5*time.Second)
		start(reporter.Run)
	}
	for range 30 {
		meters[0].Count("guild", time.Now())
		meters[1].Count("guild", time.Now())
		meters[1].Count("desk", time.Now())
		time.Sleep(20 * time.Millisecond)
	}
	last := time.Now().UnixNano() / int64(window)
	time.Sleep(4500 * time.Millisecond)
	cancel()
	for range 4 {
		<-ended
	}
	counts := map[int64]map[string]int64{}
	totals := map[string]int64{}
	for _, report := range sent.seen() {
		if first, repeated := counts[report.Window]; repeated {
			assert.DeepEqual(t, first, report.Counts)
			continue
		}
		counts[report.Window] = report.Counts
		if report.Window <= last {
			totals["guild"] += report.Counts["guild"]
			totals["desk"] += report.Counts["desk"]
		}
	}
	assert.DeepEqual(t, totals, map[string]int64{"guild": 60, "desk": 30})
}

// TestLateCounts checks that counts flushed after the final counts of their window
// are not written.
func TestLateCounts(t *testing.T) {
	store := standin.NewMemory()
	ctx := context.Background()
	meter := billing.NewMeter(sesamepitch.SystemClock{}, logr.Discard(), store, time.Hour, "a")
	meter.Count("guild", time.Now())
	meter.Flush(ctx)
	rows, err := store.List(ctx, "usage/")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	_, err = store.Commit(ctx, sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: rows[0].Key[:len(rows[0].Key)-1] + "frozen counts", Value: []byte(`{}`)}}})
	assert.NilError(t, err)
	meter.Count("guild", time.Now())
	meter.Flush(ctx)
	row, err := store.Get(ctx, rows[0].Key)
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), `{"guild":1}`)
}

// TestNoReportWithoutLease checks that nothing is sent while the lease is not
// held.
func TestNoReportWithoutLease(t *testing.T) {
	sent := &fencedCalls{}
	reporter := billing.NewReporter(sesamepitch.SystemClock{}, logr.Discard(), standin.NewMemory(), sent, heldLease(0), "a", window, 5*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, reporter.Run(ctx), context.DeadlineExceeded)
	assert.Equal(t, len(sent.seen()), 0)
}
