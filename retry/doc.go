// Package retry holds the two rules that keep retries from harming what has
// failed:
//
//   - Backoff spaces the retries of one request out, with jitter, so that
//     clients that failed together do not retry together.
//   - Budget bounds how many retries all requests of a client make together,
//     so that an outage is not met by a multiple of the usual load.
//
// Only one layer of a request's path may retry; the others report the failure.
//
// Both are small state machines: randomness is passed in, and the caller does
// the waiting. A library's backoff would bring its own clock and
// random source, which decision parts must not use; code outside them uses
// such a library. Neither type is safe for concurrent use.
package retry
