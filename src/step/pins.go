package step

import "sync"

// pins say where the samples of one prompt may run. Until one of them is whole
// all use one endpoint at a time: the first one chooses it, the others run beside
// it. A prompt that crashes it has one more to crash before it is quarantined; and
// one that is innocent is not quarantined for the loss of a rack or data centre,
// which takes two endpoints at once.
type pins struct {
	mu      sync.Mutex
	proven  bool
	samples map[Identity]*pin
}

// pin is one sample under way. Endpoint is where it runs, or where it was told to
// run, since it may come to do so for as long as it asks. A scout chooses its
// endpoint itself; until it is placed it counts as one.
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
	// pinned: the sample runs on the endpoint that its prompt uses already.
	pinned
	// later: nobody knows yet which endpoint the prompt uses.
	later
)

func newPins() *pins { return &pins{samples: map[Identity]*pin{}} }

// turnOf decides for a sample, and names the endpoint of a pinned one. It needs
// p.mu.
func (p *pins) turnOf(identity Identity) (turn, string) {
	if p.proven {
		return anywhere, ""
	}
	used, scouted := "", false
	for other, at := range p.samples {
		switch {
		case other == identity:
		case at.endpoint == "":
			scouted = scouted || at.scout
		case used != "" && used != at.endpoint:
			return later, ""
		default:
			used = at.endpoint
		}
	}
	switch {
	case used != "":
		return pinned, used
	case scouted:
		return later, ""
	default:
		return scouting, ""
	}
}

// mayStart tells whether a sample can be started now.
func (p *pins) mayStart(identity Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, _ := p.turnOf(identity)
	return t != later
}

// start notes a sample that is started.
func (p *pins) start(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, _ := p.turnOf(identity)
	p.samples[identity] = &pin{scout: t == scouting}
}

// only tells a sample that looks for an endpoint, also after its last one
// failed, to which one it is limited; to none if it must wait.
func (p *pins) only(identity Identity) (endpoints []string, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, endpoint := p.turnOf(identity)
	if at := p.samples[identity]; at != nil {
		*at = pin{endpoint: endpoint, scout: t == scouting}
	}
	if t == pinned {
		return []string{endpoint}, true
	}
	return nil, t == later
}

// rest notes that a sample got no endpoint and does not ask now.
func (p *pins) rest(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := p.samples[identity]; at != nil {
		*at = pin{}
	}
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

// limiter implements pool.Limiter for one sample.
type limiter struct {
	pins     *pins
	identity Identity
}

// Allowed implements pool.EndpointFilter.
func (l limiter) Allowed() (endpoints []string, limited bool) { return l.pins.only(l.identity) }

// AttemptFailed implements pool.EndpointFilter.
func (l limiter) AttemptFailed() { l.pins.rest(l.identity) }
