// Package document holds the operators' one document: its sections, the
// checks that accept or refuse it as a whole, differences and merges.
package document

import (
	"encoding/json"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
)

// Class tells interactive work, which never waits on training, from training.
type Class string

// The classes of workspaces.
const (
	Interactive Class = "interactive"
	Training    Class = "training"
)

// Workspace is a customer's share of the service.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Class orders the workspace's own requests; steps are always training.
	Class Class `json:"class" yaml:"class"`
	// Weight is the workspace's share relative to the others'.
	Weight int `json:"weight" yaml:"weight"`
	// CutOffGrace is how long keys work without contact to the platform,
	// directly or through another data centre ("1h"; "0s" stops at once).
	CutOffGrace string `json:"cut_off_grace,omitempty" yaml:"cut_off_grace"`
	// MaxQueued bounds the workspace's waiting requests at each instance.
	MaxQueued int `json:"max_queued,omitempty" yaml:"max_queued"`
}

// Key lets its bearer act for a workspace. Only its hash is known.
type Key struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	Hash      string `json:"hash" yaml:"hash"`
}

// Trainer submits steps of groups of samples.
type Trainer struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	Model     string `json:"model" yaml:"model"`
	// Judge names the service that scores samples; none if empty.
	Judge string `json:"judge,omitempty" yaml:"judge"`
	// MaxLag is how many versions a sample's weights may lag behind.
	MaxLag int64 `json:"max_lag" yaml:"max_lag"`
	// StepTime is the time in which a step should be whole.
	StepTime string `json:"step_time" yaml:"step_time"`
}

// Model is a model with the weight version that it starts from.
type Model struct {
	Name    string `json:"name" yaml:"name"`
	Version int64  `json:"version" yaml:"version"`
}

// DataCentre is a place where work may run.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Endpoint is a back end: a model engine or an instance of a service.
type Endpoint struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	// Model or Service says what runs there; exactly one is given.
	Model   string `json:"model,omitempty" yaml:"model"`
	Service string `json:"service,omitempty" yaml:"service"`
	// Address is IP:port.
	Address string `json:"address" yaml:"address"`
	// Knee is the number of streams that keeps the endpoint full.
	Knee int `json:"knee" yaml:"knee"`
	// ColdLimit is the number of streams that the endpoint bears in cold start.
	ColdLimit int `json:"cold_limit" yaml:"cold_limit"`
	// WarmAfter is how many whole answers end the cold start's first stage.
	WarmAfter int `json:"warm_after,omitempty" yaml:"warm_after"`
	// ColdTime is how long the cold start may last.
	ColdTime string `json:"cold_time,omitempty" yaml:"cold_time"`
	// Reclaimable endpoints are cheaper and can go at seconds' notice.
	Reclaimable bool `json:"reclaimable,omitempty" yaml:"reclaimable"`
	// MilliPrice is the price of a token in thousandths.
	MilliPrice int64 `json:"milli_price" yaml:"milli_price"`
	// ChecksFence tells whether the endpoint refuses old fencing numbers.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence"`
}

// Service is a plain service or judge beside the engines.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Repeatable calls may run more than once.
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
	// Workspaces may call the service; all if empty.
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces"`
}

// MayBeCalledBy tells whether the workspace may call the service.
func (s Service) MayBeCalledBy(workspace string) bool {
	return len(s.Workspaces) == 0 || slices.Contains(s.Workspaces, workspace)
}

// Limit is a named bound of the whole system.
type Limit struct {
	Name  string `json:"name" yaml:"name"`
	Value int64  `json:"value" yaml:"value"`
}

// The known limits.
const (
	// LimitBodyBytes bounds a caller's body.
	LimitBodyBytes = "body_bytes"
	// LimitTokens bounds max_tokens of one request.
	LimitTokens = "request_tokens"
	// LimitWeightLoads bounds weight loads under way in a data centre.
	LimitWeightLoads = "weight_loads"
	// LimitStreams bounds a workspace's open requests at one instance.
	LimitStreams = "workspace_streams"
	// LimitBodyMemory bounds the bytes of all callers' bodies that one instance
	// holds; a workspace may take half of it.
	LimitBodyMemory = "body_memory_bytes"
)

// OpenRoute is a path that needs no key; its requests run for a workspace
// named here.
type OpenRoute struct {
	Name      string `json:"name" yaml:"name"`
	Path      string `json:"path" yaml:"path"`
	Service   string `json:"service" yaml:"service"`
	Workspace string `json:"workspace" yaml:"workspace"`
}

// Document is the operators' whole document. Its fields are exported for the
// codecs; Config is its read-only form for the rest of the program.
type Document struct {
	Workspaces  []Workspace  `json:"workspaces"`
	Keys        []Key        `json:"keys"`
	Trainers    []Trainer    `json:"trainers"`
	Models      []Model      `json:"models"`
	DataCentres []DataCentre `json:"data_centres"`
	Endpoints   []Endpoint   `json:"endpoints"`
	Services    []Service    `json:"services"`
	Limits      []Limit      `json:"limits"`
	OpenRoutes  []OpenRoute  `json:"open_routes"`
}

const defaultGrace = time.Hour

// GracePeriod returns the parsed CutOffGrace.
func (w Workspace) GracePeriod() time.Duration { return durationOr(w.CutOffGrace, defaultGrace) }

const defaultStepTime = 29 * time.Minute

// StepDuration returns the parsed StepTime.
func (t Trainer) StepDuration() time.Duration { return durationOr(t.StepTime, defaultStepTime) }

const defaultColdTime = 30 * time.Second

// ColdDuration returns the parsed ColdTime.
func (e Endpoint) ColdDuration() time.Duration { return durationOr(e.ColdTime, defaultColdTime) }

// Pool returns what the endpoint serves: its model or service.
func (e Endpoint) Pool() string {
	if e.Model != "" {
		return e.Model
	}
	return e.Service
}

func durationOr(text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fallback
	}
	return d
}

// Digest identifies the document's content.
func (d Document) Digest() string {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return sesamepitch.Digest(encoded)
}
