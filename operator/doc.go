// Package operator serves the operators of birchwood on a separate address:
// metrics in the Prometheus format, health and readiness, and the operators' API
// for settings, nodes, back ends and programs.
//
// A Server needs a Service, which the node implements, and a Programs, which the
// gateway implements and through which it reaches programs that other nodes own.
// Metrics is separate from Server, so that the node can measure before it serves.
//
// Authorization: the hash of an operator's bearer token is listed at a branch of
// the settings tree, and the operator may act on that branch and below it. The
// bootstrap token in the process's settings file acts on the whole tree; it gives
// access while the tree lists no operator yet. Metrics and health need no token.
package operator
