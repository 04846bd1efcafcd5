package replica

import (
	"math"
	"time"
)

// LoadSummary is the load of all other nodes as summed up by a collector.
type LoadSummary struct {
	// Nodes is the number of other nodes included, and At the time at which their counts were
	// valid.
	Nodes int
	At    time.Time
	// Totals holds the load of each replica. Partial reports that replicas with requests are
	// missing from Totals.
	Totals  map[ID]Total
	Partial bool
}

const (
	// summaryLifetime is how long a load summary is used. After that, the reports of peers are
	// used instead.
	summaryLifetime = time.Second
	// maximumLoadFactor bounds the accepted load of a replica, as a multiple of its slots. A
	// replica with this load is already avoided, and the bound limits how long one wrong
	// summary has an effect.
	maximumLoadFactor = 4
	// defaultDuration is used while the request duration of a service is unknown.
	// durationWeight is the weight of the latest measurement in the moving average, and
	// durationPeriod the minimum time between two measurements.
	defaultDuration = 200 * time.Millisecond
	durationWeight  = 0.3
	durationPeriod  = time.Second
	// maximumLevelSteps bounds the iterations of computeFillLevel, each of which excludes
	// replicas above the level.
	maximumLevelSteps = 8
)

// ApplyLoadSummary applies the load of all other nodes. A replica that is not in a complete
// summary has no requests of other nodes.
func (s *Set) ApplyLoadSummary(now time.Time, summary LoadSummary) {
	if s.config.Disabled.PeerLoads {
		return
	}
	s.summary = receivedSummary{asOf: summary.At, receivedAt: now, nodeCount: summary.Nodes, partial: summary.Partial, number: s.summary.number + 1}
	for id, total := range summary.Totals {
		if known := s.byID[id]; known != nil {
			limit := float64(maximumLoadFactor * max(1, known.entry.Slots))
			known.summaryRequests, known.summary = min(max(0, total.Requests), limit), s.summary.number
		}
	}
	s.ApplyTokenTimes(now, summary.Totals)
}

// receivedSummary describes the last load summary received.
type receivedSummary struct {
	// asOf is when its counts were valid, and receivedAt when it was received.
	asOf       time.Time
	receivedAt time.Time
	nodeCount  int
	partial    bool
	number     uint64
}

// requestsAt returns the requests of other nodes at a replica according to the summary, or
// false if the summary does not cover the replica.
func (s *receivedSummary) requestsAt(m *member) (requests float64, known bool) {
	if m.summary == s.number {
		return m.summaryRequests, true
	}
	return 0, !s.partial
}

// summaryIsRecent reports whether a load summary is recent and covers enough nodes: at least
// half of the other nodes, or more than the reports of peers, which are older.
func (s *Set) summaryIsRecent(now time.Time) bool {
	if s.summary.receivedAt.IsZero() || now.Sub(s.summary.receivedAt) > summaryLifetime {
		return false
	}
	return 2*s.summary.nodeCount >= s.nodeCount-1 || s.summary.nodeCount > len(s.peerRequests)
}

// estimateFromSummary estimates the loads of the candidates from the load summary. The share of
// its requests that have ended since grows with the summary's age relative to the request
// duration.
func (s *Set) estimateFromSummary(now time.Time, candidates []*member) loadEstimate {
	estimate := loadEstimate{coverage: 1, summary: &s.summary, remainingShare: 1}
	if others := s.nodeCount - 1; others > 0 {
		estimate.coverage = min(1, float64(s.summary.nodeCount)/float64(others))
	}
	if len(candidates) == 0 || estimate.coverage == 0 {
		return estimate
	}
	if age := now.Sub(s.summary.asOf); age > 0 {
		estimate.remainingShare = math.Exp(-float64(age) / float64(s.meanDuration(candidates[0].entry.Service)))
	}
	sum, covered := 0.0, 0
	for _, m := range candidates {
		if requests, known := s.summary.requestsAt(m); known {
			sum += requests
			covered++
		}
	}
	estimate.meanRequests = sum / estimate.coverage / float64(max(1, covered))
	estimate.fillLevel = estimate.computeFillLevel(candidates)
	return estimate
}

// remaining returns the requests of other nodes in the load summary that have not ended yet. A
// replica that the summary does not cover is assumed to have the mean load.
func (e *loadEstimate) remaining(m *member) float64 {
	others, known := e.summary.requestsAt(m)
	if !known {
		others = e.meanRequests * e.coverage
	}
	return others * e.remainingShare
}

// computeFillLevel returns the load up to which the less loaded replicas have been filled since
// the load summary. As many new requests are assumed as have ended or were not covered, and the
// other nodes, which received the same summary, send them to the least loaded replicas. If each
// node took the summary for the current load, all would send to one replica until the next
// summary.
func (e *loadEstimate) computeFillLevel(candidates []*member) float64 {
	added := e.meanRequests * float64(len(candidates))
	for _, m := range candidates {
		added -= e.remaining(m)
	}
	level := e.meanRequests
	for range maximumLevelSteps {
		below, sum := 0, added
		for _, m := range candidates {
			if remaining := e.remaining(m); remaining <= level {
				below++
				sum += remaining
			}
		}
		if below == 0 || sum/float64(below) >= level {
			break
		}
		level = sum / float64(below)
	}
	return level
}

// randomisedLoad returns a pseudo-random load that is consistent with the estimate, since new
// requests are not distributed evenly. Replicas filled to the same level vary, those that were
// least loaded the most, so that nodes with the same information do not all prefer the same
// replica.
func (e *loadEstimate) randomisedLoad(m *member, draw float64) float64 {
	if e.summary == nil {
		return e.load(m)
	}
	remaining := e.remaining(m)
	mean := max(remaining, e.fillLevel)
	variance := mean - remaining*e.remainingShare
	return float64(m.ownRequests) + max(0, mean+math.Sqrt(variance)*deviation(draw, m.rank))
}

// deviation derives a pseudo-random number with mean 0 and variance 1 from a draw and a
// replica's rank.
func deviation(draw float64, rank uint64) float64 {
	const (
		golden   = 0x9e3779b97f4a7c15
		scramble = 0xbf58476d1ce4e5b9
		shift    = 31
		bits     = 53
	)
	mixed := (math.Float64bits(draw) ^ rank) * golden
	mixed = (mixed ^ mixed>>shift) * scramble
	mixed ^= mixed >> shift
	uniform := float64(mixed>>(64-bits)) / (1 << bits)
	return (2*uniform - 1) * math.Sqrt(3)
}

// durationEstimator estimates the duration of this node's requests of one service: by Little's
// law, the time integral of the requests in flight divided by the number of requests that
// ended.
type durationEstimator struct {
	inFlight  int
	updatedAt time.Time
	// inFlightTime is the sum of the times in flight since windowStart, and ended the number of
	// requests that ended since then.
	inFlightTime time.Duration
	ended        int
	windowStart  time.Time
	mean         time.Duration
}

// record records that requests began (change > 0) or ended (change < 0).
func (d *durationEstimator) record(now time.Time, change int) {
	if !d.updatedAt.IsZero() && now.After(d.updatedAt) {
		d.inFlightTime += time.Duration(d.inFlight) * now.Sub(d.updatedAt)
	}
	d.updatedAt = now
	d.inFlight = max(0, d.inFlight+change)
	if change < 0 {
		d.ended -= change
	}
	if d.ended == 0 || now.Sub(d.windowStart) < durationPeriod {
		return
	}
	measured := d.inFlightTime / time.Duration(d.ended)
	if d.mean == 0 {
		d.mean = measured
	}
	d.mean += time.Duration(durationWeight * float64(measured-d.mean))
	d.inFlightTime, d.ended, d.windowStart = 0, 0, now
}

// recordInFlight records that requests of a service began (change > 0) or ended (change < 0).
func (s *Set) recordInFlight(now time.Time, service string, change int) {
	found := s.durations[service]
	if found == nil {
		found = &durationEstimator{windowStart: now}
		s.durations[service] = found
	}
	found.record(now, change)
}

// meanDuration returns the estimated duration of a service's requests.
func (s *Set) meanDuration(service string) time.Duration {
	if found := s.durations[service]; found != nil && found.mean > 0 {
		return found.mean
	}
	return defaultDuration
}
