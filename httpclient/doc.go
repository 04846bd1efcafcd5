// Package httpclient sends JSON requests over HTTP/1.1 with fasthttp. It sets the
// client's limits and classifies failed requests by their possible effect on the
// server:
//
//   - *NotSentError: nothing was sent, so the request had no effect;
//   - *StatusError: the server answered with an error status;
//   - any other error: the request may have been sent, at least in part, and its
//     outcome is unknown.
//
// The client never retries a request. By default, fasthttp retries some requests
// if an idle connection turns out to be closed. Whether a request may be repeated
// is decided by the caller, because some requests may run at most once.
package httpclient
