package step

import (
	"sync"

	"sesamepitch/src/pool"
)

// pins say where the samples of one prompt may run. Until one of them is whole,
// all together use no more endpoints than a prompt may crash: the first ones
// choose theirs, the others run beside them.
type pins struct {
	mu      sync.Mutex
	proven  bool
	samples map[Identity]*pin
}

// pin is one sample under way. A scout chooses its endpoint itself; until it is
// placed it counts as one more endpoint.
type pin struct {
	endpoint string
	scout    bool
}

// turn is what a sample may do.
type turn int

const (
	// anywhere: the prompt is proven.
	anywhere turn = iota
	// scouting: the sample chooses an endpoint for its prompt.
	scouting
	// pinned: the sample runs on the endpoints that its prompt uses already.
	pinned
	// later: nobody knows yet which endpoints the prompt uses.
	later
)

func newPins() *pins { return &pins{samples: map[Identity]*pin{}} }

// turnOf decides for a sample, and names the endpoints of a pinned one. It needs
// p.mu.
func (p *pins) turnOf(identity Identity) (turn, []string) {
	if p.proven {
		return anywhere, nil
	}
	unplaced := 0
	used := map[string]bool{}
	for other, at := range p.samples {
		switch {
		case other == identity:
		case at.endpoint != "":
			used[at.endpoint] = true
		case at.scout:
			unplaced++
		}
	}
	switch {
	case len(used)+unplaced < pool.QuarantineAfter:
		return scouting, nil
	case len(used) == 0:
		return later, nil
	}
	names := make([]string, 0, len(used))
	for name := range used {
		names = append(names, name)
	}
	return pinned, names
}

// mayStart tells whether a sample can be started now.
func (p *pins) mayStart(identity Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, names := p.turnOf(identity)
	return t != later && (t != pinned || len(names) >= pool.QuarantineAfter)
}

// start notes a sample that is started.
func (p *pins) start(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, _ := p.turnOf(identity)
	p.samples[identity] = &pin{scout: t == scouting}
}

// only implements the limit of pool.Ask: a sample that looks for an endpoint,
// also after its last one failed, is told to which ones it is limited.
func (p *pins) only(identity Identity) (endpoints []string, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, names := p.turnOf(identity)
	if at := p.samples[identity]; at != nil {
		at.endpoint, at.scout = "", t == scouting
	}
	return names, t == pinned || t == later
}

// place notes where a sample runs.
func (p *pins) place(identity Identity, endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := p.samples[identity]; at != nil {
		at.endpoint = endpoint
	}
}

// end forgets a sample that ended, whole or not.
func (p *pins) end(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.samples, identity)
}

// prove notes that a sample was whole.
func (p *pins) prove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proven = true
}

// mayHedge tells whether a sample may have a second attempt: while the prompt is
// not proven only those that chose their endpoint.
func (p *pins) mayHedge(identity Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.samples[identity]
	return p.proven || (at != nil && at.scout)
}
