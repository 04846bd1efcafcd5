// Package replica tracks the replicas of all services and selects one for each request.
//
// A Set is a pure state machine. Its inputs are the platform's replica list, the requests that
// this node sends, the loads that peers report, and the results of requests. Select works in
// three steps: it filters the feasible replicas (listed as ready, not yet tried, below the
// per-node limit, not at their cold rate, and preferably not suspect), estimates the cost of
// each, and takes the one with the least cost. The cost is the predicted work until the answer
// is complete, in tokens for engines and in requests for other services.
//
// For an engine, the work is the prefill of the prompt tokens that are not in the replica's KV
// cache, plus the load of concurrent requests. The cache content is estimated from the prompts
// that were sent there, with least-recently-used eviction as in the engine.
//
// The work and memory of a node do not grow with the size of a service. For a large service,
// Select evaluates only a window of replicas, which is the same for all nodes of a zone and
// grows with the load (window.go). Nodes of a group hold only a Subset of the replicas and
// follow its changes through a View (subset.go, view.go).
//
// A LatencyTracker tracks the latencies of calls per route and derives the time after which an
// unanswered call should be sent again.
package replica
