package operator

import (
	"sync"
	"time"

	"birchwood.example/birchwood/api"
)

// maximumContexts bounds the programs whose context is remembered.
const maximumContexts = 1 << 17

// contexts remembers what the last call of each running program left in an
// engine's cache, to tell what the next one finds of it. It is safe for
// concurrent use.
type contexts struct {
	mutex sync.Mutex
	held  map[api.ProgramID]heldContext
}

// heldContext is the context that a call left in an engine.
type heldContext struct {
	tokens int
	since  time.Time
}

// finished notes a call that ended. It returns how many of its prompt tokens
// were computed again although an earlier call had computed them, and the
// token-seconds for which those were held in vain. The latter is an upper
// bound: the engine may have evicted them at any time in between.
func (c *contexts) finished(call api.Call, now time.Time) (recomputed int, idle float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before, known := c.held[call.Program]
	if c.held == nil {
		c.held = make(map[api.ProgramID]heldContext)
	}
	if known || len(c.held) < maximumContexts {
		tokens := call.Usage.PromptTokens + call.Usage.OutputTokens
		c.held[call.Program] = heldContext{tokens: tokens, since: now}
	}
	recomputed = max(0, min(before.tokens, call.Usage.PromptTokens)-call.Usage.CachedTokens)
	return recomputed, float64(recomputed) * now.Sub(before.since).Seconds()
}

// forget drops a program that ended. It returns the token-seconds for which
// its last context was held in vain.
func (c *contexts) forget(id api.ProgramID, now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left, known := c.held[id]
	if !known {
		return 0
	}
	delete(c.held, id)
	return float64(left.tokens) * now.Sub(left.since).Seconds()
}
