// Package ramp decides how many streams an endpoint may have: few in cold
// start, then twice as many after each stage of whole answers, up to its knee.
package ramp

import "time"

// Settings are what the operators know of the endpoint.
type Settings struct {
	Knee      int
	ColdLimit int
	WarmAfter int
	ColdTime  time.Duration
}

// Ramp is the state of one endpoint. The zero limit is set at the first call.
type Ramp struct {
	settings Settings
	limit    int
	answers  int
	firstAt  time.Time
}

// New returns the ramp of an endpoint in cold start.
func New(settings Settings) *Ramp {
	return &Ramp{settings: settings, limit: settings.ColdLimit}
}

// Update takes changed settings over.
func (r *Ramp) Update(settings Settings) {
	r.settings = settings
	r.limit = min(max(r.limit, settings.ColdLimit), settings.Knee)
}

// Limit returns how many streams the endpoint may have.
func (r *Ramp) Limit() int { return r.limit }

// IsCold tells whether the endpoint is in the first stage.
func (r *Ramp) IsCold() bool { return r.limit <= r.settings.ColdLimit && r.limit < r.settings.Knee }

// Reset starts the cold start again.
func (r *Ramp) Reset() {
	r.limit = r.settings.ColdLimit
	r.answers = 0
	r.firstAt = time.Time{}
}

// StartWarm begins at half the knee: an earlier owner knew the endpoint as warm.
func (r *Ramp) StartWarm() {
	r.limit = max(r.settings.Knee/2, r.settings.ColdLimit)
}

// RecordAnswer notes one whole answer. The cold time counts from the first: only
// then is it certain that the endpoint has begun.
func (r *Ramp) RecordAnswer(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.answers++
	if now.Sub(r.firstAt) < r.settings.ColdTime {
		return
	}
	if r.answers >= max(r.settings.WarmAfter, 1) {
		r.answers = 0
		r.limit = min(2*r.limit, r.settings.Knee)
	}
}
