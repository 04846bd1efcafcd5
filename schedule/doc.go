// Package schedule decides which back end serves each call, which calls wait,
// which calls are refused, and which prefixes and models the engines keep.
//
// # Use
//
// A Policy is a pure state machine. Its driver passes in events (a call to
// place, a load report, the end of an attempt), each with its time, and reads
// the decisions from Ready:
//
//	scheduler, err := schedule.New(config)
//	scheduler.SetBackends(now, machines)
//	scheduler.Enqueue(now, request)
//	for _, decision := range scheduler.Ready(now) {
//	    perform(decision)
//	}
//	wakeAt(scheduler.NextWake())
//
// The same inputs and the same seed give the same decisions. The Terms of a
// decision explain it.
//
// # How a call is placed
//
// Placement has three parts, each in its own file:
//
//   - feasible.go keeps the live back ends in permitted zones that serve the
//     model or tool, have not failed this call before and are not excluded by
//     its contract. No later step adds a back end.
//   - rank.go predicts the completion time of the call at a candidate from
//     link delay, queueing, transfer of the prefix or prefill of the uncached
//     part, and decode. The rates are learned from finished calls
//     (predict.go).
//   - select.go samples a few candidates that are not saturated and have room
//     in their cache, draws one with probabilities that account for the age of
//     the load reports (stale.go), and compares it with the engines that hold
//     the program's prefix (affinity.go).
//
// # When no back end is free
//
// Calls are held here rather than in the engines' queues, so that their order
// can still change. Tenants share each pool of back ends by fair queueing;
// within a tenant the program with the least attained service goes first,
// adjusted by aging and the deadline (queue.go). The slots and cache that a
// flooding tenant may use are limited (isolation.go). A program that has not
// received any service yet is refused early if its predicted hold is too long,
// with a retry time that accounts for the backlog (admission.go).
//
// # Prefixes and models
//
// Prefixes of paused programs are dropped or exported (retention.go), and
// models are loaded and unloaded as demand shifts between them (models.go).
//
// The alternatives considered and the measurements are in
// docs/design/scheduling.md.
package schedule
