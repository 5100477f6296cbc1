package driver

import (
	"slices"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
)

// output is the complete or partial output of an item.
type output struct {
	events []string
	// eventVersions are the weight versions that generated the events, one for
	// each.
	eventVersions []int64
}

// outputOfCheckpoint returns the output in an earlier driver's checkpoint; it
// is empty if the versions of its events are not known.
func outputOfCheckpoint(checkpoint batch.Checkpoint) output {
	if len(checkpoint.Versions) != len(checkpoint.Events) {
		return output{}
	}
	return output{events: checkpoint.Events, eventVersions: checkpoint.Versions}
}

// add appends an event.
func (o *output) add(event sesamepitch.Event) {
	o.events = append(o.events, event.Data)
	o.eventVersions = append(o.eventVersions, event.Version)
}

func (o *output) clone() output {
	return output{events: slices.Clone(o.events), eventVersions: slices.Clone(o.eventVersions)}
}

// versions returns the versions that generated the events, each once, in order.
func (o *output) versions() []int64 {
	versions := slices.Clone(o.eventVersions)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// allowed reports whether a job accepts the output: no event is older than
// minVersion and, if singleVersion is set, all have the same version.
func (o *output) allowed(minVersion int64, singleVersion bool) bool {
	versions := o.versions()
	if singleVersion && len(versions) > 1 {
		return false
	}
	return len(versions) == 0 || versions[0] >= minVersion
}
