package contract

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
)

// PeerSettings is what this node has heard of one node's settings.
type PeerSettings struct {
	Node machine.ID
	// Revision is how many records of the stream the node has folded.
	Revision Revision
	// Behind says that more records are known to exist.
	Behind bool
	// HeardAgo is the time since the node's last report; zero for this node.
	HeardAgo time.Duration
}

// Peers returns what is known of every node's settings, this node's first.
func (f *Follower) Peers(now time.Time) []PeerSettings {
	own := PeerSettings{Node: f.config.Self, Revision: Revision(f.tree.Position()), Behind: f.known > f.tree.Position()}
	var peers []PeerSettings
	for _, peer := range f.peers {
		peers = append(peers, PeerSettings{
			Node:     peer.report.Peer,
			Revision: Revision(peer.report.Position),
			Behind:   peer.report.Position < f.known,
			HeardAgo: now.Sub(peer.receivedAt),
		})
	}
	slices.SortFunc(peers, func(a, b PeerSettings) int { return cmp.Compare(a.Node, b.Node) })
	return append([]PeerSettings{own}, peers...)
}
