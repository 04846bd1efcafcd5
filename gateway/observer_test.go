package gateway_test

import (
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/gateway"
)

// relayCounter is an Observer that counts relays to other nodes and stores
// refusals.
type relayCounter struct {
	attempts atomic.Int64
	mutex    sync.Mutex
	refusals []gateway.Refusal
}

func (*relayCounter) Answered(control.Operation, int, time.Duration) {}
func (*relayCounter) FirstText(time.Duration)                        {}
func (*relayCounter) InFlight(int)                                   {}
func (c *relayCounter) Relayed(bool)                                 { c.attempts.Add(1) }
func (c *relayCounter) Refused(refusal gateway.Refusal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refusals = append(c.refusals, refusal)
}

func (c *relayCounter) find(id string) (gateway.Refusal, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, refusal := range c.refusals {
		if refusal.Error.ID == id {
			return refusal, true
		}
	}
	return gateway.Refusal{}, false
}
