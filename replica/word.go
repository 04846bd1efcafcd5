package replica

import (
	"math"
	"time"
)

// Word is what all other nodes have, as a collector told it.
type Word struct {
	// Nodes is how many others it is of, and At when their counts were true.
	Nodes int
	At    time.Time
	// Totals are what they have. Partial says that there are replicas with requests that
	// are not among them.
	Totals  map[ID]Total
	Partial bool
}

const (
	// summaryLifetime is how long a word counts. Without a newer one the reports of peers
	// tell the loads again.
	summaryLifetime = time.Second
	// maximumLoadFactor times its slots bounds what is believed to be under way at a replica: it
	// is passed over at that already, and one false word does not mark it for longer.
	maximumLoadFactor = 4
	// defaultDuration stands for how long a service's requests take while that is not
	// known, durationWeight is the share of a look in the mean, and durationPeriod the
	// time between two looks.
	defaultDuration = 200 * time.Millisecond
	durationWeight  = 0.3
	durationPeriod  = time.Second
	// maximumLevelSteps bounds the steps in which the level of the emptier replicas is found;
	// each leaves out those that are fuller.
	maximumLevelSteps = 8
)

// TakeWord takes in what all other nodes have. A replica that a whole word does not name
// has no request of theirs.
func (s *Set) TakeWord(now time.Time, summary Word) {
	if s.config.Without.PeerLoads {
		return
	}
	s.summary = receivedSummary{asOf: summary.At, receivedAt: now, nodeCount: summary.Nodes, partial: summary.Partial, number: s.summary.number + 1}
	for id, total := range summary.Totals {
		if known := s.byID[id]; known != nil {
			limit := float64(maximumLoadFactor * max(1, known.entry.Slots))
			known.summaryRequests, known.summary = min(max(0, total.Requests), limit), s.summary.number
		}
	}
	s.TakePaces(now, summary.Totals)
}

// receivedSummary is the last word that was taken in.
type receivedSummary struct {
	// at is when its counts were true, and taken when it was taken in.
	asOf       time.Time
	receivedAt time.Time
	nodeCount  int
	partial    bool
	number     uint64
}

// requestsAt returns the requests of others at a replica by the last word, or false where
// it says nothing of the replica.
func (s *receivedSummary) requestsAt(m *member) (requests float64, known bool) {
	if m.summary == s.number {
		return m.summaryRequests, true
	}
	return 0, !s.partial
}

// worded reports whether a recent word counts: one of half of the other nodes at least, or
// of more than the reports of peers, which are older.
func (s *Set) summaryIsRecent(now time.Time) bool {
	if s.summary.receivedAt.IsZero() || now.Sub(s.summary.receivedAt) > summaryLifetime {
		return false
	}
	return 2*s.summary.nodeCount >= s.nodeCount-1 || s.summary.nodeCount > len(s.peerRequests)
}

// estimateFromSummary sums up a word for the replicas of a service that are weighed. Of the
// requests that it names a part has ended since, as many as its age by their duration.
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

// kept returns the requests of others at a replica that a word told of and that have not
// ended since. One that the word says nothing of is taken for one like the others.
func (e *loadEstimate) remaining(m *member) float64 {
	others, known := e.summary.requestsAt(m)
	if !known {
		others = e.meanRequests * e.coverage
	}
	return others * e.remainingShare
}

// computeFillLevel returns the load up to which the emptier replicas have been filled since the
// word: as many requests are new as ended or were not told of, and the nodes, which all
// heard the same, send them to the replicas that were the emptiest. If each node took the
// word for what is so now, all would send to one replica until the next.
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

// drawn returns a load that a replica may have by what is known: the new requests are not
// spread evenly. Replicas that were filled to one level differ by it, those the most that
// were the emptiest, so that nodes that heard the same do not all prefer the same of them.
func (e *loadEstimate) randomisedLoad(m *member, draw float64) float64 {
	if e.summary == nil {
		return e.load(m)
	}
	remaining := e.remaining(m)
	mean := max(remaining, e.fillLevel)
	variance := mean - remaining*e.remainingShare
	return float64(m.ownRequests) + max(0, mean+math.Sqrt(variance)*deviation(draw, m.rank))
}

// deviation returns a number of mean 0 and variance 1 that belongs to a draw and a
// replica.
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

// flow is how this node's requests of a service come and go, from which follows how long
// they take: what is under way in the mean, by how many end in a time.
type durationEstimator struct {
	inFlight  int
	updatedAt time.Time
	// held is the time that requests were under way since windowStart, and ended how many
	// ended.
	inFlightTime time.Duration
	ended        int
	windowStart  time.Time
	mean         time.Duration
}

// step takes in that requests began or ended.
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

// recordInFlight takes in that a request of a service began or ended.
func (s *Set) recordInFlight(now time.Time, service string, change int) {
	found := s.durations[service]
	if found == nil {
		found = &durationEstimator{windowStart: now}
		s.durations[service] = found
	}
	found.record(now, change)
}

// meanDuration returns how long a service's requests take.
func (s *Set) meanDuration(service string) time.Duration {
	if found := s.durations[service]; found != nil && found.mean > 0 {
		return found.mean
	}
	return defaultDuration
}
