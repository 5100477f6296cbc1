// Package batch keeps batch jobs in the platform's table: accepted once and
// whole, their results at fixed positions.
package batch

import (
	"fmt"
	"strings"
	"time"
)

// Job is a batch job as its trainer submitted it.
type Job struct {
	Header
	Items []Item
}

// Header is what is known of a job without its items.
type Header struct {
	ID        string
	Workspace string
	// Route names the route by which the job came, Host is the route's host.
	Route string
	Host  string
	Step  int64
	Model string
	// MinVersion is the oldest weight version that may make the results.
	MinVersion int64
	// GroupTarget is the number of whole groups that the trainer waits for.
	GroupTarget int
	Total       int
	Submitted   time.Time
	// Chunks is the number of rows that hold the items.
	Chunks int
	// Ended jobs get no more results.
	Ended bool
}

// Item is one sample to make.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens bounds the prompt and output tokens together.
	Tokens int64
	Group  string
	// ExpectedTokens is the trainer's estimate of the output tokens, zero if it
	// gave none.
	ExpectedTokens int64
}

// State tells how an item ended.
type State string

// The states of a result.
const (
	// Done results have the item's whole text.
	Done State = "done"
	// Abandoned items were given up.
	Abandoned State = "dead"
)

// Result is the outcome of one item at a fixed position of its job.
type Result struct {
	ID       string  `json:"id"`
	State    State   `json:"state"`
	Output   string  `json:"text"`
	Versions []int64 `json:"versions"`
	// TargetMet is set from the result on with which the groups that the trainer
	// waits for are whole.
	TargetMet bool `json:"target_met,omitempty"`
}

// Page is a run of results from a position.
type Page struct {
	Total   int
	Results []Result
	Next    int
}

// TargetMet tells whether the groups that the trainer waits for are whole with
// this page.
func (p Page) TargetMet() bool {
	return len(p.Results) > 0 && p.Results[len(p.Results)-1].TargetMet
}

// maxIDLength keeps identifiers within the store's keys.
const maxIDLength = 150

// Faults names what is wrong with a job that a trainer submitted.
func (j Job) Faults() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if !validID(j.ID) {
		fault("the job's id %q is empty, too long or has a slash", j.ID)
	}
	if len(j.Items) == 0 {
		fault("the job has no items")
	}
	seen := map[string]bool{}
	for i, item := range j.Items {
		if item.ID == "" || len(item.ID) > maxIDLength {
			fault("item %d has no usable id", i)
		}
		if seen[item.ID] {
			fault("item %q stands twice", item.ID)
		}
		seen[item.ID] = true
		if !strings.HasPrefix(item.Path, "/") {
			fault("item %q: path %q does not start with a slash", item.ID, item.Path)
		}
		if item.Tokens < 0 {
			fault("item %q: negative tokens", item.ID)
		}
	}
	return faults
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.Contains(id, "/")
}
