// Package edge implements a node, which serves the clients of agent programs in front of
// the replicas. All durable state is in the platform's store.
//
// Any node accepts any request and forwards it to a replica itself; a stream passes through
// that node only. Per turn it makes one small call to the owner of the program's partition,
// which decides whether the budget permits the turn and, on routes that store turns,
// returns the input that the engine has to read before the new one.
//
// Besides the goroutines of its connections, a Node runs the following:
//
//   - control runs the coordinator.Core, on one goroutine (control.go);
//   - followers read the configuration, the replicas and the nodes from the store
//     (follow.go, replicalist.go, directory.go), in a large fleet from other nodes
//     (role.go, reader.go, relay.go), or from a peer while only this node is partitioned
//     off (peerstate.go);
//   - each takeover and append in progress calls the store on its own goroutine
//     (ledgers.go, takeover.go);
//   - the servers of clients, peers and readiness.
//
// The handling of a request starts in handle.go: call.go serves requests whose answer is
// relayed whole, turn.go and run.go serve streams, and attempt.go has what both need for
// one attempt. mechanisms.go lists what can be switched off.
package edge
