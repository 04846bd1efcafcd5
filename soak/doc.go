// Package soak runs real nodes as processes of their own before stand-ins of the
// users' platform, drives agent programs, tools, tenants and an operator at them,
// brings faults about from outside by a schedule drawn from a seed, and holds what
// callers and replicas see against package promise while it runs.
//
// Nodes reach the store and the replicas, and clients reach nodes, through proxies
// that delay, silence and reset. Nodes reach each other directly, since a node is
// known to its peers by the address that it listens on; they lose each other by being
// paused, killed or stopped.
package soak
