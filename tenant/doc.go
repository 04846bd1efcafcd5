// Package tenant holds what a configuration says of its tenants, and the accounts
// by which their limits are kept.
//
// A Directory finds the tenant that a client's key belongs to. It keeps hashes of
// keys and no key itself, so that neither a log nor the time of a look-up tells one.
//
// A Book holds the accounts of the tenants that one node counts for the whole fleet.
// An account lets rate times window plus burst pass in any window, counted exactly. A
// token bucket that fills at that pace goes before it, so that little is granted at
// once: when a node is lost that counted for a tenant, the next one begins with an
// empty bucket, and both together stay within what the operator accepts.
//
// At the limit, requests of programs under way go first. A program that has not begun
// is granted its first request only if the account can be expected to hold all that
// the programs under way still need, and all of the new one: a program that fails
// midway was served for nothing.
//
// The package is pure: no I/O, and the time is passed in.
package tenant
