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

// newClock stands at the start of a day and of a bucket of calls.
func newClock() *clockwork.FakeClock {
	return clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
}

// TestCallsAreRememberedForTheirTime repeats a call through daemons whose clocks
// differ, up to Memory, and sweeps at each hour.
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

// TestReportedWindowsGo reports windows over three days and sweeps: young ones
// stay closed, so that a late use cannot enter them.
func TestReportedWindowsGo(t *testing.T) {
	ctx, table, clock := context.Background(), startPlatform(t), newClock()
	const length = time.Hour
	pace := func() time.Duration { return time.Second }
	sweeper := usage.NewSweeper(clock, table, length)
	old := usage.NewMeter(clock, logr.Discard(), table, "d1@old", length, pace)
	for day := range 10 {
		run := usage.NewMeter(clock, logr.Discard(), table, fmt.Sprintf("d2@%d", day), length, pace)
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
	// A run that was idle for so long counts on under a new name.
	old.Record("field", 10, 10)
	assert.NilError(t, old.Flush(ctx))
	old.Record("field", 10, 10)
	assert.NilError(t, old.Flush(ctx))
	assert.Equal(t, len(keys(t, table, "usage/flushed/d1@old#1")), 1)
}

// report passes one day and moves the cursor over its windows, as the reporter does.
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

// TestNoticesFold publishes many versions and withdrawals; after the fold a new
// reader and one that stopped in the middle know the same.
func TestNoticesFold(t *testing.T) {
	ctx, table, clock := context.Background(), startPlatform(t), newClock()
	writer, late := notice.NewSet(clock), notice.NewSet(clock)
	log, lateLog := notice.NewLog(table, writer), notice.NewLog(table, late)
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
	newcomer := notice.NewSet(clock)
	assert.NilError(t, notice.NewLog(table, newcomer).Sync(ctx))
	assert.NilError(t, lateLog.Sync(ctx))
	for _, set := range []*notice.Set{newcomer, late} {
		assert.Equal(t, set.ModelVersion("coach"), int64(versions))
		for version := 0; version < versions; version += 100 {
			assert.Assert(t, set.IsWithdrawn(fmt.Sprint("hash", version)))
		}
	}
	late.Add("", late.NewWithdrawal("last", "d2"))
	assert.NilError(t, lateLog.Sync(ctx))
	assert.NilError(t, log.Sync(ctx))
	assert.Assert(t, writer.IsWithdrawn("last"))
}

// counting is a sweeper with rows left for some sweeps.
type counting struct{ left, asked int }

func (c *counting) Name() string { return "rows" }

func (c *counting) Sweep(_ context.Context, limit int) (int, error) {
	c.asked++
	removed := min(limit, c.left)
	c.left -= removed
	return removed, nil
}

func TestKeeperSweepsWhileItHolds(t *testing.T) {
	clock, held := newClock(), false
	rows := &counting{left: 600}
	keeper := retention.New(clock, logr.Discard(), func() bool { return held }, rows)
	keeper.Tick(context.Background())
	assert.Equal(t, rows.asked, 0, "not the holder")
	held = true
	for range 10 {
		keeper.Tick(context.Background())
	}
	assert.Equal(t, rows.left, 0)
	assert.Equal(t, rows.asked, 4, "it rests when nothing is left")
	clock.Advance(time.Hour)
	keeper.Tick(context.Background())
	assert.Equal(t, rows.asked, 5)
}
