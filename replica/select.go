package replica

import (
	"errors"
	"math"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/zone"
)

// Request is what a choice weighs.
type Request struct {
	Service string
	// Program names the program that a prompt belongs to; "" for other services.
	Program string
	// Prompt is the parts of a prompt, in order; empty for other services.
	Prompt []Part
	// Preferred is the replica that served the line of turns before, or "".
	Preferred ID
	// PreferredKept is how many tokens of the prompt that replica keeps; 0 where only
	// the last part is taken for new.
	PreferredKept int
	// Only is the one replica that may run the request again, or "". It counts
	// for as long as the replica is known.
	Only ID
	// Homes bounds the zones in which a replica may get the request.
	Homes zone.Homes
	// Expected is how many tokens the answer is expected to have; 0 where that is not
	// known.
	Expected int
	// Haste is how the request takes the fast replicas: 1 before others, 0 as its share,
	// -1 after others.
	Haste int
	// Excluded are the replicas that were tried.
	Excluded []ID
	// Warm passes over cold replicas.
	Warm bool
	// PerNode bounds this node's requests at one replica; 0 sets no bound.
	PerNode int
	// Connected reports whether a kept connection to the replica is free; nil
	// where that does not matter.
	Connected func(Entry) bool
	// Draw is a uniform number from 0 to 1 that breaks ties, so that nodes that
	// know the same do not all choose the same.
	Draw float64
}

// The reasons for which no replica is chosen. All mean that nothing was sent.
var (
	// ErrNoReplica says that no replica of the service is ready.
	ErrNoReplica = errors.New("no replica of the service is ready")
	// ErrOutside says that no replica of the service is ready where the request may go.
	ErrOutside = errors.New("no replica of the service is ready in a region that the request may reach")
	// ErrEvacuated says that all that could serve is in evacuated zones.
	ErrEvacuated = errors.New("the zones of all replicas that could serve are evacuated")
	// ErrSaturated says that every ready replica has all the requests it may.
	ErrSaturated = errors.New("every replica of the service is full")
	// ErrColdRate says that every ready replica that is not full is cold, and at its
	// rate.
	ErrColdRate = errors.New("every replica of the service is cold and at its rate")
)

// Choice is the replica chosen for a request.
type Choice struct {
	Entry Entry
	// Missing is the prefill that is expected there, in tokens.
	Missing int
	// Load is how many requests of all nodes were known there.
	Load int
	// Predicted is how long the answer was expected to take, and Pace the time of a token
	// there with nothing beside, which was measured PaceAge ago; 0 where paces had no part.
	Predicted time.Duration
	Pace      time.Duration
	PaceAge   time.Duration
	// Feasible is how many replicas could have been chosen.
	Feasible int
	// Left says that the replica which served the line before is in an evacuated zone,
	// and that the request goes elsewhere because of it.
	Left bool
	// ColdRate is how many requests a second the replica bears; 0 unless it is cold
	// and its service has such a rate.
	ColdRate float64
}

// Select picks a replica for the request: feasible, rank, select. Of a large service a
// window of replicas is weighed, which grows while all in it are full.
func (s *Set) Select(now time.Time, request *Request) (Choice, error) {
	for {
		candidates := s.selectCandidates(now, request)
		choice, err := s.selectFrom(now, request, candidates)
		full := err != nil || choice.Load >= max(1, choice.Entry.Slots)
		if !full || !s.growWindow(request.Service, len(candidates)) {
			return choice, err
		}
	}
}

// selectFrom picks one of some replicas.
func (s *Set) selectFrom(now time.Time, request *Request, candidates []*member) (Choice, error) {
	feasible, reason := s.feasible(now, request, candidates)
	if len(feasible) == 0 {
		if reason != nil {
			return Choice{}, reason
		}
		return Choice{}, s.unavailableReason(now, request)
	}
	evaluation := s.newEvaluation(now, request, candidates)
	if evaluation.tokenTimes != nil {
		best := evaluation.selectByDraw(feasible)
		return evaluation.choice(best, len(feasible)), nil
	}
	start := int(request.Draw * float64(len(feasible)))
	best := feasible[start]
	bestCost := evaluation.cost(best)
	for step := 1; step < len(feasible); step++ {
		candidate := feasible[(start+step)%len(feasible)]
		if cost := evaluation.cost(candidate); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return evaluation.choice(best, len(feasible)), nil
}

// choice describes what was chosen of so many.
func (e *evaluation) choice(best *member, feasible int) Choice {
	choice := Choice{
		Entry:    best.entry,
		Missing:  e.uncachedTokens(best),
		Load:     int(math.Round(e.loads.load(best))),
		Feasible: feasible,
		Left:     e.set.leftEvacuatedZone(e.now, e.request),
		ColdRate: e.set.coldRate(e.now, best),
	}
	e.addPrediction(best, &choice)
	return choice
}

// feasible returns the replicas that may take the request, of those to be weighed: those
// that answered well lately, or the suspect ones where there are no others. Where there
// are none at all that has room, lacking tells what it lacks; nil where no replica may
// take the request at all.
func (s *Set) feasible(now time.Time, request *Request, candidates []*member) (list []*member, reason error) {
	if known := s.byID[request.Only]; known != nil {
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
		if request.PerNode > 0 && m.ownRequests >= request.PerNode {
			reason = ErrSaturated
			continue
		}
		if s.atColdRate(now, m) || (request.Warm && s.coldRate(now, m) > 0) {
			reason = ErrColdRate
			continue
		}
		if now.Before(m.suspectUntil) && !s.config.Without.Suspicion {
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

// isServing reports whether a replica may get new requests: it is listed as ready,
// or was lately and may live.
func (m *member) isServing(now time.Time) bool {
	expired := !m.removeAt.IsZero() && !now.Before(m.removeAt)
	return m.entry.Status == StatusReady && !expired
}

// The weights of a cost, in tokens of prefill.
const (
	// concurrentRequestTokens is what one request beside costs while there are places
	// free: it slows every step of the batch a little. A larger weight has
	// lines of turns leave the replica that keeps their prompts; under load
	// the prefill that this costs adds to the load.
	concurrentRequestTokens = 100
	// queuedTokens is what waiting for one place costs, per request that is
	// over the slots, divided by the slots.
	queuedTokens = 20000
	// prefillWeight is how much prefill costs beyond the request's own wait:
	// all requests of the batch wait for it.
	prefillWeight = 2
	// otherZoneTokens is what another zone costs: the way, and its price.
	otherZoneTokens = 600
	// otherRegionTokens is what another region costs beyond that: the ways there and back,
	// some 16 ms in which 300 tokens each are read, and bytes that cost four times
	// those between zones. A request spills over once that much is waited at home.
	otherRegionTokens = 16*300 + 3*300
	// faultTokens is what one recent fault costs, and maximumFaults the most
	// that are counted: a replica that errs is avoided, and still serves where
	// the others are full.
	faultTokens   = 1500
	maximumFaults = 10
	// connectionTokens is what a new connection costs: its opening, and its price.
	connectionTokens = 150
)

// weighing is one request with what its choice rests on.
type evaluation struct {
	set     *Set
	now     time.Time
	request *Request
	// view is what peers told of the service's loads.
	loads loadEstimate
	// room is the share of the shared parts that an engine has the memory to keep.
	sharedCacheShare float64
	// sharing is how many nodes choose among the replicas that are weighed, and among
	// how many of them.
	choosingNodes, candidateCount int
	// paces are those of the service where they differ, else nil; job is what the
	// request needs then.
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
	if request.Expected > 0 {
		e.tokenTimes = s.unevenTokenTimes(now, request.Service, candidates)
		e.job = dispatch.Job{Tokens: float64(request.Expected)}
	}
	return e
}

// cost predicts the work before the request's answer is whole.
func (e *evaluation) cost(m *member) int {
	load := e.loads.load(m)
	// What waiting costs is not drawn: lines of turns would leave replicas that keep their
	// prompts.
	cost := prefillWeight*e.uncachedTokens(m) + int(concurrentRequestTokens*e.loads.randomisedLoad(m, e.request.Draw))
	if slots := float64(max(1, m.entry.Slots)); load >= slots {
		cost += int(queuedTokens * (load - slots + 1) / slots)
	}
	return cost + e.fixedCost(m)
}

// aside is what a replica costs beside its work: its faults, and the way to it.
func (e *evaluation) fixedCost(m *member) (cost int) {
	disabled := &e.set.config.Without
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

// Pressure returns how full the emptiest replica is that may take a request: its
// requests under way by its slots. A cold one that is at its rate counts as full at
// least. It is 0 where none may. Of a large service a window of replicas is looked at,
// which grows while all in it are full.
func (s *Set) Pressure(now time.Time, request *Request) float64 {
	for {
		candidates := s.selectCandidates(now, request)
		least := s.leastUtilisation(now, request, candidates)
		full := least >= 1
		if full && s.growWindow(request.Service, len(candidates)) {
			continue
		}
		if math.IsInf(least, 1) {
			return 0
		}
		return least
	}
}

// leastUtilisation is Pressure of some replicas, infinite where none may take the request.
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

// occupied returns the requests at a replica, or those of one that is full where it is cold
// and at its rate.
func (s *Set) effectiveLoad(now time.Time, loads *loadEstimate, m *member) float64 {
	load := loads.load(m)
	if s.atColdRate(now, m) {
		load = max(load, utilisationAtColdRate*float64(max(1, m.entry.Slots)))
	}
	return load
}

// missing predicts the prefill of the prompt at a replica. One that served the
// line's last turn keeps what it read and generated then, also where another node
// sent it that turn.
func (e *evaluation) uncachedTokens(m *member) int {
	prompt, disabled := e.request.Prompt, &e.set.config.Without
	uncachedTokens := Tokens(prompt)
	if !disabled.KeptPrompts {
		uncachedTokens = m.cache.uncachedTokens(prompt, e.cachedProbabilityAt(m))
	}
	last := len(prompt) - 1
	if last < 0 || m.entry.ID != e.request.Preferred || disabled.LastReplica {
		return uncachedTokens
	}
	if e.request.PreferredKept > 0 {
		return min(uncachedTokens, max(0, Tokens(prompt)-e.request.PreferredKept))
	}
	return min(uncachedTokens, prompt[last].Tokens)
}

// cachedProbabilityAt returns how likely a replica keeps a part that this node did not send
// there.
func (e *evaluation) cachedProbabilityAt(m *member) func(part string) float64 {
	if e.sharedCacheShare == 0 || e.set.config.Without.SharedParts {
		return func(string) float64 { return 0 }
	}
	programScale := programScale(e.choosingNodes, e.candidateCount, e.now.Sub(m.listedAt))
	return func(part string) float64 {
		return e.sharedCacheShare * e.set.shared.cachedProbability(e.now, part, programScale)
	}
}

// Tokens returns how many tokens a prompt has.
func Tokens(prompt []Part) (tokens int) {
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return tokens
}
