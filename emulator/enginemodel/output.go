package enginemodel

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/schedule"
)

// Output is what the engine tells, a tagged union: exactly one field beside
// At is set.
type Output struct {
	// At is when it is told; a report or a cache event is told late.
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
	// Resident is how many tokens of the owner's prefix are cached now.
	Resident  int
	Cancelled bool
	// FirstTokenAt is when the first token was there.
	FirstTokenAt time.Time
	Load         schedule.Load
}

// Imported is the end of a KV transfer.
type Imported struct {
	Owner  api.ProgramID
	Tokens int
}

// Progress is how far a stream is.
type Progress struct {
	Produced int
	Done     bool
	Finished Finished
}

// Statistics count what the engine did since its start.
type Statistics struct {
	Finished       int
	PrefillTokens  int64
	CachedTokens   int64
	OutputTokens   int64
	ImportedTokens int64
	Evictions      int
	// IdleTokenSeconds is the KV memory that was held and never used again:
	// tokens times seconds from the last use to the eviction or release.
	IdleTokenSeconds float64
	// Busy is the time with a running iteration.
	Busy time.Duration
}

// outputs are the engine's tidings that are not told yet. Cache events and
// load reports are told late, each in their order.
type outputs struct {
	immediate []Output
	cache     []Output
	loads     []Output
}

// add appends an output that is told at once.
func (o *outputs) add(output Output) { o.immediate = append(o.immediate, output) }

// addCacheEvent appends a cache event, not before the one ahead of it.
func (o *outputs) addCacheEvent(output Output) { o.cache = appendOrdered(o.cache, output) }

// addLoad appends a load report, not before the one ahead of it.
func (o *outputs) addLoad(output Output) { o.loads = appendOrdered(o.loads, output) }

// appendOrdered keeps the queue in order when the delay has become shorter.
func appendOrdered(queue []Output, output Output) []Output {
	if last := len(queue) - 1; last >= 0 && output.At.Before(queue[last].At) {
		output.At = queue[last].At
	}
	return append(queue, output)
}

// takeDue splits the outputs that are told by now from the rest.
func takeDue(queue []Output, now time.Time) (ready, rest []Output) {
	count := 0
	for count < len(queue) && !queue[count].At.After(now) {
		count++
	}
	return queue[:count], queue[count:]
}

// Ready returns the outputs that are told by now, and forgets them.
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

// NextWake returns when the engine next has something to tell or to do
// without an event; the zero time means never.
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

// NextIteration returns when the iteration that runs ends and the sequences
// have moved on; the zero time means that nothing runs.
func (e *Engine) NextIteration() time.Time {
	if e.iteration.count == 0 {
		return time.Time{}
	}
	return e.iteration.start.Add(e.iteration.duration)
}

// Progress returns how far a stream is, as of the last Step. It reports false
// for a stream that is unknown or forgotten.
func (e *Engine) Progress(stream string) (Progress, bool) {
	if ended, known := e.finished[stream]; known {
		return Progress{Produced: ended.Usage.OutputTokens, Done: true, Finished: ended}, true
	}
	if running, known := e.streams[stream]; known {
		return Progress{Produced: running.produced}, true
	}
	return Progress{}, false
}

// EventSequence returns the sequence of the last cache event, told or not.
func (e *Engine) EventSequence() uint64 { return e.eventSequence }

// Load measures the engine as of the last Step.
func (e *Engine) Load() schedule.Load { return e.load() }

// Outstanding returns how many streams wait or run.
func (e *Engine) Outstanding() int { return len(e.streams) }

// Statistics returns the counters as of the last Step. Prefixes that are
// still cached are not counted as idle; see IdleTokenSeconds.
func (e *Engine) Statistics() Statistics { return e.stats }

// IdleTokenSeconds returns the KV memory held and never used again, counting
// what is still cached as if it were dropped now.
func (e *Engine) IdleTokenSeconds() float64 {
	total := e.stats.IdleTokenSeconds
	for element := e.cache.order.Front(); element != nil; element = element.Next() {
		held := element.Value.(*prefix)
		total += float64(held.tokens) * e.clock.Sub(held.used).Seconds()
	}
	return total
}

// Resident returns how many tokens of the owner's prefix are cached and not
// in use by a running sequence.
func (e *Engine) Resident(owner api.ProgramID) int { return e.resident(owner) }

// Prefixes lists the cached prefixes, sorted by owner. Those that a running
// sequence uses are listed as idle for no time.
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

// SetDelays changes how late load reports and cache events are told.
func (e *Engine) SetDelays(report, event time.Duration) {
	e.config.ReportDelay = report
	e.config.EventDelay = event
}
