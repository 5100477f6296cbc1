// Package ramp limits the concurrent streams of an endpoint: few during the cold
// start, then twice as many after each stage of complete answers, up to the knee.
package ramp

import "time"

// Settings are the operators' settings for an endpoint.
type Settings struct {
	Knee int
	// ColdLimit is the limit during the cold start.
	ColdLimit int
	// WarmAfter is the number of complete answers in a stage.
	WarmAfter int
	// ColdTime is the minimum length of the cold start.
	ColdTime time.Duration
}

// Ramp is the ramp of one endpoint.
type Ramp struct {
	settings    Settings
	limit       int
	answers     int
	firstAnswer time.Time
}

// New returns the ramp of an endpoint in cold start.
func New(settings Settings) *Ramp {
	return &Ramp{settings: settings, limit: settings.ColdLimit}
}

// Update replaces the settings and adapts the limit to them.
func (r *Ramp) Update(settings Settings) {
	r.settings = settings
	r.limit = min(max(r.limit, settings.ColdLimit), settings.Knee)
}

// Limit returns the maximum number of concurrent streams.
func (r *Ramp) Limit() int { return r.limit }

// IsCold reports whether the endpoint is in the first stage.
func (r *Ramp) IsCold() bool { return r.limit <= r.settings.ColdLimit && r.limit < r.settings.Knee }

// Reset returns the endpoint to the beginning of the cold start.
func (r *Ramp) Reset() {
	r.limit = r.settings.ColdLimit
	r.answers = 0
	r.firstAnswer = time.Time{}
}

// StartWarm sets the limit to half the knee, for an endpoint that was warm under
// an earlier owner.
func (r *Ramp) StartWarm() {
	r.limit = max(r.settings.Knee/2, r.settings.ColdLimit)
}

// RecordAnswer records a complete answer. The cold time counts from the first one,
// because only that shows that the endpoint has started.
func (r *Ramp) RecordAnswer(now time.Time) {
	if r.firstAnswer.IsZero() {
		r.firstAnswer = now
	}
	r.answers++
	if now.Sub(r.firstAnswer) < r.settings.ColdTime {
		return
	}
	if r.answers >= max(r.settings.WarmAfter, 1) {
		r.answers = 0
		r.limit = min(2*r.limit, r.settings.Knee)
	}
}
