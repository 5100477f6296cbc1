package document

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

const (
	minColdLimit  = 1
	maxKnee       = 4096
	maxNameLength = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check returns the faults of a document that did not come from YAML lines.
func Check(d Document) error {
	if faults := check(d, lines{}); len(faults) > 0 {
		return refuse(faults)
	}
	return nil
}

// checker collects the faults of one document.
type checker struct {
	lines  lines
	faults Faults
	names  map[string]map[string]bool
}

func check(d Document, at lines) Faults {
	c := &checker{lines: at, names: map[string]map[string]bool{}}
	c.checkNames(d)
	c.checkWorkspaces(d)
	c.checkKeys(d)
	c.checkTrainers(d)
	c.checkModels(d)
	c.checkEndpoints(d)
	c.checkServices(d)
	c.checkRest(d)
	return c.faults
}

func (c *checker) fault(section string, index int, item, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.at(section, index), Section: section, Item: item, Message: fmt.Sprintf(format, args...),
	})
}

func checkSection[T any](c *checker, section string, items []T, nameOf func(T) string) {
	c.names[section] = map[string]bool{}
	for i, item := range items {
		name := nameOf(item)
		switch {
		case name == "":
			c.fault(section, i, "", "has no name; give it one")
		case len(name) > maxNameLength || !namePattern.MatchString(name):
			c.fault(section, i, name, "name must be at most %d of a-z 0-9 . _ -", maxNameLength)
		case c.names[section][name]:
			c.fault(section, i, name, "stands twice; remove or rename one")
		}
		c.names[section][name] = true
	}
}

func (c *checker) checkNames(d Document) {
	checkSection(c, "workspaces", d.Workspaces, func(w Workspace) string { return w.Name })
	checkSection(c, "keys", d.Keys, func(k Key) string { return k.Name })
	checkSection(c, "trainers", d.Trainers, func(t Trainer) string { return t.Name })
	checkSection(c, "models", d.Models, func(m Model) string { return m.Name })
	checkSection(c, "data_centres", d.DataCentres, func(x DataCentre) string { return x.Name })
	checkSection(c, "endpoints", d.Endpoints, func(e Endpoint) string { return e.Name })
	checkSection(c, "services", d.Services, func(s Service) string { return s.Name })
	checkSection(c, "limits", d.Limits, func(l Limit) string { return l.Name })
	checkSection(c, "open_routes", d.OpenRoutes, func(r OpenRoute) string { return r.Name })
}

// reference faults a name that the other section does not have.
func (c *checker) reference(section string, index int, item, field, target, name string) {
	if !c.names[target][name] {
		c.fault(section, index, item, "%s %q is not in section %s; add it there or mend the name", field, name, target)
	}
}

func (c *checker) duration(section string, index int, item, field, text string) {
	if text == "" {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		c.fault(section, index, item, "%s %q is no duration; write a number and a unit, as 90s or 1h", field, text)
		return
	}
	if d < 0 {
		c.fault(section, index, item, "%s must not be negative", field)
	}
}

func (c *checker) checkWorkspaces(d Document) {
	for i, w := range d.Workspaces {
		if w.Class != Interactive && w.Class != Training {
			c.fault("workspaces", i, w.Name, "class must be %s or %s", Interactive, Training)
		}
		if w.Weight < 1 {
			c.fault("workspaces", i, w.Name, "weight must be at least 1")
		}
		if w.MaxQueued < 0 {
			c.fault("workspaces", i, w.Name, "max_queued must not be negative")
		}
		c.duration("workspaces", i, w.Name, "cut_off_grace", w.CutOffGrace)
	}
}

func (c *checker) checkKeys(d Document) {
	hashes := map[string]string{}
	for i, k := range d.Keys {
		c.reference("keys", i, k.Name, "workspace", "workspaces", k.Workspace)
		if !hashPattern.MatchString(k.Hash) {
			c.fault("keys", i, k.Name, "hash must be a key's SHA-256 in hex; a key in clear text must not stand here: withdraw it and make one with 'key new'")
			continue
		}
		if other, doubled := hashes[k.Hash]; doubled {
			c.fault("keys", i, k.Name, "has the same hash as key %s; make a new key for each", other)
		}
		hashes[k.Hash] = k.Name
	}
}

func (c *checker) checkTrainers(d Document) {
	for i, t := range d.Trainers {
		c.reference("trainers", i, t.Name, "workspace", "workspaces", t.Workspace)
		c.reference("trainers", i, t.Name, "model", "models", t.Model)
		if t.Judge != "" {
			c.reference("trainers", i, t.Name, "judge", "services", t.Judge)
		}
		if t.MaxLag < 0 {
			c.fault("trainers", i, t.Name, "max_lag must not be negative")
		}
		c.duration("trainers", i, t.Name, "step_time", t.StepTime)
	}
}

func (c *checker) checkModels(d Document) {
	for i, m := range d.Models {
		if m.Version < 1 {
			c.fault("models", i, m.Name, "version must be at least 1")
		}
		if c.names["services"][m.Name] {
			c.fault("models", i, m.Name, "a service has the same name; rename one")
		}
	}
}

func (c *checker) checkEndpoints(d Document) {
	addresses := map[string]string{}
	for i, e := range d.Endpoints {
		c.reference("endpoints", i, e.Name, "data_centre", "data_centres", e.DataCentre)
		c.checkServed(i, e)
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			c.fault("endpoints", i, e.Name, "address %q must be IP:port", e.Address)
		}
		if other, doubled := addresses[e.Address]; doubled {
			c.fault("endpoints", i, e.Name, "has the same address as %s", other)
		}
		addresses[e.Address] = e.Name
		if e.Knee < 1 || e.Knee > maxKnee {
			c.fault("endpoints", i, e.Name, "knee must be 1 to %d", maxKnee)
		}
		if e.ColdLimit < minColdLimit || e.ColdLimit > e.Knee {
			c.fault("endpoints", i, e.Name, "cold_limit must be %d to knee", minColdLimit)
		}
		if e.MilliPrice < 0 || e.WarmAfter < 0 {
			c.fault("endpoints", i, e.Name, "milli_price and warm_after must not be negative")
		}
		c.duration("endpoints", i, e.Name, "cold_time", e.ColdTime)
	}
}

func (c *checker) checkServed(i int, e Endpoint) {
	switch {
	case (e.Model == "") == (e.Service == ""):
		c.fault("endpoints", i, e.Name, "must name either a model or a service")
	case e.Model != "":
		c.reference("endpoints", i, e.Name, "model", "models", e.Model)
	default:
		c.reference("endpoints", i, e.Name, "service", "services", e.Service)
	}
}

func (c *checker) checkServices(d Document) {
	for i, s := range d.Services {
		for _, workspace := range s.Workspaces {
			c.reference("services", i, s.Name, "workspace", "workspaces", workspace)
		}
	}
}

var knownLimits = map[string]bool{LimitBodyBytes: true, LimitTokens: true, LimitWeightLoads: true, LimitStreams: true, LimitBodyMemory: true}

func (c *checker) checkRest(d Document) {
	for i, l := range d.Limits {
		if !knownLimits[l.Name] {
			c.fault("limits", i, l.Name, "unknown limit")
		}
		if l.Value < 1 {
			c.fault("limits", i, l.Name, "value must be at least 1")
		}
	}
	paths := map[string]bool{}
	for i, r := range d.OpenRoutes {
		c.reference("open_routes", i, r.Name, "service", "services", r.Service)
		c.reference("open_routes", i, r.Name, "workspace", "workspaces", r.Workspace)
		if !strings.HasPrefix(r.Path, "/") || strings.HasPrefix(r.Path, "/v1/") {
			c.fault("open_routes", i, r.Name, "path must start with / and not with /v1/")
		}
		if paths[r.Path] {
			c.fault("open_routes", i, r.Name, "path stands twice")
		}
		paths[r.Path] = true
	}
}
