package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// keepAliveInterval is the interval at which an idle stream gets an empty line,
// to detect callers that have disconnected.
const keepAliveInterval = 500 * time.Millisecond

// engineService serves the HTTP routes of one engine.
type engineService struct {
	engine *runningEngine
	gate   *gate
	set    *Set
}

// routes returns the engine's routes with fault injection.
func (s *engineService) routes() *router.Router {
	routes := router.New()
	routes.POST("/generate", s.gate.guard(s.generate))
	routes.POST("/cancel", s.gate.guard(s.cancel))
	routes.POST("/release", s.gate.guard(s.release))
	routes.GET("/prefixes", s.gate.guard(s.listPrefixes))
	routes.GET("/events", s.gate.guard(s.listEvents))
	routes.GET("/load", s.gate.guard(s.load))
	routes.POST("/order", s.gate.guard(s.order))
	routes.POST("/import", s.gate.guard(s.importPrefix))
	return routes
}

// generate starts or resumes a stream and answers with JSON lines.
func (s *engineService) generate(ctx *fasthttp.RequestCtx) {
	var request engine.GenerateRequest
	if !decode(ctx, &request) {
		return
	}
	text, err := s.engine.generate(request)
	if err != nil {
		fail(ctx, statusOf(err), err)
		return
	}
	caller := callerZone(ctx)
	found, _ := s.gate.faults.effectsOn(s.gate.service, caller)
	writer := &streamWriter{
		service:    s,
		stream:     request.Stream,
		text:       text,
		sent:       request.ResumeFrom / bytesPerToken,
		skip:       request.ResumeFrom % bytesPerToken,
		caller:     caller,
		answerLost: found.answerLost,
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(writer.write)
}

// statusOf maps the engine's refusals to HTTP status codes, all of which mean
// that nothing ran.
func statusOf(err error) int {
	if errors.Is(err, enginemodel.ErrLeaving) {
		return fasthttp.StatusServiceUnavailable
	}
	if errors.Is(err, enginemodel.ErrStaleFence) {
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusUnprocessableEntity
}

// streamWriter writes one stream to one caller.
type streamWriter struct {
	service *engineService
	stream  string
	text    answerText
	// sent is the number of whole tokens that the caller has received, skip the
	// number of bytes of the next token that it has received.
	sent       int
	skip       int
	caller     zone.Name
	answerLost bool
}

// write sends the stream until it ends, or until the caller disconnects or
// becomes unreachable. A disconnect doesn't stop the stream, because the caller
// may resume it.
func (w *streamWriter) write(out *bufio.Writer) {
	for {
		progress, known, changed := w.service.engine.progress(w.stream)
		if !known || w.service.gate.faults.isUnreachable(w.service.gate.service, w.caller) {
			return
		}
		if w.answerLost && progress.Done {
			return
		}
		if err := w.writeProgress(out, progress); err != nil || progress.Done {
			return
		}
		if !w.wait(out, changed) {
			return
		}
	}
}

// chunkBody is one line of a stream. It encodes engine.Chunk, and omits empty
// fields, such as those that only the last line has.
type chunkBody struct {
	Offset   int           `json:"offset"`
	Text     string        `json:"text,omitempty"`
	Done     bool          `json:"done,omitempty"`
	Usage    api.Usage     `json:"usage,omitzero"`
	Load     schedule.Load `json:"load,omitzero"`
	Resident int           `json:"resident,omitempty"`
	Error    string        `json:"error,omitempty"`
}

// writeProgress writes the text that the caller hasn't received yet.
func (w *streamWriter) writeProgress(out *bufio.Writer, progress enginemodel.Progress) error {
	if progress.Produced <= w.sent && !progress.Done {
		return out.Flush()
	}
	chunk := chunkBody{Offset: w.sent*bytesPerToken + w.skip}
	if progress.Produced > w.sent {
		text := w.text.slice(w.sent, progress.Produced)
		chunk.Text = text[min(w.skip, len(text)):]
		w.skip = 0
		w.sent = progress.Produced
	}
	if progress.Done {
		chunk.Done = true
		chunk.Usage = progress.Finished.Usage
		chunk.Load = progress.Finished.Load
		chunk.Resident = progress.Finished.Resident
		if progress.Finished.Cancelled {
			chunk.Error = "cancelled"
		}
	}
	return writeLine(out, chunk)
}

// writeLine writes one JSON line and flushes it.
func writeLine(out *bufio.Writer, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err := out.Write(append(encoded, '\n')); err != nil {
		return err
	}
	return out.Flush()
}

// wait blocks until the stream may have progressed or keepAliveInterval has
// passed. It returns false if the caller has disconnected or the stand-ins are
// closed.
func (w *streamWriter) wait(out *bufio.Writer, changed <-chan struct{}) bool {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		_ = out.WriteByte('\n')
		return out.Flush() == nil
	case <-w.service.gate.closed:
		return false
	}
}

// cancel stops a stream.
func (s *engineService) cancel(ctx *fasthttp.RequestCtx) {
	var body engine.CancelBody
	if !decode(ctx, &body) {
		return
	}
	_ = s.engine.step(enginemodel.Event{Cancel: &enginemodel.Cancel{Stream: body.Stream}})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// release drops a program's prefix.
func (s *engineService) release(ctx *fasthttp.RequestCtx) {
	var body engine.ReleaseBody
	if !decode(ctx, &body) {
		return
	}
	_ = s.engine.step(enginemodel.Event{Release: &enginemodel.Release{Owner: body.Owner}})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// listPrefixes lists the cached prefixes.
func (s *engineService) listPrefixes(ctx *fasthttp.RequestCtx) {
	answer(ctx, engine.PrefixesBody{Prefixes: s.engine.listPrefixes()})
}

// listEvents answers with the cache events after the sequence number in the
// query.
func (s *engineService) listEvents(ctx *fasthttp.RequestCtx) {
	s.applyLag()
	after, err := ctx.QueryArgs().GetUint("after")
	if err != nil {
		after = 0
	}
	answer(ctx, engine.EventsBody{Events: s.engine.eventsAfter(uint64(after))})
}

// load answers with the latest load report.
func (s *engineService) load(ctx *fasthttp.RequestCtx) {
	s.applyLag()
	answer(ctx, s.engine.lastReport())
}

// applyLag applies the active lagging fault, if any.
func (s *engineService) applyLag() {
	s.engine.setLag(s.gate.faults.lag(s.gate.service.name))
}

// order applies a fenced load or unload order. The weights of a model to load
// are transferred from the weight store.
func (s *engineService) order(ctx *fasthttp.RequestCtx) {
	var body engine.Order
	if !decode(ctx, &body) {
		return
	}
	order := enginemodel.Order{Fence: body.Fence, Load: body.Load, Unload: body.Unload, Role: enginemodel.Role(body.Role)}
	if body.Load != "" {
		order.WeightsIn = s.set.platform.reserveWeights(body.Load)
	}
	if err := s.engine.step(enginemodel.Event{Order: &order}); err != nil {
		fail(ctx, statusOf(err), err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// importPrefix moves a program's KV cache here from another engine of the set,
// and answers once it has arrived.
func (s *engineService) importPrefix(ctx *fasthttp.RequestCtx) {
	var body engine.ImportBody
	if !decode(ctx, &body) {
		return
	}
	source := s.set.findEngine(body.From)
	if source == nil || source == s.engine {
		fail(ctx, fasthttp.StatusNotFound, fmt.Errorf("from: no engine %q", body.From))
		return
	}
	tokens, text := source.exportable(body.Owner)
	if tokens == 0 {
		fail(ctx, fasthttp.StatusNotFound, fmt.Errorf("owner: nothing cached at %q", body.From))
		return
	}
	if err := s.engine.importPrefix(body.Owner, tokens, text); err != nil {
		fail(ctx, statusOf(err), err)
		return
	}
	_ = source.step(enginemodel.Event{Export: &enginemodel.Export{Owner: body.Owner}})
	s.awaitImport(body.Owner)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// awaitImport waits until the prefix is cached here, at most hungLimit.
func (s *engineService) awaitImport(owner api.ProgramID) {
	limit := time.NewTimer(hungLimit)
	defer limit.Stop()
	for {
		resident, changed := s.engine.resident(owner)
		if resident > 0 {
			return
		}
		select {
		case <-changed:
		case <-s.gate.closed:
			return
		case <-limit.C:
			return
		}
	}
}
