// Package routing decides how a client's request is handled: which route of the
// operator's configuration matches it, and which service serves it.
//
// A Table is one immutable version of that configuration. A LatestTable holds the newest
// version seen and never returns to an older one. So once a process has applied a
// version, it handles no request by an earlier one, in whatever order versions arrive.
//
// The package is pure: no I/O, no clock, and randomness is passed in.
package routing
