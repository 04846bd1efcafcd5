// Package gateway serves callers over HTTP: it authenticates them, checks
// their input, finds the owner of a program, relays requests to it, and
// streams answers. docs/API.md is the callers' view of it.
//
// # The way of a request
//
// Each route has a parser, which reads the input into an exchange and collects
// everything that is wrong with it. Gateway.perform then tries the exchange at
// the program's owner until it is answered: on this node through Service.Do,
// or at another node by repeating the HTTP request there with the peer token.
// The answer is a JSON body, a refusal, or a source of stream events.
//
// # Retries
//
// perform is the only layer that retries. A node that got a request from
// another one reports what it finds, so that attempts do not multiply; a
// budget shared by all requests, which only success fills, bounds the
// amplification. Repeating a request
// is safe although an attempt without an answer may have taken effect, because
// the owner knows each create and submit by the caller's key, and a repeated
// cancel or end changes nothing.
//
// A refusal says "not_run" only when that is certain. Once an attempt may have
// taken effect, a later refusal is answered as outcome_unknown: the first
// attempt may still be on its way to a back end. A call whose state or stream
// the caller has got is such an attempt.
//
// # Waiting and streaming
//
// A wait at another node is cut into slices: the owner answers 202 with the
// call's state after Config.WaitSlice, and perform asks again. So a silent
// death of the owner, or a change of owner, costs one slice and nothing else.
//
// A stream is a session that outlives its sources. A localSource reads the
// answer's stream.Buffer while it is generated and the call's durable record
// afterwards; a remoteSource reads another node's events. When a source is
// lost, the session opens the next one at the position that the caller has
// reached, so that the caller gets each byte of the answer once. A new attempt
// at the call begins with a restart event.
//
// # Hang-ups and limits
//
// fasthttp does not tell a handler that the caller hung up. Idle streams carry
// keep-alive comments, and the write that fails is the hang-up; waits look at
// the connection as often. Every request has a deadline, every connection and
// body a bound, and every token a rate and a number of requests in flight.
//
// # Cut zones
//
// Two zones can be cut off from each other while a third one reaches both. A
// path that keeps failing is remembered by a circuit breaker; meanwhile
// requests take a detour through another node.
package gateway
