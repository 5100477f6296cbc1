package batch

import (
	"slices"
	"sync"
)

// headerCache is a bounded cache of the headers of existing jobs; the oldest entry
// is evicted first. The fields that readers use never change, so an entry may be
// older than the row.
type headerCache struct {
	mu      sync.Mutex
	limit   int
	headers map[string]Header
	order   []string
}

func newHeaderCache(limit int) *headerCache {
	return &headerCache{limit: limit, headers: map[string]Header{}}
}

func (c *headerCache) get(id string) (Header, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	header, found := c.headers[id]
	return header, found
}

func (c *headerCache) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.headers, id)
	c.order = slices.DeleteFunc(c.order, func(cached string) bool { return cached == id })
}

func (c *headerCache) put(header Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.headers[header.ID]; !found {
		c.order = append(c.order, header.ID)
	}
	c.headers[header.ID] = header
	if len(c.order) > c.limit {
		delete(c.headers, c.order[0])
		c.order = c.order[1:]
	}
}
