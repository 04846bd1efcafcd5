// Package gateway implements the callers' HTTP API: it authenticates callers,
// validates their input, finds the owner of a program, relays requests to the
// owner, and streams answers. docs/API.md describes the API.
//
// # Request processing
//
// Each route has a parser, which reads the input into an exchange and collects
// everything that is wrong with it. Gateway.perform then tries the exchange at
// the program's owner until it gets an answer: on this node through
// Service.Do, or on another node by repeating the HTTP request there with the
// peer token. The answer is a JSON body, a refusal, or a source of stream
// events.
//
// # Retries
//
// Only perform retries. A node that received a request from another node
// returns the result of its single attempt, so that attempts do not multiply.
// A retry budget that all requests share, and that only successful requests
// refill, bounds the amplification. Repeating a request is safe although an
// attempt without an answer may have taken effect: the owner deduplicates
// creates and submits by the caller's key, and repeating a cancel or end
// changes nothing.
//
// A refusal contains "not_run" only when that is certain. Once an attempt may
// have taken effect, a later refusal is answered as outcome_unknown, because the
// first attempt may still be on its way to a back end. An attempt that returned
// the state of a pending call or opened a stream counts as one that may have
// taken effect, because its call was admitted.
//
// # Waiting and streaming
//
// A wait at another node is long polling: the owner answers 202 with the call's
// state after Config.WaitSlice, and perform repeats the request. If the owner
// fails without closing its connections, or ownership changes, only one slice
// is lost.
//
// A stream is a session that outlives its sources. A localSource reads the
// answer's stream.Buffer while it is generated and the call's durable record
// afterwards; a remoteSource reads another node's events. When a source is
// lost, the session opens the next one at the caller's position, so that the
// caller gets each byte of the answer once. A new attempt at the call begins
// with a restart event.
//
// # Disconnects and limits
//
// fasthttp does not notify a handler that the caller disconnected. Idle streams
// send keep-alive comments, and a failed write shows the disconnect; waiting
// requests probe the connection at the same interval. Every request has a
// deadline, connections and bodies are limited, and each token has a rate limit
// and a limit of requests in flight.
//
// # Network partitions
//
// Two zones can be partitioned from each other while a third one reaches both.
// A circuit breaker per address records paths that keep failing; while it is
// open, requests take a detour through another node.
package gateway
