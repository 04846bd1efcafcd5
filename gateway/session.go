package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
)

// session is one caller's stream of an answer. It outlives its sources: when
// the owner is lost, it continues at the new owner from the caller's position.
//
// It implements the response's body stream: the server reads an event, writes
// it to the caller and reads the next one, all on the connection's goroutine,
// so that no event waits for another goroutine to be scheduled.
type session struct {
	gateway  *Gateway
	lifetime context.Context
	request  *exchange
	source   source
	conn     net.Conn
	done     func()
	accepted bool
	hasText  bool
	// unread holds the encoded events that the server has not read yet, and
	// ended is set after the last event.
	unread bytes.Buffer
	ended  bool
}

// startStream answers with server-sent events until the stream or the lifetime
// context ends. done is called when the stream is closed.
func (g *Gateway) startStream(lifetime context.Context, ctx *fasthttp.RequestCtx, request *exchange, first source, done func()) {
	ctx.SetStatusCode(statusOK)
	ctx.SetContentType(contentTypeEvents)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	s := &session{gateway: g, lifetime: lifetime, request: request, source: first, conn: ctx.Conn(), done: done}
	ctx.SetBodyStream(s, -1)
}

// Read implements io.Reader. It waits for the next event unless a part of the
// last one is unread, and renews the connection's write deadline.
func (s *session) Read(buffer []byte) (int, error) {
	for s.unread.Len() == 0 {
		if s.ended {
			return 0, io.EOF
		}
		s.advance()
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.gateway.config.WriteTimeout))
	return s.unread.Read(buffer)
}

// Close implements io.Closer. The server calls it when it has written the whole
// stream, and when a write failed because the caller disconnected.
func (s *session) Close() error {
	s.source.close()
	s.gateway.observer.Answered(s.request.request.Operation, statusOK, time.Since(s.request.received))
	s.done()
	return nil
}

// advance waits for the next event and adds it to the unread ones.
func (s *session) advance() {
	next, err := s.source.next(s.lifetime, s.request.position)
	if err != nil {
		next, err = s.recover(s.lifetime, err)
	}
	if err != nil {
		s.ended = true
		return
	}
	s.add(next)
	s.ended = next.kind == eventEnd || next.kind == eventError
}

// add appends one event to the unread ones and moves the caller's position past
// it. Only the first source's accepted event is sent to the caller.
func (s *session) add(next event) {
	if next.kind == eventAccepted {
		if s.accepted {
			return
		}
		s.accepted = true
	}
	next.writeTo(&s.unread)
	if next.kind == eventText || next.kind == eventRestart {
		s.request.position = next.at
	}
	if next.kind == eventText && !s.hasText {
		s.hasText = true
		s.gateway.observer.FirstText(time.Since(s.request.received))
	}
}

// recover returns the event to send after the source failed: a keep-alive if
// the stream continues from another source, or the error that ends it.
func (s *session) recover(ctx context.Context, cause error) (event, error) {
	var refusal *api.Error
	switch {
	case errors.As(cause, &refusal):
		return errorEvent(settle(s.request, answer{refusal: refusal}).refusal), nil
	case ctx.Err() != nil:
		return errorEvent(timedOut()), nil
	case !errors.Is(cause, errSourceLost):
		return event{}, cause
	case s.request.peer:
		return errorEvent(api.Refuse(api.CodeNotOwner, "this node lost the program").WithRetryAfter(0)), nil
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

// timedOut returns the error that ends a stream at its deadline. The call itself
// continues.
func timedOut() *api.Error {
	return &api.Error{
		Code:    api.CodeTimeout,
		Message: "the stream's time is over; attach again with the last event's id",
		Ran:     api.RanOutcomeUnknown,
		Retry:   true,
	}
}

// noSource is the source of a session between two sources.
type noSource struct{}

func (noSource) next(context.Context, position) (event, error) { return event{}, errSourceLost }
func (noSource) close()                                        {}
