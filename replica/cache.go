package replica

import "time"

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// cache estimates which parts of prompts an engine keeps.
type cache struct {
	// capacity is the engine's memory in tokens; 0 where it has none.
	capacity int
	parts    map[string]cached
	tokens   int
}

type cached struct {
	tokens int
	used   time.Time
}

func newCache(capacity int) *cache { return &cache{capacity: capacity, parts: make(map[string]cached)} }

// add marks the parts as kept and used at now.
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

// missing returns how many tokens of the prompt are expected to be read: a part
// counts as kept only if all parts before it are, and one that has grown since it was
// sent here only up to its former end. Kept tells how likely a part is kept that was
// not sent here from this node.
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
