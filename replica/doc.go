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
// Lateness learns how long the calls of each route take, and tells from when on
// one that was not answered had better be sent again.
package replica
