// Package operator serves the people who run birchwood, on an address of its
// own: the metrics in Prometheus form, health and readiness, and the
// operators' API for settings, nodes, back ends and programs.
//
// A Server needs a Service, which the node implements, and the gateway as its
// Programs, through which it reaches programs that other nodes own. Metrics
// is separate from the Server, so that the node can measure before it serves.
//
// Who may do what: an operator's bearer token is listed, hashed, at a branch
// of the settings tree and acts on that branch and below it. The bootstrap
// token of the process's settings file acts on the whole tree; it is the way
// in while the tree lists no operator yet. Metrics and health need no token.
package operator
