package step

import (
	"slices"
	"testing"

	"sesamepitch/src/pool"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPinsAfterACrash asserts that the first sample chooses an endpoint and the second
// one is restricted to it, and that after a crash only one of them chooses another.
func TestPinsAfterACrash(t *testing.T) {
	p := newAffinity()
	first, second := Identity{Index: 0}, Identity{Index: 1}
	p.add(first)
	_, limited := p.allowed(first)
	assert.Assert(t, !limited)
	assert.Assert(t, !p.canStart(second), "the first sample's endpoint is not known yet")
	p.setEndpoint(first, "e1")
	assert.Assert(t, p.canStart(second))
	p.add(second)
	endpoints, limited := p.allowed(second)
	assert.Assert(t, limited)
	assert.DeepEqual(t, endpoints, []string{"e1"})
	p.clear(first)
	p.clear(second)
	_, limited = p.allowed(second)
	assert.Assert(t, !limited)
	endpoints, limited = p.allowed(first)
	assert.Assert(t, limited && len(endpoints) == 0, "the first waits while the second is the probe")
	p.markProven()
	_, limited = p.allowed(first)
	assert.Assert(t, !limited)
}

// TestPinsKeepToTwoEndpoints draws starts, placements, failures and crashes of one
// prompt's samples, and asserts that the endpoints in use and the crashed ones together
// never exceed pool.QuarantineAfter.
func TestPinsKeepToTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashed := map[string]bool{}
		p := newAffinity()
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
				// A crash ends the waiting attempts whose endpoints were chosen before it.
				for other := range asked {
					p.clear(other)
				}
				for other := range asked {
					askAgain(p, asked, other)
				}
			case endpoint != "":
				delete(running, identity)
				p.remove(identity)
			case waits:
				place(t, p, asked, running, identity)
			case p.canStart(identity):
				p.add(identity)
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

// askAgain records which endpoints a sample may use; any if nil.
func askAgain(p *promptAffinity, asked map[Identity][]string, identity Identity) {
	endpoints, limited := p.allowed(identity)
	asked[identity] = nil
	if limited {
		asked[identity] = append([]string{}, endpoints...)
	}
}

// place puts a sample on an endpoint that it was allowed when it last asked, or lets it
// ask again.
func place(t *rapid.T, p *promptAffinity, asked map[Identity][]string, running map[Identity]string, identity Identity) {
	endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "endpoint")
	allowed := asked[identity]
	if allowed != nil && !slices.Contains(allowed, endpoint) {
		askAgain(p, asked, identity)
		return
	}
	delete(asked, identity)
	running[identity] = endpoint
	p.setEndpoint(identity, endpoint)
}
