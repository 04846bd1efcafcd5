package operator

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
)

// The labels of the metrics.
const (
	labelStatus    = "status"
	labelCode      = "code"
	labelKind      = "kind"
	labelOperation = "operation"
	labelResult    = "result"
	labelBranch    = "branch"
	labelDirection = "direction"
)

// latencyBuckets are the histogram buckets of latencies that callers observe and
// of log appends, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 120, 300, 900}

// stepBuckets are the histogram buckets of the control goroutine's steps, in
// seconds.
var stepBuckets = []float64{10e-6, 25e-6, 50e-6, 100e-6, 250e-6, 500e-6, 1e-3, 2.5e-3, 10e-3, 50e-3, 250e-3}

// Metrics holds the metrics of a node. It is safe for concurrent use.
// docs/operate/metrics.md explains each metric.
type Metrics struct {
	registry *prometheus.Registry

	programLatency   *prometheus.HistogramVec
	recomputedTokens prometheus.Counter
	idleTokenSeconds prometheus.Counter
	promptTokens     prometheus.Counter
	cachedTokens     prometheus.Counter
	outputTokens     prometheus.Counter
	firstToken       prometheus.Histogram
	calls            *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	controlRefusals  *prometheus.CounterVec
	controlStep      prometheus.Histogram
	storeAppend      *prometheus.HistogramVec
	requests         *prometheus.HistogramVec
	requestsInFlight prometheus.Gauge
	relayed          *prometheus.CounterVec
	firstText        prometheus.Histogram
	settingsRevision prometheus.Gauge

	now      func() time.Time
	contexts contexts
	snapshot atomic.Pointer[func() Snapshot]
}

// Snapshot holds the values that are read from the node at each scrape.
type Snapshot struct {
	OwnedPartitions    int
	Programs           int
	RunningCalls       int
	UnconfirmedRecords int
	// StalledPartitions is the number of partitions whose recovery waits for
	// mirrors.
	StalledPartitions int
	// ControlBytesSent and ControlBytesReceived count the bytes of control
	// messages between nodes since the process started.
	ControlBytesSent     int64
	ControlBytesReceived int64
	// SettingsAge is the time since the settings were last known to be the
	// newest.
	SettingsAge time.Duration
	// SettingsAllowNewWork is set if the settings are fresh enough to start
	// new work.
	SettingsAllowNewWork bool
	// Members is the number of machines by kind and status.
	Members map[Member]int
}

// Member is a kind and a status of machines.
type Member struct {
	Kind   string
	Status string
}

// NewMetrics returns metrics that are all zero, in a separate registry.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), now: time.Now}
	m.declarePrograms()
	m.declareCalls()
	m.declareNode()
	m.declareGateway()
	m.registry.MustRegister(
		m.programLatency, m.recomputedTokens, m.idleTokenSeconds, m.promptTokens, m.cachedTokens, m.outputTokens,
		m.firstToken, m.calls, m.refusals, m.controlRefusals, m.controlStep, m.storeAppend,
		m.requests, m.requestsInFlight, m.relayed, m.firstText, m.settingsRevision,
		snapshotCollector{m},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// declarePrograms declares the metrics of program latency and wasted cache.
func (m *Metrics) declarePrograms() {
	m.programLatency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "birchwood_program_latency_seconds",
		Help:    "Time from a program's creation to its end.",
		Buckets: latencyBuckets,
	}, []string{labelBranch})
	m.recomputedTokens = counter("birchwood_wasted_cache_recomputed_tokens_total",
		"Prompt tokens computed again although an earlier call of the program had computed them.")
	m.idleTokenSeconds = counter("birchwood_wasted_cache_idle_token_seconds_total",
		"Estimate: context tokens that no later call found cached, times the seconds since the call that left them.")
}

// declareCalls declares the metrics of the cost and the results of calls.
func (m *Metrics) declareCalls() {
	m.promptTokens = counter("birchwood_prompt_tokens_total", "Prompt tokens of ended calls.")
	m.cachedTokens = counter("birchwood_prompt_cached_tokens_total", "Prompt tokens of ended calls that an engine had cached.")
	m.outputTokens = counter("birchwood_output_tokens_total", "Output tokens of ended calls.")
	m.firstToken = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "birchwood_first_token_seconds",
		Help:    "Time from sending an attempt to an engine to its first token.",
		Buckets: latencyBuckets,
	})
	m.calls = counterVector("birchwood_calls_total", "Calls that ended, by kind and final status.", labelKind, labelStatus)
	m.refusals = counterVector("birchwood_refusals_total", "Errors that callers of this node got, by code.", labelCode)
	m.controlRefusals = counterVector("birchwood_control_refusals_total",
		"Requests that this node's state machine refused, by code, relayed ones included.", labelCode)
}

// declareNode declares the metrics of the node itself.
func (m *Metrics) declareNode() {
	m.controlStep = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "birchwood_control_step_seconds",
		Help:    "Time that one event takes on the control goroutine.",
		Buckets: stepBuckets,
	})
	m.storeAppend = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "birchwood_store_append_seconds",
		Help:    "Time of one append to the log service, by result.",
		Buckets: latencyBuckets,
	}, []string{labelResult})
	m.settingsRevision = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "birchwood_settings_revision",
		Help: "Revision of the settings in force on this node.",
	})
}

// declareGateway declares the metrics of requests at this node.
func (m *Metrics) declareGateway() {
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "birchwood_request_seconds",
		Help:    "Time of one request, waiting and streaming included, by operation and HTTP status class.",
		Buckets: latencyBuckets,
	}, []string{labelOperation, labelStatus})
	m.requestsInFlight = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "birchwood_requests_in_flight",
		Help: "Requests of callers and peers that are being served.",
	})
	m.firstText = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "birchwood_request_first_text_seconds",
		Help:    "Time from a streaming request's arrival to its first text.",
		Buckets: latencyBuckets,
	})
	m.relayed = counterVector("birchwood_relay_attempts_total",
		"Requests passed on to other nodes, by result.", labelResult)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counterVector(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// resultLabel returns the value of the label labelResult.
func resultLabel(failed bool) string {
	if failed {
		return "failed"
	}
	return "ok"
}

// ControlStep records the time of one event on the control goroutine.
func (m *Metrics) ControlStep(took time.Duration) { m.controlStep.Observe(took.Seconds()) }

// StoreAppend records the time and the result of one append to the log service.
func (m *Metrics) StoreAppend(took time.Duration, err error) {
	m.storeAppend.WithLabelValues(resultLabel(err != nil)).Observe(took.Seconds())
}

// FirstToken records the time from sending an attempt to its first token.
func (m *Metrics) FirstToken(took time.Duration) { m.firstToken.Observe(took.Seconds()) }

// CallFinished counts a call that ended on this node.
func (m *Metrics) CallFinished(call api.Call) {
	m.calls.WithLabelValues(string(call.Kind), string(call.Status)).Inc()
	if call.Kind != api.CallModel || call.Usage.PromptTokens == 0 {
		return
	}
	m.promptTokens.Add(float64(call.Usage.PromptTokens))
	m.cachedTokens.Add(float64(call.Usage.CachedTokens))
	m.outputTokens.Add(float64(call.Usage.OutputTokens))
	recomputed, idle := m.contexts.callEnded(call, m.now())
	m.recomputedTokens.Add(float64(recomputed))
	m.idleTokenSeconds.Add(idle)
}

// ProgramFinished records a program that ended on this node.
func (m *Metrics) ProgramFinished(program api.Program, latency time.Duration) {
	m.programLatency.WithLabelValues(program.Branch).Observe(latency.Seconds())
	m.idleTokenSeconds.Add(m.contexts.programEnded(program.ID, m.now()))
}

// Refused counts a request that this node's state machine refused.
func (m *Metrics) Refused(refusal *api.Error) {
	m.controlRefusals.WithLabelValues(string(refusal.Code)).Inc()
}

// SettingsRevision sets the revision of the settings in force.
func (m *Metrics) SettingsRevision(revision uint64) { m.settingsRevision.Set(float64(revision)) }

// Answered records the time and the status of one request of a caller or peer.
func (m *Metrics) Answered(operation control.Operation, status int, took time.Duration) {
	class := [...]string{"", "1xx", "2xx", "3xx", "4xx", "5xx"}[min(max(status/100, 0), 5)]
	m.requests.WithLabelValues(string(operation), class).Observe(took.Seconds())
}

// Relayed counts one request that was sent to another node.
func (m *Metrics) Relayed(failed bool) { m.relayed.WithLabelValues(resultLabel(failed)).Inc() }

// InFlight changes the number of requests that are being served.
func (m *Metrics) InFlight(change int) { m.requestsInFlight.Add(float64(change)) }

// RequestRefused counts an error answer to a caller.
func (m *Metrics) RequestRefused(code api.Code) { m.refusals.WithLabelValues(string(code)).Inc() }

// SetSnapshotSource sets the function that returns the node's snapshot. It is
// called at each scrape, on the scrape's goroutine.
func (m *Metrics) SetSnapshotSource(read func() Snapshot) { m.snapshot.Store(&read) }
