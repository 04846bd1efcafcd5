package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

// session is one caller's stream of an answer. It outlives its sources: when
// the owner is lost, it goes on at the new owner from the caller's position.
type session struct {
	gateway  *Gateway
	request  *exchange
	source   source
	conn     net.Conn
	accepted bool
	hasText  bool
}

// startStream answers with server-sent events until the lifetime ends. done is
// called once the stream is over.
func (g *Gateway) startStream(lifetime context.Context, ctx *fasthttp.RequestCtx, request *exchange, first source, done func()) {
	ctx.SetStatusCode(statusOK)
	ctx.SetContentType(contentTypeEvents)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	s := &session{gateway: g, request: request, source: first, conn: ctx.Conn()}
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer done()
		s.run(lifetime, writer)
		s.source.close()
		g.observer.Answered(request.request.Operation, statusOK, time.Since(request.received))
	})
}

// run writes events until the stream ends or the caller hangs up.
func (s *session) run(ctx context.Context, writer *bufio.Writer) {
	for {
		next, err := s.source.next(ctx, s.request.position)
		if err != nil {
			next, err = s.recover(ctx, err)
		}
		if err != nil {
			return
		}
		if !s.write(writer, next) || next.kind == eventEnd || next.kind == eventError {
			return
		}
	}
}

// write sends one event and moves the caller's position. It reports false
// when the caller hung up.
func (s *session) write(writer *bufio.Writer, next event) bool {
	if next.kind == eventAccepted {
		if s.accepted {
			return true
		}
		s.accepted = true
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.gateway.config.WriteTimeout))
	if next.writeTo(writer) != nil {
		return false
	}
	if next.kind == eventText || next.kind == eventRestart {
		s.request.position = next.at
	}
	if next.kind == eventText && !s.hasText {
		s.hasText = true
		s.gateway.observer.FirstText(time.Since(s.request.received))
	}
	return true
}

// recover finds the next event after the source failed: a keep-alive while
// the stream goes on elsewhere, or the error that ends it.
func (s *session) recover(ctx context.Context, cause error) (event, error) {
	var refusal *api.Error
	switch {
	case errors.As(cause, &refusal):
		return errorEvent(refusal), nil
	case ctx.Err() != nil:
		return errorEvent(timedOut()), nil
	case !errors.Is(cause, errSourceLost):
		return event{}, cause
	case s.request.peer:
		return errorEvent(api.Refuse(api.CodeNotOwner, "this node lost the program").After(0)), nil
	}
	s.source.close()
	s.source = noSource{}
	reopened := s.gateway.perform(ctx, s.request)
	if reopened.source != nil {
		s.source = reopened.source
		return event{kind: eventKeepAlive}, nil
	}
	if reopened.refusal != nil {
		return errorEvent(reopened.refusal), nil
	}
	return errorEvent(timedOut()), nil
}

// timedOut ends a stream whose time is over while its call goes on.
func timedOut() *api.Error {
	return &api.Error{
		Code:    api.CodeTimeout,
		Message: "the stream's time is over; attach again with the last event's id",
		Ran:     api.RanOutcomeUnknown,
		Retry:   true,
	}
}

// noSource stands in while a session has no source.
type noSource struct{}

func (noSource) next(context.Context, position) (event, error) { return event{}, errSourceLost }
func (noSource) close()                                        {}
