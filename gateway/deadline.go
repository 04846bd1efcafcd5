package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

// headerDeadline carries the time that remains for a request, in milliseconds.
// Callers may set it, and each node that relays a request does. Unlike an
// absolute time, a remaining time does not depend on synchronized clocks; it
// doesn't account for the network delay.
const headerDeadline = "X-Deadline-Ms"

// formatDeadline returns the header's value for a request that is sent now. It
// reports false if no time remains; the request must not be sent then.
func formatDeadline(now, deadline time.Time) (string, bool) {
	remaining := deadline.Sub(now).Milliseconds()
	if remaining <= 0 {
		return "", false
	}
	return strconv.FormatInt(min(remaining, api.MaximumMilliseconds), 10), true
}

// parseDeadline converts the header's value, received now, to a deadline.
func parseDeadline(now time.Time, text string) (time.Time, *api.Error) {
	remaining, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remaining < 1 || remaining > api.MaximumMilliseconds {
		return time.Time{}, api.Refuse(api.CodeBadRequest, "want 1 to %d milliseconds", int64(api.MaximumMilliseconds)).
			WithLocation("header " + headerDeadline)
	}
	return now.Add(time.Duration(remaining) * time.Millisecond), nil
}

// readDeadline sets the exchange's deadline: the configured maximum wait, or the
// header's value if it is shorter.
func (g *Gateway) readDeadline(ctx *fasthttp.RequestCtx, request *exchange) *api.Error {
	request.deadline = request.received.Add(g.config.MaximumWait)
	text := ctx.Request.Header.Peek(headerDeadline)
	if len(text) == 0 {
		return nil
	}
	deadline, refusal := parseDeadline(request.received, string(text))
	if refusal != nil {
		return refusal
	}
	request.shortenDeadline(deadline)
	return nil
}

// shortenDeadline replaces the exchange's deadline if the given one is earlier.
func (e *exchange) shortenDeadline(deadline time.Time) {
	if deadline.Before(e.deadline) {
		e.deadline = deadline
	}
}
