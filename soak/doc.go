// Package soak runs real node processes against stand-ins of the users' platform under
// load from agent programs, tools, tenants and an operator. It injects faults from outside
// the nodes, on a schedule drawn from a seed, and checks what clients and replicas observe
// against package promise during the run.
//
// Connections from nodes to the store and the replicas, and from clients to nodes, pass
// through proxies that can delay, hold, mute and reset them. Nodes connect to each other
// directly, because peers identify a node by the address that it listens on; they lose contact
// with each other only when a process is paused, killed or stopped.
package soak
