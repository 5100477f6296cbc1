package driver

import (
	"slices"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
)

// text is what is known of an item's output.
type text struct {
	events []string
	// made are the weight versions that made the events, one for each.
	made []int64
}

// textOfProgress returns a text that a former driver has kept; it is empty if the
// versions of its events are not known.
func textOfProgress(kept batch.Checkpoint) text {
	if len(kept.Versions) != len(kept.Events) {
		return text{}
	}
	return text{events: kept.Events, made: kept.Versions}
}

// add appends an event.
func (t *text) add(event sesamepitch.Event) {
	t.events = append(t.events, event.Data)
	t.made = append(t.made, event.Version)
}

func (t *text) clone() text {
	return text{events: slices.Clone(t.events), made: slices.Clone(t.made)}
}

// versions returns the versions that made the events, each once, in order.
func (t *text) versions() []int64 {
	versions := slices.Clone(t.made)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// allowed tells whether the text may stand in a job that allows versions from
// least on, and one of them only if single is set.
func (t *text) allowed(least int64, single bool) bool {
	versions := t.versions()
	if single && len(versions) > 1 {
		return false
	}
	return len(versions) == 0 || versions[0] >= least
}
