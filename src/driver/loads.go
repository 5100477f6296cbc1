package driver

import (
	"context"
	"time"
)

// orderLoads orders the weight loads that are planned for each service.
func (s *session) orderLoads(ctx context.Context, now time.Time) {
	config := s.registry.Config()
	if config == nil {
		return
	}
	newest := s.registry.Versions()
	for name, service := range config.Services {
		models := modelsWithVersion(service.Models, newest)
		if len(models) == 0 {
			continue
		}
		engines := s.enginesOf(name)
		s.assigned[name] = assignModels(s.assigned[name], engines, models)
		waiting, oldest := s.waitingByModel()
		in := planInput{
			now: now, engines: engines, models: models, newest: newest, needed: s.neededBy(models, newest),
			waiting: waiting, oldest: oldest, loads: s.loader.orderCounts(newest),
		}
		for _, l := range planLoads(in, s.assigned[name]) {
			s.loader.begin(ctx, s, s.engineStates[l.engine], l)
		}
	}
}

func modelsWithVersion(models []string, newest map[string]int64) []string {
	var found []string
	for _, model := range models {
		if newest[model] > 0 {
			found = append(found, model)
		}
	}
	return found
}

func (s *session) enginesOf(service string) map[string]*engine {
	engines := map[string]*engine{}
	for id, e := range s.engineStates {
		if e.entry.Service == service && e.listed {
			engines[id] = e
		}
	}
	return engines
}

// lag is how many versions behind the newest one a job allows.
type lag struct {
	// minVersion is the minimum version of the job that the lag was taken from.
	minVersion int64
	versions   int64
}

// recordLag records the lag that a job allows, unless it is known from a job
// with a newer minimum version: jobs are taken over in any order.
func (s *session) recordLag(j *job) {
	newest := s.registry.Versions()[j.Model]
	known, found := s.lags[j.Model]
	if newest < j.MinVersion || found && known.minVersion > j.MinVersion {
		return
	}
	s.lags[j.Model] = lag{minVersion: j.MinVersion, versions: newest - j.MinVersion}
}

// neededBy returns for each model the oldest version that serves all open jobs
// and a step started on the newest version.
func (s *session) neededBy(models []string, newest map[string]int64) map[string]int64 {
	needed := map[string]int64{}
	for _, model := range models {
		allowed := int64(defaultLag)
		if known, found := s.lags[model]; found {
			allowed = known.versions
		}
		needed[model] = newest[model] - allowed
	}
	for _, j := range s.jobs {
		if len(j.open) > 0 {
			needed[j.Model] = max(needed[j.Model], min(j.MinVersion, newest[j.Model]))
		}
	}
	return needed
}

// waitingByModel counts the items that wait for an engine, and returns since when
// the one that has waited longest waits, by model.
func (s *session) waitingByModel() (count map[string]int, oldest map[string]time.Time) {
	count, oldest = map[string]int{}, map[string]time.Time{}
	for _, j := range s.jobs {
		for _, t := range j.open {
			if !t.needsRun() {
				continue
			}
			count[j.Model]++
			if since, found := oldest[j.Model]; !found || t.waitingSince.Before(since) {
				oldest[j.Model] = t.waitingSince
			}
		}
	}
	return count, oldest
}
