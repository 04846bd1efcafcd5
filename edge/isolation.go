package edge

import (
	"time"

	"birchwood.example/birchwood/coordinator"
)

// diversionDelay is how long the platform takes to send new connections elsewhere once this
// node reports that it is not ready: it probes once a second and needs two failures.
const diversionDelay = 3 * time.Second

// retryElsewhere returns the delay after which a client that an isolated node refused
// should retry: when a new connection leads to another node. A program that retries sooner
// uses up its tries on nodes that cannot serve it.
func retryElsewhere(isolatedFor time.Duration) time.Duration {
	return min(max(diversionDelay-isolatedFor, retrySoon), retryAfterOutage)
}

// contactNow returns the current state of the contact with the store.
func (n *Node) contactNow() coordinator.StoreContact {
	return coordinator.StoreContact{
		Reached: n.reachesStore(), Last: n.store.lastAnswer(), Failing: n.settings.uses(DetectIsolationEarly) && n.store.isFailing(),
	}
}

// setIsolated updates whether this node is isolated, that is, reaches neither the store nor
// most of the zones. While it is, its clients are diverted to other nodes, because their
// turns would wait for owners that cannot be reached.
func (n *Node) setIsolated(now time.Time, isolated bool) {
	since := n.isolatedSince.Load()
	if isolated == (since != nil) {
		return
	}
	n.clients.Divert(isolated)
	if !isolated {
		n.isolatedSince.Store(nil)
		n.logger.Info().Dur("after", now.Sub(*since)).Msg("nodes: the store or most zones are reached again")
		return
	}
	n.isolatedSince.Store(&now)
	n.logger.Warn().Time("contact", n.store.lastAnswer()).Msg("nodes: cut off from the store and from most zones")
}
