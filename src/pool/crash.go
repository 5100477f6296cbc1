package pool

import "time"

const (
	// reportLag is how old the process start in a load report may be.
	reportLag = 500 * time.Millisecond
	// maxPendingCrashes limits the crashes that wait for a load report.
	maxPendingCrashes = 64
)

// pendingCrash is an interrupted stream that counts as a crash by its content
// until the engine's next load report shows whether the process has ended.
type pendingCrash struct {
	fingerprint string
	event       string
	at          time.Time
	// processStart is the start of the engine's process before the interruption,
	// zero if unknown.
	processStart int64
}

// addPendingCrash records an interruption that counts as a crash by a content.
func (e *endpointState) addPendingCrash(fingerprint, event string, now time.Time) {
	e.pendingCrashes = append(e.pendingCrashes, pendingCrash{fingerprint: fingerprint, event: event, at: now, processStart: e.processStart})
	if len(e.pendingCrashes) > maxPendingCrashes {
		e.pendingCrashes = e.pendingCrashes[1:]
	}
}

// resolvePendingCrashes applies the process start of a load report that was
// requested at the time asked; zero means that the report has none. It returns
// the pending crashes that the engine's process has survived: they were no
// crashes.
func (e *endpointState) resolvePendingCrashes(processStart int64, asked time.Time) []pendingCrash {
	if processStart == 0 {
		return nil
	}
	var survived, unresolved []pendingCrash
	for _, c := range e.pendingCrashes {
		switch {
		case asked.Sub(c.at) < reportLag:
			unresolved = append(unresolved, c)
		case c.processStart == processStart:
			survived = append(survived, c)
		}
	}
	e.processStart, e.pendingCrashes = processStart, unresolved
	return survived
}
