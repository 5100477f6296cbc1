package driver

import (
	"bytes"
	"time"

	sesamepitch "sesamepitch/src"
)

// cacheTTL is how long outputs are kept for a later job with the same items.
const cacheTTL = 60 * time.Second

// outputCache keeps outputs of items that a later job may submit again.
type outputCache struct {
	outputs map[itemKey]cachedOutput
}

// itemKey identifies an item across the jobs of a workspace's route.
type itemKey struct{ workspace, route, item string }

type cachedOutput struct {
	output   output
	complete bool
	// score is the score of the complete output, empty if unknown; call is the
	// reward call that it answers.
	score    string
	call     *sesamepitch.RewardCall
	storedAt time.Time
}

// isScoreOf reports whether the cached score answers an item's reward call.
func (c cachedOutput) isScoreOf(call *sesamepitch.RewardCall) bool {
	if c.score == "" || c.call == nil || call == nil {
		return false
	}
	return c.call.ID == call.ID && c.call.Host == call.Host && c.call.Path == call.Path && bytes.Equal(c.call.Body, call.Body)
}

func newOutputCache() *outputCache { return &outputCache{outputs: map[itemKey]cachedOutput{}} }

// put stores a task's output unless it is empty.
func (c *outputCache) put(t *task, now time.Time) {
	if len(t.output.events) > 0 {
		c.outputs[keyOf(t)] = cachedOutput{
			output: t.output, complete: t.complete, score: t.score, call: t.item.Reward, storedAt: now,
		}
	}
}

// putOpenGroups stores the outputs of a job's unfinished groups: only those are
// submitted again.
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

// has reports whether an output of the item is cached.
func (c *outputCache) has(key itemKey) bool {
	_, found := c.outputs[key]
	return found
}

// get returns a copy of what is cached of the item, unless the task's job does
// not allow its weight versions.
func (c *outputCache) get(t *task) (cachedOutput, bool) {
	cached, found := c.outputs[keyOf(t)]
	if !found || !cached.output.allowed(t.job.MinVersion, t.job.singleVersion) {
		return cachedOutput{}, false
	}
	cached.output = cached.output.clone()
	return cached, true
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
