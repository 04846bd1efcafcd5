// Package replica knows the replicas of all services and picks one for a
// request.
//
// A Set is a pure state machine over what the platform lists, what this node
// sends, what peers tell of theirs, and how requests end. Select works in three
// steps: feasible (listed as ready, not tried before, room for a connection),
// rank (the predicted work before the request's answer is whole, in tokens for
// engines and in requests for other services), and select (the least; failing
// replicas last).
//
// For an engine the work is the prefill of what the replica does not keep of
// the prompt, plus the load of the requests beside it. What a replica keeps is
// estimated from what was sent there, the longest unused forgotten first, as
// the engine itself does.
//
// What a node does and holds does not grow with a service: Select weighs a window of
// a large service, the same for the nodes of a zone, that grows with its load
// (window.go), and a Subset is the part that the nodes of a group hold, followed
// through a View of it (subset.go, view.go).
//
// Lateness learns how long the calls of each route take, and tells from when on
// one that was not answered had better be sent again.
package replica
