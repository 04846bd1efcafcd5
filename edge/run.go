package edge

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/eventstream"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// turnRun is the run of one admitted turn, on as many replicas as it takes.
type turnRun struct {
	node    *Node
	request *requestState
	table   *routing.Table
	grant   grant

	splitter eventstream.Splitter
	// events counts the complete events of the current run.
	events int
	// lastEvent is the id of the last event that was sent to the client or held for it.
	lastEvent    int64
	hasLastEvent bool
	// unnumbered is set once an event with data but without an id was sent or held: no other
	// run can resume the stream after it.
	unnumbered bool
	// output is the part of the answer that the engine reads before the next turn.
	output []byte
	// restHeld is the number of bytes of an incomplete event whose memory is held.
	restHeld int
	// runs counts the runs that may have begun.
	runs int
	// lastRun is the replica of the last run that may have begun.
	lastRun replica.Entry
	// originReported is closed once the owner knows the stream's origin; nil if there is
	// nothing to wait for.
	originReported <-chan struct{}
	// stored is set once the owner has stored, and thereby settled, the turn.
	stored bool
	// times records when events arrived, and lastReadAt when the stream was last read.
	times      streamTimes
	lastReadAt time.Time
	// lastPieceAt is when the last bytes of the stream arrived.
	lastPieceAt time.Time
	// heldOutput is the answer so far if nothing of it may be sent until the turn is
	// stored; released is set once it may be sent.
	heldOutput []byte
	released   bool
}

// pieceBytes is the size of the buffer for reads of a stream.
const pieceBytes = 4096

// maximumRuns bounds the runs of one turn.
const maximumRuns = 4

// perform runs the turn and answers the client.
func (t *turnRun) perform(ctx context.Context) {
	r := t.request
	defer t.settle()
	for attempts := 0; ; attempts++ {
		if attempts >= maximumAttempts || r.timeLeft() <= 0 {
			t.node.failWithoutReplica(r, errAllRefused, t.runs)
			return
		}
		entry, err := t.node.chooseReplica(r, t.table)
		if err != nil {
			t.node.failWithoutReplica(r, err, t.runs)
			return
		}
		if t.runs > 0 {
			t.node.logContinued(r, t.lastRun, entry, t.resumeFrom(), r.exchange.HeadWritten())
		}
		if t.attempt(ctx, entry) {
			return
		}
	}
}

// beginRun counts a run that may have begun.
func (t *turnRun) beginRun(entry replica.Entry) {
	t.runs++
	t.lastRun = entry
}

// settle reports the end of the turn to the owner, unless storing it has done so.
func (t *turnRun) settle() {
	if t.runs > 0 {
		t.request.markRun()
	}
	if t.holdsOutput() && !t.released {
		t.request.tokens = 0
	}
	switch {
	case !t.request.needsOwner():
	case t.stored:
		t.node.unsettled.end(time.Now(), t.request.partition, t.node.settlementOf(t.request))
	default:
		t.node.settle(t.request)
	}
}

// attempt sends the turn to one replica. It reports whether the request was answered; if
// not, another attempt may follow.
func (t *turnRun) attempt(ctx context.Context, entry replica.Entry) (over bool) {
	r, n := t.request, t.node
	r.urgency = n.urgency(r, t.table)
	response, err := n.pool.Send(targetOf(entry), n.replicaRequest(r, entry, t.body(), t.resumeFrom()), r.exchange.Cancel)
	if upstream.NotSent(err) {
		n.runEnded(r.flight)
		if n.endIfAbandoned(r, entry) {
			return true
		}
		n.attemptRejected(r, entry, replica.ResultFailed)
		return false
	}
	if err != nil {
		t.beginRun(entry)
		return t.afterFailure(entry, err)
	}
	n.observeColdStatus(entry.ID, response)
	n.replicaAnswered(entry, r.sentAt, response)
	if n.notExecuted(response) {
		response.Discard()
		n.runEnded(r.flight)
		n.attemptRejected(r, entry, replica.ResultRejected)
		return false
	}
	t.beginRun(entry)
	if response.Status() != fasthttp.StatusOK || !n.mayRelay(response) {
		return t.relayFailure(entry, response)
	}
	if err := t.relay(ctx, response); err != nil {
		response.Abort()
		return t.afterFailure(entry, err)
	}
	n.runServed(r, r.flight)
	n.replicas.ended(entry.ID, replica.ResultAnswered)
	t.observeTurn(entry)
	return true
}

// body returns the request body for the replica. On routes that store turns, it is the
// chain followed by the new input.
func (t *turnRun) body() []byte {
	if len(t.grant.chain) == 0 {
		return t.request.exchange.Body
	}
	body := make([]byte, 0, len(t.grant.chain)+len(t.request.exchange.Body))
	body = append(body, t.grant.chain...)
	return append(body, t.request.exchange.Body...)
}

// resumeFrom returns the id of the last event that was relayed or held, or "".
func (t *turnRun) resumeFrom() string {
	if !t.hasLastEvent {
		return ""
	}
	return strconv.FormatInt(t.lastEvent, 10)
}

// relayFailure relays a replica's answer that is not a stream.
func (t *turnRun) relayFailure(entry replica.Entry, response *upstream.Response) bool {
	r, n := t.request, t.node
	body, err := response.ReadAll()
	n.noteBody(r, response)
	if err != nil || !n.mayRelay(response) {
		return t.afterFailure(entry, err)
	}
	n.runEnded(r.flight)
	n.replicas.ended(entry.ID, resultForStatus(response.Status()))
	r.status = response.Status()
	if r.exchange.HeadWritten() {
		r.abort("the replica that was to continue answered " + strconv.Itoa(response.Status()))
		return true
	}
	r.reason = "answered"
	r.exchange.Relay(&response.Header, body)
	return true
}

// errEventOrder is the error of a continued stream that does not resume where the previous
// run broke off.
var errEventOrder = errors.New("the stream does not go on where it broke off")

// clientError is a failure to write to the client.
type clientError struct{ cause error }

// Error describes the failure.
func (e *clientError) Error() string { return "client: " + e.cause.Error() }

// relay relays the stream event by event and completes the answer.
func (t *turnRun) relay(ctx context.Context, response *upstream.Response) error {
	t.splitter, t.events, t.lastPieceAt = eventstream.Splitter{}, 0, time.Time{}
	defer t.noteStream(response)
	piece := make([]byte, pieceBytes)
	for {
		read, err := response.Read(piece)
		t.lastReadAt = time.Now()
		if read > 0 {
			t.lastPieceAt = t.lastReadAt
		}
		t.splitter.Write(piece[:read])
		relayErr := t.relayEvents(ctx, response)
		if errors.Is(relayErr, errBeyondMaximum) {
			t.noteBeyondMaximum()
			return t.complete(ctx, response)
		}
		if relayErr != nil {
			return relayErr
		}
		if err := t.boundRest(); err != nil {
			return err
		}
		if err == nil {
			continue
		}
		if err := t.checkEnd(response, err); err != nil {
			return err
		}
		return t.complete(ctx, response)
	}
}

// errBeyondMaximum means that a replica goes on after the most tokens of the turn. What it sends
// from there on belongs to no turn.
var errBeyondMaximum = errors.New("the stream goes on after the most tokens of its turn")

func (t *turnRun) noteBeyondMaximum() {
	r := t.request
	t.node.metrics.streamBeyondMaximum()
	t.node.logger.Warn().Str("request", r.id).Str("replica", string(t.lastRun.ID)).Int("most", r.maxTokens).Int("tokens", r.tokens).
		Int("events", t.events).Msg("request: stream ended at the most tokens of its turn")
}

// errEventTooLarge means that an event of a stream exceeds the bound on one.
var errEventTooLarge = errors.New("an event of the stream is too large")

// defaultEventBytes is the default of Settings.EventBytes.
const defaultEventBytes = 1 << 20

// boundRest holds the memory of an event that is not complete, within the bounds.
func (t *turnRun) boundRest() error {
	rest, memory := len(t.splitter.Rest()), t.request.exchange.Memory
	if rest > cmp.Or(t.node.settings.EventBytes, defaultEventBytes) {
		return errEventTooLarge
	}
	if rest <= t.restHeld {
		memory.Return(t.restHeld - rest)
		t.restHeld = rest
		return nil
	}
	if err := memory.Add(rest - t.restHeld); err != nil {
		return err
	}
	t.restHeld = rest
	return nil
}

// hold holds the memory of a part of the answer that is kept until the turn ends.
func (t *turnRun) hold(bytes int) error { return t.request.exchange.Memory.Add(bytes) }

// relayEvents relays the complete events that have been read.
func (t *turnRun) relayEvents(ctx context.Context, response *upstream.Response) error {
	for {
		event, whole := t.splitter.Next()
		if !whole {
			return nil
		}
		t.events++
		if reported := t.node.bindOrigin(t.request, t.lastRun); reported != nil {
			t.originReported = reported
		}
		if event.HasID && t.hasLastEvent && event.ID <= t.lastEvent {
			continue
		}
		if event.HasID && t.hasLastEvent && event.ID != t.lastEvent+1 && t.runs > 1 {
			return errEventOrder
		}
		if err := t.relayEvent(ctx, response, event); err != nil {
			return err
		}
	}
}

func (t *turnRun) relayEvent(ctx context.Context, response *upstream.Response, event eventstream.Event) error {
	r := t.request
	if event.HasData && r.maxTokens > 0 && r.tokens >= r.maxTokens {
		return errBeyondMaximum
	}
	if !r.exchange.HeadWritten() && !t.holdsOutput() {
		if err := t.beginResponse(ctx, response); err != nil {
			return err
		}
	}
	if event.HasData {
		t.unnumbered = t.unnumbered || !event.HasID
		r.tokens += t.tokensPerEvent()
		t.times.note(t.lastReadAt, r.tokens)
		if r.route.Retain {
			if err := t.hold(len(event.Data) + 1); err != nil {
				return err
			}
			t.output = append(append(t.output, event.Data...), '\n')
		}
	}
	if event.HasID {
		t.lastEvent, t.hasLastEvent = event.ID, true
	}
	return t.writeOrHold(event.Raw)
}

// holdsOutput reports whether the answer is held until the turn is stored. It is if the log
// accepted no records when the turn was admitted: a turn that could not be stored in time
// would otherwise have used its tokens in vain, and they would be missing from the budget
// when the client repeats the request.
func (t *turnRun) holdsOutput() bool {
	return t.grant.stalled && t.request.route.Retain && t.node.settings.uses(HoldUntilStored)
}

// writeOrHold sends a part of the answer to the client, or holds it.
func (t *turnRun) writeOrHold(part []byte) error {
	if t.holdsOutput() {
		if err := t.hold(len(part)); err != nil {
			return err
		}
		t.heldOutput = append(t.heldOutput, part...)
		return nil
	}
	if err := t.request.exchange.Write(part); err != nil {
		return &clientError{cause: err}
	}
	return nil
}

// beginResponse sends the response header, once the turn's tokens are durably counted.
func (t *turnRun) beginResponse(ctx context.Context, response *upstream.Response) error {
	r := t.request
	if t.grant.recorded != nil {
		select {
		case err := <-t.grant.recorded:
			if err != nil {
				return err
			}
			t.grant.recorded = nil
		case <-ctx.Done():
			return ctx.Err()
		}
		t.times.heldUntil = time.Now()
	}
	t.awaitOrigin(ctx)
	t.awaitVersionRecorded(ctx)
	r.timeToFirstEvent = time.Since(r.exchange.Arrived)
	r.status = response.Status()
	if err := r.exchange.BeginStream(&response.Header); err != nil {
		return &clientError{cause: err}
	}
	return nil
}

// release sends a held answer, now that the turn is stored.
func (t *turnRun) release(ctx context.Context, response *upstream.Response) error {
	if !t.holdsOutput() {
		return nil
	}
	if err := t.beginResponse(ctx, response); err != nil {
		return err
	}
	t.released = true
	if err := t.request.exchange.Write(t.heldOutput); err != nil {
		return &clientError{cause: err}
	}
	return nil
}

func (t *turnRun) tokensPerEvent() int {
	return max(1, t.table.Services[t.request.service].TokensPerEvent)
}

// complete ends an answer that was received whole. On routes that store turns, the turn is
// durable before the client gets the end of the answer.
func (t *turnRun) complete(ctx context.Context, response *upstream.Response) error {
	r := t.request
	response.Finish()
	if !r.exchange.HeadWritten() && !t.holdsOutput() {
		if err := t.beginResponse(ctx, response); err != nil {
			return err
		}
	}
	if r.route.Retain {
		r.status = response.Status()
		if err := t.store(ctx); err != nil {
			return err
		}
	}
	if err := t.release(ctx, response); err != nil {
		return err
	}
	r.reason = "answered"
	if err := r.exchange.EndStream(); err != nil {
		r.reason = "the client left at the end"
	}
	return nil
}

// storedTurn returns the turn as the owner stores it, without its base.
func (t *turnRun) storedTurn() ledger.StoredTurn {
	r := t.request
	stored := ledger.StoredTurn{
		ID: r.turnID(), Program: r.programID(), Previous: r.previousID(), Input: r.exchange.Body, Output: t.output, Retain: r.route.RetainFor,
	}
	if t.node.settings.uses(RecordReplica) {
		stored.Replica = string(r.choice.Entry.ID)
	}
	return stored
}

// chain returns the input that an engine has to read before a turn that continues this one.
func (t *turnRun) chain() []byte {
	return slices.Concat(t.grant.chain, t.request.exchange.Body, t.output)
}

// notStoredError is the error of a turn that was received whole but could not be stored in
// time.
type notStoredError struct{}

// Error describes the failure.
func (*notStoredError) Error() string { return "the turn could not be kept in time" }

// afterFailure handles a run that broke off: another run may continue the answer, or it
// ends.
func (t *turnRun) afterFailure(entry replica.Entry, err error) (over bool) {
	r, n := t.request, t.node
	n.processes.hear(entry.ID, t.lastPieceAt)
	n.runFailed(r, r.flight, n.newBrokenRun(r, entry, r.sentAt, err))
	var client *clientError
	if errors.As(err, &client) {
		n.replicas.ended(entry.ID, replica.ResultCancelled)
		r.abort(err.Error())
		return true
	}
	if n.endIfAbandoned(r, entry) {
		return true
	}
	var notStored *notStoredError
	if errors.As(err, &notStored) || errors.Is(err, errNotCounted) {
		n.replicas.ended(entry.ID, replica.ResultCancelled)
		r.fail(fasthttp.StatusBadGateway, err.Error(), 0)
		return true
	}
	n.replicas.ended(entry.ID, replica.ResultFailed)
	if !r.route.Repeatable() || t.unnumbered || t.runs >= maximumRuns {
		r.fail(fasthttp.StatusBadGateway, failureReason(err), 0)
		return true
	}
	r.retry(entry, t.runs)
	return false
}
