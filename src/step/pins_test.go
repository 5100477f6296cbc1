package step

import (
	"slices"
	"testing"

	"sesamepitch/src/pool"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPinsAfterACrash: the first sample chooses an endpoint, the second one runs
// beside it; when it breaks off one of them may choose another, alone.
func TestPinsAfterACrash(t *testing.T) {
	p := newPins()
	first, second := Identity{Index: 0}, Identity{Index: 1}
	p.start(first)
	_, limited := p.only(first)
	assert.Assert(t, !limited)
	assert.Assert(t, !p.mayStart(second), "nobody knows where the first runs")
	p.place(first, "e1")
	assert.Assert(t, p.mayStart(second))
	p.start(second)
	endpoints, limited := p.only(second)
	assert.Assert(t, limited)
	assert.DeepEqual(t, endpoints, []string{"e1"})
	p.rest(first)
	p.rest(second)
	_, limited = p.only(second)
	assert.Assert(t, !limited)
	endpoints, limited = p.only(first)
	assert.Assert(t, limited && len(endpoints) == 0, "the second chooses first")
	p.prove()
	_, limited = p.only(first)
	assert.Assert(t, !limited)
}

// TestPinsKeepToTwoEndpoints draws starts, placements, failures and crashes of
// one prompt's samples, and asserts that it never runs on or has crashed more
// endpoints than it may.
func TestPinsKeepToTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashed := map[string]bool{}
		p := newPins()
		asked, running := map[Identity][]string{}, map[Identity]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			identity := Identity{Index: rapid.IntRange(0, 5).Draw(t, "sample")}
			_, waits := asked[identity]
			switch endpoint := running[identity]; {
			case len(crashed) >= pool.QuarantineAfter:
				return
			case endpoint != "" && rapid.Bool().Draw(t, "crashes"):
				crashed[endpoint] = true
				for other, at := range running {
					if at == endpoint {
						delete(running, other)
						asked[other] = nil
					}
				}
				// A crash ends the attempts that were told where to run before it.
				for other := range asked {
					p.rest(other)
				}
				for other := range asked {
					askAgain(p, asked, other)
				}
			case endpoint != "":
				delete(running, identity)
				p.end(identity)
			case waits:
				place(t, p, asked, running, identity)
			case p.mayStart(identity):
				p.start(identity)
				askAgain(p, asked, identity)
			}
			used := map[string]bool{}
			for _, endpoint := range running {
				used[endpoint] = true
			}
			if len(used)+len(crashed) > pool.QuarantineAfter {
				t.Fatalf("runs on %v and has crashed %v", used, crashed)
			}
		}
	})
}

// askAgain notes which endpoints a sample may use; any if nil.
func askAgain(p *pins, asked map[Identity][]string, identity Identity) {
	endpoints, limited := p.only(identity)
	asked[identity] = nil
	if limited {
		asked[identity] = append([]string{}, endpoints...)
	}
}

// place puts a sample on an endpoint that it may use, as it was told when it
// asked, or lets it ask again.
func place(t *rapid.T, p *pins, asked map[Identity][]string, running map[Identity]string, identity Identity) {
	endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "endpoint")
	allowed := asked[identity]
	if allowed != nil && !slices.Contains(allowed, endpoint) {
		askAgain(p, asked, identity)
		return
	}
	delete(asked, identity)
	running[identity] = endpoint
	p.place(identity, endpoint)
}
