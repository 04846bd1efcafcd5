// Package edge is a node that serves the clients of agent programs in front of
// replicas, with all lasting state in the platform's store.
//
// Any node takes any request and sends it to a replica itself; a stream passes
// through that node alone. From the owner of the program's partition it needs
// one small answer per turn: whether the budget holds the turn, and, on routes
// whose turns are kept, what the engine has to read before the new input.
//
// A Node runs these goroutines besides those of its connections:
//
//   - control drives the coordinator.Core, alone (control.go);
//   - followers read the configuration, the replicas and the nodes from the
//     store (follow.go, replicalist.go, directory.go), in a large fleet from
//     other nodes (role.go, reader.go, relay.go), or from a peer while this
//     node alone is cut off (peerstate.go);
//   - one per takeover and append under way speaks to the store (ledgers.go);
//   - the servers of clients, peers and readiness.
//
// The handling of one request starts in handle.go: call.go serves requests
// whose answer is whole, turn.go and run.go streams, and attempt.go holds what
// both need of one attempt. mechanisms.go names what can be switched off.
package edge
