package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TokenTimeEstimator estimates how long a replica takes to generate one token without
// concurrent requests. The zero value has no observations. A short slowdown that affects
// fewer than half of the recent turns does not change the estimate; a lasting change does
// once most of the recent turns came after it. It is not safe for concurrent use.
type TokenTimeEstimator struct {
	// samples are this node's newest measurements, and next the index that is overwritten
	// next.
	samples [keptSamples]tokenTimeSample
	next    int
	// peers is the combined measurement of the other nodes, and peerWeight how many turns
	// it counts as.
	peers      tokenTimeSample
	peerWeight float64
	// median is the age-weighted median of samples, and weight how many new turns it
	// counts as, both as of at.
	median float64
	weight float64
	at     time.Time
}

// tokenTimeSample is the token time that one turn measured.
type tokenTimeSample struct {
	at    time.Time
	token float64
}

const (
	// keptSamples is how many turns of this node are kept per replica: as many as a node
	// that often sends there has in a few seconds.
	keptSamples = 8
	// medianHalfLife is the age at which a turn's weight within the median has halved: the
	// median follows a change within two seconds.
	medianHalfLife = 700 * time.Millisecond
	// sampleHalfLife is the age at which the weight of measurements against the service
	// median has halved: a fast replica usually remains fast.
	sampleHalfLife = 10 * time.Second
	// priorWeight is how many turns the service median counts as.
	priorWeight = 0.7
	// maxPeerWeight is the largest weight of the other nodes' measurement, in turns, and
	// maxPeerFactor the largest factor between it and the service median: values beyond
	// that are clamped.
	maxPeerWeight = 12
	maxPeerFactor = 4
)

// Observe adds the token time that a turn of this node measured.
func (p *TokenTimeEstimator) Observe(now time.Time, token time.Duration) {
	if token <= 0 {
		return
	}
	p.samples[p.next] = tokenTimeSample{at: now, token: float64(token)}
	p.next = (p.next + 1) % keptSamples
	p.median, p.weight = p.weightedMedian(now)
	p.at = now
}

// ObserveReport sets the combined measurement of the other nodes, which covers the given
// number of turns.
func (p *TokenTimeEstimator) ObserveReport(now time.Time, token time.Duration, turns int) {
	if token <= 0 || turns <= 0 {
		return
	}
	p.peers = tokenTimeSample{at: now, token: float64(token)}
	p.peerWeight = min(maxPeerWeight, float64(turns))
}

// weightedMedian returns the median of this node's samples, weighted by age, and how many
// new turns they count as.
func (p *TokenTimeEstimator) weightedMedian(now time.Time) (token, weight float64) {
	var buffer [keptSamples]tokenTimeSample
	turns := append(buffer[:0], p.samples[:]...)
	slices.SortFunc(turns, func(left, right tokenTimeSample) int { return cmp.Compare(left.token, right.token) })
	total := 0.0
	for _, one := range turns {
		total += one.weight(now, medianHalfLife)
		weight += one.weight(now, sampleHalfLife)
	}
	passed := 0.0
	for _, one := range turns {
		passed += one.weight(now, medianHalfLife)
		if passed >= total/2 && one.token > 0 {
			return one.token, weight
		}
	}
	return 0, 0
}

// weight returns the weight of a sample, which halves with each half-life of its age.
func (t *tokenTimeSample) weight(now time.Time, halfLife time.Duration) float64 {
	if t.token == 0 {
		return 0
	}
	return math.Exp2(-float64(now.Sub(t.at)) / float64(halfLife))
}

// Lately returns the median token time of this node's turns within the given time, and
// their number.
func (p *TokenTimeEstimator) Lately(now time.Time, period time.Duration) (token time.Duration, turns int) {
	var buffer [keptSamples]float64
	recent := buffer[:0]
	for _, one := range p.samples {
		if one.token > 0 && now.Sub(one.at) <= period {
			recent = append(recent, one.token)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return time.Duration(recent[(len(recent)-1)/2]), len(recent)
}

// Token returns the estimated token time, given the median of the service's replicas,
// which counts the more the fewer and older the measurements are; 0 if neither is known.
func (p *TokenTimeEstimator) Token(now time.Time, median time.Duration) time.Duration {
	own := p.weight * math.Exp2(-float64(now.Sub(p.at))/float64(sampleHalfLife))
	peerWeight := p.peerWeight * p.peers.weight(now, sampleHalfLife)
	if median <= 0 {
		median = time.Duration(max(p.median, p.peers.token))
		if median <= 0 {
			return 0
		}
	}
	base := float64(median)
	sum, weight := priorWeight*math.Log(base), float64(priorWeight)
	if own > 0 {
		sum, weight = sum+own*math.Log(p.median), weight+own
	}
	if peerWeight > 0 {
		clamped := min(max(p.peers.token, base/maxPeerFactor), base*maxPeerFactor)
		sum, weight = sum+peerWeight*math.Log(clamped), weight+peerWeight
	}
	return time.Duration(math.Exp(sum / weight))
}

// Known reports whether the replica was measured by this node or others.
func (p *TokenTimeEstimator) Known() bool { return p.weight > 0 || p.peerWeight > 0 }

// Age returns the time since the newest measurement or report.
func (p *TokenTimeEstimator) Age(now time.Time) time.Duration {
	newest := p.at
	if p.peers.at.After(newest) {
		newest = p.peers.at
	}
	return now.Sub(newest)
}
