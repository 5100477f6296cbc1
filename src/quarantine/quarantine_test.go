package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"sesamepitch/src/quarantine"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestShared crashes one endpoint at each of three instances with the same content.
// Once they have exchanged their reports, all instances quarantine the content,
// also one that never ran it.
func TestShared(t *testing.T) {
	clock := clockwork.NewFakeClock()
	lists := map[string]*quarantine.List{}
	for _, name := range []string{"a", "b", "c", "d"} {
		lists[name] = quarantine.New(clock)
	}
	content := quarantine.Fingerprint("w", "/p/1", []byte("body"))
	for i, name := range []string{"a", "b", "c"} {
		quarantined, crashes := lists[name].IsQuarantined(content)
		assert.Assert(t, !quarantined && crashes == i, "%s counts %d crashes", name, crashes)
		assert.Equal(t, lists[name].RecordCrash(content, "endpoint-"+name), i+1)
		<-lists[name].Changed()
		for other, list := range lists {
			if other != name {
				list.SetReports(name, lists[name].Reports())
			}
		}
	}
	for name, list := range lists {
		quarantined, crashes := list.IsQuarantined(content)
		assert.Assert(t, quarantined && crashes == 3, "%s counts %d crashes", name, crashes)
		quarantined, _ = list.IsQuarantined(quarantine.Fingerprint("w", "/p/1", []byte("another body")))
		assert.Assert(t, !quarantined, name)
	}
	clock.Advance(time.Minute)
	lists["d"].SetReports("a", lists["a"].Reports())
	clock.Advance(time.Minute)
	quarantined, crashes := lists["d"].IsQuarantined(content)
	assert.Assert(t, !quarantined && crashes == 0, "a repeated report renewed the crash")
}

// TestBrokenEndpoint lets one endpoint fail whatever it gets, at two instances: the
// content that came there several times is not quarantined, but it is once two
// others crash with it.
func TestBrokenEndpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := quarantine.New(clock), quarantine.New(clock)
	for range 4 {
		assert.Equal(t, a.RecordCrash("x", "broken"), 1)
		b.RecordCrash("x", "broken")
	}
	a.SetReports("b", b.Reports())
	quarantined, crashes := a.IsQuarantined("x")
	assert.Assert(t, !quarantined && crashes == 1, "%d crashes", crashes)
	b.RecordCrash("x", "second")
	a.SetReports("b", b.Reports())
	assert.Equal(t, a.RecordCrash("x", "third"), 3)
	quarantined, _ = a.IsQuarantined("x")
	assert.Assert(t, quarantined)
}

// TestAnswered checks that an answer clears a content's crashes, at other instances
// with the next reports.
func TestAnswered(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, b := quarantine.New(clock), quarantine.New(clock)
	for i := range 3 {
		a.RecordCrash("x", fmt.Sprint("endpoint-", i))
	}
	b.SetReports("a", a.Reports())
	a.RecordAnswer("x")
	quarantined, _ := a.IsQuarantined("x")
	assert.Assert(t, !quarantined)
	b.SetReports("a", a.Reports())
	quarantined, _ = b.IsQuarantined("x")
	assert.Assert(t, !quarantined)
}

// TestReports checks that only the newest contents are reported.
func TestReports(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list := quarantine.New(clock)
	for i := range 100 {
		list.RecordCrash(fmt.Sprint(i), "endpoint")
		clock.Advance(time.Millisecond)
	}
	reports := list.Reports()
	assert.Equal(t, len(reports), 32)
	assert.Equal(t, reports[0].Content, "99")
}
