package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/workload"
)

// The range and precision of the latency histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(2 * time.Hour / time.Microsecond)
	significantDigits   = 3
)

// maxErrors is the maximum number of errors whose texts are kept.
const maxErrors = 20

// totals collects the measurements of all agents. It is safe for concurrent
// use.
type totals struct {
	mutex          sync.Mutex
	latencyByKind  map[workload.Kind]*hdrhistogram.Histogram
	programLatency *hdrhistogram.Histogram
	firstTokens    *hdrhistogram.Histogram
	interruptions  *hdrhistogram.Histogram
	unavailability *hdrhistogram.Histogram
	result         Result
	// tools are the tool calls that were made. ended contains the programs
	// whose end was acknowledged.
	tools map[program.CallRef]*toolCall
	ended map[api.ProgramID]bool
}

// toolCall is a tool call with the number of its runs.
type toolCall struct {
	repeatable bool
	runs       int
}

func newTotals() *totals {
	return &totals{
		latencyByKind:  map[workload.Kind]*hdrhistogram.Histogram{},
		programLatency: newHistogram(),
		firstTokens:    newHistogram(),
		interruptions:  newHistogram(),
		unavailability: newHistogram(),
		tools:          map[program.CallRef]*toolCall{},
		ended:          map[api.ProgramID]bool{},
		result:         Result{Refusals: map[string]int{}, Statuses: map[string]int{}, Kinds: map[string]Latency{}},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

func (t *totals) refused(refusal *api.Error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.result.Refusals[string(refusal.Code)]++
	if refusal.Ran == api.RanOutcomeUnknown {
		t.result.Unknown++
	}
}

func (t *totals) lostConnection(hungUp bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if hungUp {
		t.result.HungUp++
		return
	}
	t.result.LostConnections++
}

// interrupted records the time from the first failed request of an operation
// until now, when its final answer was received. A zero time means that no
// request failed.
func (t *totals) interrupted(since time.Time) {
	if since.IsZero() {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record(t.interruptions, time.Since(since))
}

func (t *totals) callEnded(call api.Call) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.result.Calls++
	t.result.Statuses[string(call.Status)]++
}

func (t *totals) prompt(usage api.Usage, recomputed int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.result.PromptTokens += int64(usage.PromptTokens)
	t.result.CachedTokens += int64(usage.CachedTokens)
	t.result.OutputTokens += int64(usage.OutputTokens)
	t.result.RecomputedTokens += int64(recomputed)
}

func (t *totals) firstText(_ workload.Kind, after time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record(t.firstTokens, after)
}

// toolCalled records a tool call.
func (t *totals) toolCalled(call program.CallRef, repeatable bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tools[call] = &toolCall{repeatable: repeatable}
}

// addToolRuns adds the runs of a tool call that a service reports. A
// non-repeatable call of this run is counted as a duplicate when its runs
// exceed one.
func (t *totals) addToolRuns(ref program.CallRef, runs int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	call, found := t.tools[ref]
	if !found {
		return
	}
	before := call.runs
	call.runs += runs
	if !call.repeatable && before < 2 && call.runs > 1 {
		t.result.Duplicates++
	}
}

// programEnded records that a program's end was acknowledged.
func (t *totals) programEnded(id api.ProgramID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ended[id] = true
}

// hasEnded reports whether a program's end was acknowledged.
func (t *totals) hasEnded(id api.ProgramID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.ended[id]
}

func (t *totals) unanswered(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.result.Unanswered++
	t.addError(err)
}

func (t *totals) wrongAnswer(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.result.WrongAnswers++
	t.addError(err)
}

// addError stores the text of an error, up to maxErrors. The caller must hold the
// mutex.
func (t *totals) addError(err error) {
	if len(t.result.Errors) < maxErrors {
		t.result.Errors = append(t.result.Errors, err.Error())
	}
}

// finished records a program that ran to its end.
func (t *totals) finished(kind workload.Kind, latency time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.result.Programs++
	if t.latencyByKind[kind] == nil {
		t.latencyByKind[kind] = newHistogram()
	}
	record(t.latencyByKind[kind], latency)
	record(t.programLatency, latency)
}

// record adds a value, clamped to the histogram's range.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	microseconds := min(max(value.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = histogram.RecordValue(microseconds)
}

// summary returns the result of the measurements so far.
func (t *totals) summary() Result {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	result := t.result
	result.ProgramLatency = latencyOf(t.programLatency)
	result.FirstToken = latencyOf(t.firstTokens)
	result.Unavailability = latencyOf(t.unavailability)
	result.Interruption = latencyOf(t.interruptions)
	for kind, histogram := range t.latencyByKind {
		result.Kinds[string(kind)] = latencyOf(histogram)
	}
	return result
}

// latencyOf returns the quantiles of a histogram.
func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	milliseconds := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(50),
		P95:   milliseconds(95),
		P99:   milliseconds(99),
	}
}
