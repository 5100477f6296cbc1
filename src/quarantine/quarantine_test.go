package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"sesamepitch/src/quarantine"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestShared has a content crash endpoints at three instances, one each, which
// tell each other: each then holds it, also one that never ran it.
func TestShared(t *testing.T) {
	clock := clockwork.NewFakeClock()
	lists := map[string]*quarantine.List{}
	for _, name := range []string{"a", "b", "c", "d"} {
		lists[name] = quarantine.New(clock)
	}
	content := quarantine.Fingerprint("w", "/p/1", []byte("body"))
	for i, name := range []string{"a", "b", "c"} {
		held, crashes := lists[name].IsQuarantined(content)
		assert.Assert(t, !held && crashes == i, "%s knows of %d", name, crashes)
		assert.Equal(t, lists[name].RecordCrash(content), i+1)
		<-lists[name].Changed()
		for other, list := range lists {
			if other != name {
				list.SetReports(name, lists[name].Reports())
			}
		}
	}
	for name, list := range lists {
		held, crashes := list.IsQuarantined(content)
		assert.Assert(t, held && crashes == 3, "%s knows of %d", name, crashes)
		held, _ = list.IsQuarantined(quarantine.Fingerprint("w", "/p/1", []byte("another body")))
		assert.Assert(t, !held, name)
	}
	clock.Advance(time.Minute)
	lists["d"].SetReports("a", lists["a"].Reports())
	clock.Advance(time.Minute)
	held, crashes := lists["d"].IsQuarantined(content)
	assert.Assert(t, !held && crashes == 0, "hearing it again makes it no younger")
}

// TestAnswered drops what an instance held against a content that was answered,
// and with the next report what others hold.
func TestAnswered(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := quarantine.New(clock), quarantine.New(clock)
	for range 3 {
		a.RecordCrash("x")
	}
	b.SetReports("a", a.Reports())
	a.RecordAnswer("x")
	held, _ := a.IsQuarantined("x")
	assert.Assert(t, !held)
	b.SetReports("a", a.Reports())
	held, _ = b.IsQuarantined("x")
	assert.Assert(t, !held)
}

// TestReports tells of the newest contents only.
func TestReports(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list := quarantine.New(clock)
	for i := range 100 {
		list.RecordCrash(fmt.Sprint(i))
		clock.Advance(time.Millisecond)
	}
	reports := list.Reports()
	assert.Equal(t, len(reports), 32)
	assert.Equal(t, reports[0].Content, "99")
}
