package edge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/liveness"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/upstream"
)

// Metrics holds the metrics of a node. It is safe for concurrent use.
type Metrics struct {
	set         *metrics.Set
	appends     *metrics.PrometheusHistogram
	proofs      *metrics.PrometheusHistogram
	dropped     *metrics.Counter
	failed      *metrics.Counter
	repeats     *metrics.Counter
	ownerMisses *metrics.Counter
	// otherPartition counts the turns that were stored in another partition than their
	// program's.
	otherPartition *metrics.Counter
	// datagrams are counted by how they ended.
	datagrams [datagramEnds]*metrics.Counter
	// cold is the number of replicas that this node considers cold.
	cold *metrics.Gauge
	// logLinesDropped is set from countLogLinesDropped, which counts dropped log lines; nil
	// if that is not counted.
	logLinesDropped      *metrics.Counter
	countLogLinesDropped func() uint64
}

// The names of the metrics, without labels.
const (
	metricRunsBroken         = "birchwood_edge_runs_without_answer_total"
	metricBrokenRuns         = "birchwood_edge_broken_runs_total"
	metricRunsDecided        = "birchwood_edge_quarantine_runs_total"
	metricRunDecision        = "birchwood_edge_quarantine_decision_seconds"
	metricQuarantineChanges  = "birchwood_edge_quarantine_changes_total"
	metricMarked             = "birchwood_edge_quarantine_marked"
	metricAnswers            = "birchwood_edge_answers_total"
	metricLatency            = "birchwood_edge_request_seconds"
	metricAppends            = "birchwood_edge_append_seconds"
	metricCalls              = "birchwood_edge_store_calls_total"
	metricReads              = "birchwood_edge_store_read_seconds"
	metricUnanswered         = "birchwood_edge_store_reads_unanswered_total"
	metricDropped            = "birchwood_edge_peer_messages_dropped_total"
	metricFailed             = "birchwood_edge_peer_messages_failed_total"
	metricPartitions         = "birchwood_edge_partition_changes_total"
	metricRepeats            = "birchwood_edge_calls_repeated_total"
	metricLogDropped         = "birchwood_edge_log_lines_dropped_total"
	metricDatagrams          = "birchwood_edge_datagrams_total"
	metricOwnerMisses        = "birchwood_edge_owner_misses_total"
	metricOtherPartition     = "birchwood_edge_turns_kept_aside_total"
	metricKeys               = "birchwood_edge_keys_refused_total"
	metricProofs             = "birchwood_edge_key_proof_seconds"
	metricCharges            = "birchwood_edge_charges_total"
	metricEvacuated          = "birchwood_edge_evacuated_zones"
	metricConstraintRefusals = "birchwood_edge_place_refusals_total"
	metricSessionsMoved      = "birchwood_edge_lines_moved_total"
	metricColdCharge         = "birchwood_edge_cold_charges_total"
	metricCold               = "birchwood_edge_replicas_cold"
	metricTakeovers          = "birchwood_edge_takeovers_total"
	metricTakeoverTime       = "birchwood_edge_takeover_seconds"
	metricTakeoverBytes      = "birchwood_edge_takeover_bytes_total"
	metricStoredBytes        = "birchwood_edge_kept_bytes"
	metricFull               = "birchwood_edge_store_full_total"
	metricEntriesRejected    = "birchwood_edge_replica_entries_refused_total"
	metricPredicted          = "birchwood_edge_turn_prediction_ratio"
	metricTokenTime          = "birchwood_edge_token_seconds"
	metricShares             = "birchwood_edge_share_refusals_total"
	metricLate               = "birchwood_edge_calls_late_total"
	metricTrims              = "birchwood_edge_store_trims_total"
	metricExhausted          = "birchwood_edge_budgets_exhausted_total"
	metricInherited          = "birchwood_edge_inherited_turns_total"
	metricBeyondMaximum      = "birchwood_edge_streams_beyond_maximum_total"
	metricLostTurns          = "birchwood_edge_lost_turns_total"
	metricReconciled         = "birchwood_edge_accounts_reconciled_total"
	metricRefused            = "birchwood_edge_turned_away_total"
	metricRetryAfter         = "birchwood_edge_come_back_seconds"
	metricWaiting            = "birchwood_edge_waiting_requests"
	metricWaitingAge         = "birchwood_edge_waiting_oldest_seconds"
	metricAdmitted           = "birchwood_edge_admissions_total"
	metricWaited             = "birchwood_edge_waited_seconds"
	metricGathered           = "birchwood_edge_loads_age_seconds"
	metricGather             = "birchwood_edge_loads_messages_total"
	metricGatherSize         = "birchwood_edge_loads_bytes_total"
	metricContinued          = "birchwood_edge_streams_continued_total"
	metricOriginsLost        = "birchwood_edge_stream_origins_unreported_total"
	metricResumed            = "birchwood_edge_streams_resumed_total"
	metricBodies             = "birchwood_edge_replica_answers_total"
)

// latencyBuckets are for latencies that clients see, in seconds.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// ratioBuckets are for ratios of actual to predicted durations.
var ratioBuckets = []float64{.25, .5, .7, .85, 1, 1.2, 1.5, 2, 3, 5, 10}

// appendBuckets are for durations of appends to the log, in seconds.
var appendBuckets = []float64{.002, .005, .01, .02, .05, .1, .25, 1, 5}

// proofBuckets are for ages of freshness proofs of keys, in seconds.
var proofBuckets = []float64{.1, .5, 1, 1.5, 2, 2.5, 3, 4, 5}

// loadsBuckets are for ages of the known loads of other nodes, in seconds.
var loadsBuckets = []float64{.025, .05, .1, .15, .2, .3, .5, 1, 2}

// newMetrics returns the metrics of a node. The dropped function, if not nil, returns the
// number of dropped log lines.
func newMetrics(dropped func() uint64) *Metrics {
	set := metrics.NewSet()
	made := &Metrics{
		set:                  set,
		appends:              set.NewPrometheusHistogramExt(metricAppends, appendBuckets),
		proofs:               set.NewPrometheusHistogramExt(metricProofs, proofBuckets),
		dropped:              set.NewCounter(metricDropped),
		failed:               set.NewCounter(metricFailed),
		repeats:              set.NewCounter(metricRepeats),
		ownerMisses:          set.NewCounter(metricOwnerMisses),
		otherPartition:       set.NewCounter(metricOtherPartition),
		cold:                 set.NewGauge(metricCold, nil),
		logLinesDropped:      set.NewCounter(metricLogDropped),
		countLogLinesDropped: dropped,
	}
	for end := range made.datagrams {
		made.datagrams[end] = set.NewCounter(fmt.Sprintf("%s{end=%q}", metricDatagrams, datagramEnd(end)))
	}
	return made
}

// write writes all metrics as text.
func (m *Metrics) write(to io.Writer) {
	if m.countLogLinesDropped != nil {
		m.logLinesDropped.Set(m.countLogLinesDropped())
	}
	m.set.WritePrometheus(to)
}

// answered counts an answer to a client, by kind of route and status.
func (m *Metrics) answered(kind, status string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q,status=%q}", metricAnswers, kind, status)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf("%s{kind=%q}", metricLatency, kind), latencyBuckets).Update(took.Seconds())
}

// appended records the duration of an append, including retries.
func (m *Metrics) appended(took time.Duration) { m.appends.Update(took.Seconds()) }

// predicted records the ratio of a turn's duration to the prediction made when it was
// placed.
func (m *Metrics) predicted(predicted, took time.Duration) {
	m.set.GetOrCreatePrometheusHistogramExt(metricPredicted, ratioBuckets).Update(float64(took) / float64(predicted))
}

// setTokenTimes sets the range of token times of a service's replicas.
func (m *Metrics) setTokenTimes(service string, times replica.TokenTimeRange) {
	m.set.GetOrCreateGauge(fmt.Sprintf("%s{service=%q,replicas=\"fastest\"}", metricTokenTime, service), nil).Set(times.Fastest.Seconds())
	m.set.GetOrCreateGauge(fmt.Sprintf("%s{service=%q,replicas=\"slowest\"}", metricTokenTime, service), nil).Set(times.Slowest.Seconds())
}

// storeCall counts a call to the platform's store, by outcome.
func (m *Metrics) storeCall(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricCalls, outcome)).Inc()
}

// storeRead records one try of a read of the store: its duration, or that it was not
// answered.
func (m *Metrics) storeRead(read storeRead, took time.Duration, err error) {
	switch {
	case unanswered(err):
		m.set.GetOrCreateCounter(fmt.Sprintf("%s{stream=%q,read=%q}", metricUnanswered, read.stream.Name, read.kind)).Inc()
	case err == nil && read.kind == kindNewest:
		name := fmt.Sprintf("%s{stream=%q}", metricReads, read.stream.Name)
		m.set.GetOrCreatePrometheusHistogramExt(name, appendBuckets).Update(took.Seconds())
	}
}

// takeoverEnded records a takeover, by outcome, with the amount that it read.
func (m *Metrics) takeoverEnded(outcome string, read readTotals, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricTakeovers, outcome)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(metricTakeoverTime, appendBuckets).Update(took.Seconds())
	m.set.GetOrCreateCounter(metricTakeoverBytes).Add(read.bytes)
}

// setStoredBytes sets the approximate size of a partition's newest records in the store.
func (m *Metrics) setStoredBytes(partition, bytes int) {
	m.set.GetOrCreateGauge(fmt.Sprintf("%s{partition=\"%d\"}", metricStoredBytes, partition), nil).Set(float64(bytes))
}

// storeFull counts an append that the store refused because it is full.
func (m *Metrics) storeFull() { m.set.GetOrCreateCounter(metricFull).Inc() }

// trimmed counts a trim of a partition, by outcome.
func (m *Metrics) trimmed(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricTrims, outcome)).Inc()
}

// entryRejected counts an invalid entry of the replica list.
func (m *Metrics) entryRejected() { m.set.GetOrCreateCounter(metricEntriesRejected).Inc() }

// gathered records the age of the other nodes' loads as reported by a collector.
func (m *Metrics) gathered(age time.Duration) {
	m.set.GetOrCreatePrometheusHistogramExt(metricGathered, loadsBuckets).Update(age.Seconds())
}

// gatherSent counts a message about loads, by kind, and the size of its lists in bytes.
func (m *Metrics) gatherSent(kind string, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", metricGather, kind)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", metricGatherSize, kind)).Add(bytes)
}

// shareRefused counts a program that was refused because the replicas are full and its
// tenant has more than its share of them.
func (m *Metrics) shareRefused() { m.set.GetOrCreateCounter(metricShares).Inc() }

// callLate counts a call whose answer was late, by whether it is sent again.
func (m *Metrics) callLate(verdict string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{verdict=%q}", metricLate, verdict)).Inc()
}

// callRepeated counts a call sent again because its answer was late.
func (m *Metrics) callRepeated() { m.repeats.Inc() }

// messageDropped counts a message to a peer that was dropped because its queue was full.
func (m *Metrics) messageDropped() { m.dropped.Inc() }

// messageFailed counts a message to a peer that could not be delivered.
func (m *Metrics) messageFailed() { m.failed.Inc() }

// datagramEnd is the outcome of a datagram at this node.
type datagramEnd int

// The outcomes of a datagram.
const (
	datagramSent datagramEnd = iota
	datagramDropped
	datagramReceived
	datagramRefused
	datagramEnds
)

// String returns the value of the metric's label.
func (e datagramEnd) String() string {
	return [datagramEnds]string{"sent", "dropped", "received", "refused"}[e]
}

// datagram counts a datagram. About twenty a second are sent, so the counters are created
// once.
func (m *Metrics) datagram(end datagramEnd) { m.datagrams[end].Inc() }

// ownerMissed counts a request to a node that does not serve the partition.
func (m *Metrics) ownerMissed() { m.ownerMisses.Inc() }

// waitQueue sets the number of queued requests, and how long the oldest has waited.
func (m *Metrics) waitQueue(count int, oldest time.Duration) {
	m.set.GetOrCreateGauge(metricWaiting, nil).Set(float64(count))
	m.set.GetOrCreateGauge(metricWaitingAge, nil).Set(oldest.Seconds())
}

// admitted counts a new program's turn by its verdict, and records how long it was queued.
func (m *Metrics) admitted(verdict string, waited time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{verdict=%q}", metricAdmitted, verdict)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(metricWaited, latencyBuckets).Update(waited.Seconds())
}

// turnsInherited counts the unsettled turns of previous owners, by whether a node has them.
func (m *Metrics) turnsInherited(claimed, lapsed int) {
	m.set.GetOrCreateCounter(metricInherited + `{state="claimed"}`).Add(claimed)
	m.set.GetOrCreateCounter(metricInherited + `{state="lapsed"}`).Add(lapsed)
}

// turnsLost counts the turns that lapsed with the processes that ran them.
func (m *Metrics) turnsLost(lapsed int) { m.set.GetOrCreateCounter(metricLostTurns).Add(lapsed) }

// accountsReconciled counts the accounts that a former owner's state changed.
func (m *Metrics) accountsReconciled(accounts int) {
	m.set.GetOrCreateCounter(metricReconciled).Add(accounts)
}

// streamContinued counts a stream that another run continues within its answer.
func (m *Metrics) streamContinued() { m.set.GetOrCreateCounter(metricContinued).Inc() }

// streamBeyondMaximum counts a stream that a replica continued after the most tokens of its turn.
func (m *Metrics) streamBeyondMaximum() { m.set.GetOrCreateCounter(metricBeyondMaximum).Inc() }

// originNotReported counts a stream whose origin no owner accepted in time.
func (m *Metrics) originNotReported() { m.set.GetOrCreateCounter(metricOriginsLost).Inc() }

// runDecided counts the decisions on runs of marked requests, and their time.
func (m *Metrics) runDecided(verdict quarantine.Verdict, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{verdict=%q}", metricRunsDecided, verdict)).Inc()
	m.set.GetOrCreatePrometheusHistogram(metricRunDecision).Update(took.Seconds())
}

// quarantineChanged counts the changes of marked requests, and sets the number of these.
func (m *Metrics) quarantineChanged(change *coordinator.QuarantineChange, marked int) {
	state := "marked"
	switch {
	case change.Reason != "":
		state = string(change.Reason)
	case change.Refused:
		state = "refused"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{state=%q}", metricQuarantineChanges, state)).Inc()
	m.set.GetOrCreateGauge(metricMarked, nil).Set(float64(marked))
}

// runBroken counts runs without a whole answer by whether the replica counts as ended at first.
func (m *Metrics) runBroken(suspected bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{suspected=\"%t\"}", metricRunsBroken, suspected)).Inc()
}

// processDecided counts what became of the replicas' processes after such runs.
func (m *Metrics) processDecided(outcome liveness.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{process=%q}", metricBrokenRuns, outcome)).Inc()
}

// bodyEnded counts a replica's answer, by its framing and how its body ended.
func (m *Metrics) bodyEnded(framing upstream.Framing, end upstream.BodyEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{framing=%q,end=%q}", metricBodies, framing, end)).Inc()
}

// streamResumed counts a request that resumes a stream, by the status of its answer.
func (m *Metrics) streamResumed(status string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{status=%q}", metricResumed, status)).Inc()
}

// budgetExhausted counts a turn that was refused because its program's budget is exhausted,
// by what the owner's verdict is based on.
func (m *Metrics) budgetExhausted(basis ledger.Basis) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{basis=%q}", metricExhausted, basis)).Inc()
}

// refused counts a refused request, by cause, and records its retry delay.
func (m *Metrics) refused(cause string, retryAfter time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{cause=%q}", metricRefused, cause)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(metricRetryAfter, latencyBuckets).Update(retryAfter.Seconds())
}

// storedInOtherPartition counts a turn that was stored in another partition than its
// program's.
func (m *Metrics) storedInOtherPartition() { m.otherPartition.Inc() }

// partitionChanged counts a partition won or lost.
func (m *Metrics) partitionChanged(owned bool) {
	change := "lost"
	if owned {
		change = "won"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{change=%q}", metricPartitions, change)).Inc()
}

// The reasons for which a request is refused because of its key.
const (
	keyMissing   = "missing"
	keyUnknown   = "unknown"
	keyUncertain = "uncertain"
	keyLeaseOver = "lease over"
)

// keyRefused counts a request that was refused for its key.
func (m *Metrics) keyRefused(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", metricKeys, reason)).Inc()
}

// keyAccepted records the age of the freshness proof with which a key was accepted.
func (m *Metrics) keyAccepted(age time.Duration) { m.proofs.Update(age.Seconds()) }

// chargeRefunded is the label of a grant that was refunded.
const chargeRefunded = "returned"

// charged counts a request by how it counted towards its tenant's rate limit.
func (m *Metrics) charged(status string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{status=%q}", metricCharges, status)).Inc()
}

// evacuated sets the number of evacuated zones.
func (m *Metrics) evacuated(zones int) {
	m.set.GetOrCreateGauge(metricEvacuated, nil).Set(float64(zones))
}

// The reasons for which no permitted zone can serve a request.
const (
	constraintNoRegion  = "no such region"
	constraintOutside   = "no replica in its regions"
	constraintEvacuated = "zones evacuated"
	constraintOwner     = "owner outside its regions"
)

// constraintRefused counts a request that no permitted zone can serve, by reason.
func (m *Metrics) constraintRefused(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", metricConstraintRefusals, reason)).Inc()
}

// choiceRefused counts a selection of a replica that failed because of the zone constraint.
func (m *Metrics) choiceRefused(err error) {
	if errors.Is(err, replica.ErrEvacuated) {
		m.constraintRefused(constraintEvacuated)
	}
	if errors.Is(err, replica.ErrOutsideRegions) {
		m.constraintRefused(constraintOutside)
	}
}

// sessionMoved counts a turn that left the evacuated zone of its session's last replica.
func (m *Metrics) sessionMoved() { m.set.GetOrCreateCounter(metricSessionsMoved).Inc() }

// The labels of charges of cold replicas, besides those of coordinator.ChargeStatus.
const (
	coldRequested = "asked"
	coldRefunded  = "returned"
	// coldStale is a grant that was received too late to be used.
	coldStale = "stale"
)

// coldCharged counts how a charge for a cold replica ended.
func (m *Metrics) coldCharged(status string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{status=%q}", metricColdCharge, status)).Inc()
}

// replicasCold sets the number of replicas that this node considers cold.
func (m *Metrics) replicasCold(count int) { m.cold.Set(float64(count)) }

// startMetrics serves the metrics if the settings have an address for them.
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
		n.logger.Error().Str("metrics", n.settings.Metrics).Msg("edge: invalid metrics address")
		return
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
	if err != nil {
		n.logger.Error().Err(err).Msg("edge: metrics cannot be served")
		return
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Logger: discardLogger{}, Handler: func(ctx *fasthttp.RequestCtx) {
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
	ctx.SetContentType("text/plain; version=0.0.4; charset=utf-8")
	n.metrics.write(ctx)
}
