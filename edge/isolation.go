package edge

import (
	"time"

	"birchwood.example/birchwood/coordinator"
)

// divertedAfter is how long the platform takes to send new connections elsewhere once
// this node says that it is not ready: it asks once a second, and twice.
const diversionDelay = 3 * time.Second

// comeBackElsewhere is when a client that is refused by an isolated node is to come
// back: on a new connection, once that leads to another node. A program that comes back
// sooner uses its tries up on nodes that cannot serve it.
func retryElsewhere(isolatedFor time.Duration) time.Duration {
	return min(max(diversionDelay-isolatedFor, retrySoon), retryAfterOutage)
}

// contactNow is what this node knows of its contact with the store.
func (n *Node) contactNow() coordinator.StoreContact {
	return coordinator.StoreContact{
		Reached: n.reachesStore(), Last: n.store.lastAnswer(), Failing: n.settings.uses(DetectIsolationEarly) && n.store.isFailing(),
	}
}

// noteIsolation takes in whether this node is cut off from the store and from most of
// the zones. Its clients are sent elsewhere then: programs that they bring here would
// wait for owners that cannot be reached.
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
