package replica

import (
	"math"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
)

const (
	// tokenTimeMaximumAge is the maximum age of a measurement that is reported to other nodes.
	// Older ones do not reflect the present state.
	tokenTimeMaximumAge = 2 * time.Second
	// tokenTimePeriod is the minimum time between two updates of a service's token times.
	tokenTimePeriod = 100 * time.Millisecond
	// Token times are used for the selection once the 90th percentile of the replicas exceeds
	// the 10th by unevenFactor, and until it falls below evenFactor. Smaller differences are
	// within the variation of single turns.
	unevenFactor = 1.5
	evenFactor   = 1.25
	// minimumKnownShare is the share of a service's replicas whose token time must be known.
	minimumKnownShare = 0.5
	// stayFactor scales the cost at the replica that served the session's previous turn. A
	// session that moves needs its prompt prefilled again, which delays all concurrent
	// requests, and new sessions are placed where there is capacity anyway.
	stayFactor = 0.3
	// speedStayFactor replaces stayFactor for requests with a positive speed bias, for example
	// because their program is behind schedule. They move if another replica is clearly faster
	// overall.
	speedStayFactor = 0.6
	// maximumPrefillLoad is the load, as a share of the slots, up to which the time to the
	// first event measures the prefill. Beyond it, turns wait for the prefill of others.
	maximumPrefillLoad = 0.5
	// drawCount is the number of replicas drawn for a turn. The better of two evens out the
	// loads as far as they are known; more would send all nodes to the same replica. Draws that
	// lack most of the prompt do not count, up to maximumDraws draws.
	drawCount    = 2
	maximumDraws = 6
	// ownZoneWeight scales the draw weight of replicas in the node's own zone.
	ownZoneWeight = 2
	// coldWeight scales the draw weight of cold replicas, which accept few requests and are
	// slow.
	coldWeight = 0.2
	// minimumFill is the minimum load for which a draw weight is computed. A few turns keep
	// every replica's token time known, and these replicas serve turns that may not use the
	// others.
	minimumFill = 0.05
	// loadSmoothing is the weight of the latest load in the moving average, which then covers
	// about one second. spareRequests is the number of additional requests per replica for
	// which weights are computed, so that one momentary load does not exclude a replica.
	loadSmoothing = 0.1
	spareRequests = 0.3
)

// Sample is what one turn measured at its replica.
type Sample struct {
	// Load is the number of concurrent requests at the time of the selection.
	Load int
	// Token is the time per generated token, from the first event to the last.
	Token time.Duration
	// UncachedTokens is the number of prompt tokens that were expected to need prefill.
	// TimeToFirstEvent is the time from sending the request to the first event, or 0 if
	// unknown.
	UncachedTokens   int
	TimeToFirstEvent time.Duration
}

// tokenTimes holds the token times of the replicas of one service, in nanoseconds.
type tokenTimes struct {
	updatedAt time.Time
	// median is the median of the replicas' token times; fastest and slowest are their 10th and
	// 90th percentiles. uneven reports whether they differ materially.
	median, fastest, slowest float64
	uneven                   bool
	// load is the moving average of the requests in flight at all replicas together.
	load float64
	// firstEvent estimates the time to the first event. firstEventBase and prefillShare are its
	// fit as of the last update, in units of the replica's token time.
	firstEvent                   dispatch.PrefillEstimator
	firstEventBase, prefillShare float64
}

// Observe applies the measurements of one of this node's turns.
func (s *Set) Observe(now time.Time, id ID, sample Sample) {
	known := s.byID[id]
	if known == nil || sample.Token <= 0 || s.config.Disabled.TokenTimes {
		return
	}
	unloaded := float64(sample.Token) / (1 + dispatch.SlowdownPerRequest*float64(max(0, sample.Load)))
	known.tokenTime.Observe(now, time.Duration(unloaded))
	s.measured[id] = known
	service := s.serviceTokenTimes[known.entry.Service]
	if service == nil || sample.TimeToFirstEvent <= 0 || float64(sample.Load) > maximumPrefillLoad*float64(known.entry.Slots) {
		return
	}
	service.firstEvent.Observe(now, sample.UncachedTokens, sample.TimeToFirstEvent, known.tokenTime.Token(now, time.Duration(service.median)))
}

// addTokenTimes adds this node's recent token times to the reports.
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

// unevenTokenTimes returns the token times of a service if they differ materially among the
// candidates, else nil.
func (s *Set) unevenTokenTimes(now time.Time, service string, candidates []*member) *tokenTimes {
	if s.config.Disabled.TokenTimes {
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

// TokenTimeRange is the range of the replicas' token times without concurrent requests, from
// the 10th to the 90th percentile.
type TokenTimeRange struct {
	Fastest, Slowest time.Duration
}

// TokenTimeRange returns the range of a service's token times, or false if it is unknown.
func (s *Set) TokenTimeRange(service string) (TokenTimeRange, bool) {
	found := s.serviceTokenTimes[service]
	if found == nil || found.median == 0 {
		return TokenTimeRange{}, false
	}
	return TokenTimeRange{Fastest: time.Duration(found.fastest), Slowest: time.Duration(found.slowest)}, true
}

// update recomputes the token times.
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

// of returns the token time of a replica, or the median if it is unknown.
func (t *tokenTimes) of(m *member) float64 {
	if m.tokenNanoseconds > 0 {
		return m.tokenNanoseconds
	}
	return t.median
}

// placement describes a replica for the prediction of a request there.
func (e *evaluation) placement(m *member) dispatch.ReplicaState {
	token := e.tokenTimes.of(m)
	return dispatch.ReplicaState{
		Load: e.loads.steadyLoad(m), Slots: float64(max(1, m.entry.Slots)),
		Token: token, PrefillTime: token * e.tokenTimes.prefillShare, UncachedTokens: float64(e.uncachedTokens(m)),
		Delay: e.tokenTimes.firstEventBase*token + float64(e.fixedCost(m))*e.tokenTimes.median*dispatch.DefaultPrefillRatio,
	}
}

// placementCost is the cost of a replica in nanoseconds.
func (e *evaluation) placementCost(m *member, place *dispatch.ReplicaState) float64 {
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

// selectByDraw returns the best of the replica that served the session's previous turn and a
// few replicas drawn at random by weight. Nodes with the same information draw different
// replicas, and together distribute their requests by the weights.
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
		if place.UncachedTokens <= prompt/2 {
			cachedDraws++
		}
	}
	return best
}

// speedBias is the request's speed bias, or 0 if the factor is disabled.
func (e *evaluation) speedBias() int {
	if e.set.config.Disabled.Slack {
		return 0
	}
	return e.request.SpeedBias
}

// drawWeight returns a replica's weight in the draws of this request. A positive speed bias
// raises the weight of fast replicas, a negative one lowers it.
func (e *evaluation) drawWeight(m *member) float64 {
	weight := m.weight
	if m.entry.Zone == e.set.config.Zone {
		weight *= ownZoneWeight
	}
	if !e.set.config.Disabled.Faults {
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

// hashDraw derives a pseudo-random number in [0, 1) from a draw and an index.
func hashDraw(draw float64, index int) float64 {
	bits := uint64(draw*(1<<53)) + uint64(index+1)*0x9e3779b97f4a7c15
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return float64((bits^bits>>31)>>11) / (1 << 53)
}

// addPrediction adds the predicted duration and its inputs to the choice.
func (e *evaluation) addPrediction(m *member, choice *Choice) {
	if e.tokenTimes == nil {
		return
	}
	place := e.placement(m)
	choice.Predicted = time.Duration(e.job.End(&place))
	choice.UnloadedTokenTime = time.Duration(place.Token)
	choice.Load = int(math.Round(place.Load))
	if m.tokenTime.Known() {
		choice.TokenTimeAge = m.tokenTime.Age(e.now)
	}
}

// steadyLoad estimates the requests at a replica, assuming that turns are placed by weight and
// sessions stay: each request that ended since the load summary has been replaced by another
// one at the same replica.
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

// assignDrawWeights computes the weight of each replica. It distributes the total load so that
// one more request costs the same at every replica, up to each replica's limit.
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
			total += dispatch.LoadAtCost(level, t.of(m), float64(m.entry.Slots))
		}
		if total < t.load+float64(len(members))*spareRequests {
			low = level
		} else {
			high = level
		}
	}
	for _, m := range members {
		token := t.of(m)
		fill := max(minimumFill, dispatch.LoadAtCost(high, token, float64(m.entry.Slots)))
		m.weight = fill / (token * (1 + dispatch.SlowdownPerRequest*fill))
	}
}
