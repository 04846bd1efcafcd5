package replica

import (
	"math"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
)

const (
	// tokenTimeMaximumAge is for how long a turn's pace is told to other nodes: what is older
	// says nothing of now.
	tokenTimeMaximumAge = 2 * time.Second
	// tokenTimePeriod is the least time between two looks at the paces of a service.
	tokenTimePeriod = 100 * time.Millisecond
	// unevenFactor is the factor between the paces of the tenth and the ninth tenth of the
	// replicas from which on they differ materially, and evenFactor the one from which on
	// they do not any more: less is within what single turns vary by.
	unevenFactor = 1.5
	evenFactor   = 1.25
	// minimumKnownShare is the share of a service's replicas whose pace has to be known.
	minimumKnownShare = 0.5
	// stayFactor is what the cost at the replica that served the line before counts as: a
	// line that leaves has its prompt read anew, which delays all that are beside, and the
	// lines that come are placed where there is room anyway.
	stayFactor = 0.3
	// speedStayFactor is that for a program that is behind its time: it moves where the
	// whole is clearly sooner.
	speedStayFactor = 0.6
	// maximumPrefillLoad is the share of the slots up to which a replica's load tells how long a
	// prompt takes to be read: beyond it turns wait for those of others.
	maximumPrefillLoad = 0.5
	// drawCount is how many replicas are drawn for a turn: the better of two levels the
	// loads as far as they are known, and more than that would send all nodes to the same.
	// Those that lack most of the prompt do not count, up to maximumDraws draws.
	drawCount    = 2
	maximumDraws = 6
	// ownZoneWeight is the weight of a replica of the node's own zone in a draw.
	ownZoneWeight = 2
	// coldWeight is that of one that is cold: it bears few requests, and is slow.
	coldWeight = 0.2
	// minimumFill is the least load that a share is dealt for: a few turns keep the pace of
	// each replica known, and where the others may not take a turn these do.
	minimumFill = 0.05
	// loadSmoothing is the part of a look in the mean of the last loads, which makes it one
	// of about a second, and spareRequests the requests more for each replica that shares
	// are dealt for, so that none is left out on the word of one moment.
	loadSmoothing = 0.1
	spareRequests = 0.3
)

// Sample is what a turn measured of its replica.
type Sample struct {
	// Load is the requests beside it when it was chosen.
	Load int
	// Token is the time of a token, from the first event to the last.
	Token time.Duration
	// Missing is how many tokens of the prompt were missing there, as was expected, and
	// First how long after it was sent the first event came; 0 where that is not known.
	Missing int
	First   time.Duration
}

// paces is how fast the replicas of one service are.
type tokenTimes struct {
	updatedAt time.Time
	// middle is the median of their tokens' times, and uneven whether they differ
	// materially. fastest and slowest bound all but the outer tenths.
	median, fastest, slowest float64
	uneven                   bool
	// load is the requests under way of late, all together.
	load float64
	// reading learns how long turns wait for their first event; base and share are what
	// it said at the last look.
	firstEvent                   dispatch.Reading
	firstEventBase, prefillShare float64
}

// Observe takes in what a turn of this node measured.
func (s *Set) Observe(now time.Time, id ID, sample Sample) {
	known := s.byID[id]
	if known == nil || sample.Token <= 0 || s.config.Without.Pace {
		return
	}
	unloaded := float64(sample.Token) / (1 + dispatch.BesideShare*float64(max(0, sample.Load)))
	known.tokenTime.Observe(now, time.Duration(unloaded))
	s.measured[id] = known
	service := s.serviceTokenTimes[known.entry.Service]
	if service == nil || sample.First <= 0 || float64(sample.Load) > maximumPrefillLoad*float64(known.entry.Slots) {
		return
	}
	service.firstEvent.Observe(now, sample.Missing, sample.First, known.tokenTime.Token(now, time.Duration(service.median)))
}

// addTokenTimes adds what this node measured lately.
func (s *Set) addTokenTimes(now time.Time, reports map[ID]Report) {
	for id, known := range s.measured {
		token, samples := known.tokenTime.Lately(now, tokenTimeMaximumAge)
		if samples == 0 {
			delete(s.measured, id)
			continue
		}
		report := reports[id]
		report.TokenTime, report.Samples = token, samples
		reports[id] = report
	}
}

// unevenTokenTimes returns the paces of a service where they differ materially among the replicas
// that are weighed, else nil.
func (s *Set) unevenTokenTimes(now time.Time, service string, candidates []*member) *tokenTimes {
	if s.config.Without.Pace {
		return nil
	}
	found := s.serviceTokenTimes[service]
	if found == nil {
		found = &tokenTimes{}
		s.serviceTokenTimes[service] = found
	}
	if found.updatedAt.IsZero() || now.Sub(found.updatedAt) >= tokenTimePeriod {
		found.update(now, candidates, s.estimateLoads(now, candidates))
	}
	if !found.uneven {
		return nil
	}
	return found
}

// PaceRange is how fast the replicas of a service are, but for the outer tenths: the time of
// a token with nothing beside.
type PaceRange struct {
	Fastest, Slowest time.Duration
}

// PaceRange returns how fast the replicas of a service are, or false where that is not
// known.
func (s *Set) PaceRange(service string) (PaceRange, bool) {
	found := s.serviceTokenTimes[service]
	if found == nil || found.median == 0 {
		return PaceRange{}, false
	}
	return PaceRange{Fastest: time.Duration(found.fastest), Slowest: time.Duration(found.slowest)}, true
}

// look estimates the paces anew.
func (t *tokenTimes) update(now time.Time, members []*member, loads loadEstimate) {
	t.updatedAt = now
	t.firstEventBase, t.prefillShare = t.firstEvent.Fit()
	tokens := make([]float64, 0, len(members))
	for _, m := range members {
		m.tokenNanoseconds = 0
		if m.tokenTime.Known() {
			m.tokenNanoseconds = float64(m.tokenTime.Token(now, time.Duration(t.median)))
			tokens = append(tokens, m.tokenNanoseconds)
		}
	}
	if len(tokens) == 0 {
		t.uneven = false
		return
	}
	slices.Sort(tokens)
	t.median = tokens[len(tokens)/2]
	t.fastest, t.slowest = tokens[len(tokens)/10], tokens[len(tokens)-1-len(tokens)/10]
	enoughKnown := float64(len(tokens)) >= minimumKnownShare*float64(len(members))
	defer t.assignDrawWeights(members, loads)
	factor := unevenFactor
	if t.uneven {
		factor = evenFactor
	}
	t.uneven = enoughKnown && t.slowest >= factor*t.fastest
}

// of is the time of a token at a replica, the middle where none is known.
func (t *tokenTimes) of(m *member) float64 {
	if m.tokenNanoseconds > 0 {
		return m.tokenNanoseconds
	}
	return t.median
}

// placement describes a replica to a placement.
func (e *evaluation) placement(m *member) dispatch.Place {
	token := e.tokenTimes.of(m)
	return dispatch.Place{
		Load: e.loads.steadyLoad(m), Slots: float64(max(1, m.entry.Slots)),
		Token: token, Read: token * e.tokenTimes.prefillShare, Missing: float64(e.uncachedTokens(m)),
		Way: e.tokenTimes.firstEventBase*token + float64(e.fixedCost(m))*e.tokenTimes.median*dispatch.ReadShare,
	}
}

// placementCost is the cost of a replica in nanoseconds.
func (e *evaluation) placementCost(m *member, place *dispatch.Place) float64 {
	cost := e.job.Cost(place)
	switch {
	case m.entry.ID != e.request.Preferred:
		return cost
	case e.speedBias() > 0:
		return speedStayFactor * cost
	default:
		return stayFactor * cost
	}
}

// drawn returns the best of a few replicas that are drawn by their shares, and of the one
// that served the line before. Nodes that know the same draw differently, and together by
// the shares.
func (e *evaluation) selectByDraw(feasible []*member) *member {
	total := 0.0
	weights := slices.Grow(e.set.weights[:0], len(feasible))[:len(feasible)]
	e.set.weights = weights
	var best *member
	for index, m := range feasible {
		weights[index] = e.drawWeight(m)
		total += weights[index]
		if m.entry.ID == e.request.Preferred {
			best = m
		}
	}
	cost := math.Inf(1)
	if best != nil {
		place := e.placement(best)
		cost = e.placementCost(best, &place)
	}
	prompt := float64(Tokens(e.request.Prompt))
	for draw, cachedDraws := 0, 0; draw < maximumDraws && cachedDraws < drawCount; draw++ {
		remaining := total * hashDraw(e.request.Draw, draw)
		candidate := feasible[len(feasible)-1]
		for index, m := range feasible {
			if remaining -= weights[index]; remaining <= 0 {
				candidate = m
				break
			}
		}
		place := e.placement(candidate)
		if candidateCost := e.placementCost(candidate, &place); best == nil || candidateCost < cost {
			best, cost = candidate, candidateCost
		}
		if place.Missing <= prompt/2 {
			cachedDraws++
		}
	}
	return best
}

// haste is how the request takes the fast replicas.
func (e *evaluation) speedBias() int {
	if e.set.config.Without.Slack {
		return 0
	}
	return e.request.Haste
}

// weight is a replica's part of the draws: that of a fast one is larger for those that
// go before others, and smaller for those that go after.
func (e *evaluation) drawWeight(m *member) float64 {
	weight := m.weight
	if m.entry.Zone == e.set.config.Zone {
		weight *= ownZoneWeight
	}
	if !e.set.config.Without.Faults {
		weight *= math.Exp2(-m.decayedFaults(e.now))
	}
	if e.set.coldRate(e.now, m) > 0 {
		weight *= coldWeight
	}
	switch speedBias := e.speedBias(); {
	case speedBias > 0:
		return weight * e.tokenTimes.median / e.tokenTimes.of(m)
	case speedBias < 0:
		return weight * e.tokenTimes.of(m) / e.tokenTimes.median
	default:
		return weight
	}
}

// scatter returns a number from 0 to 1 that follows from a draw and an index.
func hashDraw(draw float64, index int) float64 {
	bits := uint64(draw*(1<<53)) + uint64(index+1)*0x9e3779b97f4a7c15
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return float64((bits^bits>>31)>>11) / (1 << 53)
}

// predict notes when the answer is expected to be whole.
func (e *evaluation) addPrediction(m *member, choice *Choice) {
	if e.tokenTimes == nil {
		return
	}
	place := e.placement(m)
	choice.Predicted = time.Duration(e.job.End(&place))
	choice.Pace = time.Duration(place.Token)
	choice.Load = int(math.Round(place.Load))
	if m.tokenTime.Known() {
		choice.PaceAge = m.tokenTime.Age(e.now)
	}
}

// dealt estimates the requests at a replica where turns are placed by shares and lines
// stay: for each that has ended since a word another one has come, wherever it was.
func (e *loadEstimate) steadyLoad(m *member) float64 {
	if e.summary == nil || e.coverage == 0 {
		return e.load(m)
	}
	others, known := e.summary.requestsAt(m)
	if !known {
		return float64(m.ownRequests) + e.meanRequests
	}
	return float64(m.ownRequests) + others/e.coverage
}

// deal gives each replica its share: of the load that all have together, as much as
// makes one more request cost the same everywhere, up to its room.
func (t *tokenTimes) assignDrawWeights(members []*member, loads loadEstimate) {
	load := 0.0
	for _, m := range members {
		load += loads.steadyLoad(m)
	}
	if t.load == 0 {
		t.load = load
	}
	t.load += loadSmoothing * (load - t.load)
	low, high := t.fastest/4, 100*t.slowest
	for range 24 {
		level := math.Sqrt(low * high)
		total := 0.0
		for _, m := range members {
			total += dispatch.Fill(level, t.of(m), float64(m.entry.Slots))
		}
		if total < t.load+float64(len(members))*spareRequests {
			low = level
		} else {
			high = level
		}
	}
	for _, m := range members {
		token := t.of(m)
		fill := max(minimumFill, dispatch.Fill(high, token, float64(m.entry.Slots)))
		m.weight = fill / (token * (1 + dispatch.BesideShare*fill))
	}
}
