// Package notice spreads small facts that are only added or replace each other
// in a fixed order: withdrawn keys, data centres out of service, crashes and
// weight versions. Sets of notices merge in any order with the same result, so
// they spread through peers as well as through the platform's table.
package notice

import (
	"sort"
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/supervisor"

	"github.com/google/uuid"
)

// Kind is the kind of a notice.
type Kind string

// The kinds of notices.
const (
	// Withdrawn names the hash of an API key; a withdrawal is permanent.
	Withdrawn Kind = "withdrawn"
	// Centre names a data centre; its value is Out or In.
	Centre Kind = "centre"
	// Crash names a content's fingerprint and one crash event: the crash of an
	// endpoint that ran the content.
	Crash Kind = "crash"
	// Cleared names a content that got a complete answer after it was
	// suspected, so that its earlier crashes do not count; or it names a content
	// and one crash event that does not count since the endpoint survived.
	Cleared Kind = "cleared"
	// Version names a model; its value is the weights' object, its Seq the
	// weight version.
	Version Kind = "version"
)

// The values of a Centre notice.
const (
	Out = "out"
	In  = "in"
)

const (
	// crashWindow is how long a crash counts.
	crashWindow = 10 * time.Minute
	// crashRetention is the age at which a crash is dropped. It exceeds
	// crashWindow so that the crash no longer counts at any daemon by then,
	// although their clocks differ.
	crashRetention = 2 * crashWindow
	idLength       = 8
	// minCompactLength is the least length of a log that is compacted. After that
	// the log is compacted whenever it has grown by the factor compactGrowth.
	minCompactLength = 1024
	compactGrowth    = 2
)

// Notice is one fact. Of two notices with the same kind and name, the one with
// the higher Seq replaces the other; at equal Seq, the one with the higher
// Origin does. Origin identifies the issuer and has no other use.
type Notice struct {
	Kind   Kind
	Name   string
	Seq    int64
	Origin string
	Value  string
	At     time.Time
}

func (n Notice) key() string { return string(n.Kind) + "/" + n.Name }

func (n Notice) replaces(old Notice) bool {
	if n.Seq != old.Seq {
		return n.Seq > old.Seq
	}
	return n.Origin > old.Origin
}

type logEntry struct {
	notice Notice
	// from is the ID of the peer's set that sent the notice; empty if this process
	// issued it.
	from string
}

// Set is a merged set of notices that records the order of their arrival.
type Set struct {
	id      string
	clock   sesamepitch.Clock
	mu      sync.RWMutex
	current map[string]Notice
	// crashes holds the times of crash events by fingerprint and event.
	crashes map[string]map[string]time.Time
	// log holds the notices in order of arrival; offset is the index of its
	// first entry.
	log    []logEntry
	offset int
	// compactAt is the length at which the log is compacted next.
	compactAt int
	watchers  []chan struct{}
}

// NewSet returns an empty set.
func NewSet(clock sesamepitch.Clock) *Set {
	return &Set{id: uuid.NewString()[:idLength], clock: clock, current: map[string]Notice{}, crashes: map[string]map[string]time.Time{}}
}

// ID identifies this process's log among those of all processes.
func (s *Set) ID() string { return s.id }

// Index returns the index after the log's last entry.
func (s *Set) Index() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.offset + len(s.log)
}

// Watch returns a channel that receives after the set has changed.
func (s *Set) Watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	watch := make(chan struct{}, 1)
	s.watchers = append(s.watchers, watch)
	return watch
}

// Add merges notices and returns how many of them were new. from is the ID of the
// peer's set that sent them; empty if this process issued them.
func (s *Set) Add(from string, notices ...Notice) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := 0
	for _, n := range notices {
		old, known := s.current[n.key()]
		if (known && !n.replaces(old)) || s.isExpired(n) {
			continue
		}
		s.current[n.key()] = n
		s.log = append(s.log, logEntry{notice: n, from: from})
		s.indexCrash(n)
		added++
	}
	if added > 0 {
		s.compact()
		s.notifyWatchers()
	}
	return added
}

// isExpired reports whether a notice no longer has any effect.
func (s *Set) isExpired(n Notice) bool {
	return (n.Kind == Crash || n.Kind == Cleared) && s.clock.Now().Sub(n.At) > crashRetention
}

// compact drops expired notices and replaced entries from a long log. The index
// after the last entry stays the same, so a reader at any index misses nothing
// and may get some entries twice. The caller holds s.mu.
func (s *Set) compact() {
	if len(s.log) < max(s.compactAt, minCompactLength) {
		return
	}
	for key, n := range s.current {
		if s.isExpired(n) {
			delete(s.current, key)
		}
	}
	var kept []logEntry
	for _, entry := range s.log {
		if s.current[entry.notice.key()] == entry.notice {
			kept = append(kept, entry)
		}
	}
	s.offset += len(s.log) - len(kept)
	s.log = kept
	s.compactAt = compactGrowth * len(kept)
	s.indexCrashes()
}

// indexCrashes rebuilds the index of crashes from the current notices.
func (s *Set) indexCrashes() {
	s.crashes = map[string]map[string]time.Time{}
	for _, n := range s.current {
		s.indexCrash(n)
	}
}

// Unexpired returns all notices that still have an effect, by kind and name.
func (s *Set) Unexpired() []Notice {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []Notice
	for _, n := range s.current {
		if !s.isExpired(n) {
			list = append(list, n)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].key() < list[j].key() })
	return list
}

func (s *Set) indexCrash(n Notice) {
	if n.Kind != Crash {
		return
	}
	fingerprint, event, _ := strings.Cut(n.Name, "/")
	if s.crashes[fingerprint] == nil {
		s.crashes[fingerprint] = map[string]time.Time{}
	}
	s.crashes[fingerprint][event] = n.At
}

func (s *Set) notifyWatchers() {
	for _, watch := range s.watchers {
		supervisor.Wake(watch)
	}
}

// Since returns the log's entries from index on, and the index after them. It
// omits entries that the set with the ID peer sent, and those that have been
// replaced. A restarted peer's set has a new ID, so the peer gets back the notices
// that it sent before.
func (s *Set) Since(index int, peer string) ([]Notice, int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var notices []Notice
	start := min(max(index-s.offset, 0), len(s.log))
	for _, entry := range s.log[start:] {
		if entry.from != peer && s.current[entry.notice.key()] == entry.notice {
			notices = append(notices, entry.notice)
		}
	}
	return notices, s.offset + len(s.log)
}

func (s *Set) find(kind Kind, name string) (Notice, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n, found := s.current[string(kind)+"/"+name]
	return n, found
}

// IsWithdrawn reports whether the key with this hash has been withdrawn.
func (s *Set) IsWithdrawn(hash string) bool {
	_, found := s.find(Withdrawn, hash)
	return found
}

// IsOut reports whether operators have taken the data centre out of service.
func (s *Set) IsOut(centre string) bool {
	n, found := s.find(Centre, centre)
	return found && n.Value == Out
}

// ModelVersion returns the newest published weight version, or zero if there is
// none.
func (s *Set) ModelVersion(model string) int64 {
	n, _ := s.find(Version, model)
	return n.Seq
}

// NewCentreChange returns a notice that takes a data centre out of service or
// back in. It replaces the notice known here about the same data centre.
func (s *Set) NewCentreChange(centre, value, origin string) Notice {
	last, _ := s.find(Centre, centre)
	return Notice{Kind: Centre, Name: centre, Seq: last.Seq + 1, Origin: origin, Value: value, At: s.clock.Now()}
}

// NewWithdrawal returns the notice that withdraws a key.
func (s *Set) NewWithdrawal(hash, origin string) Notice {
	return Notice{Kind: Withdrawn, Name: hash, Seq: 1, Origin: origin, At: s.clock.Now()}
}

// NewCrash returns the notice that a content crashed an endpoint.
func (s *Set) NewCrash(fingerprint, event, origin string) Notice {
	return Notice{Kind: Crash, Name: fingerprint + "/" + event, Seq: 1, Origin: origin, At: s.clock.Now()}
}

// NewCleared returns the notice that a content got a complete answer. Its Seq is
// the time, so that a later answer replaces an earlier one.
func (s *Set) NewCleared(fingerprint, origin string) Notice {
	now := s.clock.Now()
	return Notice{Kind: Cleared, Name: fingerprint, Seq: now.UnixNano(), Origin: origin, At: now}
}

// NewCrashCleared returns the notice that an endpoint survived what was
// reported as a crash caused by a content.
func (s *Set) NewCrashCleared(fingerprint, event, origin string) Notice {
	return Notice{Kind: Cleared, Name: fingerprint + "/" + event, Seq: 1, Origin: origin, At: s.clock.Now()}
}

// NewVersion returns the notice that a weight version is published.
func (s *Set) NewVersion(model string, version int64, object, origin string) Notice {
	return Notice{Kind: Version, Name: model, Seq: version, Origin: origin, Value: object, At: s.clock.Now()}
}

// Crashes counts the recent crash events of a content since its last complete
// answer, without those that the endpoint survived.
func (s *Set) Crashes(fingerprint string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	count := 0
	cleared := s.current[string(Cleared)+"/"+fingerprint].At
	for event, at := range s.crashes[fingerprint] {
		if _, survived := s.current[string(Cleared)+"/"+fingerprint+"/"+event]; survived {
			continue
		}
		if at.After(cleared) && s.clock.Now().Sub(at) < crashWindow {
			count++
		}
	}
	return count
}
