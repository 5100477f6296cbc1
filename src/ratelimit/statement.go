package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"

	"github.com/go-logr/logr"
)

const (
	// minRate is the least rate taken from a statement, in requests a second: an
	// endpoint that gets no request can't say that its limit has ended.
	minRate = 0.1
	// maxRate is the rate from which on a limit is none.
	maxRate = 10_000
	// endedTTL is how long the end of a limit is kept, so that an older statement
	// that arrives late does not renew the limit.
	endedTTL = 30 * time.Second
	// maxReports is the maximum number of statements that an instance shares.
	maxReports = 256
	// maxMalformedLogged bounds the endpoints whose malformed limits are remembered
	// as logged.
	maxMalformedLogged = 1024
)

// process identifies an endpoint's process: an endpoint may restart under its ID,
// and has then said nothing yet.
type process struct {
	ID   string
	Born int64
}

func processOf(to sesamepitch.Destination) process { return process{ID: to.ID, Born: to.Born} }

// Statement is what an endpoint's process last said of its rate limit, as the
// instances tell each other.
type Statement struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
	// PerSecond is the limit; zero if the endpoint has none any more.
	PerSecond float64 `json:"per_second"`
	// At is when a limit was heard, or when the request was sent whose answer named
	// none, in Unix milliseconds. A later statement replaces an earlier one.
	At int64 `json:"at"`
}

func (s Statement) process() process { return process{ID: s.ID, Born: s.Born} }

// Statements holds the latest statement of each endpoint that this instance heard
// or was told of.
type Statements struct {
	clock sesamepitch.Clock
	log   logr.Logger
	// changed receives after a limit began, changed or ended.
	changed chan struct{}

	mu     sync.Mutex
	latest map[process]Statement
	// malformed has the malformed limit of an endpoint that was logged last.
	malformed map[process]string
}

// NewStatements returns an empty set.
func NewStatements(clock sesamepitch.Clock, log logr.Logger) *Statements {
	return &Statements{clock: clock, log: log, changed: make(chan struct{}, 1), latest: map[process]Statement{}, malformed: map[process]string{}}
}

// Hear applies the limit on an answer to a request sent at the given time. It
// returns the statement and whether it changes the endpoint's limit. An answer
// without a limit ends one only if its request was sent after the limit was heard:
// it may have left the endpoint before.
func (s *Statements) Hear(to sesamepitch.Destination, sent time.Time, limit sesamepitch.StatedLimit) (Statement, bool) {
	id := processOf(to)
	if limit.Malformed != "" {
		s.logMalformed(id, limit.Malformed)
		return Statement{}, false
	}
	said := Statement{ID: id.ID, Born: id.Born, At: sent.UnixMilli()}
	if limit.Named && limit.PerSecond < maxRate {
		said.PerSecond, said.At = max(limit.PerSecond, minRate), s.clock.Now().UnixMilli()
	}
	return said, s.apply(said, "answer")
}

// Merge applies statements of other instances.
func (s *Statements) Merge(statements []Statement) {
	for _, said := range statements {
		if said.ID != "" && said.PerSecond >= 0 && said.PerSecond < maxRate {
			s.apply(said, "instance")
		}
	}
}

// apply keeps a statement if it is later than the known one, and reports whether
// the endpoint's limit has changed.
func (s *Statements) apply(said Statement, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.latest[said.process()]
	if !found && said.PerSecond == 0 || found && said.At <= known.At {
		return false
	}
	s.latest[said.process()] = said
	if said.PerSecond == known.PerSecond {
		return false
	}
	s.log.Info("endpoint's limit", "endpoint", said.ID, "per_second", said.PerSecond, "before", known.PerSecond,
		"source", source, "age_ms", s.clock.Now().UnixMilli()-said.At)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return true
}

// logMalformed logs a malformed limit once for each endpoint and text.
func (s *Statements) logMalformed(id process, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.malformed[id] == text || len(s.malformed) >= maxMalformedLogged {
		return
	}
	s.malformed[id] = text
	s.log.Info("limit of an endpoint ignored", "endpoint", id.ID, "text", text)
}

// perSecond returns the limit of an endpoint; zero for none.
func (s *Statements) perSecond(id process) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest[id].PerSecond
}

// of returns what is known of an endpoint; a statement without limit and time if
// nothing is.
func (s *Statements) of(id process) Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if said, found := s.latest[id]; found {
		return said
	}
	return Statement{ID: id.ID, Born: id.Born}
}

// Limited returns the number of endpoints with a limit.
func (s *Statements) Limited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, said := range s.latest {
		if said.PerSecond > 0 {
			count++
		}
	}
	return count
}

// All returns the statements, the latest first, maxReports at most.
func (s *Statements) All() []Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.SortedFunc(maps.Values(s.latest), func(a, b Statement) int { return cmp.Compare(b.At, a.At) })
	return all[:min(len(all), maxReports)]
}

// retain drops what is known of processes that are not registered, and limits that
// ended long ago.
func (s *Statements) retain(isRegistered func(process) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.clock.Now().Add(-endedTTL).UnixMilli()
	maps.DeleteFunc(s.latest, func(id process, said Statement) bool {
		return !isRegistered(id) || said.PerSecond == 0 && said.At < oldest
	})
	maps.DeleteFunc(s.malformed, func(id process, _ string) bool { return !isRegistered(id) })
}
