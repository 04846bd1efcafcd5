package enginemodel

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/schedule"
)

// Output is an output of the engine, a tagged union: exactly one field besides At
// is set. FirstToken is the name of a stream, ModelReady that of a model.
type Output struct {
	// At is when the output is due. Load reports and cache events are delayed.
	At         time.Time
	FirstToken string
	Finished   *Finished
	CacheEvent *engine.CacheEvent
	Load       *schedule.Load
	Imported   *Imported
	ModelReady string
}

// Finished is the end of a stream.
type Finished struct {
	Stream string
	Owner  api.ProgramID
	Usage  api.Usage
	// Resident is the number of cached tokens of the owner's prefix.
	Resident  int
	Cancelled bool
	// FirstTokenAt is when the first token was produced, zero if there is none.
	FirstTokenAt time.Time
	Load         schedule.Load
}

// Imported is the end of a KV transfer.
type Imported struct {
	Owner  api.ProgramID
	Tokens int
}

// Progress is the progress of a stream. Produced counts output tokens; Finished is
// set if Done.
type Progress struct {
	Produced int
	Done     bool
	Finished Finished
}

// Statistics are the counters of the engine since its start.
type Statistics struct {
	Finished       int
	PrefillTokens  int64
	CachedTokens   int64
	OutputTokens   int64
	ImportedTokens int64
	Evictions      int
	// IdleTokenSeconds is the KV memory that was not used again, in tokens times
	// the seconds from the last use to the eviction or release.
	IdleTokenSeconds float64
	// Busy is the total duration of the iterations.
	Busy time.Duration
}

// outputs holds the outputs that Ready has not returned yet. Cache events and load
// reports are delayed; each of the two queues is ordered by due time.
type outputs struct {
	immediate []Output
	cache     []Output
	loads     []Output
}

// add appends an output that is due immediately.
func (o *outputs) add(output Output) { o.immediate = append(o.immediate, output) }

// addCacheEvent appends a cache event, due no earlier than the previous one.
func (o *outputs) addCacheEvent(output Output) { o.cache = appendOrdered(o.cache, output) }

// addLoad appends a load report, due no earlier than the previous one.
func (o *outputs) addLoad(output Output) { o.loads = appendOrdered(o.loads, output) }

// appendOrdered appends an output and postpones it to the due time of the previous
// one if that is later, which happens when SetDelays shortens the delay.
func appendOrdered(queue []Output, output Output) []Output {
	if last := len(queue) - 1; last >= 0 && output.At.Before(queue[last].At) {
		output.At = queue[last].At
	}
	return append(queue, output)
}

// takeDue splits a queue into the outputs that are due by now and the rest.
func takeDue(queue []Output, now time.Time) (ready, rest []Output) {
	count := 0
	for count < len(queue) && !queue[count].At.After(now) {
		count++
	}
	return queue[:count], queue[count:]
}

// Ready returns the outputs that are due by now and removes them.
func (e *Engine) Ready(now time.Time) []Output {
	ready := e.outputs.immediate
	e.outputs.immediate = nil
	cache, restCache := takeDue(e.outputs.cache, now)
	loads, restLoads := takeDue(e.outputs.loads, now)
	e.outputs.cache, e.outputs.loads = restCache, restLoads
	if len(cache) > 0 {
		ready = append(ready, cache...)
	}
	if len(loads) > 0 {
		ready = append(ready, loads...)
	}
	return ready
}

// NextWake returns when the engine next has an output or an internal change
// without an event. The zero time means never.
func (e *Engine) NextWake() time.Time {
	if len(e.outputs.immediate) > 0 {
		return e.clock
	}
	var next time.Time
	earlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if e.iteration.count > 0 {
		earlier(e.iteration.end())
	}
	if len(e.timers) > 0 {
		earlier(e.timers[0].at)
	}
	if len(e.outputs.cache) > 0 {
		earlier(e.outputs.cache[0].At)
	}
	if len(e.outputs.loads) > 0 {
		earlier(e.outputs.loads[0].At)
	}
	return next
}

// NextIteration returns when the current iteration ends and the sequences progress.
// The zero time means that the engine is idle.
func (e *Engine) NextIteration() time.Time {
	if e.iteration.count == 0 {
		return time.Time{}
	}
	return e.iteration.start.Add(e.iteration.duration)
}

// Progress returns the progress of a stream as of the last Step. It reports false
// for an unknown stream and after the retention of a finished one.
func (e *Engine) Progress(stream string) (Progress, bool) {
	if ended, known := e.finished[stream]; known {
		return Progress{Produced: ended.Usage.OutputTokens, Done: true, Finished: ended}, true
	}
	if running, known := e.streams[stream]; known {
		return Progress{Produced: running.produced}, true
	}
	return Progress{}, false
}

// EventSequence returns the sequence of the last cache event, including events
// that are not due yet or lost.
func (e *Engine) EventSequence() uint64 { return e.eventSequence }

// Load returns the load as of the last Step.
func (e *Engine) Load() schedule.Load { return e.load() }

// Outstanding returns the number of unfinished streams.
func (e *Engine) Outstanding() int { return len(e.streams) }

// Statistics returns the counters as of the last Step. Prefixes that are still
// cached do not count as idle; see Engine.IdleTokenSeconds.
func (e *Engine) Statistics() Statistics { return e.stats }

// IdleTokenSeconds returns the KV memory that was not used again, in tokens times
// seconds. Prefixes that are still cached count as if they were dropped now.
func (e *Engine) IdleTokenSeconds() float64 {
	total := e.stats.IdleTokenSeconds
	for element := e.cache.order.Front(); element != nil; element = element.Next() {
		held := element.Value.(*prefix)
		total += float64(held.tokens) * e.clock.Sub(held.used).Seconds()
	}
	return total
}

// Resident returns the number of cached tokens of the owner's prefix, zero while a
// running sequence uses it.
func (e *Engine) Resident(owner api.ProgramID) int { return e.resident(owner) }

// Prefixes returns the cached prefixes, sorted by owner. Those that a running
// sequence uses have an idle time of zero.
func (e *Engine) Prefixes() []engine.Prefix {
	var listed []engine.Prefix
	for element := e.cache.order.Front(); element != nil; element = element.Next() {
		held := element.Value.(*prefix)
		listed = append(listed, engine.Prefix{Owner: held.owner, Tokens: held.tokens, IdleFor: e.clock.Sub(held.used)})
	}
	for _, running := range e.running {
		listed = append(listed, engine.Prefix{Owner: running.Owner, Tokens: running.computed()})
	}
	slices.SortFunc(listed, func(a, b engine.Prefix) int { return strings.Compare(string(a.Owner), string(b.Owner)) })
	return listed
}

// SetDelays changes the delays of load reports and cache events.
func (e *Engine) SetDelays(report, event time.Duration) {
	e.config.ReportDelay = report
	e.config.EventDelay = event
}
