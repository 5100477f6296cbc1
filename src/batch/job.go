// Package batch stores batch jobs in the platform's table. A job is accepted
// atomically and at most once, and each result keeps its position.
package batch

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
)

// Job is a batch job as submitted by a trainer.
type Job struct {
	Header
	Items []Item
}

// Submission is a job that is being submitted. Its items come one after the other, the
// same each time.
type Submission struct {
	Header
	Items iter.Seq[Item]
}

// Submission returns the job as it is submitted.
func (j Job) Submission() Submission {
	s := Submission{Header: j.Header, Items: slices.Values(j.Items)}
	s.Total = len(j.Items)
	return s
}

// Header describes a job without its items.
type Header struct {
	ID        string
	Workspace string
	// Route is the name of the route on which the job was submitted, Host the
	// route's host.
	Route string
	Host  string
	Step  int64
	Model string
	// MinVersion is the oldest weight version that may generate the results.
	MinVersion int64
	// GroupTarget is the number of complete groups that the trainer waits for.
	GroupTarget int
	Total       int
	Submitted   time.Time
	// Chunks is the number of rows that hold the items, ChunkBytes the size of each but
	// the last one; zero if it is not known.
	Chunks     int
	ChunkBytes int `json:",omitempty"`
	// IndexRows is the number of rows that say where the items lie; zero for none.
	IndexRows int `json:",omitempty"`
	// Ended is set once the job gets no more results.
	Ended bool
}

// Item is one sample to generate.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the upper bound of prompt and output tokens together.
	Tokens int64
	Group  string
	// ExpectedTokens is the trainer's estimate of the output tokens, zero if it
	// gave none.
	ExpectedTokens int64
	// Reward is the call that scores the complete output; nil if it needs no
	// score.
	Reward *sesamepitch.RewardCall
}

// State is the final state of an item.
type State string

// The states of a result.
const (
	// Done means that the result has the item's complete output.
	Done State = "done"
	// Abandoned means that the item has no complete output and no more attempts are
	// made.
	Abandoned State = "dead"
)

// Result is the outcome of one item at a fixed position of its job.
type Result struct {
	// Item is the item's index in its job.
	Item     int     `json:"-"`
	ID       string  `json:"id"`
	State    State   `json:"state"`
	Output   string  `json:"text"`
	Versions []int64 `json:"versions"`
	// Score is the signature of the answer to the item's reward call; empty if the
	// item has none.
	Score string `json:"score,omitempty"`
	// TargetMet is set on the result that completes the last of the GroupTarget
	// groups, and on all later ones.
	TargetMet bool `json:"target_met,omitempty"`
}

// Page contains consecutive results of a job. Next is the position after the last
// one.
type Page struct {
	Total   int
	Results []Result
	Next    int
}

// TargetMet reports whether GroupTarget groups of the job are complete at the end
// of this page; it is false for an empty page.
func (p Page) TargetMet() bool {
	return len(p.Results) > 0 && p.Results[len(p.Results)-1].TargetMet
}

// MaxOutputBytes is the maximum size of an item's output: its result must fit into
// one transaction.
const MaxOutputBytes = maxTxnBytes * 4 / 5

// maxIDLength is the maximum length of an ID in bytes, which keeps row keys within
// the store's limit.
const maxIDLength = 150

// maxFaults is the number of faults of a job that are described.
const maxFaults = 16

// Faults describes the first validation errors of a submitted job.
func (j Submission) Faults() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if !validID(j.ID) {
		fault("job id %q is empty, too long or contains a slash", j.ID)
	}
	seen, seenRewards := map[string]bool{}, map[string]bool{}
	position := 0
	for item := range j.Items {
		if len(faults) >= maxFaults {
			break
		}
		for _, problem := range itemFaults(item, position, seen) {
			fault("%s", problem)
		}
		seen[item.ID] = true
		position++
		if item.Reward == nil {
			continue
		}
		for _, problem := range rewardFaults(*item.Reward) {
			fault("item %q: reward call: %s", item.ID, problem)
		}
		if seenRewards[item.Reward.ID] {
			fault("item %q: reward call: duplicate id %q", item.ID, item.Reward.ID)
		}
		seenRewards[item.Reward.ID] = true
	}
	if len(seen) == 0 {
		fault("job has no items")
	}
	return faults
}

// itemFaults describes each validation error of an item; seen are the IDs before it.
func itemFaults(item Item, position int, seen map[string]bool) []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if item.ID == "" || len(item.ID) > maxIDLength {
		fault("item %d: id is empty or too long", position)
	}
	if seen[item.ID] {
		fault("item %q: duplicate id", item.ID)
	}
	if !strings.HasPrefix(item.Path, "/") {
		fault("item %q: path %q does not start with a slash", item.ID, item.Path)
	}
	if item.Tokens < 0 {
		fault("item %q: negative tokens", item.ID)
	}
	return faults
}

// rewardFaults describes each validation error of a reward call.
func rewardFaults(call sesamepitch.RewardCall) []string {
	var faults []string
	if call.ID == "" || len(call.ID) > maxIDLength {
		faults = append(faults, "id is empty or too long")
	}
	if call.Host == "" {
		faults = append(faults, "host is empty")
	}
	if !strings.HasPrefix(call.Path, "/") {
		faults = append(faults, fmt.Sprintf("path %q does not start with a slash", call.Path))
	}
	return faults
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.Contains(id, "/")
}
