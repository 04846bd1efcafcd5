package replica

import "time"

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// cache estimates which prompt parts are in an engine's KV cache.
type cache struct {
	// capacity is the size of the KV cache in tokens, or 0 if there is none.
	capacity int
	parts    map[string]cached
	tokens   int
}

type cached struct {
	tokens int
	used   time.Time
}

func newCache(capacity int) *cache { return &cache{capacity: capacity, parts: make(map[string]cached)} }

// add marks the parts as cached and used at now, and evicts the least recently used parts
// beyond the capacity.
func (c *cache) add(now time.Time, prompt []Part) {
	if c.capacity == 0 {
		return
	}
	for _, part := range prompt {
		c.tokens += part.Tokens - c.parts[part.ID].tokens
		c.parts[part.ID] = cached{tokens: part.Tokens, used: now}
	}
	for c.tokens > c.capacity && len(c.parts) > 0 {
		c.evictOldest()
	}
}

func (c *cache) evictOldest() {
	var oldest string
	var oldestUse time.Time
	for id, entry := range c.parts {
		if oldest == "" || entry.used.Before(oldestUse) || (entry.used.Equal(oldestUse) && id < oldest) {
			oldest, oldestUse = id, entry.used
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

// uncachedTokens returns the expected number of prompt tokens to prefill. A part counts as
// cached only if all parts before it are. A part that has grown since it was sent counts as
// cached up to its former length. cachedProbability estimates the probability that a part not
// sent by this node is cached.
func (c *cache) uncachedTokens(prompt []Part, cachedProbability func(part string) float64) int {
	tokens, probability := 0.0, 1.0
	for _, part := range prompt {
		known, sent := c.parts[part.ID]
		if !sent && probability > 0 {
			probability *= cachedProbability(part.ID)
		}
		tokens += (1 - probability) * float64(part.Tokens)
		if sent && known.tokens < part.Tokens {
			tokens += probability * float64(part.Tokens-known.tokens)
			probability = 0
		}
	}
	return int(tokens)
}
