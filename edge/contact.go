package edge

import (
	"sync"
	"time"
)

// storeContact tracks whether this node reaches the store. It is safe for concurrent use.
type storeContact struct {
	mutex sync.Mutex
	// last is when the store answered last, and regained when it first answered after the
	// last outage; zero if there was none.
	last     time.Time
	regained time.Time
	// failing is set while calls have failed since the store last answered.
	failing bool
	// pendingUntil is the latest time at which a long-polling read may end; zero if none is
	// waiting.
	pendingUntil time.Time
	// regain is closed when the store answers again after an outage; nil if nobody waits
	// for that.
	regain chan struct{}
}

const (
	// contactLifetime is how long after its last answer the store counts as reached. An
	// otherwise idle node gets an answer every replicasWait plus replicasPause: replicas
	// write their records at the same time, so that no read may end sooner.
	contactLifetime = 1500 * time.Millisecond
	// removalDeferral is how long after an outage the store may lack records of live
	// replicas: they write again with their next heartbeat, within about two seconds. A
	// node may notice the end of the outage more than a second late, and a replica that
	// left during it must not get requests for longer than one that is known to be leaving.
	// A live replica that is removed too early is used again once it is listed.
	removalDeferral = 1500 * time.Millisecond
)

// recordAnswer records an answer of the store.
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

// nextRegain returns a channel that is closed at the store's first answer after an outage.
// A call that was sent before that may never be answered.
func (c *storeContact) nextRegain() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.regain == nil {
		c.regain = make(chan struct{})
	}
	return c.regain
}

// recordFailure records that the store did not answer a call.
func (c *storeContact) recordFailure() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failing = true
}

// isFailing reports whether calls have failed since the store last answered.
func (c *storeContact) isFailing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failing
}

// lastAnswer returns when the store last answered.
func (c *storeContact) lastAnswer() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.last
}

// reached reports whether the store answered within contactLifetime.
func (c *storeContact) reached(now time.Time) bool { return now.Sub(c.lastAnswer()) < contactLifetime }

// setPending records how long the current long-polling read may take, or with a zero time
// that there is none.
func (c *storeContact) setPending(until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pendingUntil = until
}

// pending reports whether a long-polling read is waiting that has not failed.
func (c *storeContact) pending(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Before(c.pendingUntil)
}

// deferRemovalsUntil returns until when unlisted replicas are kept.
func (c *storeContact) deferRemovalsUntil() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.regained.IsZero() {
		return time.Time{}
	}
	return c.regained.Add(removalDeferral)
}
