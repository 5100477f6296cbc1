// Package notice spreads small facts that grow or replace each other in one
// order only: withdrawn keys, data centres taken out, crashes and weight
// versions. Sets of notices merge in any order with the same result, so they
// spread through peers as well as through the platform's table.
package notice

import (
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"

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
	shortID     = 8
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
	log     []logged
	watch   []chan struct{}
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
	return len(s.log)
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
		if known && !n.replaces(old) {
			continue
		}
		s.held[n.key()] = n
		s.log = append(s.log, logged{notice: n, from: from})
		s.indexCrash(n)
		added++
	}
	if added > 0 {
		s.wake()
	}
	return added
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
		select {
		case watch <- struct{}{}:
		default:
		}
	}
}

// Since returns the log's entries from index on, without those that came from
// the peer's set of this name or have been replaced, and the index after them. A
// peer that was restarted has another set, so it gets back what it once sent.
func (s *Set) Since(index int, peer string) ([]Notice, int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var notices []Notice
	for _, entry := range s.log[min(index, len(s.log)):] {
		if entry.from != peer && s.held[entry.notice.key()] == entry.notice {
			notices = append(notices, entry.notice)
		}
	}
	return notices, len(s.log)
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

// NextCentre returns a notice that takes a data centre out or in, after all
// those known here.
func (s *Set) NextCentre(centre, value, origin string) Notice {
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

// NewVersion returns the notice that a weight version is published.
func (s *Set) NewVersion(model string, version int64, object, origin string) Notice {
	return Notice{Kind: Version, Name: model, Seq: version, Origin: origin, Value: object, At: s.clock.Now()}
}

// Crashes counts the recent crash events of a content since it was last
// answered whole.
func (s *Set) Crashes(fingerprint string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	count := 0
	cleared := s.held[string(Cleared)+"/"+fingerprint].At
	for _, at := range s.crashes[fingerprint] {
		if at.After(cleared) && s.clock.Now().Sub(at) < crashMemory {
			count++
		}
	}
	return count
}
