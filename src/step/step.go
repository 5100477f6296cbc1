// Package step runs a trainer's steps: groups of samples, each delivered exactly once,
// from weights no older than the trainer allows. The daemon to which the trainer is
// connected drives the step; a trainer that connects to another daemon makes that one
// the driver. Samples are committed to the platform's table, under the driver's epoch,
// before they are delivered; if the table is unreachable they are delivered first and
// committed later.
package step

import (
	"fmt"
	"time"

	sesamepitch "sesamepitch/src"
)

const (
	maxGroups       = 65536
	maxGroupSamples = 1024
	maxPrompt       = 1 << 20 // bytes
)

// Group is one prompt and the number of samples wanted of it.
type Group struct {
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
}

// Spec is a trainer's description of a step.
type Spec struct {
	Trainer string  `json:"trainer"`
	Step    int64   `json:"step"`
	Groups  []Group `json:"groups"`
}

// Check returns an error for the first invalid field of the spec.
func (s Spec) Check(maxTokens int64) error {
	switch {
	case s.Trainer == "":
		return invalid("trainer is missing")
	case s.Step < 0:
		return invalid("step must not be negative")
	case len(s.Groups) == 0 || len(s.Groups) > maxGroups:
		return invalid(fmt.Sprintf("groups must be 1 to %d", maxGroups))
	}
	for i, group := range s.Groups {
		switch {
		case group.Samples < 1 || group.Samples > maxGroupSamples:
			return invalid(fmt.Sprintf("groups[%d].samples must be 1 to %d", i, maxGroupSamples))
		case group.Prompt == "" || len(group.Prompt) > maxPrompt:
			return invalid(fmt.Sprintf("groups[%d].prompt must be 1 to %d bytes", i, maxPrompt))
		case group.MaxTokens < 1 || int64(group.MaxTokens) > maxTokens:
			return invalid(fmt.Sprintf("groups[%d].max_tokens must be 1 to %d", i, maxTokens))
		}
	}
	return nil
}

func invalid(message string) error {
	return &Error{Op: "step.check", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf("%s", message)}
}

// Identity names one sample of a step.
type Identity struct {
	Group int `json:"group"`
	Index int `json:"index"`
}

// identities lists all samples of the step.
func (s Spec) identities() []Identity {
	var list []Identity
	for g, group := range s.Groups {
		for i := range group.Samples {
			list = append(list, Identity{Group: g, Index: i})
		}
	}
	return list
}

// Sample is one generated sample. Versions are the weight versions of its chunks, oldest
// first; Durable reports whether it was committed before it was delivered.
type Sample struct {
	Identity
	Text      string   `json:"text"`
	Versions  []int64  `json:"versions"`
	Score     *float64 `json:"score,omitempty"`
	Tokens    int      `json:"tokens"`
	MilliCost int64    `json:"milli_cost"`
	Endpoint  string   `json:"endpoint"`
	Durable   bool     `json:"durable"`
}

func (s Sample) oldestVersion() int64 {
	if len(s.Versions) == 0 {
		return 0
	}
	return s.Versions[0]
}

// stepRow is a step's row in the table. A daemon becomes the step's driver by increasing
// Epoch.
type stepRow struct {
	Epoch     int64     `json:"epoch"`
	Driver    string    `json:"driver"`
	Digest    string    `json:"digest"`
	Samples   int       `json:"samples"`
	ClaimedAt time.Time `json:"at"`
	Done      bool      `json:"done"`
	// Closed is set before the step's rows are removed. A closed step cannot be claimed.
	Closed bool `json:"closed,omitempty"`
}

const stepPrefix = "step/"

// batchRow is the row of a batch of committed samples. The object has their contents.
type batchRow struct {
	Nonce   string     `json:"nonce"`
	Object  string     `json:"object"`
	Samples []Identity `json:"samples"`
}

func stepKey(trainer string, step int64) string {
	return fmt.Sprintf("%s%s/%012d", stepPrefix, trainer, step)
}

func samplePrefix(trainer string, step int64) string {
	return fmt.Sprintf("sample/%s/%012d/", trainer, step)
}

func ackKey(trainer string, step int64) string {
	return fmt.Sprintf("ack/%s/%012d", trainer, step)
}
