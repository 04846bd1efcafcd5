package edge

import (
	"sync"
	"time"
)

// chains caches the chains of turns that this node served recently, in the form in which
// the owners keep them. A session usually continues at the node that served its last turn,
// so that the owner need not send the chain. It is safe for concurrent use.
type chains struct {
	enabled bool

	mutex sync.Mutex
	byID  map[string]cachedChain
	// order has the ids of the turns from the oldest on, and bytes is the total size of the
	// chains.
	order []string
	bytes int
}

type cachedChain struct {
	chain []byte
	at    time.Time
}

// Bounds of the cache: it covers the pauses of people and tools between turns, with little
// memory.
const (
	chainsFor   = 8 * time.Second
	chainsBytes = 512 << 10
)

func newChains(enabled bool) *chains {
	return &chains{enabled: enabled, byID: make(map[string]cachedChain)}
}

// put caches the chain that an engine has to read before a turn that continues the given
// one.
func (c *chains) put(now time.Time, turn string, chain []byte) {
	if !c.enabled || len(chain) > chainsBytes {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.byID[turn]; known {
		return
	}
	c.byID[turn] = cachedChain{chain: chain, at: now}
	c.order = append(c.order, turn)
	c.bytes += len(chain)
	for c.bytes > chainsBytes || now.Sub(c.byID[c.order[0]].at) > chainsFor {
		c.dropOldest()
	}
}

// get returns the chain of a turn if it is cached.
func (c *chains) get(now time.Time, turn string) ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached, known := c.byID[turn]
	if !known || now.Sub(cached.at) > chainsFor {
		return nil, false
	}
	return cached.chain, true
}

func (c *chains) dropOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	c.bytes -= len(c.byID[oldest].chain)
	delete(c.byID, oldest)
}
