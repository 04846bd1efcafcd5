// Package link carries messages between nodes and holds the rule that keeps a
// failing peer from harming the others.
//
// Message is what nodes say to each other. A transport, such as the one in
// linkhttp, may lose, repeat, delay or reorder messages; every receiver is
// written for that.
//
// Breaker stops requests to a peer that keeps failing and tries it again later
// with a few. It is a small pure state machine: time is passed in, the caller
// does the I/O, and it is not safe for concurrent use.
//
// The rules for retries stand in package retry. What travels with a caller's
// request from node to node, its deadline and its hops, stands in package
// gateway.
package link
