// Package routing decides by which rules a client's request is handled: which
// route of the operator's configuration takes it, and which service serves it.
//
// A Table is one version of that configuration, whole and immutable. A
// Follower holds the newest table seen and never goes back to an older one, so
// that a process that has shown a version's effect never handles a request by
// an earlier version, whatever order the versions are heard in.
//
// The package is pure: no I/O, no clock, and randomness is passed in.
package routing
