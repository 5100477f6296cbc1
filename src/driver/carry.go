package driver

import "time"

// carryTime is how long texts are kept for a later job with the same items.
const carryTime = 60 * time.Second

// carry keeps texts of items that may come again in a later job.
type carry struct {
	texts map[carryKey]carried
}

// carryKey names an item across the jobs of a workspace's route.
type carryKey struct{ workspace, route, item string }

type carried struct {
	text  text
	whole bool
	at    time.Time
}

func newCarry() *carry { return &carry{texts: map[carryKey]carried{}} }

// keep takes over a task's text.
func (c *carry) keep(t *task, now time.Time) {
	if len(t.text.events) > 0 {
		c.texts[keyOf(t)] = carried{text: t.text, whole: t.whole, at: now}
	}
}

// keepOpenGroups takes over the texts of a job's groups that are not complete:
// only those come again.
func (c *carry) keepOpenGroups(j *job, now time.Time) {
	open := map[string]bool{}
	for _, t := range j.tasks {
		if !t.finished {
			open[t.item.Group] = true
		}
	}
	for _, t := range j.tasks {
		if open[t.item.Group] {
			c.keep(t, now)
		}
	}
}

// has tells whether a text of the item is kept.
func (c *carry) has(key carryKey) bool {
	_, found := c.texts[key]
	return found
}

// take returns what is known of a task's text, if its job allows the versions.
func (c *carry) take(t *task) (text, bool) {
	known, found := c.texts[keyOf(t)]
	if !found || !known.text.allowed(t.job.MinVersion, t.job.single) {
		return text{}, false
	}
	return known.text.clone(), known.whole
}

func (c *carry) forget(now time.Time) {
	for key, known := range c.texts {
		if now.Sub(known.at) > carryTime {
			delete(c.texts, key)
		}
	}
}

func keyOf(t *task) carryKey {
	return carryKey{t.job.Workspace, t.job.Route, t.item.ID}
}
