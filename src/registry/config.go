// Package registry keeps an instance's copy of the platform's tables: the
// configuration in force, endpoints, data centres out of service, named weight
// versions, and the other instances.
package registry

import (
	"strings"
	"time"
)

// RouteKind determines whether a route's requests may be repeated and how they
// are answered.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce
	// Streaming requests are answered by a stream of events.
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
	// keys maps each key to its workspace.
	keys map[string]*Workspace
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time until a request's final answer; zero means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
	// Split lists the services with their weights; it has at least one entry.
	Split       []Share
	MaxAttempts int
	// Public routes need no key.
	Public        bool
	Resumable     bool
	SingleVersion bool
	// ResultDeadline and QueueTTL count from a batch job's first submission.
	ResultDeadline time.Duration
	QueueTTL       time.Duration
	// Regions lists the regions that may serve the route; empty means all.
	Regions []string
}

// Share is a service's weight in a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that run the same program.
type Service struct {
	Name string
	// HealthPath is the path of the health check; empty means no health check.
	HealthPath string
	// ColdRate is the number of requests per second that a cold endpoint can
	// handle.
	ColdRate float64
	// Models lists the models that the service's engines hold; empty for services
	// without engines.
	Models []string
	// Scaling bounds the orders for endpoints; nil means that none may be ordered.
	Scaling *Scaling
}

// Scaling determines how endpoints of a service may be ordered.
type Scaling struct {
	// Min and Max bound the number of endpoints in a data centre.
	Min, Max int
	// StartTime is the time from an order until the endpoint serves requests.
	StartTime time.Duration
	// Prices are the relative costs of an endpoint by data centre.
	Prices map[string]float64
}

// Workspace is the owner of a set of keys.
type Workspace struct {
	Name string
	Keys []string
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// NewConfig returns a copy of c with its keys indexed.
func NewConfig(c Config) *Config {
	c.keys = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.keys[key] = &c.Workspaces[i]
		}
	}
	return &c
}

// Match returns the route with the longest prefix that matches host and path.
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

// Workspace returns the name of the workspace that owns a key.
func (c *Config) Workspace(key string) (string, bool) {
	workspace, found := c.keys[key]
	if !found {
		return "", false
	}
	return workspace.Name, true
}

// NeedsKeys reports whether routes that are not public require a key.
func (c *Config) NeedsKeys() bool { return len(c.Workspaces) > 0 }

// Pick returns one of the route's services by weight; draw is a random number in
// [0, 1).
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
