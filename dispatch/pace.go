package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pace learns how long a replica takes for one generated token, as it would be with
// no request beside. The zero value knows nothing. A spell that slows fewer than half of
// the recent turns does not move it; a lasting change has moved it once most of the
// recent turns are of after it. It is not safe for concurrent use.
type Pace struct {
	// samples are this node's newest turns, next the one that is replaced next.
	samples [keptSamples]tokenTimeSample
	next    int
	// peers is what the other nodes measured.
	peers      tokenTimeSample
	peerWeight float64
	// ownMedian is the median of own by their age, and weight how many turns of now
	// it counts as, as of at.
	median float64
	weight float64
	at     time.Time
}

// tokenTimeSample is what one turn measured.
type tokenTimeSample struct {
	at    time.Time
	token float64
}

const (
	// keptSamples is how many turns of this node at a replica are kept: as many as a
	// few seconds have at a node that sends there often.
	keptSamples = 8
	// medianHalfLife is the age at which a turn counts half as much as a new one against
	// others: a change is followed within two seconds.
	medianHalfLife = 700 * time.Millisecond
	// sampleHalfLife is the age at which what was measured counts half as much against the
	// middle of the service: a replica that is fast remains so as a rule.
	sampleHalfLife = 10 * time.Second
	// priorWeight is how many turns the middle of the service counts as.
	priorWeight = 0.7
	// maxPeerWeight is the most that what others measured counts as, in turns, and
	// paceFalse the factor from the middle up to which it is believed.
	maxPeerWeight = 12
	maxPeerFactor = 4
)

// Observe takes in the time of a token that a turn of this node had.
func (p *Pace) Observe(now time.Time, token time.Duration) {
	if token <= 0 {
		return
	}
	p.samples[p.next] = tokenTimeSample{at: now, token: float64(token)}
	p.next = (p.next + 1) % keptSamples
	p.median, p.weight = p.weightedMedian(now)
	p.at = now
}

// Hear takes in what the other nodes measured together, on so many turns.
func (p *Pace) Hear(now time.Time, token time.Duration, turns int) {
	if token <= 0 || turns <= 0 {
		return
	}
	p.peers = tokenTimeSample{at: now, token: float64(token)}
	p.peerWeight = min(maxPeerWeight, float64(turns))
}

// median returns the median of this node's turns, each by its age, and how many turns
// of now they count as.
func (p *Pace) weightedMedian(now time.Time) (token, weight float64) {
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

// weight is what a turn counts as at its age.
func (t *tokenTimeSample) weight(now time.Time, half time.Duration) float64 {
	if t.token == 0 {
		return 0
	}
	return math.Exp2(-float64(now.Sub(t.at)) / float64(half))
}

// Lately returns the time of a token in this node's turns of the last while, and how
// many there were.
func (p *Pace) Lately(now time.Time, while time.Duration) (token time.Duration, turns int) {
	var buffer [keptSamples]float64
	recent := buffer[:0]
	for _, one := range p.samples {
		if one.token > 0 && now.Sub(one.at) <= while {
			recent = append(recent, one.token)
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return time.Duration(recent[(len(recent)-1)/2]), len(recent)
}

// Token estimates the time of a token, given the middle of the service's replicas, which
// stands in as far as little or nothing recent is known; 0 where neither is known.
func (p *Pace) Token(now time.Time, median time.Duration) time.Duration {
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

// Known reports whether anything was measured at the replica or told of it.
func (p *Pace) Known() bool { return p.weight > 0 || p.peerWeight > 0 }

// Age is how long ago the newest that is known was measured or told.
func (p *Pace) Age(now time.Time) time.Duration {
	newest := p.at
	if p.peers.at.After(newest) {
		newest = p.peers.at
	}
	return now.Sub(newest)
}
