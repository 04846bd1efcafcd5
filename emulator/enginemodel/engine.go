package enginemodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/schedule"
)

// Engine is the state machine of one emulated model engine.
type Engine struct {
	config Config
	random *rand.Rand

	models  map[string]bool
	fence   uint64
	role    Role
	leaving bool

	arrivals uint64
	streams  map[string]*sequence // waiting, running, or waiting for an import
	waiting  waiting
	running  []*sequence
	cache    *cache
	// reserved is the KV memory, in tokens, of running sequences and pending
	// imports.
	reserved int
	imports  map[api.ProgramID]*pendingImport
	timers   []timer

	finished      map[string]Finished
	finishedOrder []finishedStream

	iteration     iteration
	clock         time.Time
	outputs       outputs
	eventSequence uint64 // sequence of the last cache event
	stats         Statistics
}

// pendingImport is an unfinished KV transfer to this engine. parked holds the
// streams that wait for its end.
type pendingImport struct {
	tokens int
	parked []*sequence
}

// finishedStream is a finished stream and the end of its retention.
type finishedStream struct {
	stream    string
	expiresAt time.Time
}

// New returns an engine that starts at the given time. The random source must not
// be shared with another user.
func New(config Config, now time.Time, random *rand.Rand) (*Engine, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	created := &Engine{
		config:   config,
		random:   random,
		models:   make(map[string]bool),
		role:     RoleBalanced,
		streams:  make(map[string]*sequence),
		cache:    newCache(),
		imports:  make(map[api.ProgramID]*pendingImport),
		finished: make(map[string]Finished),
		clock:    now,
	}
	for _, model := range config.Models {
		created.models[model] = true
	}
	if config.ReportPeriod > 0 {
		created.addTimer(timer{at: now.Add(config.ReportPeriod), kind: timerReport})
	}
	return created, nil
}

// Step advances the engine to now, which must not be before the previous call, and
// applies the event. On an error the event had no effect.
func (e *Engine) Step(now time.Time, event Event) error {
	e.advance(now)
	err := e.apply(event)
	e.advance(now)
	return err
}

// apply applies an event at the current time.
func (e *Engine) apply(event Event) error {
	switch {
	case event.Generate != nil:
		return e.generate(*event.Generate)
	case event.Cancel != nil:
		e.cancel(event.Cancel.Stream)
	case event.Release != nil:
		e.release(event.Release.Owner)
	case event.Import != nil:
		return e.startImport(*event.Import)
	case event.Export != nil:
		e.release(event.Export.Owner)
	case event.Order != nil:
		return e.order(*event.Order)
	case event.Leave:
		e.leaving = true
	}
	return nil
}

// generate queues a new stream. If the stream exists, it has no effect; if the
// stream is finished, its end is emitted again.
func (e *Engine) generate(request Generate) error {
	if _, known := e.streams[request.Stream]; known {
		return nil
	}
	if ended, known := e.finished[request.Stream]; known {
		e.outputs.add(Output{At: e.clock, Finished: &ended})
		return nil
	}
	if err := e.checkAdmissible(request); err != nil {
		return err
	}
	e.arrivals++
	added := &sequence{
		Generate: request,
		arrival:  e.arrivals,
		index:    -1,
		target:   max(1, min(request.OutputTokens, request.MaxOutputTokens)),
	}
	e.streams[request.Stream] = added
	if transfer := e.imports[request.Owner]; transfer != nil {
		transfer.parked = append(transfer.parked, added)
		return nil
	}
	heap.Push(&e.waiting, added)
	e.endRun()
	return nil
}

// checkAdmissible returns an error if the engine cannot accept the request.
func (e *Engine) checkAdmissible(request Generate) error {
	if e.leaving {
		return ErrLeaving
	}
	if !e.models[request.Model] {
		return fmt.Errorf("%w: %q", ErrModelNotLoaded, request.Model)
	}
	if request.PromptTokens <= 0 {
		return ErrEmptyPrompt
	}
	if request.PromptTokens+request.MaxOutputTokens > e.config.CacheTokens {
		return fmt.Errorf("%w: %d and %d of %d tokens", ErrTooLong, request.PromptTokens, request.MaxOutputTokens, e.config.CacheTokens)
	}
	return nil
}

// cancel stops a stream that has not ended. What a running stream has computed is
// cached.
func (e *Engine) cancel(stream string) {
	stopped := e.streams[stream]
	if stopped == nil {
		return
	}
	if stopped.reserved > 0 {
		e.endRun()
		e.removeRunning(stopped)
		e.cachePrefix(stopped.Owner, stopped.computed())
	} else {
		e.removeWaiting(stopped)
	}
	e.finish(stopped, true)
}

// removeWaiting removes a stream from the queue or from the import that it waits
// for.
func (e *Engine) removeWaiting(stopped *sequence) {
	if stopped.index >= 0 {
		e.waiting.remove(stopped)
		return
	}
	transfer := e.imports[stopped.Owner]
	for i, parked := range transfer.parked {
		if parked == stopped {
			transfer.parked = append(transfer.parked[:i], transfer.parked[i+1:]...)
			return
		}
	}
}

// removeRunning removes a stream from the batch and frees its reserved memory.
func (e *Engine) removeRunning(stopped *sequence) {
	for i, running := range e.running {
		if running == stopped {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.reserved -= stopped.reserved
	stopped.reserved = 0
}

// finish emits the end of a stream and stores it for resumption.
func (e *Engine) finish(ended *sequence, cancelled bool) {
	delete(e.streams, ended.Stream)
	report := Finished{
		Stream: ended.Stream,
		Owner:  ended.Owner,
		Usage: api.Usage{
			PromptTokens: ended.PromptTokens,
			CachedTokens: ended.cached,
			OutputTokens: ended.produced,
		},
		Resident:     e.resident(ended.Owner),
		Cancelled:    cancelled,
		FirstTokenAt: ended.firstTokenAt,
		Load:         e.load(),
	}
	e.stats.Finished++
	if e.config.StreamRetention > 0 {
		e.finished[ended.Stream] = report
		e.finishedOrder = append(e.finishedOrder, finishedStream{ended.Stream, e.clock.Add(e.config.StreamRetention)})
	}
	e.outputs.add(Output{At: e.clock, Finished: &report})
}

// load returns the current load. QueuedTokens are the uncached prompt tokens that
// are still to be prefilled.
func (e *Engine) load() schedule.Load {
	measured := schedule.Load{
		Backend:      e.config.ID,
		At:           e.clock,
		Running:      len(e.running),
		Queued:       len(e.waiting),
		CachedTokens: e.cache.tokens + e.reserved,
	}
	for _, queued := range e.waiting {
		measured.QueuedTokens += max(queued.PromptTokens-e.cachedPromptTokens(queued), 0)
	}
	for _, running := range e.running {
		measured.QueuedTokens += running.prefillLeft
	}
	return measured
}

// cachedPromptTokens returns how many prompt tokens of a waiting sequence are
// cached. At least the last prompt token is always computed.
func (e *Engine) cachedPromptTokens(queued *sequence) int {
	if queued.IgnoreCache {
		return 0
	}
	return min(e.resident(queued.Owner), queued.PromptTokens-1)
}
