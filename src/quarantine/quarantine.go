// Package quarantine keeps contents that crash endpoints from being sent to
// further endpoints. A caller may retry such a request at any instance, so the
// instances exchange the crashes that they have seen.
package quarantine

import (
	"slices"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	// quarantineAfter is the number of crashed endpoints after which a content is
	// quarantined.
	quarantineAfter = 3
	// crashTTL is how long a content's crashes count after suspectedContent.lastCrash.
	crashTTL = 2 * time.Minute
	// maxReports is the maximum number of contents that an instance reports.
	maxReports = 32
)

// Report lists the endpoints that one instance has seen crash with one content.
type Report struct {
	// Content is the content's fingerprint.
	Content string `json:"content"`
	// Endpoints names the crashed processes, each one once.
	Endpoints []string `json:"endpoints"`
}

// suspectedContent has the crashes of a content at one instance.
type suspectedContent struct {
	// endpoints are the crashed processes. An endpoint that fails all its requests
	// counts once, so that it can't make a content suspicious alone.
	endpoints []string
	// lastCrash is the time of the last crash; for another instance, it is the time
	// of the first report with these crashes.
	lastCrash time.Time
}

// List holds the suspected contents of an instance: those that crashed endpoints
// there, and those that other instances reported to it.
type List struct {
	clock   sesamepitch.Clock
	changed chan struct{}

	mu sync.Mutex
	// local holds the contents whose crashes this instance has seen, by fingerprint.
	local map[string]suspectedContent
	// remote holds the contents that other instances reported, by instance and
	// fingerprint.
	remote map[string]map[string]suspectedContent
}

// New returns an empty list.
func New(clock sesamepitch.Clock) *List {
	return &List{clock: clock, changed: make(chan struct{}, 1), local: map[string]suspectedContent{}, remote: map[string]map[string]suspectedContent{}}
}

// Fingerprint returns the fingerprint of a request's content: workspace, path and
// body, which stay the same when a caller retries the request.
func Fingerprint(workspace, path string, body []byte) string {
	return sesamepitch.Fingerprint(workspace, path, string(body))
}

// Changed returns a channel that receives after RecordCrash.
func (l *List) Changed() <-chan struct{} { return l.changed }

// RecordCrash records that an endpoint crashed while it ran a content, and returns
// the number of endpoints that the content has crashed at all instances. endpoint
// names the process, so that a restarted endpoint counts anew.
func (l *List) RecordCrash(content, endpoint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	crashed := slices.Clone(l.local[content].endpoints)
	if !slices.Contains(crashed, endpoint) && len(crashed) < quarantineAfter {
		crashed = append(crashed, endpoint)
	}
	l.local[content] = suspectedContent{endpoints: crashed, lastCrash: l.clock.Now()}
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return l.count(content)
}

// RecordAnswer records that a content was answered, and drops the crashes that
// this instance has counted for it.
func (l *List) RecordAnswer(content string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.local, content)
}

// IsQuarantined reports whether a content must not be sent to endpoints, and how
// many it has crashed at all instances.
func (l *List) IsQuarantined(content string) (quarantined bool, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes = l.count(content)
	return crashes >= quarantineAfter, crashes
}

// Reports returns the crashes that this instance has seen and that still count,
// the newest first.
func (l *List) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	contents := make([]string, 0, len(l.local))
	for content := range l.local {
		contents = append(contents, content)
	}
	slices.SortFunc(contents, func(a, b string) int { return l.local[b].lastCrash.Compare(l.local[a].lastCrash) })
	var reports []Report
	for _, content := range contents[:min(len(contents), maxReports)] {
		reports = append(reports, Report{Content: content, Endpoints: l.local[content].endpoints})
	}
	return reports
}

// SetReports replaces the reports of another instance. A content's crashes count
// from the report in which they last changed; a report of the same crashes does not
// renew them.
func (l *List) SetReports(instance string, reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.remote[instance]
	next := map[string]suspectedContent{}
	for _, report := range reports {
		next[report.Content] = suspectedContent{endpoints: report.Endpoints, lastCrash: l.clock.Now()}
		if before, known := previous[report.Content]; known && slices.Equal(before.endpoints, report.Endpoints) {
			next[report.Content] = before
		}
	}
	delete(l.remote, instance)
	if len(next) > 0 {
		l.remote[instance] = next
	}
}

// count returns the number of endpoints with crashes that still count. The caller
// holds l.mu.
func (l *List) count(content string) int {
	now := l.clock.Now()
	crashed := map[string]bool{}
	add := func(c suspectedContent) {
		if now.Sub(c.lastCrash) >= crashTTL {
			return
		}
		for _, endpoint := range c.endpoints {
			crashed[endpoint] = true
		}
	}
	add(l.local[content])
	for _, contents := range l.remote {
		add(contents[content])
	}
	return len(crashed)
}

// expire drops local contents whose crashes no longer count. The caller holds l.mu.
func (l *List) expire() {
	now := l.clock.Now()
	for content, suspected := range l.local {
		if now.Sub(suspected.lastCrash) >= crashTTL {
			delete(l.local, content)
		}
	}
}
