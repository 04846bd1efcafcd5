package enginemodel

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
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
	streams  map[string]*sequence // waiting, parked and running
	waiting  waiting
	running  []*sequence
	cache    *cache
	// reserved is the memory of running sequences and arriving imports.
	reserved int
	imports  map[api.ProgramID]*arriving
	timers   []timer

	finished      map[string]Finished
	finishedOrder []finishedStream

	iteration iteration
	clock     time.Time
	outputs   outputs
	events    uint64 // sequence of cache events
	stats     Statistics
}

// arriving is a KV transfer that has not ended, and the streams that wait for
// it.
type arriving struct {
	tokens int
	parked []*sequence
}

// finishedStream remembers when a finished stream may be forgotten.
type finishedStream struct {
	stream string
	until  time.Time
}

// New returns an engine that starts at the given time. The random source must
// not be shared.
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
		imports:  make(map[api.ProgramID]*arriving),
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

// Step lets time pass until now, which must not go back, and applies the
// event. On an error the event had no effect.
func (e *Engine) Step(now time.Time, event Event) error {
	e.advance(now)
	err := e.apply(event)
	e.advance(now)
	return err
}

// apply dispatches an event.
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

// generate queues a new stream, or attaches to the known one of that name.
func (e *Engine) generate(request Generate) error {
	if _, known := e.streams[request.Stream]; known {
		return nil
	}
	if ended, known := e.finished[request.Stream]; known {
		e.outputs.add(Output{At: e.clock, Finished: &ended})
		return nil
	}
	if err := e.admissible(request); err != nil {
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
	e.interrupt()
	return nil
}

// admissible says why a request can never run here.
func (e *Engine) admissible(request Generate) error {
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

// cancel stops a stream that has not ended.
func (e *Engine) cancel(stream string) {
	stopped := e.streams[stream]
	if stopped == nil {
		return
	}
	if stopped.reserved > 0 {
		e.interrupt()
		e.leaveBatch(stopped)
		e.keep(stopped.Owner, stopped.computed())
	} else {
		e.leaveQueue(stopped)
	}
	e.finish(stopped, true)
}

// leaveQueue removes a stream that is not running.
func (e *Engine) leaveQueue(stopped *sequence) {
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

// leaveBatch removes a running stream and frees its memory.
func (e *Engine) leaveBatch(stopped *sequence) {
	for i, running := range e.running {
		if running == stopped {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.reserved -= stopped.reserved
	stopped.reserved = 0
}

// finish tells the end of a stream and remembers it for resumption.
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

// resident is how many tokens of the owner's prefix are cached.
func (e *Engine) resident(owner api.ProgramID) int {
	if held := e.cache.get(owner); held != nil {
		return held.tokens
	}
	return 0
}

// release drops the owner's prefix, if no running sequence holds it.
func (e *Engine) release(owner api.ProgramID) {
	dropped := e.cache.take(owner)
	if dropped == nil {
		return
	}
	e.countIdle(dropped)
	e.tellCache(engine.CacheEvent{Owner: owner, Tokens: dropped.tokens, Evicted: true})
	e.interrupt()
}

// keep caches a prefix for the owner, unless a longer one is there.
func (e *Engine) keep(owner api.ProgramID, tokens int) {
	if tokens <= 0 {
		return
	}
	if held := e.cache.take(owner); held != nil {
		tokens = max(tokens, held.tokens)
	}
	e.cache.put(&prefix{owner: owner, tokens: tokens, used: e.clock})
	e.tellCache(engine.CacheEvent{Owner: owner, Tokens: tokens})
}

// makeRoom evicts the least recently used prefixes until tokens more fit. It
// reports false, and evicts nothing, when they cannot fit.
func (e *Engine) makeRoom(tokens int) bool {
	if e.reserved+tokens > e.config.CacheTokens {
		return false
	}
	for e.reserved+e.cache.tokens+tokens > e.config.CacheTokens {
		victim := e.cache.take(e.cache.oldest().owner)
		e.countIdle(victim)
		e.stats.Evictions++
		e.tellCache(engine.CacheEvent{Owner: victim.owner, Tokens: victim.tokens, Evicted: true})
	}
	return true
}

// countIdle adds the time since the last use of a prefix that goes unused.
func (e *Engine) countIdle(dropped *prefix) {
	e.stats.IdleTokenSeconds += float64(dropped.tokens) * e.clock.Sub(dropped.used).Seconds()
}

// startImport begins to receive a prefix.
func (e *Engine) startImport(request Import) error {
	if e.leaving {
		return ErrLeaving
	}
	if e.imports[request.Owner] != nil || request.Tokens <= 0 {
		return errors.New("engine: nothing to import, or an import already runs")
	}
	if !e.makeRoom(request.Tokens) {
		return ErrTooLong
	}
	e.reserved += request.Tokens
	e.imports[request.Owner] = &arriving{tokens: request.Tokens}
	e.addTimer(timer{at: e.clock.Add(e.config.TransferTime(request.Tokens)), kind: timerImported, owner: request.Owner})
	return nil
}

// endImport caches what has arrived and queues the streams that waited.
func (e *Engine) endImport(owner api.ProgramID) {
	transfer := e.imports[owner]
	delete(e.imports, owner)
	e.reserved -= transfer.tokens
	e.stats.ImportedTokens += int64(transfer.tokens)
	e.keep(owner, transfer.tokens)
	for _, parked := range transfer.parked {
		heap.Push(&e.waiting, parked)
	}
	e.outputs.add(Output{At: e.clock, Imported: &Imported{Owner: owner, Tokens: transfer.tokens}})
	e.interrupt()
}

// tellCache emits a cache event, late, or loses it.
func (e *Engine) tellCache(event engine.CacheEvent) {
	e.events++
	event.Sequence = e.events
	if e.config.EventLoss > 0 && e.random.Float64() < e.config.EventLoss {
		return
	}
	e.outputs.addCacheEvent(Output{At: e.clock.Add(e.config.EventDelay), CacheEvent: &event})
}

// load measures the engine.
func (e *Engine) load() schedule.Load {
	measured := schedule.Load{
		Backend:      e.config.ID,
		At:           e.clock,
		Running:      len(e.running),
		Queued:       len(e.waiting),
		CachedTokens: e.cache.tokens + e.reserved,
	}
	for _, queued := range e.waiting {
		measured.QueuedTokens += max(queued.PromptTokens-e.usable(queued), 0)
	}
	for _, running := range e.running {
		measured.QueuedTokens += running.prefillLeft
	}
	return measured
}

// usable is how much of a waiting sequence's prompt is cached.
func (e *Engine) usable(queued *sequence) int {
	if queued.Fresh {
		return 0
	}
	return min(e.resident(queued.Owner), queued.PromptTokens-1)
}
