// Package dispatch holds the decisions that a node makes under load: where a
// request goes, who goes first, who is turned away and when to come back, and when
// a call is sent again.
//
// Each decision is a pure function or a small state machine: the load as it is known
// comes in as plain values, with the time and any random draw; a verdict with its
// reason comes out. Callers do the waiting, the sending and the logging.
//
// Times are predicted in wall-clock units, not in weights: a turn of an engine takes
// as long as it waits for a slot, reads what is missing of its prompt and generates
// its tokens, at the pace of that replica with that many requests beside.
//
// A report that is missing, late or false moves an estimate by a bounded amount. It
// never decides whether a request may run, whether it ran, or whose it is.
package dispatch
