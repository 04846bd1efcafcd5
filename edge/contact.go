package edge

import (
	"sync"
	"time"
)

// contact is what a node knows of its contact with the store. It is safe for
// concurrent use.
type storeContact struct {
	mutex sync.Mutex
	// last is when the store answered last, and regained when it did after it
	// had been lost; zero where it never was.
	last     time.Time
	regained time.Time
	// failing says that calls have failed since the store answered last.
	failing bool
	// trustedUntil is until when a read that waits at the store may take.
	pendingUntil time.Time
	// regain is closed when the store answers again after it was lost; nil while nobody
	// waits for that.
	regain chan struct{}
}

const (
	// contactLifetime is how long after its last answer the store counts as
	// reached. A quiet node hears it once in replicasWait and replicasPause;
	// replicas write together, so that no read may end sooner.
	contactLifetime = 1500 * time.Millisecond
	// doubtFor is how long after its return the store may lack replicas that
	// live: they write again with their next heartbeat, within about two seconds.
	// A node may notice the return more than a second late, and a replica that
	// left meanwhile must not get requests for longer than one that the node was
	// told of; what comes back later is chosen again then.
	removalDeferral = 1500 * time.Millisecond
)

// note takes in an answer of the store.
func (c *storeContact) recordAnswer(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.last) >= contactLifetime {
		c.regained = now
		if c.regain != nil {
			close(c.regain)
			c.regain = nil
		}
	}
	c.last, c.failing = now, false
}

// nextRegain returns what is closed when the store answers for the first time after it was
// lost. A call that was sent before that may never be answered.
func (c *storeContact) nextRegain() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.regain == nil {
		c.regain = make(chan struct{})
	}
	return c.regain
}

// fail takes in that a call got no answer of the store.
func (c *storeContact) recordFailure() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failing = true
}

// fails reports whether calls have failed since the store answered last.
func (c *storeContact) isFailing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failing
}

// at returns when the store answered last.
func (c *storeContact) lastAnswer() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.last
}

// reached reports whether the store answered lately.
func (c *storeContact) reached(now time.Time) bool { return now.Sub(c.lastAnswer()) < contactLifetime }

// trust takes in until when a read that waits may take, or that none does any more.
func (c *storeContact) setPending(until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pendingUntil = until
}

// trusted reports whether a read waits that has not failed.
func (c *storeContact) pending(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Before(c.pendingUntil)
}

// doubtUntil returns until when replicas that are not listed are kept.
func (c *storeContact) deferRemovalsUntil() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.regained.IsZero() {
		return time.Time{}
	}
	return c.regained.Add(removalDeferral)
}
