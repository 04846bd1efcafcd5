// Package dispatch decides how a node handles requests under load: which replica gets a
// request, in which order requests are served, which are refused and when their callers
// should retry, and when a call is sent a second time.
//
// Each decision is a pure function or a small state machine. Its inputs are the known load
// as plain values, the time and any random number; its result is a verdict with a reason.
// Callers do the waiting, sending and logging.
//
// Times are predicted in wall-clock units, not in weights: a turn at an engine takes as
// long as it waits for a slot, prefills the uncached tokens of its prompt and generates
// its tokens, at the token time of that replica with that many concurrent requests.
//
// A missing, late or false load report changes an estimate by a bounded amount. It never
// decides whether a request may run, whether it ran, or who owns it.
package dispatch
