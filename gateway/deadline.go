package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

// headerDeadline carries the time that is left for a request, in milliseconds.
// Callers may set it, and each node that passes a request on does. A remaining
// time, unlike a point in time, does not depend on the clocks of two machines;
// the time on the wire is not counted.
const headerDeadline = "X-Deadline-Ms"

// formatDeadline returns the header's value for a request that is sent now. It
// reports false when no time is left, in which case the request must not be
// sent.
func formatDeadline(now, deadline time.Time) (string, bool) {
	remaining := deadline.Sub(now).Milliseconds()
	if remaining <= 0 {
		return "", false
	}
	return strconv.FormatInt(min(remaining, api.MaximumMilliseconds), 10), true
}

// parseDeadline returns the deadline that a header received now stands for.
func parseDeadline(now time.Time, text string) (time.Time, *api.Error) {
	remaining, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remaining < 1 || remaining > api.MaximumMilliseconds {
		return time.Time{}, api.Refuse(api.CodeBadRequest, "want 1 to %d milliseconds", int64(api.MaximumMilliseconds)).
			At("header " + headerDeadline)
	}
	return now.Add(time.Duration(remaining) * time.Millisecond), nil
}

// readDeadline bounds the exchange by the configuration, and by the caller's
// own bound when it is tighter.
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
	request.tighten(deadline)
	return nil
}

// tighten moves the exchange's deadline forward, never back.
func (e *exchange) tighten(deadline time.Time) {
	if deadline.Before(e.deadline) {
		e.deadline = deadline
	}
}
