package driver

import "time"

// carryTime is how long texts are kept for a later job with the same items.
const cacheTTL = 60 * time.Second

// carry keeps texts of items that may come again in a later job.
type outputCache struct {
	outputs map[itemKey]cachedOutput
}

// carryKey names an item across the jobs of a workspace's route.
type itemKey struct{ workspace, route, item string }

type cachedOutput struct {
	output   output
	complete bool
	storedAt time.Time
}

func newOutputCache() *outputCache { return &outputCache{outputs: map[itemKey]cachedOutput{}} }

// keep takes over a task's text.
func (c *outputCache) put(t *task, now time.Time) {
	if len(t.output.events) > 0 {
		c.outputs[keyOf(t)] = cachedOutput{output: t.output, complete: t.complete, storedAt: now}
	}
}

// keepOpenGroups takes over the texts of a job's groups that are not complete:
// only those come again.
func (c *outputCache) putOpenGroups(j *job, now time.Time) {
	open := map[string]bool{}
	for _, t := range j.tasks {
		if !t.finished {
			open[t.item.Group] = true
		}
	}
	for _, t := range j.tasks {
		if open[t.item.Group] {
			c.put(t, now)
		}
	}
}

// has tells whether a text of the item is kept.
func (c *outputCache) has(key itemKey) bool {
	_, found := c.outputs[key]
	return found
}

// take returns what is known of a task's text, if its job allows the versions.
func (c *outputCache) get(t *task) (output, bool) {
	cached, found := c.outputs[keyOf(t)]
	if !found || !cached.output.allowed(t.job.MinVersion, t.job.singleVersion) {
		return output{}, false
	}
	return cached.output.clone(), cached.complete
}

func (c *outputCache) evict(now time.Time) {
	for key, cached := range c.outputs {
		if now.Sub(cached.storedAt) > cacheTTL {
			delete(c.outputs, key)
		}
	}
}

func keyOf(t *task) itemKey {
	return itemKey{t.job.Workspace, t.job.Route, t.item.ID}
}
