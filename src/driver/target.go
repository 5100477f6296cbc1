package driver

import "sesamepitch/src/batch"

// target tells when the groups that a job's trainer waits for are whole.
type target struct {
	// open counts the unfinished items by group.
	unfinished map[string]int
	// awaited are the groups of an earlier job: the trainer waits for each.
	awaited map[string]bool
	// missing is how many more groups must become whole.
	remaining int
}

func newTarget(j batch.Job) *target {
	t := &target{unfinished: map[string]int{}, awaited: map[string]bool{}}
	for _, item := range j.Items {
		t.unfinished[item.Group]++
	}
	t.remaining = len(t.unfinished)
	if j.GroupTarget > 0 {
		t.remaining = min(j.GroupTarget, len(t.unfinished))
	}
	return t
}

// await has the target wait for a group that an earlier job has begun.
func (t *target) await(group string) {
	if t.unfinished[group] > 0 {
		t.awaited[group] = true
	}
}

// finish notes that an item of a group is finished.
func (t *target) finish(group string) {
	t.unfinished[group]--
	if t.unfinished[group] > 0 {
		return
	}
	delete(t.awaited, group)
	t.remaining--
}

// isMet tells whether the trainer has all that it waits for.
func (t *target) isMet() bool { return t.remaining <= 0 && len(t.awaited) == 0 }
