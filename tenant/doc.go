// Package tenant holds the tenants of a configuration, and the accounts by which their
// rate limits are enforced.
//
// A Directory finds the tenant that a client's key belongs to. It stores hashes of keys
// and no keys, so that neither a log nor the time of a look-up reveals one.
//
// A Limiter holds the accounts of the tenants for which one node is the counting node: it
// counts their requests for all nodes. An account lets rate times window plus burst pass
// in any window, counted exactly. A token bucket that fills at that rate limits how much
// is granted at once: when a counting node is lost, the next one starts with an empty
// bucket, and both together stay within the overrun that the operator accepts.
//
// At the limit, requests of started programs have precedence. A new program is granted its
// first request only if the account is expected to hold all that the started programs
// still need plus all that the new one needs, since the requests of a program that fails
// midway are wasted.
//
// The package is pure: no I/O, and the time is passed in.
package tenant
