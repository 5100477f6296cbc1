package batch

import (
	"slices"
	"sync"
)

// headCache remembers heads of jobs that exist. What readers need of a head
// never changes, so an entry may be older than the row.
type headCache struct {
	mu    sync.Mutex
	limit int
	heads map[string]Header
	order []string
}

func newHeadCache(limit int) *headCache {
	return &headCache{limit: limit, heads: map[string]Header{}}
}

func (c *headCache) get(id string) (Header, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, known := c.heads[id]
	return head, known
}

func (c *headCache) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.heads, id)
	c.order = slices.DeleteFunc(c.order, func(known string) bool { return known == id })
}

func (c *headCache) put(head Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.heads[head.ID]; !known {
		c.order = append(c.order, head.ID)
	}
	c.heads[head.ID] = head
	if len(c.order) > c.limit {
		delete(c.heads, c.order[0])
		c.order = c.order[1:]
	}
}
