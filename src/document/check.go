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

// Check validates a document that was not parsed from YAML; its faults have no
// line numbers.
func Check(d Document) error {
	if faults := validate(d, itemLines{}); len(faults) > 0 {
		return validationError(faults)
	}
	return nil
}

// validator collects the faults of one document.
type validator struct {
	lines  itemLines
	faults Faults
	names  map[string]map[string]bool
}

func validate(d Document, lines itemLines) Faults {
	v := &validator{lines: lines, names: map[string]map[string]bool{}}
	v.checkNames(d)
	v.checkWorkspaces(d)
	v.checkKeys(d)
	v.checkTrainers(d)
	v.checkModels(d)
	v.checkEndpoints(d)
	v.checkServices(d)
	v.checkLimitsAndRoutes(d)
	return v.faults
}

func (v *validator) fault(section string, index int, item, format string, args ...any) {
	v.faults = append(v.faults, Fault{
		Line: v.lines.at(section, index), Section: section, Item: item, Message: fmt.Sprintf(format, args...),
	})
}

func checkSection[T any](v *validator, section string, items []T, nameOf func(T) string) {
	v.names[section] = map[string]bool{}
	for i, item := range items {
		name := nameOf(item)
		switch {
		case name == "":
			v.fault(section, i, "", "has no name; give it one")
		case len(name) > maxNameLength || !namePattern.MatchString(name):
			v.fault(section, i, name, "name must be at most %d of a-z 0-9 . _ -", maxNameLength)
		case v.names[section][name]:
			v.fault(section, i, name, "stands twice; remove or rename one")
		}
		v.names[section][name] = true
	}
}

func (v *validator) checkNames(d Document) {
	checkSection(v, "workspaces", d.Workspaces, func(w Workspace) string { return w.Name })
	checkSection(v, "keys", d.Keys, func(k Key) string { return k.Name })
	checkSection(v, "trainers", d.Trainers, func(t Trainer) string { return t.Name })
	checkSection(v, "models", d.Models, func(m Model) string { return m.Name })
	checkSection(v, "data_centres", d.DataCentres, func(x DataCentre) string { return x.Name })
	checkSection(v, "endpoints", d.Endpoints, func(e Endpoint) string { return e.Name })
	checkSection(v, "services", d.Services, func(s Service) string { return s.Name })
	checkSection(v, "limits", d.Limits, func(l Limit) string { return l.Name })
	checkSection(v, "open_routes", d.OpenRoutes, func(r OpenRoute) string { return r.Name })
}

// checkReference reports a fault if the target section has no item of that name.
func (v *validator) checkReference(section string, index int, item, field, target, name string) {
	if !v.names[target][name] {
		v.fault(section, index, item, "%s %q is not in section %s; add it there or mend the name", field, name, target)
	}
}

func (v *validator) checkDuration(section string, index int, item, field, value string) {
	if value == "" {
		return
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		v.fault(section, index, item, "%s %q is no duration; write a number and a unit, as 90s or 1h", field, value)
		return
	}
	if d < 0 {
		v.fault(section, index, item, "%s must not be negative", field)
	}
}

func (v *validator) checkWorkspaces(d Document) {
	for i, w := range d.Workspaces {
		if w.Class != Interactive && w.Class != Training {
			v.fault("workspaces", i, w.Name, "class must be %s or %s", Interactive, Training)
		}
		if w.Weight < 1 {
			v.fault("workspaces", i, w.Name, "weight must be at least 1")
		}
		if w.MaxQueued < 0 {
			v.fault("workspaces", i, w.Name, "max_queued must not be negative")
		}
		v.checkDuration("workspaces", i, w.Name, "cut_off_grace", w.CutOffGrace)
	}
}

func (v *validator) checkKeys(d Document) {
	hashes := map[string]string{}
	for i, k := range d.Keys {
		v.checkReference("keys", i, k.Name, "workspace", "workspaces", k.Workspace)
		if !hashPattern.MatchString(k.Hash) {
			v.fault("keys", i, k.Name, "hash must be a key's SHA-256 in hex; a key in clear text must not stand here: withdraw it and make one with 'key new'")
			continue
		}
		if other, duplicate := hashes[k.Hash]; duplicate {
			v.fault("keys", i, k.Name, "has the same hash as key %s; make a new key for each", other)
		}
		hashes[k.Hash] = k.Name
	}
}

func (v *validator) checkTrainers(d Document) {
	for i, t := range d.Trainers {
		v.checkReference("trainers", i, t.Name, "workspace", "workspaces", t.Workspace)
		v.checkReference("trainers", i, t.Name, "model", "models", t.Model)
		if t.Judge != "" {
			v.checkReference("trainers", i, t.Name, "judge", "services", t.Judge)
		}
		if t.MaxLag < 0 {
			v.fault("trainers", i, t.Name, "max_lag must not be negative")
		}
		v.checkDuration("trainers", i, t.Name, "step_time", t.StepTime)
	}
}

func (v *validator) checkModels(d Document) {
	for i, m := range d.Models {
		if m.Version < 1 {
			v.fault("models", i, m.Name, "version must be at least 1")
		}
		if v.names["services"][m.Name] {
			v.fault("models", i, m.Name, "a service has the same name; rename one")
		}
	}
}

func (v *validator) checkEndpoints(d Document) {
	addresses := map[string]string{}
	for i, e := range d.Endpoints {
		v.checkReference("endpoints", i, e.Name, "data_centre", "data_centres", e.DataCentre)
		v.checkTarget(i, e)
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			v.fault("endpoints", i, e.Name, "address %q must be IP:port", e.Address)
		}
		if other, duplicate := addresses[e.Address]; duplicate {
			v.fault("endpoints", i, e.Name, "has the same address as %s", other)
		}
		addresses[e.Address] = e.Name
		if e.Knee < 1 || e.Knee > maxKnee {
			v.fault("endpoints", i, e.Name, "knee must be 1 to %d", maxKnee)
		}
		if e.ColdLimit < minColdLimit || e.ColdLimit > e.Knee {
			v.fault("endpoints", i, e.Name, "cold_limit must be %d to knee", minColdLimit)
		}
		if e.MilliPrice < 0 || e.WarmAfter < 0 {
			v.fault("endpoints", i, e.Name, "milli_price and warm_after must not be negative")
		}
		v.checkDuration("endpoints", i, e.Name, "cold_time", e.ColdTime)
	}
}

func (v *validator) checkTarget(i int, e Endpoint) {
	switch {
	case (e.Model == "") == (e.Service == ""):
		v.fault("endpoints", i, e.Name, "must name either a model or a service")
	case e.Model != "":
		v.checkReference("endpoints", i, e.Name, "model", "models", e.Model)
	default:
		v.checkReference("endpoints", i, e.Name, "service", "services", e.Service)
	}
}

func (v *validator) checkServices(d Document) {
	for i, s := range d.Services {
		for _, workspace := range s.Workspaces {
			v.checkReference("services", i, s.Name, "workspace", "workspaces", workspace)
		}
	}
}

var knownLimits = map[string]bool{LimitBodyBytes: true, LimitTokens: true, LimitWeightLoads: true, LimitStreams: true, LimitBodyMemory: true}

func (v *validator) checkLimitsAndRoutes(d Document) {
	for i, l := range d.Limits {
		if !knownLimits[l.Name] {
			v.fault("limits", i, l.Name, "unknown limit")
		}
		if l.Value < 1 {
			v.fault("limits", i, l.Name, "value must be at least 1")
		}
	}
	paths := map[string]bool{}
	for i, r := range d.OpenRoutes {
		v.checkReference("open_routes", i, r.Name, "service", "services", r.Service)
		v.checkReference("open_routes", i, r.Name, "workspace", "workspaces", r.Workspace)
		if !strings.HasPrefix(r.Path, "/") || strings.HasPrefix(r.Path, "/v1/") {
			v.fault("open_routes", i, r.Name, "path must start with / and not with /v1/")
		}
		if paths[r.Path] {
			v.fault("open_routes", i, r.Name, "path stands twice")
		}
		paths[r.Path] = true
	}
}
