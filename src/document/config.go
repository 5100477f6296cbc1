package document

import (
	"sort"
	"sync/atomic"
)

const (
	defaultBodyBytes        = 4 << 20
	defaultRequestTokens    = 8192
	defaultWeightLoads      = 8
	defaultWorkspaceStreams = 10000
	defaultBodyMemoryBytes  = 128 << 20
)

// Config is an accepted version of the document, indexed for lookups. It is
// immutable.
type Config struct {
	version    int64
	digest     string
	document   Document
	workspaces map[string]Workspace
	keys       map[string]Key
	trainers   map[string]Trainer
	models     map[string]Model
	endpoints  map[string]Endpoint
	services   map[string]Service
	limits     map[string]int64
	routes     map[string]OpenRoute
	pools      map[string][]Endpoint
}

// NewConfig returns the Config of an accepted document.
func NewConfig(version int64, d Document) *Config {
	c := &Config{
		version: version, digest: d.Digest(), document: d,
		workspaces: byName(d.Workspaces, func(w Workspace) string { return w.Name }),
		keys:       byName(d.Keys, func(k Key) string { return k.Hash }),
		trainers:   byName(d.Trainers, func(t Trainer) string { return t.Name }),
		models:     byName(d.Models, func(m Model) string { return m.Name }),
		endpoints:  byName(d.Endpoints, func(e Endpoint) string { return e.Name }),
		services:   byName(d.Services, func(s Service) string { return s.Name }),
		routes:     byName(d.OpenRoutes, func(r OpenRoute) string { return r.Path }),
		limits:     map[string]int64{},
		pools:      map[string][]Endpoint{},
	}
	for _, limit := range d.Limits {
		c.limits[limit.Name] = limit.Value
	}
	for _, endpoint := range d.Endpoints {
		pool := poolKey(endpoint.DataCentre, endpoint.Pool())
		c.pools[pool] = append(c.pools[pool], endpoint)
	}
	return c
}

func byName[T any](items []T, nameOf func(T) string) map[string]T {
	index := make(map[string]T, len(items))
	for _, item := range items {
		index[nameOf(item)] = item
	}
	return index
}

func poolKey(centre, pool string) string { return centre + "/" + pool }

// Version returns the document's version; zero means that none was accepted yet.
func (c *Config) Version() int64 { return c.version }

// Digest returns the document's digest.
func (c *Config) Digest() string { return c.digest }

// Document returns the document itself.
func (c *Config) Document() Document { return c.document }

// Workspace finds a workspace by name.
func (c *Config) Workspace(name string) (Workspace, bool) {
	w, found := c.workspaces[name]
	return w, found
}

// KeyByHash finds a key by its hash.
func (c *Config) KeyByHash(hash string) (Key, bool) {
	k, found := c.keys[hash]
	return k, found
}

// Trainer finds a trainer by name.
func (c *Config) Trainer(name string) (Trainer, bool) {
	t, found := c.trainers[name]
	return t, found
}

// Model finds a model by name.
func (c *Config) Model(name string) (Model, bool) {
	m, found := c.models[name]
	return m, found
}

// Endpoint finds an endpoint by name.
func (c *Config) Endpoint(name string) (Endpoint, bool) {
	e, found := c.endpoints[name]
	return e, found
}

// Service finds a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// OpenRoute finds an open route by its path.
func (c *Config) OpenRoute(path string) (OpenRoute, bool) {
	r, found := c.routes[path]
	return r, found
}

// Pool returns the endpoints of a model or service in a data centre.
func (c *Config) Pool(centre, pool string) []Endpoint { return c.pools[poolKey(centre, pool)] }

// Pools returns the names of a data centre's pools in sorted order.
func (c *Config) Pools(centre string) []string {
	var names []string
	for _, endpoints := range c.pools {
		if endpoints[0].DataCentre == centre {
			names = append(names, endpoints[0].Pool())
		}
	}
	sort.Strings(names)
	return names
}

// Limit returns a limit's value or its default.
func (c *Config) Limit(name string) int64 {
	if value, set := c.limits[name]; set {
		return value
	}
	switch name {
	case LimitBodyBytes:
		return defaultBodyBytes
	case LimitTokens:
		return defaultRequestTokens
	case LimitWeightLoads:
		return defaultWeightLoads
	case LimitBodyMemory:
		return defaultBodyMemoryBytes
	default:
		return defaultWorkspaceStreams
	}
}

// Holder holds the configuration in force. Its version only increases.
type Holder struct {
	current atomic.Pointer[Config]
}

// NewHolder returns a holder of the empty document, version zero.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(NewConfig(0, Document{}))
	return h
}

// Current returns the configuration in force.
func (h *Holder) Current() *Config { return h.current.Load() }

// Advance puts a newer configuration in force. It reports false and changes
// nothing if next is not newer.
func (h *Holder) Advance(next *Config) bool {
	for {
		current := h.current.Load()
		if next.version <= current.version {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
