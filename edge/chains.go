package edge

import (
	"sync"
	"time"
)

// chains are those of turns that this node served lately, as the owners keep
// them. A line of turns mostly goes on at the node that served its last turn,
// which then needs not be sent the chain. It is safe for concurrent use.
type chains struct {
	enabled bool

	mutex sync.Mutex
	byID  map[string]keptChain
	// order names the chains from the oldest on, and bytes is their size.
	order []string
	bytes int
}

type keptChain struct {
	chain []byte
	at    time.Time
}

// The chains that a node keeps: those of the pauses that people and tools make,
// within little memory.
const (
	chainsFor   = 8 * time.Second
	chainsBytes = 512 << 10
)

func newChains(enabled bool) *chains {
	return &chains{enabled: enabled, byID: make(map[string]keptChain)}
}

// put keeps the chain that the next turn after the given one reads.
func (c *chains) put(now time.Time, turn string, chain []byte) {
	if !c.enabled || len(chain) > chainsBytes {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.byID[turn]; known {
		return
	}
	c.byID[turn] = keptChain{chain: chain, at: now}
	c.order = append(c.order, turn)
	c.bytes += len(chain)
	for c.bytes > chainsBytes || now.Sub(c.byID[c.order[0]].at) > chainsFor {
		c.dropOldest()
	}
}

// get returns the chain of a turn, if it is kept here.
func (c *chains) get(now time.Time, turn string) ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept, known := c.byID[turn]
	if !known || now.Sub(kept.at) > chainsFor {
		return nil, false
	}
	return kept.chain, true
}

func (c *chains) dropOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	c.bytes -= len(c.byID[oldest].chain)
	delete(c.byID, oldest)
}
