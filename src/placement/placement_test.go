package placement_test

import (
	"testing"

	"sesamepitch/src/placement"

	"gotest.tools/v3/assert"
)

func TestChoose(t *testing.T) {
	candidate := func(name string, running int) placement.Candidate {
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
		{"lowest load", placement.Request{}, []placement.Candidate{candidate("a", 3), candidate("b", 1)}, "b", ""},
		{"cached prefix over a small difference", placement.Request{}, []placement.Candidate{with(candidate("a", 2), func(c *placement.Candidate) { c.Cached = true }), candidate("b", 0)}, "a", ""},
		{"load over a cached prefix", placement.Request{}, []placement.Candidate{with(candidate("a", 6), func(c *placement.Candidate) { c.Cached = true }), candidate("b", 0)}, "b", ""},
		{"full", placement.Request{}, []placement.Candidate{candidate("a", 8)}, "", "a:full"},
		{"leaving and broken", placement.Request{}, []placement.Candidate{
			with(candidate("a", 0), func(c *placement.Candidate) { c.Leaving = true }),
			with(candidate("b", 0), func(c *placement.Candidate) { c.Broken = true }),
		}, "", "a:leaving,b:broken"},
		{"stale version", placement.Request{MinVersion: 6}, []placement.Candidate{candidate("a", 0)}, "", "a:stale"},
		{"unknown version is allowed", placement.Request{MinVersion: 6}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Version = 0 })}, "a", ""},
		{"avoided", placement.Request{Avoid: []string{"a"}}, []placement.Candidate{candidate("a", 0), candidate("b", 7)}, "b", "a:avoided"},
		{"suspected contents run on different endpoints", placement.Request{Suspect: true}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Suspects = 1 }), candidate("b", 7)}, "b", "a:suspect"},
		{"unproven content avoids failing endpoints", placement.Request{Unproven: true}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Failing = true }), candidate("b", 8)}, "", "a:failing,b:full"},
		{"unproven content runs if all endpoints fail", placement.Request{Unproven: true}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Failing = true })}, "a", ""},
		{"unproven content keeps its endpoint", placement.Request{Only: []string{"b"}}, []placement.Candidate{candidate("a", 0), candidate("b", 7)}, "b", "a:unproven"},
		{"reclaimable for repeatable requests", placement.Request{}, []placement.Candidate{candidate("a", 0), with(candidate("b", 0), func(c *placement.Candidate) { c.Reclaimable = true })}, "b", ""},
		{"reclaimable until it is full", placement.Request{}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Cached = true }), with(candidate("b", 7), func(c *placement.Candidate) { c.Reclaimable = true })}, "b", ""},
		{"slow reclaimable endpoint gets no bonus", placement.Request{}, []placement.Candidate{candidate("a", 5), with(candidate("b", 0), func(c *placement.Candidate) { c.Reclaimable, c.Slowness = true, 2.9 })}, "a", ""},
		{"reclaimable only", placement.Request{CheapOnly: true}, []placement.Candidate{candidate("a", 0), with(candidate("b", 8), func(c *placement.Candidate) { c.Reclaimable = true })}, "", "a:dear,b:full"},
		{"not reclaimable for interactive requests", placement.Request{Interactive: true}, []placement.Candidate{candidate("a", 7), with(candidate("b", 0), func(c *placement.Candidate) { c.Reclaimable = true })}, "a", ""},
		{"not reclaimable for urgent requests", placement.Request{Urgent: true}, []placement.Candidate{candidate("a", 7), with(candidate("b", 0), func(c *placement.Candidate) { c.Reclaimable = true })}, "a", ""},
		{"reserve is denied to training", placement.Request{Reserve: 1}, []placement.Candidate{candidate("a", 7)}, "", "a:full"},
		{"reserve is open to interactive requests", placement.Request{Reserve: 1, Interactive: true}, []placement.Candidate{candidate("a", 7)}, "a", ""},
		{"slower endpoint last", placement.Request{}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Slowness = 2.9 }), candidate("b", 7)}, "b", ""},
		{"waits rather than run on a slow endpoint", placement.Request{}, []placement.Candidate{with(candidate("a", 1), func(c *placement.Candidate) { c.Slowness = 5 }), candidate("b", 8)}, "", "a:slow,b:full"},
		{"one stream probes a slow endpoint", placement.Request{}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Slowness = 5 }), candidate("b", 8)}, "a", "b:full"},
		{"no interactive request probes a slow endpoint", placement.Request{Interactive: true}, []placement.Candidate{with(candidate("a", 0), func(c *placement.Candidate) { c.Slowness = 5 }), candidate("b", 8)}, "", "a:slow,b:full"},
		{"all slow", placement.Request{}, []placement.Candidate{with(candidate("a", 1), func(c *placement.Candidate) { c.Slowness = 5 })}, "a", ""},
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
