// Package registry holds what an instance knows of the platform's operators
// and endpoints: the configuration in force, endpoints, data centres that were
// taken out, and named weight versions.
package registry

import (
	"strings"
	"time"
)

// RouteKind says what may be repeated for a route's requests.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run once at most for each attempt of the caller.
	AtMostOnce
	// Streaming requests are answered by a series of events.
	Streaming
	// Rollout requests are batch jobs.
	Rollout
)

// Config is one version of the operators' configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
	// keys are the workspaces by key.
	keys map[string]*Workspace
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time until a request's final answer; none if zero.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full worth.
	LatencyTarget time.Duration
	// Split are the services with their weights, at least one.
	Split       []Share
	MaxAttempts int
	// Public routes need no key.
	Public        bool
	Resumable     bool
	SingleVersion bool
	// ResultDeadline and QueueTTL count from a batch job's first submission.
	ResultDeadline time.Duration
	QueueTTL       time.Duration
	// Regions are those that may serve the route; all if empty.
	Regions []string
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that run the same program.
type Service struct {
	Name string
	// HealthPath is asked for an endpoint's health; none if empty.
	HealthPath string
	// ColdRate is how many requests a second a cold endpoint bears.
	ColdRate float64
	// Models are those that the service's engines hold; none for other services.
	Models []string
	// Scaling bounds what may be ordered; nil if nothing may.
	Scaling *Scaling
}

// Scaling says how endpoints of a service may be ordered.
type Scaling struct {
	// Min and Max bound the number of endpoints in a data centre.
	Min, Max int
	// StartTime is the time from an order until the endpoint serves.
	StartTime time.Duration
	// Prices are what an endpoint costs by data centre, against each other.
	Prices map[string]float64
}

// Workspace is an owner of keys.
type Workspace struct {
	Name string
	Keys []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewConfig returns a configuration with its keys indexed.
func NewConfig(c Config) *Config {
	c.keys = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.keys[key] = &c.Workspaces[i]
		}
	}
	return &c
}

// Match returns the route of host and path: the one with the longest prefix.
func (c *Config) Match(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range c.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if !found || len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, found
}

// RouteNamed returns the route with this name.
func (c *Config) RouteNamed(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// Workspace returns the owner of a key.
func (c *Config) Workspace(key string) (string, bool) {
	workspace, found := c.keys[key]
	if !found {
		return "", false
	}
	return workspace.Name, true
}

// NeedsKeys tells whether routes that are not public ask for a key.
func (c *Config) NeedsKeys() bool { return len(c.Workspaces) > 0 }

// Pick chooses one of the route's services by weight; draw is in [0, 1).
func (r Route) Pick(draw float64) string {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := draw * total
	for _, share := range r.Split {
		left -= share.Weight
		if left < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
