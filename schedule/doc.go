// Package schedule decides which back end serves each call, which calls wait,
// which are refused, and which prefixes and models stay in the engines.
//
// # Use
//
// A Policy is a pure state machine. Its driver passes in what happens (a call
// to place, a load report, the end of an attempt) with the time, and reads
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
// The same inputs and the same seed give the same decisions. Each decision
// carries Terms that explain it.
//
// # How a call is placed
//
// Three steps, each in its own file. Feasible (feasible.go) keeps the live
// back ends in permitted zones that serve the model or tool and have not
// failed this call before; no later step adds one. Rank (rank.go) predicts
// the finish of the call at a candidate: link, queue, transfer of the prefix
// or missing prefill, and decode, at the rates that finished calls taught
// (predict.go). Select (select.go) samples a few candidates that are not
// saturated and have room in their cache, draws one in a way that allows for
// late reports (stale.go), and compares it with the engine that holds the
// program's prefix (affinity.go).
//
// # When nothing is free
//
// Calls are held here and not in the engines, so that the order can still
// change. Tenants share each pool of back ends by fair queueing; within a
// tenant the program with the least attained service goes first, with aging
// and the deadline (queue.go). What a flood may hold is limited
// (isolation.go). A program that has not received any
// service yet is refused early when its hold would be long, with a retry time
// that accounts for the backlog (admission.go).
//
// # What happens beside calls
//
// Prefixes of paused programs are dropped or exported (retention.go), and
// models move between replicas as demand moves (models.go).
//
// docs/design/scheduling.md tells what was weighed and measured.
package schedule
