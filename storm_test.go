package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	documentKB      = flag.String("document.kb", "100", "sizes of the document to measure, in KB")
	documentDaemons = flag.String("document.daemons", "3", "numbers of daemons to measure changes of the document with")
	stormDaemons    = flag.String("storm.daemons", "3", "numbers of daemons that are restarted at once")
)

const (
	// maxChangeTime is the documented bound for a change to be in force everywhere.
	maxChangeTime  = 4 * time.Second
	changesPerSize = 5
	// keyEntryBytes is the approximate size of one key in the document.
	keyEntryBytes     = 118
	maxStormReadyTime = 30 * time.Second
	// minDeltaKB is the document size in KB from which a change must send fewer bytes
	// than the document. Below it, the heartbeats sent during a change are as large as
	// the document.
	minDeltaKB = 100
)

// TestDocumentCost measures the cost of changing one item, by the size of the document
// and the number of daemons in a data centre. It is not parallel, like all tests that
// measure, because the load of other tests would distort the result.
func TestDocumentCost(t *testing.T) {
	for _, daemons := range parseNumbers(t, *documentDaemons) {
		for _, kilobytes := range parseNumbers(t, *documentKB) {
			t.Run(fmt.Sprintf("%d daemons, %d KB", daemons, kilobytes), func(t *testing.T) {
				measureChanges(t, daemons, kilobytes)
			})
		}
	}
}

func measureChanges(t *testing.T, daemons, kilobytes int) {
	c := newCluster(t)
	for i := range daemons {
		c.addDaemon(fmt.Sprintf("d%d", i), "dc-1", 1, i+1)
	}
	c.apply(paddedDocument(c, kilobytes, 1))
	ctx := context.Background()
	costsBefore, journalBefore := c.daemonCosts(t), c.platformJournal()
	var confirmed, inForce []time.Duration
	for n := range changesPerSize {
		version := int64(n + 2)
		started := time.Now()
		inForceAt := c.awaitVersion(version)
		confirmation, err := c.daemons[n%daemons].client().Apply(ctx, []byte(paddedDocument(c, kilobytes, n+2)), version-1, "test")
		assert.NilError(t, err)
		assert.Equal(t, len(confirmation.Unconfirmed), 0, "%v", confirmation.Unconfirmed)
		confirmed = append(confirmed, time.Since(started))
		inForce = append(inForce, (<-inForceAt).Sub(started))
	}
	costsAfter, journalAfter := c.daemonCosts(t), c.platformJournal()
	var worst cost
	for i := range costsAfter {
		worst.cpu = max(worst.cpu, costsAfter[i].cpu-costsBefore[i].cpu)
		worst.memory = max(worst.memory, costsAfter[i].memory)
		worst.bytes = max(worst.bytes, costsAfter[i].bytes-costsBefore[i].bytes)
	}
	slices.Sort(confirmed)
	slices.Sort(inForce)
	t.Logf("%d daemons, %d KB: after the call, in force everywhere in %s (median) and %s (worst), confirmed in %s and %s; worst daemon: %.0f ms of a core and %.0f B to and from others a change, %.0f MB; sent to the platform: %d B a change",
		daemons, kilobytes, median(inForce), slices.Max(inForce).Round(time.Millisecond), median(confirmed), slices.Max(confirmed).Round(time.Millisecond),
		worst.cpu/changesPerSize*1000, worst.bytes/changesPerSize, worst.memory/1e6, (journalAfter.Bytes-journalBefore.Bytes)/changesPerSize)
	if kilobytes >= minDeltaKB {
		assert.Check(t, worst.bytes/changesPerSize < float64(kilobytes*1000), "a change sends at least as much as the document: %.0f B", worst.bytes/changesPerSize)
	}
	assert.Check(t, slices.Max(inForce) < maxChangeTime, "in force after %s", slices.Max(inForce))
}

func median(sorted []time.Duration) time.Duration {
	return sorted[len(sorted)/2].Round(time.Millisecond)
}

// awaitVersion returns a channel that receives the time at which every daemon has the
// version in force.
func (c *cluster) awaitVersion(version int64) <-chan time.Time {
	done := make(chan time.Time, 1)
	go func() {
		for _, d := range c.daemons {
			for d.readMetrics()["sesamepitch_config_version"] < float64(version) {
				time.Sleep(20 * time.Millisecond)
			}
		}
		done <- time.Now()
	}()
	return done
}

// paddedDocument returns a document of about this size, filled with keys. number is
// the weight of its workspace, so that another number changes one item.
func paddedDocument(c *cluster, kilobytes, number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "workspaces:\n  - {name: w, class: training, weight: %d}\nkeys:\n", number)
	for i := 0; b.Len() < kilobytes*1000-keyEntryBytes; i++ {
		fmt.Fprintf(&b, "  - {name: k%d, workspace: w, hash: %s}\n", i, c.keyHash(fmt.Sprint("padding", i)))
	}
	b.WriteString("models:\n  - {name: coach, version: 1}\ndata_centres:\n  - {name: dc-1, region: r}\n")
	return b.String()
}

// daemonCosts returns the cost of each daemon since its start.
func (c *cluster) daemonCosts(t *testing.T) []cost {
	t.Helper()
	list := make([]cost, len(c.daemons))
	for i, d := range c.daemons {
		list[i] = d.readCost(t)
	}
	return list
}

// TestRestartStorm measures how long all daemons of a data centre take to be ready when
// they are killed and restarted at once. It is not parallel, like TestDocumentCost.
func TestRestartStorm(t *testing.T) {
	for _, daemons := range parseNumbers(t, *stormDaemons) {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) { measureStorm(t, daemons) })
	}
}

func measureStorm(t *testing.T, daemons int) {
	c := newCluster(t)
	for i := range daemons {
		c.addDaemon(fmt.Sprintf("d%d", i), "dc-1", 1, i+1)
	}
	c.apply(paddedDocument(c, 100, 1))
	time.Sleep(2 * time.Second)
	for _, d := range c.daemons {
		d.kill()
	}
	journalBefore, started := c.platformJournal(), time.Now()
	for _, d := range c.daemons {
		d.process = c.startProcess(d.name, d.args...)
	}
	var wg sync.WaitGroup
	ready := make([]time.Duration, daemons)
	for i, d := range c.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(started) < maxStormReadyTime {
				if getStatus(d.callers, "/readyz") == http.StatusOK {
					ready[i] = time.Since(started)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	journalAfter, took := c.platformJournal(), time.Since(started)
	for i, at := range ready {
		assert.Assert(t, at > 0, "d%d is not ready after %s", i, maxStormReadyTime)
	}
	slices.Sort(ready)
	var worst cost
	for _, now := range c.daemonCosts(t) {
		worst = cost{cpu: max(worst.cpu, now.cpu), memory: max(worst.memory, now.memory), bytes: max(worst.bytes, now.bytes)}
	}
	t.Logf("%d daemons, document of 100 KB: ready after %s (median) and %s (worst); worst daemon until then: %.0f ms of a core, %.0f MB, %.0f B to and from others; table: %d reads, %d writes in %s",
		daemons, median(ready), ready[daemons-1].Round(time.Millisecond), worst.cpu*1000, worst.memory/1e6, worst.bytes,
		journalAfter.Reads-journalBefore.Reads, journalAfter.Writes-journalBefore.Writes, took.Round(time.Millisecond))
}
