// Package retry keeps retries from overloading a service that has failed:
//
//   - Backoff spaces the retries of one request, with jitter, so that clients that failed
//     together do not retry together.
//   - Budget limits the retries of all requests of a client, so that an outage does not
//     cause a multiple of the usual load.
//   - AdaptiveTimeout limits the time of one try by recent response times.
//
// Only one layer of a request's path may retry; the others report the failure.
//
// All are small state machines: randomness is passed in, and the caller does the waiting.
// A library's backoff would bring its own clock and random source, which the
// deterministic packages must not use; code outside of them uses such a library. The
// types are not safe for concurrent use.
package retry
