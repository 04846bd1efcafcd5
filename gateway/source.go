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

// bufferPoll is how often the buffer of a call is looked for that this node
// does not know yet.
const bufferPoll = 20 * time.Millisecond

// localSource reads an answer on the node that owns its program: from the
// buffer while the call runs, and then from the call's durable record, which
// comes with the end of the buffer or is asked for.
type localSource struct {
	gateway *Gateway
	scope   contract.Path
	call    program.CallRef
	// first is sent before anything else; it is nil afterwards.
	first *api.Call
	// buffer is nil until it is known, and again once it is drawn.
	buffer *stream.Buffer
	// drawn says that no buffer is to be looked for any more.
	drawn bool
	// ended delivers the call once it is terminal. It is nil until it is asked for.
	ended  chan control.Reply
	cancel context.CancelFunc
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
		scope:   request.scope,
		call:    program.CallRef{Program: call.Program, Sequence: call.Sequence},
		first:   call,
		drawn:   call.Kind == api.CallTool,
		cancel:  func() {},
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
		next, found, err := s.step(ctx, idle, from)
		if found || err != nil {
			return next, err
		}
		if idle.Err() != nil {
			return event{kind: eventKeepAlive}, ctx.Err()
		}
	}
}

// step makes one move towards the next event. idle ends with the next
// keep-alive, lifetime with the stream.
func (s *localSource) step(lifetime, idle context.Context, from position) (event, bool, error) {
	if s.final != nil {
		return s.fromRecord(from), true, nil
	}
	if s.ended == nil {
		s.askForEnd(lifetime)
	}
	if s.buffer == nil && !s.drawn {
		s.buffer, _ = s.gateway.service.Stream(s.call)
	}
	if s.buffer != nil {
		next, found := s.fromBuffer(idle, from)
		return next, found, nil
	}
	return event{}, false, s.awaitEnd(lifetime, idle)
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
	buffer := s.buffer
	if part.Closed {
		s.buffer = nil
		s.drawn = true
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

// awaitEnd waits until the call is terminal, or until it is time to look for
// its buffer again.
func (s *localSource) awaitEnd(lifetime, idle context.Context) error {
	var poll <-chan time.Time
	if !s.drawn {
		timer := time.NewTimer(bufferPoll)
		defer timer.Stop()
		poll = timer.C
	}
	select {
	case reply := <-s.ended:
		return s.takeEnd(lifetime, reply)
	case <-poll:
	case <-idle.Done():
	}
	return nil
}

// askForEnd asks for the call once it is terminal. It does so before the first
// text: whoever asks after the end has the call read back from the log, which
// costs reads and fails while the log service is down.
func (s *localSource) askForEnd(lifetime context.Context) {
	waiting, cancel := context.WithCancel(lifetime)
	ended := make(chan control.Reply, 1)
	request := control.Request{
		Operation: control.OperationCall,
		Scope:     s.scope,
		Program:   s.call.Program,
		Sequence:  s.call.Sequence,
		Wait:      true,
	}
	go func() { ended <- s.gateway.service.Do(waiting, request) }()
	s.ended = ended
	s.cancel = cancel
}

// takeEnd reads what askForEnd got.
func (s *localSource) takeEnd(lifetime context.Context, reply control.Reply) error {
	s.cancel()
	s.ended = nil
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
		next, _ := textEvent(at, call.Output[from.offset:])
		return next
	}
	return event{kind: eventEnd, at: from, data: marshal(call)}
}

// close implements source: nobody waits for the call's end any more.
func (s *localSource) close() { s.cancel() }

// remoteSource reads an answer from the node that owns its program.
type remoteSource struct {
	gateway  *Gateway
	response *fasthttp.Response
	reader   *bufio.Reader
	// ended is set once the owner has sent its last event.
	ended bool
}

// eventBytes is the size of the buffer for an event's lines.
const eventBytes = 4 << 10

// eventReaders holds readers for reuse.
var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBytes) }}

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
			return checked(ctx, next)
		}
		readField(&next, line)
	}
}

// readField reads one line of an event.
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

// checked turns the owner's report that it lost the program into a loss.
func checked(ctx context.Context, next event) (event, error) {
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

// close implements source. A stream that is not over loses its connection, so
// that the owner notices. One that is over is read to its end in the
// background, so that the connection serves the next request: only the mark of
// the end is still to come, and the silence allowed to a node bounds the wait.
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

// release gives back what the source holds; nothing reads from it any more.
func (s *remoteSource) release() {
	s.reader.Reset(nil)
	eventReaders.Put(s.reader)
	s.reader = nil
	_ = s.response.CloseBodyStream()
	fasthttp.ReleaseResponse(s.response)
}
