package driver

import (
	"context"
	"time"
)

// orderLoads asks for the weights that the plan wants.
func (s *session) orderLoads(ctx context.Context, now time.Time) {
	config := s.registry.Config()
	if config == nil {
		return
	}
	named := s.registry.Versions()
	for name, service := range config.Services {
		models := namedModels(service.Models, named)
		if len(models) == 0 {
			continue
		}
		engines := s.enginesOf(name)
		s.home = homes(s.home, engines, models)
		in := planInput{
			now: now, engines: engines, models: models, named: named, behind: s.behindOf(models),
			waiting: s.waitingByModel(), loads: s.loader.counts(named),
		}
		for _, l := range plan(in, s.home) {
			s.loader.begin(ctx, s, s.states[l.engine], l)
		}
	}
}

func namedModels(models []string, named map[string]int64) []string {
	var found []string
	for _, model := range models {
		if named[model] > 0 {
			found = append(found, model)
		}
	}
	return found
}

func (s *session) enginesOf(service string) map[string]*engine {
	engines := map[string]*engine{}
	for id, e := range s.states {
		if e.entry.Service == service && e.listed {
			engines[id] = e
		}
	}
	return engines
}

func (s *session) behindOf(models []string) map[string]int64 {
	behind := map[string]int64{}
	for _, model := range models {
		behind[model] = versionsBehind
		if known, found := s.behind[model]; found {
			behind[model] = known
		}
	}
	return behind
}

func (s *session) waitingByModel() map[string]int {
	waiting := map[string]int{}
	for _, j := range s.jobs {
		for _, t := range j.open {
			if !t.finished && t.run == nil {
				waiting[j.Model]++
			}
		}
	}
	return waiting
}
