// Package gather has the nodes of a large fleet hear soon what all others have under way
// at the replicas. The messages of the failure detector go to a random peer each, so that
// in a fleet of a hundred a node hears of another every few seconds, while what is under
// way changes many times a second.
//
// Each node tells a collector of its zone what it has under way, and the answer is the
// sum of all others. The collectors of the zones exchange the sums of their zones. Who
// collects follows from a ranking that all nodes know, so that no message agrees on it. A
// message that is lost is not repeated: the next one says it all again, and what was said
// lapses.
//
// Everything here is a pure state machine: events and the time come in, messages go out.
package gather
