package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
)

// Source is how this instance learned that an endpoint is leaving.
type Source string

// The sources of the news that an endpoint is leaving.
const (
	// SourceTable is the endpoint's row in the endpoint table.
	SourceTable Source = "table"
	// SourceAnswer is an answer of the endpoint to this instance.
	SourceAnswer Source = "answer"
	// SourceInstance is another instance, which heard it from the endpoint.
	SourceInstance Source = "instance"
)

const (
	// defaultDrainTime applies where the settings set none.
	defaultDrainTime = 2 * time.Second
	// tableShare is the share of the drain time after which an endpoint that its row
	// says is draining gets nothing more: the row may be read late.
	tableShare = 0.5
	// wordTTL is how long a word of an endpoint without a row is kept: the row may come
	// back with the store, unchanged.
	wordTTL = 10 * time.Minute
	// sharedTime is how long instances tell each other of a word, maxSharedWords how
	// many at most.
	sharedTime     = 30 * time.Second
	maxSharedWords = 256
)

// Word is an endpoint's own statement that it is leaving, as the instances tell each
// other. Nothing takes it back; it holds for the process that said it, not for a
// later one under the same ID. The row that led to the process may be out of date, so
// the word names no process, but the latest start that it holds for.
type Word struct {
	ID string `json:"id"`
	// At is the latest start of a process that the word holds for, in Unix milliseconds:
	// the drain time before it was first heard, since a process serves on for as long,
	// so that clocks may differ by that.
	At int64 `json:"at"`
}

// heardWord is a word with its source and when this instance learned of it.
type heardWord struct {
	Word
	source Source
	since  time.Time
}

// Option configures a Registry.
type Option func(*Registry)

// WithDrainTime sets how long a leaving endpoint may still get requests of callers
// that had asked before.
func WithDrainTime(d time.Duration) Option {
	return func(r *Registry) { r.drainTime = d }
}

// Hear records that an endpoint said in an answer that it is leaving. It returns
// whether that is news.
func (r *Registry) Hear(to sesamepitch.Destination) bool {
	now := r.clock.Now()
	holdsFor := max(now.Add(-r.drainTime).UnixMilli(), to.Born)
	return r.recordWord(heardWord{Word{to.ID, holdsFor}, SourceAnswer, now})
}

// ReceiveWords records what another instance has heard, and returns what is news.
func (r *Registry) ReceiveWords(words []Word) []Word {
	now := r.clock.Now()
	return slices.DeleteFunc(slices.Clone(words), func(word Word) bool {
		return word.ID == "" || !r.recordWord(heardWord{word, SourceInstance, now})
	})
}

func (r *Registry) recordWord(word heardWord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint, registered := r.endpoints[word.ID]
	if registered && endpoint.Born > word.At {
		return false // an earlier process of the endpoint said it
	}
	if known, found := r.words[word.ID]; found && (!registered || endpoint.Born <= known.At) {
		return false
	}
	r.words[word.ID] = word
	if registered {
		r.markLeaving(&endpoint)
		r.endpoints[word.ID] = endpoint
	}
	r.notifyChanged()
	return true
}

// Words returns the words that this instance has heard itself lately, the newest
// first, maxSharedWords at most.
func (r *Registry) Words() []Word {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var words []Word
	for _, word := range r.words {
		if word.source == SourceAnswer && now.Sub(word.since) < sharedTime {
			words = append(words, word.Word)
		}
	}
	slices.SortFunc(words, func(a, b Word) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.ID, b.ID)) })
	return words[:min(len(words), maxSharedWords)]
}

// markLeaving completes what is known of a leaving endpoint from its row and its own
// word. A new process has said nothing yet. The caller must hold r.mu.
func (r *Registry) markLeaving(endpoint *Endpoint) {
	word, said := r.words[endpoint.ID]
	if said && endpoint.Born > word.At {
		delete(r.words, endpoint.ID)
		said = false
	}
	before, known := r.endpoints[endpoint.ID]
	switch {
	case said:
		endpoint.Draining, endpoint.LeavingBy, endpoint.LeavingSince = true, word.source, word.since
	case endpoint.Draining && known && before.Draining && before.Born == endpoint.Born:
		endpoint.LeavingBy, endpoint.LeavingSince = before.LeavingBy, before.LeavingSince
	case endpoint.Draining:
		endpoint.LeavingBy, endpoint.LeavingSince = SourceTable, r.clock.Now()
	default:
		return
	}
	if endpoint.LeavesAt.IsZero() {
		endpoint.LeavesAt = endpoint.LeavingSince.Add(r.drainTime)
	}
}

// closesAt returns the time from which a request must have been asked for no more to
// be sent to a leaving endpoint.
func (r *Registry) closesAt(source Source, since time.Time) time.Time {
	if source == SourceTable {
		return since.Add(time.Duration(tableShare * float64(r.drainTime)))
	}
	return since.Add(r.drainTime)
}

// Departing returns the leaving endpoints of a service that may still get a request
// asked for at a time: a last resort.
func (r *Registry) Departing(service string, asked time.Time) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var departing []Endpoint
	for _, e := range r.endpoints {
		if e.Service == service && e.Draining && !r.isOut(e.Centre) && asked.Before(r.closesAt(e.LeavingBy, e.LeavingSince)) {
			departing = append(departing, e)
		}
	}
	return departing
}

// Leaving returns how this instance knows that a process is leaving, and since when,
// if it may no longer get a request that was asked for at a time.
func (r *Registry) Leaving(to sesamepitch.Destination, asked time.Time) (by Source, since time.Time, closed bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if word, said := r.words[to.ID]; said && to.Born <= word.At {
		by, since = word.source, word.since
	} else if e, registered := r.endpoints[to.ID]; registered && e.Draining && e.Born == to.Born {
		by, since = e.LeavingBy, e.LeavingSince
	} else {
		return "", time.Time{}, false
	}
	return by, since, !asked.Before(r.closesAt(by, since))
}

// pruneWords drops old words of endpoints without a row. The caller must hold r.mu.
func (r *Registry) pruneWords(now time.Time) {
	maps.DeleteFunc(r.words, func(id string, word heardWord) bool {
		_, registered := r.endpoints[id]
		return !registered && now.Sub(word.since) > wordTTL
	})
}
