package driver

import "sesamepitch/src/batch"

// target tracks when the groups that a job's trainer waits for are complete.
type target struct {
	// unfinished counts the unfinished items by group.
	unfinished map[string]int
	// awaited are the groups that an earlier job began: the trainer waits for
	// each of them.
	awaited map[string]bool
	// remaining is how many more groups must become complete.
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

// await makes a group that an earlier job began part of the target.
func (t *target) await(group string) {
	if t.unfinished[group] > 0 {
		t.awaited[group] = true
	}
}

// finish records that an item of a group is finished.
func (t *target) finish(group string) {
	t.unfinished[group]--
	if t.unfinished[group] > 0 {
		return
	}
	delete(t.awaited, group)
	t.remaining--
}

// isMet reports whether the trainer has all groups that it waits for.
func (t *target) isMet() bool { return t.remaining <= 0 && len(t.awaited) == 0 }
