package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

// errSourceLost says that the owner stopped answering, or is the owner no
// longer: the stream goes on from another source.
var errSourceLost = errors.New("the stream's owner was lost")

// source yields the events of one call's answer from a position on.
type source interface {
	// next waits for the next event; it yields a keep-alive after a while
	// without any. An error ends the source.
	next(ctx context.Context, from position) (event, error)
	// close releases what the source holds. The owner then stops sending.
	close()
}

// bufferPoll is how often a call that runs is looked for when this node has
// no buffer for it yet.
const bufferPoll = 20 * time.Millisecond

// localSource reads an answer on the node that owns its program.
type localSource struct {
	gateway *Gateway
	request *exchange
	call    program.CallRef
	// first is sent before anything else; it is nil afterwards.
	first *api.Call
	// buffer is nil until the call runs, and again once it is closed.
	buffer *stream.Buffer
	drawn  bool
	// final is the call once it is terminal.
	final *api.Call
}

// openLocal starts a stream of the call on this node.
func (g *Gateway) openLocal(request *exchange, call *api.Call) outcome {
	if call == nil {
		return refused(api.Refuse(api.CodeNotFound, "no such call"))
	}
	opened := &localSource{
		gateway: g,
		request: request,
		call:    program.CallRef{Program: call.Program, Sequence: call.Sequence},
		first:   call,
	}
	if call.Status.Terminal() {
		opened.final = call
	}
	return outcome{answer: answer{source: opened}}
}

// next implements source.
func (s *localSource) next(ctx context.Context, from position) (event, error) {
	if s.first != nil {
		accepted := event{kind: eventAccepted, data: marshal(s.first)}
		s.first = nil
		return accepted, nil
	}
	idle, cancel := context.WithTimeout(ctx, s.gateway.config.KeepAlive)
	defer cancel()
	for {
		next, found, err := s.step(idle, from)
		if found || err != nil {
			return next, err
		}
		if idle.Err() != nil {
			return event{kind: eventKeepAlive}, ctx.Err()
		}
	}
}

// step makes one move towards the next event.
func (s *localSource) step(ctx context.Context, from position) (event, bool, error) {
	if s.final != nil {
		return s.fromRecord(from), true, nil
	}
	if s.buffer == nil && !s.drawn {
		s.buffer, _ = s.gateway.service.Stream(s.call)
	}
	if s.buffer != nil {
		next, found := s.fromBuffer(ctx, from)
		return next, found, nil
	}
	return event{}, false, s.awaitEnd(ctx)
}

// fromBuffer waits for text that is being generated.
func (s *localSource) fromBuffer(ctx context.Context, from position) (event, bool) {
	if from.attempt == 0 {
		from.attempt = s.buffer.Attempt()
	}
	part, err := s.buffer.Next(ctx, from.attempt, from.offset)
	if err != nil {
		return event{}, false
	}
	if part.Attempt > from.attempt && from.attempt > 0 {
		return restartEvent(part.Attempt), true
	}
	if part.Closed {
		s.buffer = nil
		s.drawn = true
	}
	if part.Attempt < from.attempt || part.Text == "" {
		return event{}, false
	}
	next, found := textEvent(position{attempt: part.Attempt, offset: part.Offset}, part.Text, part.Closed)
	if !found {
		s.awaitCharacter(ctx, part)
	}
	return next, found
}

// awaitCharacter waits until the buffer has more than the part whose last
// character is cut.
func (s *localSource) awaitCharacter(ctx context.Context, part stream.Part) {
	_, _ = s.buffer.Next(ctx, part.Attempt, part.Offset+len(part.Text))
}

// awaitEnd waits until the call is terminal. Without a buffer so far it comes
// back soon, because the call may have begun to run.
func (s *localSource) awaitEnd(ctx context.Context) error {
	bounded := ctx
	if !s.drawn {
		var cancel context.CancelFunc
		bounded, cancel = context.WithTimeout(ctx, bufferPoll)
		defer cancel()
	}
	reply := s.gateway.service.Do(bounded, control.Request{
		Operation: control.OperationCall,
		Scope:     s.request.scope,
		Program:   s.call.Program,
		Sequence:  s.call.Sequence,
		Wait:      true,
	})
	switch {
	case reply.Error == nil && reply.Call != nil && reply.Call.Status.Terminal():
		s.final = reply.Call
	case reply.Error == nil, bounded.Err() != nil:
		<-bounded.Done()
	case reply.Error.Code == api.CodeNotOwner, reply.Error.Code == api.CodeOwnerUnknown:
		return errSourceLost
	default:
		return reply.Error
	}
	return nil
}

// fromRecord serves the answer from the call's durable record: the rest of
// the text, the whole of it if the caller's text is of another attempt, and
// then the end.
func (s *localSource) fromRecord(from position) event {
	call := s.final
	if from.attempt != 0 && from.attempt != call.Attempt && call.Output != "" {
		return restartEvent(call.Attempt)
	}
	if from.offset < len(call.Output) {
		at := position{attempt: call.Attempt, offset: from.offset}
		next, _ := textEvent(at, call.Output[from.offset:], true)
		return next
	}
	return event{kind: eventEnd, at: from, data: marshal(call)}
}

// close implements source. Nothing is held.
func (s *localSource) close() {}

// remoteSource reads an answer from the node that owns its program.
type remoteSource struct {
	gateway  *Gateway
	response *fasthttp.Response
	reader   *bufio.Reader
}

// eventBytes is the size of the buffer for an event's lines.
const eventBytes = 4 << 10

func newRemoteSource(g *Gateway, _ *exchange, response *fasthttp.Response) *remoteSource {
	return &remoteSource{
		gateway:  g,
		response: response,
		reader:   bufio.NewReaderSize(response.BodyStream(), eventBytes),
	}
}

// next implements source.
func (s *remoteSource) next(_ context.Context, from position) (event, error) {
	next := event{at: from}
	size := 0
	for {
		line, err := s.reader.ReadBytes('\n')
		if err != nil {
			return event{}, errSourceLost
		}
		size += len(line)
		if size > s.gateway.config.MaximumReplyBytes {
			return event{}, errSourceLost
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		if len(line) == 0 {
			return s.checked(next)
		}
		s.field(&next, line)
	}
}

// field reads one line of an event.
func (s *remoteSource) field(next *event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(": "))
	switch string(name) {
	case "event":
		next.kind = eventKind(value)
	case "id":
		if at, valid := parsePosition(string(value)); valid {
			next.at = at
		}
	case "data":
		next.data = value
	}
}

// checked turns the owner's report that it lost the program into a loss.
func (s *remoteSource) checked(next event) (event, error) {
	if next.kind != eventError {
		return next, nil
	}
	failure := next.failure()
	if failure.Code == api.CodeNotOwner || failure.Code == api.CodeOwnerUnknown {
		return event{}, errSourceLost
	}
	return next, nil
}

// close implements source: it closes the connection unless all was read, so
// that the owner notices.
func (s *remoteSource) close() {
	if closer, closes := s.response.BodyStream().(io.Closer); closes {
		_ = closer.Close()
	}
	_ = s.response.CloseBodyStream()
	fasthttp.ReleaseResponse(s.response)
}
