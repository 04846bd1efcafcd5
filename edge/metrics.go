package edge

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/valyala/fasthttp"
)

// Metrics holds what a node measures. It is safe for concurrent use.
type Metrics struct {
	registry  *prometheus.Registry
	answers   *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	appends   prometheus.Histogram
	calls     *prometheus.CounterVec
	dropped   prometheus.Counter
	partition *prometheus.CounterVec
	repeats   prometheus.Counter
}

// latencyBuckets are for times that clients feel, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// appendBuckets are for appends to the log, in seconds.
var appendBuckets = []float64{.002, .005, .01, .02, .05, .1, .25, 1, 5}

// newMetrics returns the metrics of a node. Dropped, if any, counts lines of the
// log that were dropped.
func newMetrics(dropped func() uint64) *Metrics {
	metrics := &Metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "birchwood_edge_answers_total", Help: "Answers to clients, by kind of route and status.",
		}, []string{"kind", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "birchwood_edge_request_seconds", Help: "Time from a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		appends: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "birchwood_edge_append_seconds", Help: "Time of an append to the log, repetitions included.", Buckets: appendBuckets,
		}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "birchwood_edge_store_calls_total", Help: "Calls to the platform's store, by outcome.",
		}, []string{"outcome"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "birchwood_edge_peer_messages_dropped_total", Help: "Messages to peers dropped because too many waited.",
		}),
		partition: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "birchwood_edge_partition_changes_total", Help: "Partitions won and lost.",
		}, []string{"change"}),
		repeats: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "birchwood_edge_calls_repeated_total", Help: "Calls sent again because their answer was late.",
		}),
	}
	metrics.registry.MustRegister(metrics.answers, metrics.latency, metrics.appends, metrics.calls, metrics.dropped, metrics.partition, metrics.repeats)
	if dropped != nil {
		metrics.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "birchwood_edge_log_lines_dropped_total", Help: "Lines of the log dropped because its queue was full.",
		}, func() float64 { return float64(dropped()) }))
	}
	return metrics
}

func (m *Metrics) answered(kind, status string, took time.Duration) {
	m.answers.WithLabelValues(kind, status).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}

func (m *Metrics) appended(took time.Duration) { m.appends.Observe(took.Seconds()) }

func (m *Metrics) storeCall(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.calls.WithLabelValues(outcome).Inc()
}

func (m *Metrics) callRepeated() { m.repeats.Inc() }

func (m *Metrics) messageDropped() { m.dropped.Inc() }

func (m *Metrics) partitionChanged(owned bool) {
	change := "lost"
	if owned {
		change = "won"
	}
	m.partition.WithLabelValues(change).Inc()
}

// startMetrics serves the metrics if the settings name an address.
func (n *Node) startMetrics() {
	port, path, named := strings.Cut(n.settings.Metrics, "/")
	if !named {
		return
	}
	host, _, err := net.SplitHostPort(n.settings.Clients)
	if err != nil {
		return
	}
	if _, err := strconv.Atoi(port); err != nil {
		n.logger.Error().Str("metrics", n.settings.Metrics).Msg("edge: metrics address not understood")
		return
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
	if err != nil {
		n.logger.Error().Err(err).Msg("edge: metrics not served")
		return
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Logger: silent{}, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/"+path {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		n.writeMetrics(ctx)
	}}
	go func() {
		<-n.ctx.Done()
		_ = listener.Close()
	}()
	n.serve("metrics", func() error { return server.Serve(listener) })
}

func (n *Node) writeMetrics(ctx *fasthttp.RequestCtx) {
	families, err := n.metrics.registry.Gather()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	ctx.SetContentType(string(format))
	encoder := expfmt.NewEncoder(ctx, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			return
		}
	}
}
