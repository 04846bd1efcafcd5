package contract

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
)

// PeerSettings describes the settings of one node, as last reported to this
// node.
type PeerSettings struct {
	Node machine.ID
	// Revision is the number of records that the node has applied.
	Revision Revision
	// Behind is true if the stream is known to hold more records.
	Behind bool
	// ReportAge is the time since the node's last report was received; zero
	// for this node.
	ReportAge time.Duration
}

// Peers returns the known settings positions of all nodes, this node first.
func (f *Follower) Peers(now time.Time) []PeerSettings {
	own := PeerSettings{Node: f.config.Self, Revision: Revision(f.tree.Position()), Behind: f.known > f.tree.Position()}
	var peers []PeerSettings
	for _, peer := range f.peers {
		peers = append(peers, PeerSettings{
			Node:      peer.report.Peer,
			Revision:  Revision(peer.report.Position),
			Behind:    peer.report.Position < f.known,
			ReportAge: now.Sub(peer.receivedAt),
		})
	}
	slices.SortFunc(peers, func(a, b PeerSettings) int { return cmp.Compare(a.Node, b.Node) })
	return append([]PeerSettings{own}, peers...)
}
