package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
)

const (
	// peerQueryMaximumBackoff is the maximum time between two queries for the node list by
	// a node that starts: a few small messages a second, even if all nodes start at once.
	peerQueryMaximumBackoff = 300 * time.Millisecond
	// peerQueryTimeout bounds the first query, and peerQueryMaximumTimeout those of later
	// tries: a node behind a network partition is given up soon, and the list of a large
	// fleet has enough time on a slow link.
	peerQueryTimeout        = 500 * time.Millisecond
	peerQueryMaximumTimeout = nodeListTimeout
)

// joinThroughPeers queries known nodes for their list of nodes, one after the other, until
// this node has a list from any source. If the store is slow, nodes that did not restart
// have the list much sooner.
func (n *Node) joinThroughPeers(ctx context.Context) {
	if !n.settings.uses(AskPeersForNodes) {
		return
	}
	backoff := n.backoffOf(joinMinimumBackoff, peerQueryMaximumBackoff)
	timeout := peerQueryTimeout
	for wait.For(ctx, backoff.Next()) && !n.hasNodeList() {
		peer, found := n.anyPeerOrSeed(ctx)
		if !found {
			continue
		}
		requestedAt := time.Now()
		if _, err := n.fetchNodesWithin(ctx, peer.Address, "", timeout); err == nil {
			return
		}
		if time.Since(requestedAt) >= timeout {
			timeout = min(2*timeout, peerQueryMaximumTimeout)
		}
	}
}

// hasNodeList reports whether this node has a list of nodes.
func (n *Node) hasNodeList() bool {
	select {
	case <-n.nodeListKnown:
		return true
	default:
		return false
	}
}

// anyPeerOrSeed returns a random peer, or a random seed if no peer is known. Of a seed,
// only the address is known.
func (n *Node) anyPeerOrSeed(ctx context.Context) (peer machine.Machine, found bool) {
	if peer, found = n.anyPeer(ctx); found {
		return peer, true
	}
	seeds := n.settings.Seeds
	if ctx.Err() != nil || len(seeds) == 0 {
		return machine.Machine{}, false
	}
	return machine.Machine{Address: seeds[int(n.draw()*float64(len(seeds)))]}, true
}
