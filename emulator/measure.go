package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/workload"
)

// endReason is why a program ended.
type endReason int

// The reasons. endCompleted, the zero value, is the end after the last step.
const (
	endCompleted endReason = iota
	endRefused
	endLimited
	endHungUp
	endFailed
)

// Latencies are recorded in microseconds, up to one day, with three significant
// digits.
const (
	lowestLatency  = 1
	highestLatency = int64(24 * time.Hour / time.Microsecond)
	latencyDigits  = 3
)

// goodputFrom and goodputTo bound the part of the arrival period that goodput
// counts, as shares of it. They exclude the start, when the engines are still
// empty, and the end, when the load ceases.
const (
	goodputFrom = 0.2
	goodputTo   = 0.8
)

// group holds the measurements of all programs, of one kind or of one tenant.
type group struct {
	programs  int
	completed int
	inTime    int
	refused   int
	latency   *hdrhistogram.Histogram
	waiting   *hdrhistogram.Histogram
}

// newGroup returns an empty group.
func newGroup() *group {
	return &group{
		latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		waiting: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

// percentilesOf converts a histogram in microseconds to percentiles in
// milliseconds.
func percentilesOf(recorded *hdrhistogram.Histogram) Percentiles {
	if recorded.TotalCount() == 0 {
		return Percentiles{}
	}
	value := func(quantile float64) float64 {
		return float64(recorded.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return Percentiles{P50: value(50), P95: value(95), P99: value(99)}
}

// outcome is the data of an ended program from which the goodput is computed:
// its start, relative to epoch, and whether it completed within its deadline.
type outcome struct {
	start  time.Duration
	inTime bool
}

// measure collects the measurements of one run.
type measure struct {
	result  PolicyResult
	all     *group
	kinds   map[workload.Kind]*group
	tenants map[string]*group
	// firstToken and tokenGap cover the model calls that were answered.
	firstToken  *hdrhistogram.Histogram
	tokenGap    *hdrhistogram.Histogram
	outcomes    []outcome
	lastArrival time.Duration
	latencies   []float64
	// imbalance is the weighted sum of the imbalance samples, and imbalanceWeight
	// the sum of their weights.
	imbalance       float64
	imbalanceWeight float64
	// busy is the total time in which engines ran a batch.
	busy time.Duration
}

// newMeasure returns empty measurements.
func newMeasure() *measure {
	return &measure{
		all:        newGroup(),
		firstToken: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		tokenGap:   hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		kinds:      make(map[workload.Kind]*group),
		tenants:    make(map[string]*group),
	}
}

// arrive records the intended start of a program, relative to epoch.
func (m *measure) arrive(start time.Duration) { m.lastArrival = max(m.lastArrival, start) }

// placed counts a call that is sent to a back end.
func (m *measure) placed(sent *call) {
	if sent.step.Kind == workload.StepTool {
		m.result.ToolCalls++
		return
	}
	m.result.ModelCalls++
	if issuer := sent.agent; issuer.lastEngine != "" && issuer.lastEngine != sent.backend {
		m.result.Moves++
	}
	sent.agent.lastEngine = sent.backend
}

// modelEnded counts the prefilled tokens of a call that an engine had computed for
// the program before.
func (m *measure) modelEnded(ended *call, answer enginemodel.Finished) {
	issuer := ended.agent
	known := min(issuer.computed, answer.Usage.PromptTokens)
	m.result.Wasted.RecomputedTokens += int64(max(0, known-max(answer.Usage.CachedTokens, 0)))
	issuer.computed = max(issuer.computed, answer.Usage.PromptTokens+answer.Usage.OutputTokens)
}

// tokenTimes records the time from when the node passed the call to its policy to
// the first token, and the mean time between the later tokens. returnDelay is the
// link delay from the engine to the node.
func (m *measure) tokenTimes(ended *call, answer enginemodel.Finished, now time.Time, returnDelay time.Duration) {
	if answer.Cancelled || answer.FirstTokenAt.IsZero() {
		return
	}
	first := answer.FirstTokenAt.Add(returnDelay).Sub(ended.heldSince)
	_ = m.firstToken.RecordValue(max(first.Microseconds(), lowestLatency))
	if further := answer.Usage.OutputTokens - 1; further > 0 {
		decoding := now.Add(-returnDelay).Sub(answer.FirstTokenAt)
		_ = m.tokenGap.RecordValue(max(decoding.Microseconds()/int64(further), lowestLatency))
	}
}

// ended records the end of a program at its caller.
func (m *measure) ended(finished *agent, latency time.Duration) {
	inTime := finished.reason == endCompleted &&
		(finished.program.Deadline <= 0 || latency <= finished.program.Deadline)
	for _, counted := range m.groupsOf(finished.program) {
		counted.programs++
		switch finished.reason {
		case endCompleted:
			counted.completed++
			_ = counted.latency.RecordValue(latency.Microseconds())
			_ = counted.waiting.RecordValue((latency - finished.pausedTime).Microseconds())
		case endRefused:
			counted.refused++
		}
		if inTime {
			counted.inTime++
		}
	}
	if finished.reason == endCompleted {
		m.latencies = append(m.latencies, float64(latency)/float64(time.Millisecond))
	}
	m.countReason(finished.reason)
	m.outcomes = append(m.outcomes, outcome{start: finished.start.Sub(epoch), inTime: inTime})
}

// groupsOf returns the groups that a program belongs to.
func (m *measure) groupsOf(program *workload.Program) []*group {
	kind := m.kinds[program.Kind]
	if kind == nil {
		kind = newGroup()
		m.kinds[program.Kind] = kind
	}
	tenant := m.tenants[string(program.Branch)]
	if tenant == nil {
		tenant = newGroup()
		m.tenants[string(program.Branch)] = tenant
	}
	return []*group{m.all, kind, tenant}
}

// countReason counts why a program ended.
func (m *measure) countReason(reason endReason) {
	switch reason {
	case endHungUp:
		m.result.HungUp++
	case endLimited:
		m.result.Limited++
	case endFailed:
		m.result.Failed++
	}
}

// countEngine adds the counters of an engine, when it crashes or the run ends.
func (m *measure) countEngine(model *enginemodel.Engine) {
	counted := model.Statistics()
	m.busy += counted.Busy
	m.result.Evictions += counted.Evictions
	m.result.PrefilledTokens += counted.PrefillTokens
	m.result.CacheHitTokens += counted.CachedTokens
	m.result.DecodedTokens += counted.OutputTokens
	m.result.Wasted.IdleTokenSeconds += model.IdleTokenSeconds()
}

// sampleImbalance adds one sample per model, given the outstanding calls of each
// of its replicas: their coefficient of variation, weighted by their sum.
func (m *measure) sampleImbalance(outstanding map[string][]int) {
	for _, model := range sortedKeys(outstanding) {
		calls := outstanding[model]
		sum, squares := 0.0, 0.0
		for _, count := range calls {
			sum += float64(count)
			squares += float64(count) * float64(count)
		}
		mean := sum / float64(len(calls))
		if len(calls) < 2 || sum == 0 {
			continue
		}
		deviation := math.Sqrt(max(0, squares/float64(len(calls))-mean*mean))
		m.imbalance += deviation / mean * sum
		m.imbalanceWeight += sum
	}
}

// finish records the duration of the run.
func (m *measure) finish(now time.Time) { m.result.VirtualSeconds = now.Sub(epoch).Seconds() }

// summarise returns the result of the run.
func (m *measure) summarise(policy string, check *checker, keepLatencies bool) PolicyResult {
	result := m.result
	result.Policy = policy
	result.Latency = percentilesOf(m.all.latency)
	result.Waiting = percentilesOf(m.all.waiting)
	result.FirstToken = percentilesOf(m.firstToken)
	result.TokenGap = percentilesOf(m.tokenGap)
	result.Completed = m.all.completed
	result.InTime = m.all.inTime
	result.Refused = m.all.refused
	result.Goodput, result.Offered = m.goodput()
	if m.imbalanceWeight > 0 {
		result.Imbalance = m.imbalance / m.imbalanceWeight
	}
	result.Violations = check.count
	result.Findings = check.findings
	result.Kinds = m.kindResults()
	result.Tenants = m.tenantResults()
	if keepLatencies {
		result.Latencies = slices.Clone(m.latencies)
		slices.Sort(result.Latencies)
	}
	return result
}

// goodput returns the rates, per second, of programs that completed in time and of
// all programs. It counts the programs that arrived between goodputFrom and
// goodputTo.
func (m *measure) goodput() (inTime, offered float64) {
	from := time.Duration(float64(m.lastArrival) * goodputFrom)
	to := time.Duration(float64(m.lastArrival) * goodputTo)
	if to <= from {
		return 0, 0
	}
	good, all := 0, 0
	for _, each := range m.outcomes {
		if each.start < from || each.start >= to {
			continue
		}
		all++
		if each.inTime {
			good++
		}
	}
	seconds := (to - from).Seconds()
	return float64(good) / seconds, float64(all) / seconds
}

// kindResults returns the results of all kinds, sorted by name.
func (m *measure) kindResults() []KindResult {
	results := make([]KindResult, 0, len(m.kinds))
	for _, kind := range sortedKeys(m.kinds) {
		counted := m.kinds[kind]
		results = append(results, KindResult{
			Kind:      string(kind),
			Programs:  counted.programs,
			Completed: counted.completed,
			InTime:    counted.inTime,
			Refused:   counted.refused,
			Latency:   percentilesOf(counted.latency),
			Waiting:   percentilesOf(counted.waiting),
		})
	}
	return results
}

// maximumTenants is the largest number of tenants that a result lists. The design
// size has hundreds.
const maximumTenants = 32

// tenantResults returns the results of all tenants, sorted by name, or nil if
// there are more than maximumTenants.
func (m *measure) tenantResults() []TenantResult {
	if len(m.tenants) > maximumTenants {
		return nil
	}
	results := make([]TenantResult, 0, len(m.tenants))
	for _, branch := range sortedKeys(m.tenants) {
		counted := m.tenants[branch]
		results = append(results, TenantResult{
			Branch:    branch,
			Programs:  counted.programs,
			Completed: counted.completed,
			Latency:   percentilesOf(counted.latency),
			Waiting:   percentilesOf(counted.waiting),
		})
	}
	return results
}
