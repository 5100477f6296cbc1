// Package notice spreads small facts that grow or replace each other in one
// order only: withdrawn keys, data centres taken out, crashes and weight
// versions. Sets of notices merge in any order with the same result, so they
// spread through peers as well as through the platform's table.
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

// Kind says what a notice is about.
type Kind string

// The kinds of notices.
const (
	// Withdrawn names a key's hash; it is never taken back.
	Withdrawn Kind = "withdrawn"
	// Centre names a data centre; its value is Out or In.
	Centre Kind = "centre"
	// Crash names a content's fingerprint and one endpoint that it crashed.
	Crash Kind = "crash"
	// Cleared names a content that was answered whole after it was suspected;
	// crashes before do not count.
	Cleared Kind = "cleared"
	// Version names a model; its value is the weights' object, its Seq the version.
	Version Kind = "version"
)

// The values of a Centre notice.
const (
	Out = "out"
	In  = "in"
)

const (
	crashMemory = 10 * time.Minute
	// pastAfter is when a crash is dropped; by then it counts at no daemon, though
	// their clocks differ.
	pastAfter = 2 * crashMemory
	shortID   = 8
	// compactFrom is the least length of a log that is compacted; it is compacted
	// again when it has grown by compactGrowth.
	compactFrom   = 1024
	compactGrowth = 2
)

// Notice is one fact. Of two with the same kind and name the one with the
// higher Seq holds, at equal Seq the one with the higher Origin.
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

type logged struct {
	notice Notice
	from   string
}

// Set is a merged set of notices with the order in which they came.
type Set struct {
	id    string
	clock sesamepitch.Clock
	mu    sync.RWMutex
	held  map[string]Notice
	// crashes holds the times of crash events by fingerprint and event.
	crashes map[string]map[string]time.Time
	// log holds what came, in its order; offset is the index of its first entry.
	log    []logged
	offset int
	// compactAt is the length at which the log is compacted next.
	compactAt int
	watch     []chan struct{}
}

// NewSet returns an empty set.
func NewSet(clock sesamepitch.Clock) *Set {
	return &Set{id: uuid.NewString()[:shortID], clock: clock, held: map[string]Notice{}, crashes: map[string]map[string]time.Time{}}
}

// ID tells this process's log from that of any other.
func (s *Set) ID() string { return s.id }

// Index is the length of the log.
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
	s.watch = append(s.watch, watch)
	return watch
}

// Add merges notices that came from a peer's set (or "" for this process) and
// returns how many of them were new.
func (s *Set) Add(from string, notices ...Notice) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := 0
	for _, n := range notices {
		old, known := s.held[n.key()]
		if (known && !n.replaces(old)) || s.isPast(n) {
			continue
		}
		s.held[n.key()] = n
		s.log = append(s.log, logged{notice: n, from: from})
		s.indexCrash(n)
		added++
	}
	if added > 0 {
		s.compact()
		s.wake()
	}
	return added
}

// isPast tells whether a notice says nothing any more.
func (s *Set) isPast(n Notice) bool {
	return (n.Kind == Crash || n.Kind == Cleared) && s.clock.Now().Sub(n.At) > pastAfter
}

// compact drops past notices, and from a long log what was replaced. What is
// left is packed to the end of the log, so a reader of any index misses nothing
// and may get some entries twice. It needs s.mu.
func (s *Set) compact() {
	if len(s.log) < max(s.compactAt, compactFrom) {
		return
	}
	for key, n := range s.held {
		if s.isPast(n) {
			delete(s.held, key)
		}
	}
	var kept []logged
	for _, entry := range s.log {
		if s.held[entry.notice.key()] == entry.notice {
			kept = append(kept, entry)
		}
	}
	s.offset += len(s.log) - len(kept)
	s.log = kept
	s.compactAt = compactGrowth * len(kept)
	s.indexCrashes()
}

// indexCrashes builds the index of crashes anew from what is held.
func (s *Set) indexCrashes() {
	s.crashes = map[string]map[string]time.Time{}
	for _, n := range s.held {
		s.indexCrash(n)
	}
}

// Unexpired lists all notices that still say something.
func (s *Set) Unexpired() []Notice {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []Notice
	for _, n := range s.held {
		if !s.isPast(n) {
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

func (s *Set) wake() {
	for _, watch := range s.watch {
		supervisor.Wake(watch)
	}
}

// Since returns the log's entries from index on, without those that came from
// the peer's set of this name or have been replaced, and the index after them. A
// peer that was restarted has another set, so it gets back what it once sent.
func (s *Set) Since(index int, peer string) ([]Notice, int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var notices []Notice
	start := min(max(index-s.offset, 0), len(s.log))
	for _, entry := range s.log[start:] {
		if entry.from != peer && s.held[entry.notice.key()] == entry.notice {
			notices = append(notices, entry.notice)
		}
	}
	return notices, s.offset + len(s.log)
}

func (s *Set) find(kind Kind, name string) (Notice, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n, found := s.held[string(kind)+"/"+name]
	return n, found
}

// IsWithdrawn tells whether the key with this hash has been withdrawn.
func (s *Set) IsWithdrawn(hash string) bool {
	_, found := s.find(Withdrawn, hash)
	return found
}

// IsOut tells whether operators have taken the data centre out.
func (s *Set) IsOut(centre string) bool {
	n, found := s.find(Centre, centre)
	return found && n.Value == Out
}

// ModelVersion returns the newest published weight version, zero if none.
func (s *Set) ModelVersion(model string) int64 {
	n, _ := s.find(Version, model)
	return n.Seq
}

// NewCentreChange returns a notice that takes a data centre out or in, after all
// those known here.
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

// NewCleared returns the notice that a content was answered whole.
func (s *Set) NewCleared(fingerprint, origin string) Notice {
	now := s.clock.Now()
	return Notice{Kind: Cleared, Name: fingerprint, Seq: now.UnixNano(), Origin: origin, At: now}
}

// NewCrashCleared returns the notice that an endpoint has survived what was taken for
// a crash by a content.
func (s *Set) NewCrashCleared(fingerprint, event, origin string) Notice {
	return Notice{Kind: Cleared, Name: fingerprint + "/" + event, Seq: 1, Origin: origin, At: s.clock.Now()}
}

// NewVersion returns the notice that a weight version is published.
func (s *Set) NewVersion(model string, version int64, object, origin string) Notice {
	return Notice{Kind: Version, Name: model, Seq: version, Origin: origin, Value: object, At: s.clock.Now()}
}

// Crashes counts the recent crash events of a content since it was last
// answered whole, without those that the endpoint has survived.
func (s *Set) Crashes(fingerprint string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	count := 0
	cleared := s.held[string(Cleared)+"/"+fingerprint].At
	for event, at := range s.crashes[fingerprint] {
		if _, survived := s.held[string(Cleared)+"/"+fingerprint+"/"+event]; survived {
			continue
		}
		if at.After(cleared) && s.clock.Now().Sub(at) < crashMemory {
			count++
		}
	}
	return count
}
