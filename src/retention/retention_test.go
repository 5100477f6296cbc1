package retention_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
	"sesamepitch/src/notice"
	"sesamepitch/src/retention"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/standin"
	"sesamepitch/src/usage"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// startPlatform runs the platform stand-in and returns a client of it.
func startPlatform(t *testing.T) *rowstore.Client {
	t.Helper()
	server := httptest.NewServer(standin.NewPlatform())
	t.Cleanup(server.Close)
	return rowstore.New(strings.TrimPrefix(server.URL, "http://"))
}

// keys lists the table's keys with a prefix.
func keys(t *testing.T, table sesamepitch.Table, prefix string) []string {
	t.Helper()
	rows, err := table.List(context.Background(), prefix)
	assert.NilError(t, err)
	return sesamepitch.KeysOf(rows)
}

// newClock returns a clock at the start of a day, where a bucket of call rows starts too.
func newClock() *clockwork.FakeClock {
	return clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
}

// TestCallsAreRememberedForTheirTime repeats a call for call.KeyRetention through daemons
// whose clocks differ, with a sweep each hour, and asserts that each repeat gets the
// recorded answer and that the row is removed later.
func TestCallsAreRememberedForTheirTime(t *testing.T) {
	ctx, table, clock := context.Background(), startPlatform(t), newClock()
	behind := clockwork.NewFakeClockAt(clock.Now().Add(-time.Hour))
	journal, other := call.NewJournal(clock, table), call.NewJournal(behind, table)
	intent, _, err := journal.Begin(ctx, "field", "k1", "f")
	assert.NilError(t, err)
	assert.NilError(t, journal.Finish(ctx, intent, 200, "text/plain", []byte("done")))
	for hour := range 24 {
		for _, j := range []*call.Journal{journal, other} {
			_, record, err := j.Begin(ctx, "field", "k1", "f")
			assert.NilError(t, err, "hour %d", hour)
			assert.Assert(t, record != nil && string(record.Body) == "done", "hour %d", hour)
		}
		_, err := journal.Sweep(ctx, 100)
		assert.NilError(t, err)
		clock.Advance(time.Hour)
		behind.Advance(time.Hour)
	}
	clock.Advance(3 * call.KeyRetention)
	for range 4 {
		_, err := journal.Sweep(ctx, 100)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(keys(t, table, "call/")), 0)
	assert.Equal(t, len(keys(t, table, "swept/")), 1)
}

// TestReportedWindowsGo reports the windows of ten days and sweeps, and asserts that those
// of the last two days stay closed, so that no late flush can add to them. A run's flush
// row is removed after seven idle days.
func TestReportedWindowsGo(t *testing.T) {
	ctx, table, clock := context.Background(), startPlatform(t), newClock()
	const length = time.Hour
	flushInterval := func() time.Duration { return time.Second }
	sweeper := usage.NewSweeper(clock, table, length)
	old := usage.NewMeter(clock, logr.Discard(), table, "d1@old", length, flushInterval)
	for day := range 10 {
		run := usage.NewMeter(clock, logr.Discard(), table, fmt.Sprintf("d2@%d", day), length, flushInterval)
		for _, meter := range []*usage.Meter{old, run} {
			if meter == old && day > 0 {
				continue
			}
			meter.Record("field", 10, 10)
			assert.NilError(t, meter.Flush(ctx))
		}
		report(t, clock, table, length)
		for range 4 {
			_, err := sweeper.Sweep(ctx, 256)
			assert.NilError(t, err)
		}
	}
	kept := len(keys(t, table, "usage/frozen/"))
	assert.Assert(t, kept >= 47 && kept <= 49, "%d windows of an hour in two days", kept)
	assert.Equal(t, len(keys(t, table, "usage/closing/")), kept)
	assert.Equal(t, len(keys(t, table, "usage/reported/")), kept)
	assert.Equal(t, len(keys(t, table, "usage/flushed/")), 7, "runs of the last seven days")
	// The first run's rows were removed because it was idle for so long, so its daemon
	// continues under a new run.
	old.Record("field", 10, 10)
	assert.NilError(t, old.Flush(ctx))
	old.Record("field", 10, 10)
	assert.NilError(t, old.Flush(ctx))
	assert.Equal(t, len(keys(t, table, "usage/flushed/d1@old#1")), 1)
}

// report advances the clock by one day and marks the day's windows reported, with the
// rows that the reporter writes.
func report(t *testing.T, clock *clockwork.FakeClock, table sesamepitch.Table, length time.Duration) {
	t.Helper()
	for range 24 {
		window := usage.WindowAt(clock.Now(), length)
		clock.Advance(length)
		next := fmt.Sprintf(`{"window":"%s"}`, window.Next().ID())
		var txn sesamepitch.Txn
		for _, key := range []string{"usage/closing/", "usage/frozen/", "usage/reported/"} {
			txn.Writes = append(txn.Writes, sesamepitch.Write{Key: key + window.ID(), Value: []byte(`{}`)})
		}
		txn.Writes = append(txn.Writes, sesamepitch.Write{Key: "usage/cursor", Value: []byte(next)})
		_, err := table.Commit(context.Background(), txn)
		assert.NilError(t, err)
	}
}

// TestNoticesFold publishes many versions and withdrawals and compacts the log, and
// asserts that a new reader and one that had read only a part have all notices.
func TestNoticesFold(t *testing.T) {
	ctx, table, clock := context.Background(), startPlatform(t), newClock()
	writer, lateReader := notice.NewSet(clock), notice.NewSet(clock)
	log, lateLog := notice.NewLog(table, writer), notice.NewLog(table, lateReader)
	const versions = 1300
	for version := range versions {
		writer.Add("", writer.NewVersion("coach", int64(version+1), "w", "d1"))
		if version%100 == 0 {
			writer.Add("", writer.NewWithdrawal(fmt.Sprint("hash", version), "d1"))
		}
		assert.NilError(t, log.Sync(ctx))
		if version == 200 {
			assert.NilError(t, lateLog.Sync(ctx))
		}
		if version%600 == 599 {
			removed, err := log.Sweep(ctx, 0)
			assert.NilError(t, err)
			assert.Assert(t, removed > 0)
		}
	}
	assert.Equal(t, len(keys(t, table, "notice/log/")), versions-1200)
	newReader := notice.NewSet(clock)
	assert.NilError(t, notice.NewLog(table, newReader).Sync(ctx))
	assert.NilError(t, lateLog.Sync(ctx))
	for _, set := range []*notice.Set{newReader, lateReader} {
		assert.Equal(t, set.ModelVersion("coach"), int64(versions))
		for version := 0; version < versions; version += 100 {
			assert.Assert(t, set.IsWithdrawn(fmt.Sprint("hash", version)))
		}
	}
	lateReader.Add("", lateReader.NewWithdrawal("last", "d2"))
	assert.NilError(t, lateLog.Sync(ctx))
	assert.NilError(t, log.Sync(ctx))
	assert.Assert(t, writer.IsWithdrawn("last"))
}

// countingSweeper counts its sweeps and the rows that are left.
type countingSweeper struct{ left, sweeps int }

func (c *countingSweeper) Name() string { return "rows" }

func (c *countingSweeper) Sweep(_ context.Context, limit int) (int, error) {
	c.sweeps++
	removed := min(limit, c.left)
	c.left -= removed
	return removed, nil
}

// TestSchedulerSweepsOnlyAsHolder asserts that only the lease's holder sweeps, and that a
// sweeper with nothing to remove is not run for a while.
func TestSchedulerSweepsOnlyAsHolder(t *testing.T) {
	clock, held := newClock(), false
	rows := &countingSweeper{left: 600}
	scheduler := retention.New(clock, logr.Discard(), func() bool { return held }, rows)
	scheduler.Tick(context.Background())
	assert.Equal(t, rows.sweeps, 0, "not the holder")
	held = true
	for range 10 {
		scheduler.Tick(context.Background())
	}
	assert.Equal(t, rows.left, 0)
	assert.Equal(t, rows.sweeps, 4, "no sweeps for a while when no rows are left")
	clock.Advance(time.Hour)
	scheduler.Tick(context.Background())
	assert.Equal(t, rows.sweeps, 5)
}
