// Package link carries messages between nodes and holds the rules that keep a
// failing peer from harming the others.
//
// Message is what nodes say to each other. A transport, such as the one in
// linkhttp, may lose, repeat, delay or reorder messages; every receiver is
// written for that.
//
// The other types are small pure state machines. Time and randomness are
// passed in, and the caller does the I/O:
//
//   - Breaker stops requests to a peer that keeps failing and tries it again
//     later with a few.
//   - Limiter bounds the requests to one peer that are in flight and that
//     wait, and refuses the rest at once.
//   - Deadline and HopLimit travel with a request, so that no node works on
//     a request whose caller has given up, and no request circles.
//
// Package retry holds the rules for retries.
//
// None is safe for concurrent use, except where it says so.
package link
