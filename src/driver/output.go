package driver

import (
	"slices"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
)

// text is what is known of an item's output.
type output struct {
	events []string
	// made are the weight versions that made the events, one for each.
	eventVersions []int64
}

// textOfProgress returns a text that a former driver has kept; it is empty if the
// versions of its events are not known.
func outputOfCheckpoint(checkpoint batch.Progress) output {
	if len(checkpoint.Versions) != len(checkpoint.Events) {
		return output{}
	}
	return output{events: checkpoint.Events, eventVersions: checkpoint.Versions}
}

// add appends an event.
func (t *output) add(event sesamepitch.Event) {
	t.events = append(t.events, event.Data)
	t.eventVersions = append(t.eventVersions, event.Version)
}

func (t *output) clone() output {
	return output{events: slices.Clone(t.events), eventVersions: slices.Clone(t.eventVersions)}
}

// versions returns the versions that made the events, each once, in order.
func (t *output) versions() []int64 {
	versions := slices.Clone(t.eventVersions)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// allowed tells whether the text may stand in a job that allows versions from
// least on, and one of them only if single is set.
func (t *output) allowed(minVersion int64, singleVersion bool) bool {
	versions := t.versions()
	if singleVersion && len(versions) > 1 {
		return false
	}
	return len(versions) == 0 || versions[0] >= minVersion
}
