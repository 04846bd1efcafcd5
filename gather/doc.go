// Package gather aggregates the load of every node in a large fleet and distributes the
// totals quickly. The failure detector sends each of its messages to a random peer, so
// that in a fleet of a hundred nodes a node receives another's state only every few
// seconds, while the number of requests in progress changes many times a second.
//
// Each node reports its requests in progress to a collector in its zone, which answers
// with the sum over all other nodes. The collectors of different zones exchange the sums
// of their zones. The collectors follow from a ranking that every node computes by
// itself, so no messages are needed to agree on them. A lost message is not sent again:
// each message carries the complete state, and contributions that are not renewed expire.
//
// The package is a pure state machine: it is given events and the time, and returns the
// messages to send.
package gather
