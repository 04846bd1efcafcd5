package enginemodel

import (
	"container/heap"
	"errors"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
)

// resident returns the number of cached tokens of the owner's prefix that no
// running sequence uses.
func (e *Engine) resident(owner api.ProgramID) int {
	if held := e.cache.get(owner); held != nil {
		return held.tokens
	}
	return 0
}

// release drops the owner's prefix, unless a running sequence uses it.
func (e *Engine) release(owner api.ProgramID) {
	dropped := e.cache.take(owner)
	if dropped == nil {
		return
	}
	e.countIdle(dropped)
	e.emitCacheEvent(engine.CacheEvent{Owner: owner, Tokens: dropped.tokens, Evicted: true})
	e.endRun()
}

// cachePrefix caches a prefix for the owner. If a longer one is cached, its length
// is kept.
func (e *Engine) cachePrefix(owner api.ProgramID, tokens int) {
	if tokens <= 0 {
		return
	}
	if held := e.cache.take(owner); held != nil {
		tokens = max(tokens, held.tokens)
	}
	e.cache.put(&prefix{owner: owner, tokens: tokens, used: e.clock})
	e.emitCacheEvent(engine.CacheEvent{Owner: owner, Tokens: tokens})
}

// makeRoom evicts the least recently used prefixes until the number of tokens
// fits. It reports false, and evicts nothing, if that is not possible.
func (e *Engine) makeRoom(tokens int) bool {
	if e.reserved+tokens > e.config.CacheTokens {
		return false
	}
	for e.reserved+e.cache.tokens+tokens > e.config.CacheTokens {
		victim := e.cache.take(e.cache.oldest().owner)
		e.countIdle(victim)
		e.stats.Evictions++
		e.emitCacheEvent(engine.CacheEvent{Owner: victim.owner, Tokens: victim.tokens, Evicted: true})
	}
	return true
}

// countIdle adds a dropped prefix that was not used again to the idle KV memory.
func (e *Engine) countIdle(dropped *prefix) {
	e.stats.IdleTokenSeconds += float64(dropped.tokens) * e.clock.Sub(dropped.used).Seconds()
}

// startImport starts the transfer of a prefix to this engine.
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
	e.imports[request.Owner] = &pendingImport{tokens: request.Tokens}
	e.addTimer(timer{at: e.clock.Add(e.config.TransferTime(request.Tokens)), kind: timerImported, owner: request.Owner})
	return nil
}

// endImport caches the imported prefix and queues the streams that waited for it.
func (e *Engine) endImport(owner api.ProgramID) {
	transfer := e.imports[owner]
	delete(e.imports, owner)
	e.reserved -= transfer.tokens
	e.stats.ImportedTokens += int64(transfer.tokens)
	e.cachePrefix(owner, transfer.tokens)
	for _, parked := range transfer.parked {
		heap.Push(&e.waiting, parked)
	}
	e.outputs.add(Output{At: e.clock, Imported: &Imported{Owner: owner, Tokens: transfer.tokens}})
	e.endRun()
}

// emitCacheEvent emits a cache event after EventDelay, or loses it with the
// probability EventLoss. A lost event still takes a sequence number.
func (e *Engine) emitCacheEvent(event engine.CacheEvent) {
	e.eventSequence++
	event.Sequence = e.eventSequence
	if e.config.EventLoss > 0 && e.random.Float64() < e.config.EventLoss {
		return
	}
	e.outputs.addCacheEvent(Output{At: e.clock.Add(e.config.EventDelay), CacheEvent: &event})
}
