package enginemodel

import (
	"container/heap"
	"slices"
	"time"
)

// iteration is a run of iterations of equal duration with the same batch. A run
// of several iterations only decodes, and no sequence ends before its last
// iteration. An iteration that prefills is a run of its own.
type iteration struct {
	start    time.Time
	duration time.Duration
	// count is the number of iterations left, zero while the engine is idle.
	count int
}

// end returns the time at which the last iteration of the run ends.
func (i iteration) end() time.Time {
	return i.start.Add(time.Duration(i.count) * i.duration)
}

// advance computes the batch and fires the timers up to now, then removes the
// finished streams whose retention has expired.
func (e *Engine) advance(now time.Time) {
	for len(e.timers) > 0 && !e.timers[0].at.After(now) {
		expired := e.timers[0]
		e.timers = e.timers[1:]
		e.run(expired.at)
		e.fire(expired)
	}
	e.run(now)
	for len(e.finishedOrder) > 0 && !e.finishedOrder[0].expiresAt.After(now) {
		delete(e.finished, e.finishedOrder[0].stream)
		e.finishedOrder = e.finishedOrder[1:]
	}
}

// run computes the batch up to now.
func (e *Engine) run(now time.Time) {
	for {
		if e.iteration.count == 0 && !e.startIteration() {
			break
		}
		if end := e.iteration.end(); !end.After(now) {
			e.complete(e.iteration.count, end)
			continue
		}
		done := int(now.Sub(e.iteration.start) / e.iteration.duration)
		if done > 0 {
			e.complete(done, e.iteration.start.Add(time.Duration(done)*e.iteration.duration))
		}
		break
	}
	if now.After(e.clock) {
		e.clock = now
	}
}

// endRun makes the current iteration the last of its run, because the batch or the
// cache changes.
func (e *Engine) endRun() {
	e.iteration.count = min(e.iteration.count, 1)
}

// startIteration admits sequences and plans the next run of iterations. It reports
// whether there is anything to run.
func (e *Engine) startIteration() bool {
	e.admit()
	if len(e.running) == 0 {
		return false
	}
	prefill := e.planPrefill()
	decoding, shortest := 0, 0
	for _, running := range e.running {
		if running.prefillLeft > 0 {
			continue
		}
		decoding++
		left := running.target - running.produced
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	e.iteration = iteration{
		start: e.clock,
		duration: e.config.StepOverhead +
			time.Duration(decoding)*e.config.DecodePerSequence +
			time.Duration(prefill)*e.config.PrefillPerToken,
		count: 1,
	}
	if prefill == 0 {
		e.iteration.count = shortest
	}
	return true
}

// admit moves waiting sequences into the batch while a slot and the memory for
// their prompt and maximum output are free. Because the output is reserved in
// advance, a running sequence never has to be preempted.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		next := e.waiting[0]
		needed := next.PromptTokens + next.MaxOutputTokens
		held := e.cache.take(next.Owner)
		if !e.makeRoom(needed) {
			if held != nil {
				e.putBack(held)
			}
			return
		}
		heap.Pop(&e.waiting)
		e.start(next, held, needed)
	}
}

// putBack returns to the cache a prefix that was taken for a sequence that does
// not fit.
func (e *Engine) putBack(held *prefix) {
	e.cache.put(held)
}

// start adds a sequence to the batch. held is the owner's cached prefix, or nil;
// it is reused unless the request excludes that.
func (e *Engine) start(started *sequence, held *prefix, reserved int) {
	if held != nil && started.IgnoreCache {
		e.countIdle(held)
	}
	if held != nil && !started.IgnoreCache {
		started.cached = min(held.tokens, started.PromptTokens-1)
	}
	started.prefillLeft = started.PromptTokens - started.cached
	started.reserved = reserved
	e.reserved += reserved
	e.running = append(e.running, started)
	e.stats.CachedTokens += int64(started.cached)
}

// planPrefill distributes the prefill of the next iteration among the sequences
// that need it, in order of priority, and returns the total in tokens.
func (e *Engine) planPrefill() int {
	pending := e.pendingPrefill()
	budget := max(1, e.config.ChunkTokens*roleChunkEighths[e.role]/chunkDenominator)
	left := budget
	for _, next := range pending {
		next.chunk = min(next.prefillLeft, left)
		left -= next.chunk
	}
	return budget - left
}

// pendingPrefill returns the running sequences whose prompt is not fully computed,
// sorted by priority and arrival.
func (e *Engine) pendingPrefill() []*sequence {
	var pending []*sequence
	for _, running := range e.running {
		if running.prefillLeft > 0 {
			pending = append(pending, running)
		}
	}
	slices.SortFunc(pending, func(a, b *sequence) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return pending
}

// complete applies the number of iterations in done, the last of which ends at
// end.
func (e *Engine) complete(done int, end time.Time) {
	e.stats.Busy += time.Duration(done) * e.iteration.duration
	e.clock = end
	e.iteration.start = end
	e.iteration.count -= done
	ended := false
	for _, running := range e.running {
		e.progress(running, done)
		ended = ended || running.produced >= running.target
	}
	if ended {
		e.finishEnded()
	}
}

// progress applies the number of iterations in done to one sequence.
func (e *Engine) progress(running *sequence, done int) {
	if running.prefillLeft == 0 {
		running.produced += done
		e.stats.OutputTokens += int64(done)
		return
	}
	running.prefillLeft -= running.chunk
	e.stats.PrefillTokens += int64(running.chunk)
	running.chunk = 0
	if running.prefillLeft > 0 {
		return
	}
	running.produced = 1
	e.stats.OutputTokens++
	running.firstTokenAt = e.clock
	e.outputs.add(Output{At: e.clock, FirstToken: running.Stream})
}

// finishEnded finishes every sequence whose output is complete.
func (e *Engine) finishEnded() {
	for i := 0; i < len(e.running); {
		running := e.running[i]
		if running.produced < running.target {
			i++
			continue
		}
		e.removeRunning(running)
		e.cachePrefix(running.Owner, running.computed())
		e.finish(running, false)
	}
}
