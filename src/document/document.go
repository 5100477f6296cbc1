// Package document defines the configuration document that operators edit: its
// sections, validation, diffs, merges and versions. A document is accepted or
// rejected as a whole.
package document

import (
	"encoding/json"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
)

// Class is the class of a workspace's requests. Interactive requests never wait
// for training requests.
type Class string

// The classes of workspaces.
const (
	Interactive Class = "interactive"
	Training    Class = "training"
)

// Workspace is a customer's share of the service.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Class is the class of the workspace's single requests; steps are always of
	// class training.
	Class Class `json:"class" yaml:"class"`
	// Weight is the workspace's share of capacity relative to other workspaces.
	Weight int `json:"weight" yaml:"weight"`
	// CutOffGrace is how long keys are accepted without contact to the platform,
	// directly or through another data centre ("1h"; with "0s" they are rejected
	// at once).
	CutOffGrace string `json:"cut_off_grace,omitempty" yaml:"cut_off_grace"`
	// MaxQueued limits the workspace's open requests at each instance, if it is
	// above 0 and below LimitStreams.
	MaxQueued int `json:"max_queued,omitempty" yaml:"max_queued"`
}

// Key is an API key of a workspace. Only its hash is stored.
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
	// Judge is the service that scores samples; empty if they are not scored.
	Judge string `json:"judge,omitempty" yaml:"judge"`
	// MaxLag is the number of versions by which a sample's weights may be older
	// than the newest.
	MaxLag int64 `json:"max_lag" yaml:"max_lag"`
	// StepTime is the time in which a step should be complete.
	StepTime string `json:"step_time" yaml:"step_time"`
}

// Model is a model and its initial weight version.
type Model struct {
	Name    string `json:"name" yaml:"name"`
	Version int64  `json:"version" yaml:"version"`
}

// DataCentre is a data centre with endpoints.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Endpoint is a backend: a model engine or an instance of a service.
type Endpoint struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	// Model or Service is what the endpoint serves; exactly one is set.
	Model   string `json:"model,omitempty" yaml:"model"`
	Service string `json:"service,omitempty" yaml:"service"`
	// Address is IP:port.
	Address string `json:"address" yaml:"address"`
	// Knee is the number of concurrent streams that saturates the endpoint.
	Knee int `json:"knee" yaml:"knee"`
	// ColdLimit is the maximum number of streams during the cold start.
	ColdLimit int `json:"cold_limit" yaml:"cold_limit"`
	// WarmAfter is the number of complete responses that ends the first stage of
	// the cold start.
	WarmAfter int `json:"warm_after,omitempty" yaml:"warm_after"`
	// ColdTime is the maximum duration of the cold start.
	ColdTime string `json:"cold_time,omitempty" yaml:"cold_time"`
	// Reclaimable endpoints are cheaper, but may be removed with a few seconds'
	// notice.
	Reclaimable bool `json:"reclaimable,omitempty" yaml:"reclaimable"`
	// MilliPrice is the price of a token in thousandths.
	MilliPrice int64 `json:"milli_price" yaml:"milli_price"`
	// ChecksFence reports whether the endpoint rejects old fencing numbers.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence"`
}

// Service is a plain service or a judge, as opposed to a model.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Repeatable means that a call may safely run more than once.
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
	// Workspaces lists the workspaces that may call the service; all if empty.
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces"`
}

// MayBeCalledBy reports whether the workspace may call the service.
func (s Service) MayBeCalledBy(workspace string) bool {
	return len(s.Workspaces) == 0 || slices.Contains(s.Workspaces, workspace)
}

// Limit is the value of a limit that applies to all data centres.
type Limit struct {
	Name  string `json:"name" yaml:"name"`
	Value int64  `json:"value" yaml:"value"`
}

// Names of the limits.
const (
	// LimitBodyBytes limits the bytes of a request's body.
	LimitBodyBytes = "body_bytes"
	// LimitTokens limits max_tokens of a request.
	LimitTokens = "request_tokens"
	// LimitWeightLoads limits the concurrent weight loads in a data centre.
	LimitWeightLoads = "weight_loads"
	// LimitStreams limits a workspace's open requests at one instance.
	LimitStreams = "workspace_streams"
	// LimitBodyMemory limits the total bytes of request bodies held by one
	// instance; a workspace may use half of it.
	LimitBodyMemory = "body_memory_bytes"
)

// OpenRoute is a path whose requests need no key. They count as requests of
// Workspace.
type OpenRoute struct {
	Name      string `json:"name" yaml:"name"`
	Path      string `json:"path" yaml:"path"`
	Service   string `json:"service" yaml:"service"`
	Workspace string `json:"workspace" yaml:"workspace"`
}

// Document is the configuration document. Its fields are exported for encoding;
// other packages look items up through Config.
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

const defaultGracePeriod = time.Hour

// GracePeriod returns CutOffGrace as a duration, or the default if it is not set.
func (w Workspace) GracePeriod() time.Duration { return durationOr(w.CutOffGrace, defaultGracePeriod) }

const defaultStepTime = 29 * time.Minute

// StepDuration returns StepTime as a duration, or the default if it is not set.
func (t Trainer) StepDuration() time.Duration { return durationOr(t.StepTime, defaultStepTime) }

const defaultColdTime = 30 * time.Second

// ColdDuration returns ColdTime as a duration, or the default if it is not set.
func (e Endpoint) ColdDuration() time.Duration { return durationOr(e.ColdTime, defaultColdTime) }

// Pool returns the name of the endpoint's pool, which is its model or service.
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

// Digest returns a hash of the document's content.
func (d Document) Digest() string {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return sesamepitch.Digest(encoded)
}
