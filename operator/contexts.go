package operator

import (
	"sync"
	"time"

	"birchwood.example/birchwood/api"
)

// maximumContexts bounds the number of programs that contexts tracks.
const maximumContexts = 1 << 17

// contexts tracks how many context tokens the last call of each running program
// left in an engine's cache, to measure how many of them the next call finds
// there. It is safe for concurrent use.
type contexts struct {
	mutex     sync.Mutex
	byProgram map[api.ProgramID]cachedContext
}

// cachedContext is the context that a call left in an engine's cache, and when
// the call ended.
type cachedContext struct {
	tokens int
	since  time.Time
}

// callEnded records a call that ended. It returns the number of its prompt tokens
// that were recomputed although an earlier call had computed them, and the
// token-seconds for which these were cached without use. The latter is an upper
// bound, because the engine may have evicted them at any time in between.
func (c *contexts) callEnded(call api.Call, now time.Time) (recomputed int, idle float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before, known := c.byProgram[call.Program]
	if c.byProgram == nil {
		c.byProgram = make(map[api.ProgramID]cachedContext)
	}
	if known || len(c.byProgram) < maximumContexts {
		tokens := call.Usage.PromptTokens + call.Usage.OutputTokens
		c.byProgram[call.Program] = cachedContext{tokens: tokens, since: now}
	}
	recomputed = max(0, min(before.tokens, call.Usage.PromptTokens)-call.Usage.CachedTokens)
	return recomputed, float64(recomputed) * now.Sub(before.since).Seconds()
}

// programEnded removes a program that ended. It returns the token-seconds for
// which its last context was cached without use.
func (c *contexts) programEnded(id api.ProgramID, now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left, known := c.byProgram[id]
	if !known {
		return 0
	}
	delete(c.byProgram, id)
	return float64(left.tokens) * now.Sub(left.since).Seconds()
}
