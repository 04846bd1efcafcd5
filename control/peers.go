package control

import "birchwood.example/birchwood/machine"

// Peers returns the other nodes that were not known to be dead when the routing
// was created.
func (r *Routing) Peers() []machine.Machine {
	var peers []machine.Machine
	for _, node := range r.nodes {
		if node.ID != r.self {
			peers = append(peers, node)
		}
	}
	return peers
}
