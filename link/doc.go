// Package link defines the messages between nodes and a circuit breaker that
// keeps a failing peer from affecting the others.
//
// Message is a control message between two nodes. A transport, such as the one
// in linkhttp, may lose, duplicate, delay or reorder messages; every receiver
// must tolerate that.
//
// Breaker stops requests to a peer that keeps failing and later tries it again
// with a few requests. It is a pure state machine: the caller passes in the time
// and does the I/O. It is not safe for concurrent use.
//
// The rules for retries are in package retry. The deadline and the hop count that
// accompany a caller's request from node to node are handled by package gateway.
package link
