package pool

import "time"

const (
	// bornLag is how old an engine's report of its own start may be.
	bornLag = 500 * time.Millisecond
	// keptBreaks bounds the breaks that wait for a report.
	keptBreaks = 64
)

// crash is a break that is held against a content until the engine's next report
// shows whether its process has ended.
type crash struct {
	fingerprint string
	event       string
	at          time.Time
	// born is the start of the engine's process before the break, zero if unknown.
	born int64
}

// broke notes a break that is held against a content.
func (e *endpointState) broke(fingerprint, event string, now time.Time) {
	e.breaks = append(e.breaks, crash{fingerprint: fingerprint, event: event, at: now, born: e.born})
	if len(e.breaks) > keptBreaks {
		e.breaks = e.breaks[1:]
	}
}

// takeBorn takes an engine's start from a report that was asked for at a time,
// zero if it says none. It returns the breaks that the engine's process has
// survived: they were no crashes.
func (e *endpointState) takeBorn(born int64, asked time.Time) []crash {
	if born == 0 {
		return nil
	}
	var survived, open []crash
	for _, c := range e.breaks {
		switch {
		case asked.Sub(c.at) < bornLag:
			open = append(open, c)
		case c.born == born:
			survived = append(survived, c)
		}
	}
	e.born, e.breaks = born, open
	return survived
}
