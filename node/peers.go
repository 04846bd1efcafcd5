package node

import "birchwood.example/birchwood/gateway"

var _ gateway.Directory = (*Node)(nil)

// Peers returns the other nodes that are considered live.
func (n *Node) Peers() []gateway.Route {
	var peers []gateway.Route
	for _, peer := range n.routing.Load().Peers() {
		peers = append(peers, gateway.Route{Owner: peer.ID, Address: peer.Address})
	}
	return peers
}
