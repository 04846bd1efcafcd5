package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
)

const (
	// askPauseMost is the longest time between two questions for the list of a node that
	// starts: a few small messages a second, also where all nodes start at once.
	peerQueryMaximumBackoff = 300 * time.Millisecond
	// askPatience bounds the first answer, and askPatienceMost those of later tries: a
	// node beyond a cut is given up soon, and the list of a large fleet has time to pass
	// a slow link.
	peerQueryTimeout        = 500 * time.Millisecond
	peerQueryMaximumTimeout = nodeListTimeout
)

// joinThroughPeers asks the nodes that this one hears of for their list of nodes, one
// after the other, until it has a list from anywhere: where the store is slow, those that
// did not stop have it much sooner.
func (n *Node) joinThroughPeers(ctx context.Context) {
	if !n.settings.uses(AskForList) {
		return
	}
	backoff := n.backoffOf(joinMinimumBackoff, peerQueryMaximumBackoff)
	timeout := peerQueryTimeout
	for wait.For(ctx, backoff.Next()) && !n.hasNodeList() {
		peer, found := n.anyPeerOrSeed(ctx)
		if !found {
			continue
		}
		asked := time.Now()
		if _, err := n.fetchNodesWithin(ctx, peer.Address, "", timeout); err == nil {
			return
		}
		if time.Since(asked) >= timeout {
			timeout = min(2*timeout, peerQueryMaximumTimeout)
		}
	}
}

// hasList reports whether this node has a list of nodes.
func (n *Node) hasNodeList() bool {
	select {
	case <-n.nodeListKnown:
		return true
	default:
		return false
	}
}

// anyPeerOrSeed returns a peer by chance, or a seed where none is heard of. Of a seed only
// the address is known.
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
