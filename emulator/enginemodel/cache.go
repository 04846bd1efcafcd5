package enginemodel

import (
	"container/list"
	"time"

	"birchwood.example/birchwood/api"
)

// prefix is the cached prefix of one program, last used at the time used.
type prefix struct {
	owner  api.ProgramID
	tokens int
	used   time.Time
}

// cache holds the prefixes that may be evicted, least recently used first. A
// sequence that starts takes the prefix of its program out of the cache, which
// pins it, and puts a longer one back when it ends.
type cache struct {
	order   *list.List // of *prefix
	byOwner map[api.ProgramID]*list.Element
	tokens  int
}

// newCache returns an empty cache.
func newCache() *cache {
	return &cache{order: list.New(), byOwner: make(map[api.ProgramID]*list.Element)}
}

// get returns the owner's prefix, or nil.
func (c *cache) get(owner api.ProgramID) *prefix {
	element := c.byOwner[owner]
	if element == nil {
		return nil
	}
	return element.Value.(*prefix)
}

// take removes and returns the owner's prefix, or nil.
func (c *cache) take(owner api.ProgramID) *prefix {
	element := c.byOwner[owner]
	if element == nil {
		return nil
	}
	taken := element.Value.(*prefix)
	c.order.Remove(element)
	delete(c.byOwner, owner)
	c.tokens -= taken.tokens
	return taken
}

// put adds a prefix as the most recently used. The owner must have none.
func (c *cache) put(added *prefix) {
	c.byOwner[added.owner] = c.order.PushBack(added)
	c.tokens += added.tokens
}

// oldest returns the least recently used prefix, or nil.
func (c *cache) oldest() *prefix {
	front := c.order.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*prefix)
}
