// Package quarantine holds back contents that crash the endpoints that run
// them. A caller sends such a request again, to any instance, so the instances
// tell each other what they have seen.
package quarantine

import (
	"slices"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	// heldAfter is how many endpoints a content may break off before it is held.
	heldAfter = 3
	// memory is how long a crash counts.
	memory = 2 * time.Minute
	// keptContents bounds the contents that one instance tells of.
	keptContents = 32
)

// Report is how many endpoints broke off one content at one instance.
type Report struct {
	// Content is the content's fingerprint.
	Content string `json:"content"`
	Crashes int    `json:"crashes"`
}

// suspect is a content that has broken off endpoints.
type suspect struct {
	crashes int
	at      time.Time
}

// List is what one instance knows of suspected contents.
type List struct {
	clock sesamepitch.Clock
	news  chan struct{}

	mu  sync.Mutex
	own map[string]suspect
	// others are the contents that other instances tell of, by instance.
	others map[string]map[string]suspect
}

// New returns an empty list.
func New(clock sesamepitch.Clock) *List {
	return &List{clock: clock, news: make(chan struct{}, 1), own: map[string]suspect{}, others: map[string]map[string]suspect{}}
}

// Fingerprint names what a caller sends again: workspace, path and body.
func Fingerprint(workspace, path string, body []byte) string {
	return sesamepitch.Fingerprint(workspace, path, string(body))
}

// Changed receives after this instance has seen a crash.
func (l *List) Changed() <-chan struct{} { return l.news }

// RecordCrash notes that an endpoint broke off while it ran a content, and returns
// how many did so at all instances.
func (l *List) RecordCrash(content string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	l.own[content] = suspect{crashes: l.own[content].crashes + 1, at: l.clock.Now()}
	select {
	case l.news <- struct{}{}:
	default:
	}
	return l.count(content)
}

// RecordAnswer notes that a content was answered: what this instance held against
// it is dropped.
func (l *List) RecordAnswer(content string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own, content)
}

// IsQuarantined tells whether a content must not reach endpoints, and how many it has
// crashed.
func (l *List) IsQuarantined(content string) (held bool, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes = l.count(content)
	return crashes >= heldAfter, crashes
}

// Reports returns what this instance has seen lately, the newest first.
func (l *List) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	contents := make([]string, 0, len(l.own))
	for content := range l.own {
		contents = append(contents, content)
	}
	slices.SortFunc(contents, func(a, b string) int { return l.own[b].at.Compare(l.own[a].at) })
	var reports []Report
	for _, content := range contents[:min(len(contents), keptContents)] {
		reports = append(reports, Report{Content: content, Crashes: l.own[content].crashes})
	}
	return reports
}

// SetReports takes over what another instance reports; a crash counts from when this
// instance first heard of it.
func (l *List) SetReports(instance string, reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.others[instance]
	next := map[string]suspect{}
	for _, report := range reports {
		next[report.Content] = suspect{crashes: report.Crashes, at: l.clock.Now()}
		if before := known[report.Content]; before.crashes == report.Crashes {
			next[report.Content] = before
		}
	}
	delete(l.others, instance)
	if len(next) > 0 {
		l.others[instance] = next
	}
}

// count adds up the crashes that still count; it needs l.mu.
func (l *List) count(content string) int {
	now, crashes := l.clock.Now(), 0
	add := func(s suspect) {
		if now.Sub(s.at) < memory {
			crashes += s.crashes
		}
	}
	add(l.own[content])
	for _, contents := range l.others {
		add(contents[content])
	}
	return crashes
}

// forget drops what no longer counts; it needs l.mu.
func (l *List) forget() {
	now := l.clock.Now()
	for content, s := range l.own {
		if now.Sub(s.at) >= memory {
			delete(l.own, content)
		}
	}
}
