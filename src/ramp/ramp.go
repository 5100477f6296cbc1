// Package ramp limits the concurrent streams of an endpoint: few during the cold
// start, then twice as many after each stage of complete answers, up to the knee.
package ramp

import "time"

// Settings are the operators' settings for an endpoint.
type Settings struct {
	// Knee is the number of streams at which the endpoint is saturated.
	Knee int
	// ColdLimit is the limit of streams during the cold start, the first stage.
	ColdLimit int
	// WarmAfter is the number of complete answers after which a stage ends.
	WarmAfter int
	// ColdTime is the minimum length of the cold start, from the first complete answer.
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

// Update replaces the settings and moves the limit into their range.
func (r *Ramp) Update(settings Settings) {
	r.settings = settings
	r.limit = min(max(r.limit, settings.ColdLimit), settings.Knee)
}

// Limit returns the maximum number of concurrent streams.
func (r *Ramp) Limit() int { return r.limit }

// IsCold reports whether the endpoint is in its cold start.
func (r *Ramp) IsCold() bool { return r.limit <= r.settings.ColdLimit && r.limit < r.settings.Knee }

// Reset returns the endpoint to the beginning of the cold start.
func (r *Ramp) Reset() {
	r.limit = r.settings.ColdLimit
	r.answers = 0
	r.firstAnswer = time.Time{}
}

// StartWarm sets the limit to half the knee, but at least ColdLimit, for an
// endpoint that was warm under an earlier owner.
func (r *Ramp) StartWarm() {
	r.limit = max(r.settings.Knee/2, r.settings.ColdLimit)
}

// RecordAnswer records a complete answer and raises the limit at the end of a stage.
// ColdTime counts from the first answer, because only that shows that the endpoint
// has started.
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
