package replica

import (
	"errors"
	"math"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/zone"
)

// Request describes a request for which a replica is selected.
type Request struct {
	Service string
	// Program is the program that the prompt belongs to, or "" for services other than engines.
	Program string
	// Prompt lists the parts of the prompt in order. It is empty for services other than
	// engines.
	Prompt []Part
	// Preferred is the replica that served the previous turn of the session, or "".
	Preferred ID
	// PreferredCached is the number of prompt tokens that this replica has cached. With 0, all
	// parts but the last are assumed to be cached.
	PreferredCached int
	// Only is the one replica that may run the request again, or "". It has no effect if the
	// replica is no longer known, or if its process is a later one than OnlyIncarnation. 0 stands
	// for any process.
	Only            ID
	OnlyIncarnation uint64
	// FixedVersion restricts the request to replicas of the software version Version, since a
	// stream may not contain events of two versions.
	FixedVersion bool
	Version      string
	// Constraint limits the zones whose replicas may receive the request.
	Constraint zone.Constraint
	// ExpectedTokens is the expected number of tokens in the answer, or 0 if unknown.
	ExpectedTokens int
	// SpeedBias shifts the request's chance of a fast replica: 1 raises it, 0 leaves it at the
	// normal weights, -1 lowers it.
	SpeedBias int
	// Excluded lists the replicas that were already tried.
	Excluded []ID
	// Avoided lists the replicas that are selected only if there are no others.
	Avoided []ID
	// WarmOnly excludes cold replicas.
	WarmOnly bool
	// MaxPerNode limits the requests in flight of this node at one replica; 0 means no limit.
	MaxPerNode int
	// Connected reports whether an idle connection to the replica exists. It is nil if
	// connections do not matter.
	Connected func(Entry) bool
	// Draw is a uniform random number in [0, 1) that breaks ties, so that nodes with the same
	// information do not all select the same replica.
	Draw float64
}

// The reasons why no replica was selected. With each of them nothing was sent.
var (
	// ErrNoReplica means that no replica of the service is ready.
	ErrNoReplica = errors.New("no replica of the service is ready")
	// ErrOutsideRegions means that ready replicas exist only in zones that the request may not
	// use.
	ErrOutsideRegions = errors.New("no replica of the service is ready in a region that the request may reach")
	// ErrNoVersion means that replicas are ready, but none of the version that the request is
	// restricted to.
	ErrNoVersion = errors.New("no replica of the stream's version is ready")
	// ErrEvacuated means that all replicas that could serve the request are in evacuated zones.
	ErrEvacuated = errors.New("the zones of all replicas that could serve are evacuated")
	// ErrSaturated means that this node has reached MaxPerNode at every available replica.
	ErrSaturated = errors.New("every replica of the service is full")
	// ErrColdRate means that all replicas with capacity left are cold and have reached their
	// cold rate, or are excluded by WarmOnly.
	ErrColdRate = errors.New("every replica of the service is cold and at its rate")
)

// Choice is the replica selected for a request.
type Choice struct {
	Entry Entry
	// UncachedTokens is the expected prefill at the replica, in tokens.
	UncachedTokens int
	// Load is the estimated number of requests of all nodes in flight at the replica.
	Load int
	// Predicted is the predicted duration until the answer is complete. UnloadedTokenTime is
	// the replica's time per generated token without concurrent requests, as measured
	// TokenTimeAge ago. All are 0 if token times were not used in the selection.
	Predicted         time.Duration
	UnloadedTokenTime time.Duration
	TokenTimeAge      time.Duration
	// Feasible is the number of replicas that could have been selected.
	Feasible int
	// LeftEvacuatedZone reports that the request was moved because the replica that served the
	// session's previous turn is in an evacuated zone.
	LeftEvacuatedZone bool
	// ColdRate is the maximum request rate of the replica, in requests per second. It is 0
	// unless the replica is cold and its service has such a rate.
	ColdRate float64
}

// Select selects a replica for the request. For a large service it evaluates a window of
// replicas, and grows the window while every replica in it is full.
func (s *Set) Select(now time.Time, request *Request) (Choice, error) {
	for {
		candidates := s.selectCandidates(now, request)
		choice, err := s.selectFrom(now, request, candidates)
		full := err != nil || choice.Load >= max(1, choice.Entry.Slots)
		if !full || !s.growWindow(request, len(candidates)) {
			return choice, err
		}
	}
}

// selectFrom selects one of the candidates.
func (s *Set) selectFrom(now time.Time, request *Request, candidates []*member) (Choice, error) {
	feasible, reason := s.feasible(now, request, candidates)
	if len(feasible) == 0 {
		if reason != nil {
			return Choice{}, reason
		}
		return Choice{}, s.unavailableReason(now, request)
	}
	e := s.newEvaluation(now, request, candidates)
	if e.tokenTimes != nil {
		best := e.selectByDraw(feasible)
		return e.choice(best, len(feasible)), nil
	}
	start := int(request.Draw * float64(len(feasible)))
	best := feasible[start]
	bestCost := e.cost(best)
	for step := 1; step < len(feasible); step++ {
		candidate := feasible[(start+step)%len(feasible)]
		if cost := e.cost(candidate); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return e.choice(best, len(feasible)), nil
}

// choice describes the selected replica. feasible is the number of feasible replicas.
func (e *evaluation) choice(best *member, feasible int) Choice {
	choice := Choice{
		Entry:             best.entry,
		UncachedTokens:    e.uncachedTokens(best),
		Load:              int(math.Round(e.loads.load(best))),
		Feasible:          feasible,
		LeftEvacuatedZone: e.set.leftEvacuatedZone(e.now, e.request),
		ColdRate:          e.set.coldRate(e.now, best),
	}
	e.addPrediction(best, &choice)
	return choice
}

// feasible returns the candidates that may receive the request. Suspect replicas are returned
// only if there are no others. If the list is empty, reason is the limit that excluded the last
// replica, or nil if no replica may receive the request regardless of such limits.
func (s *Set) feasible(now time.Time, request *Request, candidates []*member) (list []*member, reason error) {
	if known := s.byID[request.Only]; known != nil && !known.succeeds(request.OnlyIncarnation) {
		if s.checkPlacement(now, request, known) != nil {
			return nil, nil
		}
		if s.atColdRate(now, known) {
			return nil, ErrColdRate
		}
		return []*member{known}, nil
	}
	list = make([]*member, 0, len(candidates))
	var suspects []*member
	for _, m := range candidates {
		if s.checkPlacement(now, request, m) != nil || slices.Contains(request.Excluded, m.entry.ID) {
			continue
		}
		if request.MaxPerNode > 0 && m.ownRequests >= request.MaxPerNode {
			reason = ErrSaturated
			continue
		}
		if s.atColdRate(now, m) || (request.WarmOnly && s.coldRate(now, m) > 0) {
			reason = ErrColdRate
			continue
		}
		if slices.Contains(request.Avoided, m.entry.ID) {
			suspects = append(suspects, m)
			continue
		}
		if now.Before(m.suspectUntil) && !s.config.Disabled.Suspicion {
			suspects = append(suspects, m)
			continue
		}
		list = append(list, m)
	}
	if len(list) == 0 {
		list = suspects
	}
	return list, reason
}

// succeeds reports whether the replica's process is a later one than the given incarnation.
func (m *member) succeeds(incarnation uint64) bool {
	return incarnation != 0 && m.entry.Incarnation > incarnation
}

// isServing reports whether a replica may receive new requests: it is ready, and either listed
// or not yet due for removal.
func (m *member) isServing(now time.Time) bool {
	expired := !m.removeAt.IsZero() && !now.Before(m.removeAt)
	return m.entry.Status == StatusReady && !expired
}

// The weights of the cost function, in tokens of prefill.
const (
	// concurrentRequestTokens is the cost of one concurrent request while slots are free: it
	// slows every step of the batch a little. With a larger weight, sessions leave the replica
	// that has their prompts cached, and under load the resulting prefill adds to the load.
	concurrentRequestTokens = 100
	// queuedTokens is the cost of waiting for a slot. It is multiplied by the number of
	// requests beyond the slots and divided by the number of slots.
	queuedTokens = 20000
	// prefillWeight is the cost per token of prefill. It exceeds 1 because all requests of the
	// batch wait for the prefill, not only the new one.
	prefillWeight = 2
	// otherZoneTokens is the cost of another zone: its network latency and the price of the
	// traffic.
	otherZoneTokens = 600
	// otherRegionTokens is the additional cost of another region: a round trip of about 16 ms,
	// at 300 tokens of prefill per millisecond, and traffic that costs four times as much as
	// between zones. A request spills over to another region once the wait in its own region
	// costs more.
	otherRegionTokens = 16*300 + 3*300
	// faultTokens is the cost of one recent fault, and maximumFaults the number of faults
	// counted at most. A faulty replica is avoided but still serves when the others are full.
	faultTokens   = 1500
	maximumFaults = 10
	// connectionTokens is the cost of opening a new connection: its latency and its price.
	connectionTokens = 150
)

// evaluation holds the inputs for the cost of one request at the candidates.
type evaluation struct {
	set     *Set
	now     time.Time
	request *Request
	// loads is the load estimate for the candidates.
	loads loadEstimate
	// sharedCacheShare is the fraction of the shared prompt parts that fits into an engine's KV
	// cache.
	sharedCacheShare float64
	// choosingNodes is the number of nodes that choose among these candidates, and
	// candidateCount the number of candidates.
	choosingNodes, candidateCount int
	// tokenTimes holds the token times of the service if they differ materially, else nil. job
	// describes the request for the prediction; it is set whenever the answer's length is
	// known.
	tokenTimes *tokenTimes
	job        dispatch.Job
}

func (s *Set) newEvaluation(now time.Time, request *Request, candidates []*member) *evaluation {
	e := &evaluation{set: s, now: now, request: request, loads: s.estimateLoads(now, candidates), choosingNodes: s.nodeCount, candidateCount: len(candidates)}
	if len(candidates) < len(s.services[request.Service]) {
		e.choosingNodes = max(1, s.nodeCount/max(1, len(s.zoneCounts)))
	}
	if tokens := s.shared.tokens(now); tokens > 0 {
		e.sharedCacheShare = min(1, sharedCacheLimit*float64(s.cacheTokens[request.Service])/float64(tokens))
	}
	if request.ExpectedTokens > 0 {
		e.tokenTimes = s.unevenTokenTimes(now, request.Service, candidates)
		e.job = dispatch.Job{Tokens: float64(request.ExpectedTokens)}
	}
	return e
}

// cost predicts the work until the request's answer is complete, in tokens of prefill.
func (e *evaluation) cost(m *member) int {
	load := e.loads.load(m)
	// Only this term uses the randomised load. If the queueing cost did too, sessions would
	// leave replicas that have their prompts cached.
	cost := prefillWeight*e.uncachedTokens(m) + int(concurrentRequestTokens*e.loads.randomisedLoad(m, e.request.Draw))
	if slots := float64(max(1, m.entry.Slots)); load >= slots {
		cost += int(queuedTokens * (load - slots + 1) / slots)
	}
	return cost + e.fixedCost(m)
}

// fixedCost is the part of the cost that depends on neither the load nor the prompt: faults,
// cold start, zone, region and connection.
func (e *evaluation) fixedCost(m *member) (cost int) {
	disabled := &e.set.config.Disabled
	if !disabled.Faults {
		cost += int(faultTokens * min(m.decayedFaults(e.now), maximumFaults))
	}
	if e.set.coldRate(e.now, m) > 0 {
		cost += coldTokens
	}
	if m.entry.Zone != e.set.config.Zone && !disabled.Zones {
		cost += otherZoneTokens
	}
	if !disabled.Regions && !e.set.sameRegion(m) {
		cost += otherRegionTokens
	}
	if e.request.Connected != nil && !disabled.Connections && !e.request.Connected(m.entry) {
		cost += connectionTokens
	}
	return cost
}

// MinUtilisation returns the utilisation (requests in flight per slot) of the least loaded
// replica that may take the request, or 0 if none may. A cold replica that has reached its cold
// rate counts as full. For a large service a window of replicas is evaluated, and grown while
// every replica in it is full.
func (s *Set) MinUtilisation(now time.Time, request *Request) float64 {
	for {
		candidates := s.selectCandidates(now, request)
		least := s.leastUtilisation(now, request, candidates)
		full := least >= 1
		if full && s.growWindow(request, len(candidates)) {
			continue
		}
		if math.IsInf(least, 1) {
			return 0
		}
		return least
	}
}

// leastUtilisation is MinUtilisation for the given candidates; it is infinite if none may take
// the request.
func (s *Set) leastUtilisation(now time.Time, request *Request, candidates []*member) float64 {
	least := math.Inf(1)
	loads := s.estimateLoads(now, candidates)
	for _, m := range candidates {
		if s.checkPlacement(now, request, m) != nil {
			continue
		}
		least = min(least, s.effectiveLoad(now, &loads, m)/float64(max(1, m.entry.Slots)))
	}
	return least
}

// effectiveLoad returns the estimated requests in flight at a replica, raised to the load of a
// full one if the replica has reached its cold rate.
func (s *Set) effectiveLoad(now time.Time, loads *loadEstimate, m *member) float64 {
	load := loads.load(m)
	if s.atColdRate(now, m) {
		load = max(load, utilisationAtColdRate*float64(max(1, m.entry.Slots)))
	}
	return load
}

// uncachedTokens predicts the prefill of the prompt at a replica. The replica that served the
// session's previous turn has that turn's prompt and output cached, even if another node sent
// the turn.
func (e *evaluation) uncachedTokens(m *member) int {
	prompt, disabled := e.request.Prompt, &e.set.config.Disabled
	uncachedTokens := Tokens(prompt)
	if !disabled.CachedPrompts {
		uncachedTokens = m.cache.uncachedTokens(prompt, e.cachedProbabilityAt(m))
	}
	last := len(prompt) - 1
	if last < 0 || m.entry.ID != e.request.Preferred || disabled.LastReplica {
		return uncachedTokens
	}
	if e.request.PreferredCached > 0 {
		return min(uncachedTokens, max(0, Tokens(prompt)-e.request.PreferredCached))
	}
	return min(uncachedTokens, prompt[last].Tokens)
}

// cachedProbabilityAt returns a function that estimates the probability that a replica has a
// part cached that this node did not send there.
func (e *evaluation) cachedProbabilityAt(m *member) func(part string) float64 {
	if e.sharedCacheShare == 0 || e.set.config.Disabled.SharedParts {
		return func(string) float64 { return 0 }
	}
	programScale := programScale(e.choosingNodes, e.candidateCount, e.now.Sub(m.listedAt))
	return func(part string) float64 {
		return e.sharedCacheShare * e.set.shared.cachedProbability(e.now, part, programScale)
	}
}

// Tokens returns the number of tokens of a prompt.
func Tokens(prompt []Part) (tokens int) {
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return tokens
}
