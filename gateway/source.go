package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

// errSourceLost means that the owner stopped answering or no longer owns the
// program. The stream can continue from another source.
var errSourceLost = errors.New("the stream's owner was lost")

// source returns the events of one call's answer from a position on.
type source interface {
	// next waits for the next event. It returns a keep-alive if there is none
	// for some time. After an error the source can't be used any more.
	next(ctx context.Context, from position) (event, error)
	// close releases the source's resources and makes the owner stop sending.
	close()
}

// bufferPollInterval is how often a localSource looks up the call's buffer
// until it exists.
const bufferPollInterval = 20 * time.Millisecond

// localSource reads an answer on the node that owns its program: from the
// buffer while the call runs, and then from the call's durable record, which
// comes either with the end of the buffer or from the service.
type localSource struct {
	gateway *Gateway
	scope   contract.Path
	call    program.CallRef
	// initial is the call's state for the accepted event; nil once that event
	// was returned.
	initial *api.Call
	// buffer is nil until it is found, and again after it was read to its end.
	buffer *stream.Buffer
	// bufferDone is set when no buffer has to be looked up: it was read to its
	// end, or the call has none.
	bufferDone bool
	// endReply delivers the reply to the request for the terminal call. It is nil
	// while no such request is pending; cancel cancels the request.
	endReply chan control.Reply
	cancel   context.CancelFunc
	// final is the terminal call; nil until it is known.
	final *api.Call
}

// openLocal opens a stream of the call from this node.
func (g *Gateway) openLocal(request *exchange, call *api.Call) outcome {
	if call == nil {
		return refused(api.Refuse(api.CodeNotFound, "no such call"))
	}
	opened := &localSource{
		gateway:    g,
		scope:      request.scope,
		call:       program.CallRef{Program: call.Program, Sequence: call.Sequence},
		initial:    call,
		bufferDone: call.Kind == api.CallTool,
		cancel:     func() {},
	}
	if call.Status.Terminal() {
		opened.final = call
	}
	return outcome{answer: answer{source: opened}}
}

// next implements source.
func (s *localSource) next(ctx context.Context, from position) (event, error) {
	if s.initial != nil {
		accepted := event{kind: eventAccepted, data: marshal(s.initial)}
		s.initial = nil
		return accepted, nil
	}
	idle, cancel := context.WithTimeout(ctx, s.gateway.config.KeepAlive)
	defer cancel()
	for {
		next, found, err := s.step(ctx, idle, from)
		if found || err != nil {
			return next, err
		}
		if idle.Err() != nil {
			return event{kind: eventKeepAlive}, ctx.Err()
		}
	}
}

// step performs one step towards the next event and reports whether it found
// one. The context idle ends when the next keep-alive is due, lifetime with the
// stream.
func (s *localSource) step(lifetime, idle context.Context, from position) (event, bool, error) {
	if s.final != nil {
		return s.fromRecord(from), true, nil
	}
	if s.endReply == nil {
		s.requestEnd(lifetime)
	}
	if s.buffer == nil && !s.bufferDone {
		s.buffer, _ = s.gateway.service.Stream(s.call)
	}
	if s.buffer != nil {
		next, found := s.fromBuffer(idle, from)
		return next, found, nil
	}
	return event{}, false, s.awaitEnd(lifetime, idle)
}

// fromBuffer waits for text in the buffer, and returns the event for it. At the
// end of the buffer it stores the final call, if the buffer has it.
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
	buffer := s.buffer
	if part.Closed {
		s.buffer = nil
		s.bufferDone = true
		s.final = part.Final
	}
	if part.Attempt < from.attempt {
		return event{}, false
	}
	at := position{attempt: part.Attempt, offset: part.Offset}
	next, found := textEvent(at, part.Text[:wholeCharacters(part.Text)])
	if !found && !part.Closed {
		_, _ = buffer.Next(ctx, part.Attempt, part.Offset+len(part.Text))
	}
	return next, found
}

// awaitEnd waits until the call is terminal, or until the call's buffer is to be
// looked up again or a keep-alive is due.
func (s *localSource) awaitEnd(lifetime, idle context.Context) error {
	var poll <-chan time.Time
	if !s.bufferDone {
		timer := time.NewTimer(bufferPollInterval)
		defer timer.Stop()
		poll = timer.C
	}
	select {
	case reply := <-s.endReply:
		return s.handleEnd(lifetime, reply)
	case <-poll:
	case <-idle.Done():
	}
	return nil
}

// requestEnd requests the call once it is terminal. It does so before the first
// text, because a request after the end makes the owner read the call back from
// the log, which costs reads and fails while the log service is down.
func (s *localSource) requestEnd(lifetime context.Context) {
	waiting, cancel := context.WithCancel(lifetime)
	endReply := make(chan control.Reply, 1)
	request := control.Request{
		Operation: control.OperationCall,
		Scope:     s.scope,
		Program:   s.call.Program,
		Sequence:  s.call.Sequence,
		Wait:      true,
	}
	go func() { endReply <- s.gateway.service.Do(waiting, request) }()
	s.endReply = endReply
	s.cancel = cancel
}

// handleEnd handles the reply to requestEnd's request.
func (s *localSource) handleEnd(lifetime context.Context, reply control.Reply) error {
	s.cancel()
	s.endReply = nil
	switch {
	case reply.Error == nil && reply.Call != nil && reply.Call.Status.Terminal():
		s.final = reply.Call
		return nil
	case lifetime.Err() != nil:
		return lifetime.Err()
	case reply.Error == nil, reply.Error.Code == api.CodeNotOwner, reply.Error.Code == api.CodeOwnerUnknown:
		return errSourceLost
	default:
		return reply.Error
	}
}

// fromRecord returns the next event from the call's durable record: the rest of
// the text, then the end event. If the caller's text is of another attempt, it
// restarts with the whole text.
func (s *localSource) fromRecord(from position) event {
	call := s.final
	if from.attempt != 0 && from.attempt != call.Attempt && call.Output != "" {
		return restartEvent(call.Attempt)
	}
	if from.offset < len(call.Output) {
		at := position{attempt: call.Attempt, offset: from.offset}
		next, _ := textEvent(at, call.Output[from.offset:])
		return next
	}
	return event{kind: eventEnd, at: from, data: marshal(call)}
}

// close implements source. It cancels the wait for the call's end.
func (s *localSource) close() { s.cancel() }

// remoteSource reads an answer from the node that owns its program.
type remoteSource struct {
	gateway  *Gateway
	response *fasthttp.Response
	reader   *bufio.Reader
	// ended is set once the owner's last event was received.
	ended bool
}

// eventBufferBytes is the size of a reader's buffer for the lines of events.
const eventBufferBytes = 4 << 10

// eventReaders is a pool of readers.
var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferBytes) }}

func newRemoteSource(g *Gateway, response *fasthttp.Response) *remoteSource {
	reader := eventReaders.Get().(*bufio.Reader)
	reader.Reset(response.BodyStream())
	return &remoteSource{gateway: g, response: response, reader: reader}
}

// next implements source.
func (s *remoteSource) next(ctx context.Context, from position) (event, error) {
	next := event{at: from}
	size := 0
	for {
		line, err := s.reader.ReadBytes('\n')
		if err != nil {
			return event{}, errors.Join(ctx.Err(), errSourceLost)
		}
		size += len(line)
		if size > s.gateway.config.MaximumReplyBytes {
			return event{}, errSourceLost
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		if len(line) == 0 {
			s.ended = next.kind == eventEnd || next.kind == eventError
			return detectOwnerLoss(ctx, next)
		}
		readField(&next, line)
	}
}

// readField parses one line of an event.
func readField(next *event, line []byte) {
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

// detectOwnerLoss returns errSourceLost for an error event that reports a
// change of owner, and other events unchanged.
func detectOwnerLoss(ctx context.Context, next event) (event, error) {
	if next.kind == eventKeepAlive {
		return next, ctx.Err()
	}
	if next.kind != eventError {
		return next, nil
	}
	failure := next.failure()
	if failure.Code == api.CodeNotOwner || failure.Code == api.CodeOwnerUnknown {
		return event{}, errSourceLost
	}
	return next, nil
}

// close implements source. If the stream has not ended, it closes the
// connection, so that the owner stops sending. Otherwise it reads the response
// to its end in the background, so that the connection can be reused: only the
// end of the chunked body is still to come, and Config.PeerSilence bounds the
// wait for it.
func (s *remoteSource) close() {
	if !s.ended {
		s.release()
		return
	}
	go func() {
		_, _ = s.reader.Peek(1)
		s.release()
	}()
}

// release returns the reader and the response to their pools. The source must
// not be read afterwards.
func (s *remoteSource) release() {
	s.reader.Reset(nil)
	eventReaders.Put(s.reader)
	s.reader = nil
	_ = s.response.CloseBodyStream()
	fasthttp.ReleaseResponse(s.response)
}
