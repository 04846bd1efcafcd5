// Package upstream sends requests to replicas over kept HTTP/1.1 connections,
// and tells exactly what is known of each: that it was certainly not sent, or
// that it may have run.
//
// A Pool keeps the connections of one process to all replicas. Pool.Send writes
// one request and reads the head of its answer; the Response then yields the
// body, whole or as it comes. A connection goes back to the pool only after an
// answer whose end was certain, and is looked at again before it is used: one
// that the replica closed, or on which bytes of a surplus answer wait, is
// thrown away.
//
// Answers of other requests that arrive late, in place of the next one, are
// told by the request id that replicas echo, and skipped.
package upstream
