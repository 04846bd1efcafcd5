package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/internal/wait"
)

const (
	// askPauseMost is the longest time between two questions for the list of a node that
	// starts: a few small messages a second, also where all nodes start at once.
	askPauseMost = 300 * time.Millisecond
	// askPatience bounds the first answer, and askPatienceMost those of later tries: a
	// node beyond a cut is given up soon, and the list of a large fleet has time to pass
	// a slow link.
	askPatience     = 500 * time.Millisecond
	askPatienceMost = listPatience
)

// joinThroughPeers asks the nodes that this one hears of for their list of nodes, one
// after the other, until it has a list from anywhere: where the store is slow, those that
// did not stop have it much sooner.
func (n *Node) joinThroughPeers(ctx context.Context) {
	if !n.settings.uses(AskForList) {
		return
	}
	backoff := n.backoffOf(joinPauseFirst, askPauseMost)
	patience := askPatience
	for wait.For(ctx, backoff.Next()) && !n.hasList() {
		address, found := n.anyPeer(ctx)
		if !found {
			continue
		}
		asked := time.Now()
		if _, err := n.askNodesWithin(ctx, address, "", patience); err == nil {
			return
		}
		if time.Since(asked) >= patience {
			patience = min(2*patience, askPatienceMost)
		}
	}
}

// hasList reports whether this node has a list of nodes.
func (n *Node) hasList() bool {
	select {
	case <-n.listed:
		return true
	default:
		return false
	}
}

// anyPeer returns the address of a node by chance that this one hears of, or else of a
// seed.
func (n *Node) anyPeer(ctx context.Context) (address string, found bool) {
	live, err := n.control.livePeers(ctx)
	if err != nil {
		return "", false
	}
	addresses := n.settings.Seeds
	if len(live.peers) > 0 {
		addresses = nil
		for _, peer := range live.peers {
			addresses = append(addresses, peer.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[int(n.draw()*float64(len(addresses)))], true
}
