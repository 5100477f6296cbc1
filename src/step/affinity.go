package step

import "sync"

// promptAffinity decides on which endpoints the samples of one prompt may run. Until one
// sample is complete, which proves the prompt, all run on one endpoint at a time: the
// first sample, the probe, chooses it and the others follow. A prompt that crashes
// endpoints thus crashes them one by one until it is quarantined, and a harmless prompt
// is not quarantined when a rack or data centre fails, which takes several endpoints at
// once.
type promptAffinity struct {
	mu      sync.Mutex
	proven  bool
	samples map[Identity]*sampleState
}

// sampleState is the state of one sample under way.
type sampleState struct {
	// endpoint is where the sample runs, or the one that it was restricted to, since it
	// may be placed there as long as it asks for a stream.
	endpoint string
	// probe is set if the sample chooses its endpoint itself. Until it is placed, the
	// prompt's other samples wait.
	probe bool
}

// permission is where a sample may run.
type permission int

const (
	// unrestricted samples run anywhere: the prompt is proven.
	unrestricted permission = iota
	// probing samples choose the endpoint for their prompt.
	probing
	// restricted samples run on the endpoint that their prompt already uses.
	restricted
	// blocked samples wait: the prompt's endpoint is not known yet, or it uses two.
	blocked
)

func newAffinity() *promptAffinity { return &promptAffinity{samples: map[Identity]*sampleState{}} }

// permissionFor returns a sample's permission, and the endpoint if it is restricted. The
// caller holds p.mu.
func (p *promptAffinity) permissionFor(identity Identity) (permission, string) {
	if p.proven {
		return unrestricted, ""
	}
	used, probed := "", false
	for other, state := range p.samples {
		switch {
		case other == identity:
		case state.endpoint == "":
			probed = probed || state.probe
		case used != "" && used != state.endpoint:
			return blocked, ""
		default:
			used = state.endpoint
		}
	}
	switch {
	case used != "":
		return restricted, used
	case probed:
		return blocked, ""
	default:
		return probing, ""
	}
}

// canStart reports whether a sample can be started now.
func (p *promptAffinity) canStart(identity Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm, _ := p.permissionFor(identity)
	return perm != blocked
}

// add records that a sample is started.
func (p *promptAffinity) add(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm, _ := p.permissionFor(identity)
	p.samples[identity] = &sampleState{probe: perm == probing}
}

// allowed returns the endpoints on which a sample may run, if it is limited;
// none if it must wait. It is called before each request for a stream, also after an
// earlier endpoint failed.
func (p *promptAffinity) allowed(identity Identity) (endpoints []string, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	perm, endpoint := p.permissionFor(identity)
	if state := p.samples[identity]; state != nil {
		*state = sampleState{endpoint: endpoint, probe: perm == probing}
	}
	if perm == restricted {
		return []string{endpoint}, true
	}
	return nil, perm == blocked
}

// clear resets a sample that got no endpoint and asks for none at present.
func (p *promptAffinity) clear(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.samples[identity]; state != nil {
		*state = sampleState{}
	}
}

// setEndpoint records the endpoint on which a sample runs.
func (p *promptAffinity) setEndpoint(identity Identity, endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.samples[identity]; state != nil {
		state.endpoint = endpoint
	}
}

// remove removes a sample that ended, complete or not.
func (p *promptAffinity) remove(identity Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.samples, identity)
}

// markProven records that a sample of the prompt was complete.
func (p *promptAffinity) markProven() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proven = true
}

// canHedge reports whether a sample may have a second attempt. While the prompt is not
// proven, only a probe may.
func (p *promptAffinity) canHedge(identity Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.samples[identity]
	return p.proven || (state != nil && state.probe)
}

// filter implements pool.EndpointFilter for one sample.
type filter struct {
	affinity *promptAffinity
	identity Identity
}

// Allowed implements pool.EndpointFilter.
func (f filter) Allowed() (endpoints []string, limited bool) { return f.affinity.allowed(f.identity) }

// AttemptFailed implements pool.EndpointFilter.
func (f filter) AttemptFailed() { f.affinity.clear(f.identity) }
