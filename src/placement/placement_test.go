package placement_test

import (
	"testing"

	"sesamepitch/src/placement"

	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	plain := func(name string, running int) placement.Candidate {
		return placement.Candidate{Name: name, Running: running, Limit: 8, Version: 5, Slowness: 1}
	}
	with := func(c placement.Candidate, change func(*placement.Candidate)) placement.Candidate {
		change(&c)
		return c
	}
	cases := []struct {
		name       string
		request    placement.Request
		candidates []placement.Candidate
		want       string
		passed     string
	}{
		{"least busy", placement.Request{}, []placement.Candidate{plain("a", 3), plain("b", 1)}, "b", ""},
		{"cached prefix over a small difference", placement.Request{}, []placement.Candidate{with(plain("a", 2), func(c *placement.Candidate) { c.Cached = true }), plain("b", 0)}, "a", ""},
		{"load over a cached prefix", placement.Request{}, []placement.Candidate{with(plain("a", 6), func(c *placement.Candidate) { c.Cached = true }), plain("b", 0)}, "b", ""},
		{"full", placement.Request{}, []placement.Candidate{plain("a", 8)}, "", "a:full"},
		{"leaving and broken", placement.Request{}, []placement.Candidate{
			with(plain("a", 0), func(c *placement.Candidate) { c.Leaving = true }),
			with(plain("b", 0), func(c *placement.Candidate) { c.Broken = true }),
		}, "", "a:leaving,b:broken"},
		{"too stale", placement.Request{MinVersion: 6}, []placement.Candidate{plain("a", 0)}, "", "a:stale"},
		{"unknown version is tried", placement.Request{MinVersion: 6}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Version = 0 })}, "a", ""},
		{"avoided", placement.Request{Avoid: []string{"a"}}, []placement.Candidate{plain("a", 0), plain("b", 7)}, "b", "a:avoided"},
		{"suspects stay apart", placement.Request{Suspect: true}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Suspects = 1 }), plain("b", 7)}, "b", "a:suspect"},
		{"unproven contents keep off failing endpoints", placement.Request{Unproven: true}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Failing = true }), plain("b", 8)}, "", "a:failing,b:full"},
		{"unproven contents go where all fail", placement.Request{Unproven: true}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Failing = true })}, "a", ""},
		{"unproven content stays on its endpoint", placement.Request{Only: []string{"b"}}, []placement.Candidate{plain("a", 0), plain("b", 7)}, "b", "a:unproven"},
		{"cheap for work that can be redone", placement.Request{}, []placement.Candidate{plain("a", 0), with(plain("b", 0), func(c *placement.Candidate) { c.Reclaimable = true })}, "b", ""},
		{"cheap until it is full", placement.Request{}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Cached = true }), with(plain("b", 7), func(c *placement.Candidate) { c.Reclaimable = true })}, "b", ""},
		{"a price is no reason to be slow", placement.Request{}, []placement.Candidate{plain("a", 5), with(plain("b", 0), func(c *placement.Candidate) { c.Reclaimable, c.Slowness = true, 2.9 })}, "a", ""},
		{"cheap only", placement.Request{CheapOnly: true}, []placement.Candidate{plain("a", 0), with(plain("b", 8), func(c *placement.Candidate) { c.Reclaimable = true })}, "", "a:dear,b:full"},
		{"not cheap for members", placement.Request{Interactive: true}, []placement.Candidate{plain("a", 7), with(plain("b", 0), func(c *placement.Candidate) { c.Reclaimable = true })}, "a", ""},
		{"not cheap when urgent", placement.Request{Urgent: true}, []placement.Candidate{plain("a", 7), with(plain("b", 0), func(c *placement.Candidate) { c.Reclaimable = true })}, "a", ""},
		{"reserve is kept from training", placement.Request{Reserve: 1}, []placement.Candidate{plain("a", 7)}, "", "a:full"},
		{"reserve is for members", placement.Request{Reserve: 1, Interactive: true}, []placement.Candidate{plain("a", 7)}, "a", ""},
		{"slower endpoints last", placement.Request{}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Slowness = 2.9 }), plain("b", 7)}, "b", ""},
		{"waiting beats a slow endpoint", placement.Request{}, []placement.Candidate{with(plain("a", 1), func(c *placement.Candidate) { c.Slowness = 5 }), plain("b", 8)}, "", "a:slow,b:full"},
		{"one stream tries a slow endpoint", placement.Request{}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Slowness = 5 }), plain("b", 8)}, "a", "b:full"},
		{"no member tries a slow endpoint", placement.Request{Interactive: true}, []placement.Candidate{with(plain("a", 0), func(c *placement.Candidate) { c.Slowness = 5 }), plain("b", 8)}, "", "a:slow,b:full"},
		{"all slow", placement.Request{}, []placement.Candidate{with(plain("a", 1), func(c *placement.Candidate) { c.Slowness = 5 })}, "a", ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decision, found := placement.Choose(test.request, test.candidates)
			assert.Equal(t, found, test.want != "")
			assert.Equal(t, decision.Endpoint, test.want)
			assert.Equal(t, decision.Passed, test.passed)
		})
	}
}
