// Package promise checks the guarantees of the nodes, called promises, against what their
// clients, replicas and operator observe. It is pure: events go in with their times and
// breaches come out, so the same events always give the same verdict.
//
// A fault excuses only what a promise exempts. Some checks apply only to nodes and replicas
// that were fault-free for long enough, according to the recorded disturbances; the others
// always apply.
package promise
