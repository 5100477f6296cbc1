package scaling

import (
	"time"

	"sesamepitch/src/registry"
)

// shortAfter is how long rate limits must have kept work waiting before endpoints
// are ordered in the place of limited ones.
const shortAfter = time.Second

// observeLimits replaces endpoints with a rate limit while the limits keep work
// waiting: each counts as missing. The replacements stay as long as there are
// limits. It reports whether the target has changed.
func (p *planner) observeLimits(now time.Time, limited []registry.Endpoint, short bool) (changed bool) {
	p.limited = len(limited)
	if !short || !p.hasTarget {
		p.shortSince = time.Time{}
		return false
	}
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	if now.Sub(p.shortSince) < shortAfter {
		return false
	}
	for centre, count := range countPresent(limited) {
		wanted := min(count, p.scaling.Max-p.target.Configured[centre])
		if now.Before(p.noCapacityUntil[centre]) || p.target.Replacement[centre] >= wanted {
			continue
		}
		p.setReplacement(centre, wanted)
		changed = true
	}
	return changed
}
