// Package httpclient sends JSON requests over HTTP/1.1 with fasthttp. It is
// the one place that sets the client's limits and decides what a failed
// request says about the other side:
//
//   - a *NotSentError: no connection was made, so nothing can have happened;
//   - a *StatusError: the other side answered with an error status;
//   - any other error: the request was at least partly written, and what
//     became of it is unknown.
//
// The client never repeats a request by itself. fasthttp would repeat some
// requests when a kept-alive connection turns out to be closed; a request
// that may run at most once must not be repeated below the layer that knows.
package httpclient
