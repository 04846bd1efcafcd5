// Package load runs a deployment's agent programs against real nodes, over the
// callers' HTTP API, and measures the latencies and errors that callers observe.
//
// Run starts each program at its intended time, whether or not earlier
// programs have ended (open loop), so that a slow system does not reduce its
// own load. A program's latency counts from its intended start to its end,
// without the pauses of its users.
//
// A call whose connection is lost, or whose refusal permits a retry, is sent
// again with the same key to the next target. The delay is at least the retry
// time in the refusal and a growing backoff. Retries end when the call times
// out; the call then counts as unanswered, and the run has failed.
//
// Every answer is checked. The stand-in engines begin an answer with the hash
// of the model and the prompt, and tools answer with the hash of their input,
// so an answer that belongs to another call or another history is detected.
// Before a program ends, its history is read back and compared with the inputs
// that its caller sent and the outputs that it received. With a recorder, the
// run is also written as a history that package history can check.
package load
