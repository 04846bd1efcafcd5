// Package load runs a deployment's agent programs against real nodes, over the
// callers' HTTP API, and measures what callers feel.
//
// Run starts each program at its intended time whether or not earlier ones
// have ended (open loop), so that a slow system is not spared the load that it
// delays. A program's latency counts from its intended start to its end, less
// the time in which its people paused.
//
// A call whose connection is lost, or that is refused for now, is asked again
// with the same key, at the next target, after the time that the refusal names
// or a growing backoff, until the call's own bound. What is left without an
// answer then is unanswered, and makes the run fail.
//
// Every answer is checked. The stand-in engines begin an answer with the hash
// of the model and the prompt, so an answer that belongs to another call or
// another history shows; tools answer with the hash of their input. Before a
// program ends, its history is read back and compared with what its caller
// sent and got. With a recorder, all of this is written as a history for
// package history to check.
package load
