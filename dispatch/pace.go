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
	// own are this node's newest turns, next the one that is replaced next.
	own  [paceTurns]paceTurn
	next int
	// others is what the other nodes measured.
	others paceTurn
	told   float64
	// middle is the median of own by their age, and weight how many turns of now
	// it counts as, as of at.
	middle float64
	weight float64
	at     time.Time
}

// paceTurn is what one turn measured.
type paceTurn struct {
	at    time.Time
	token float64
}

const (
	// paceTurns is how many turns of this node at a replica are kept: as many as a
	// few seconds have at a node that sends there often.
	paceTurns = 8
	// paceFresh is the age at which a turn counts half as much as a new one against
	// others: a change is followed within two seconds.
	paceFresh = 700 * time.Millisecond
	// paceMemory is the age at which what was measured counts half as much against the
	// middle of the service: a replica that is fast remains so as a rule.
	paceMemory = 10 * time.Second
	// paceMiddle is how many turns the middle of the service counts as.
	paceMiddle = 0.7
	// paceTold is the most that what others measured counts as, in turns, and
	// paceFalse the factor from the middle up to which it is believed.
	paceTold  = 12
	paceFalse = 4
)

// Observe takes in the time of a token that a turn of this node had.
func (p *Pace) Observe(now time.Time, token time.Duration) {
	if token <= 0 {
		return
	}
	p.own[p.next] = paceTurn{at: now, token: float64(token)}
	p.next = (p.next + 1) % paceTurns
	p.middle, p.weight = p.median(now)
	p.at = now
}

// Hear takes in what the other nodes measured together, on so many turns.
func (p *Pace) Hear(now time.Time, token time.Duration, turns int) {
	if token <= 0 || turns <= 0 {
		return
	}
	p.others = paceTurn{at: now, token: float64(token)}
	p.told = min(paceTold, float64(turns))
}

// median returns the median of this node's turns, each by its age, and how many turns
// of now they count as.
func (p *Pace) median(now time.Time) (token, weight float64) {
	var kept [paceTurns]paceTurn
	turns := append(kept[:0], p.own[:]...)
	slices.SortFunc(turns, func(left, right paceTurn) int { return cmp.Compare(left.token, right.token) })
	total := 0.0
	for _, one := range turns {
		total += one.weight(now, paceFresh)
		weight += one.weight(now, paceMemory)
	}
	passed := 0.0
	for _, one := range turns {
		passed += one.weight(now, paceFresh)
		if passed >= total/2 && one.token > 0 {
			return one.token, weight
		}
	}
	return 0, 0
}

// weight is what a turn counts as at its age.
func (t *paceTurn) weight(now time.Time, half time.Duration) float64 {
	if t.token == 0 {
		return 0
	}
	return math.Exp2(-float64(now.Sub(t.at)) / float64(half))
}

// Lately returns the time of a token in this node's turns of the last while, and how
// many there were.
func (p *Pace) Lately(now time.Time, while time.Duration) (token time.Duration, turns int) {
	var kept [paceTurns]float64
	lately := kept[:0]
	for _, one := range p.own {
		if one.token > 0 && now.Sub(one.at) <= while {
			lately = append(lately, one.token)
		}
	}
	if len(lately) == 0 {
		return 0, 0
	}
	slices.Sort(lately)
	return time.Duration(lately[(len(lately)-1)/2]), len(lately)
}

// Token estimates the time of a token, given the middle of the service's replicas, which
// stands in as far as little or nothing recent is known; 0 where neither is known.
func (p *Pace) Token(now time.Time, middle time.Duration) time.Duration {
	own := p.weight * math.Exp2(-float64(now.Sub(p.at))/float64(paceMemory))
	told := p.told * p.others.weight(now, paceMemory)
	if middle <= 0 {
		middle = time.Duration(max(p.middle, p.others.token))
		if middle <= 0 {
			return 0
		}
	}
	base := float64(middle)
	sum, weight := paceMiddle*math.Log(base), float64(paceMiddle)
	if own > 0 {
		sum, weight = sum+own*math.Log(p.middle), weight+own
	}
	if told > 0 {
		believed := min(max(p.others.token, base/paceFalse), base*paceFalse)
		sum, weight = sum+told*math.Log(believed), weight+told
	}
	return time.Duration(math.Exp(sum / weight))
}

// Known reports whether anything was measured at the replica or told of it.
func (p *Pace) Known() bool { return p.weight > 0 || p.told > 0 }

// Age is how long ago the newest that is known was measured or told.
func (p *Pace) Age(now time.Time) time.Duration {
	newest := p.at
	if p.others.at.After(newest) {
		newest = p.others.at
	}
	return now.Sub(newest)
}
