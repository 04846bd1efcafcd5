package schedule

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// placeResult is the result of one attempt to place a held call.
type placeResult int

const (
	// placed means that the call was placed.
	placed placeResult = iota
	// skipped means that the call has to wait for room in a cache, for a back
	// end that serves it, or for one that is not in Request.Avoid. Calls behind
	// it may still be placed.
	skipped
	// blocked means that every feasible back end is saturated.
	blocked
)

// place tries to place a held call. It samples a few of the feasible back ends
// that have room, adds the ones that hold the program's prefix, and chooses
// among them by score.
func (s *Scheduler) place(now time.Time, call *heldCall) placeResult {
	request := &call.request
	s.sampled = s.sampled[:0]
	s.addWarm(now, call)
	poolSize, unsaturated := s.sample(now, call)
	if len(s.sampled) == 0 {
		if poolSize == 0 || unsaturated || len(request.Avoid) > 0 {
			return skipped
		}
		return blocked
	}
	best := s.best(now, request)
	s.sendCall(now, call, &best, poolSize)
	return placed
}

// addWarm adds the feasible back ends that hold the program's prefix and have
// room to s.sampled.
func (s *Scheduler) addWarm(now time.Time, call *heldCall) {
	for _, prefix := range s.tracker.prefixes(call.request.Call.Program) {
		entry := s.view.byID[prefix.backend]
		if entry != nil && feasible(&call.request, entry) && s.hasRoom(now, call, entry) {
			s.sampled = append(s.sampled, entry)
		}
	}
}

// probesPerChoice is how many random back ends are probed for each of the
// Choices before sample falls back to checking all back ends.
const probesPerChoice = 4

// sample adds up to Choices random feasible back ends with room to s.sampled.
// In a large fleet it probes a few random ones first, so that the cost of a
// decision does not grow with the number of back ends. It returns how many back
// ends in the permitted zones serve such calls, and whether a feasible one is
// not saturated.
func (s *Scheduler) sample(now time.Time, call *heldCall) (poolSize int, unsaturated bool) {
	s.pools, poolSize = s.view.servingPools(&call.request, s.pools[:0])
	probes := probesPerChoice * s.config.Choices
	if poolSize > probes && s.probe(now, call, poolSize, probes) {
		return poolSize, true
	}
	s.candidates = s.candidates[:0]
	for _, pool := range s.pools {
		for _, entry := range pool {
			if !feasible(&call.request, entry) || s.saturated(now, entry, call) {
				continue
			}
			unsaturated = true
			if s.fitsCache(now, call, entry) && !slices.Contains(s.sampled, entry) {
				s.candidates = append(s.candidates, entry)
			}
		}
	}
	s.drawChoices()
	return poolSize, unsaturated
}

// probe checks a few random back ends, adds up to Choices of those that are
// feasible and have room to s.sampled, and reports whether it added any.
func (s *Scheduler) probe(now time.Time, call *heldCall, poolSize, probes int) bool {
	found := 0
	for range probes {
		entry := backendAt(s.pools, s.config.Random.IntN(poolSize))
		if slices.Contains(s.sampled, entry) || !feasible(&call.request, entry) || !s.hasRoom(now, call, entry) {
			continue
		}
		s.sampled = append(s.sampled, entry)
		if found++; found == s.config.Choices {
			break
		}
	}
	return found > 0
}

// drawChoices adds up to Choices random elements of s.candidates to s.sampled.
func (s *Scheduler) drawChoices() {
	left := s.candidates
	for range min(s.config.Choices, len(left)) {
		i := s.config.Random.IntN(len(left))
		s.sampled = append(s.sampled, left[i])
		left[i] = left[len(left)-1]
		left = left[:len(left)-1]
	}
}

// hasRoom reports whether a back end has a free slot and room in its cache.
func (s *Scheduler) hasRoom(now time.Time, call *heldCall, entry *backend) bool {
	return !s.saturated(now, entry, call) && s.fitsCache(now, call, entry)
}

// saturated reports whether a back end should get no further call of the
// call's tenant. A flooding tenant may use fewer slots than the others.
func (s *Scheduler) saturated(now time.Time, candidate *backend, call *heldCall) bool {
	share := s.config.EngineFill
	if s.tenants.isFlooding(call.subqueue.share.usage) {
		share *= s.config.Cache.FloodFill
	}
	return s.slotsTaken(now, candidate, share)
}

// slotsTaken reports whether at least the given share of a back end's slots, and
// at least one slot, is in use. Only engines declare a number of slots; other
// back ends are never saturated.
func (s *Scheduler) slotsTaken(now time.Time, candidate *backend, share float64) bool {
	slots := candidate.machine.Slots
	if slots == 0 {
		return false
	}
	limit := max(1, int(share*float64(slots)))
	return candidate.outstanding(now, s.config.StaleLoad) >= limit
}

// best ranks s.sampled. It draws one of the cold candidates and compares it by
// score with those that hold the program's prefix.
func (s *Scheduler) best(now time.Time, request *Request) prediction {
	prefixes := s.tracker.prefixes(request.Call.Program)
	s.coldOptions = s.coldOptions[:0]
	var best prediction
	age := time.Duration(0)
	for _, candidate := range s.sampled {
		predicted := s.rank(now, request, candidate)
		if tokensAt(prefixes, candidate.machine.ID) > 0 {
			if best.backend == nil || predicted.score < best.score {
				best = predicted
			}
			continue
		}
		s.coldOptions = append(s.coldOptions, coldOption{prediction: predicted})
		if candidate.hasFreshLoad(now, s.config.StaleLoad) {
			age = max(age, now.Sub(candidate.load.At))
		}
	}
	if len(s.coldOptions) == 0 {
		return best
	}
	cold := s.drawCold(request, age)
	if best.backend == nil || cold.score < best.score {
		return cold
	}
	return best
}

// drawCold draws one of s.coldOptions at random. age is the age of the oldest of
// their load reports that are not stale; for tool calls it counts as zero.
func (s *Scheduler) drawCold(request *Request, age time.Duration) prediction {
	lowest := s.coldOptions[0].prediction.score
	for _, each := range s.coldOptions[1:] {
		lowest = min(lowest, each.prediction.score)
	}
	if request.Kind == api.CallTool {
		age = 0
	}
	perCall := max(s.predict.timePerPeer(request), time.Microsecond)
	for i := range s.coldOptions {
		each := &s.coldOptions[i]
		each.relativeLoad = float64(each.prediction.score-lowest) / float64(perCall)
	}
	return s.drawByLoad(age, s.predict.meanServiceTime(request.Model))
}

// sendCall records the placement of a call and adds its decision.
func (s *Scheduler) sendCall(now time.Time, call *heldCall, best *prediction, feasible int) {
	request := call.request
	if request.Kind == api.CallModel {
		s.tenants.addRunningCalls(call.subqueue.share.usage, 1)
	}
	s.view.recordPlaced(now, best.backend, placedCall{
		request:       request,
		missingTokens: best.missingTokens,
		peers:         best.peers,
		cachedTokens:  best.cachedTokens,
	})
	s.decisions = append(s.decisions, Decision{
		Action:         ActionPlace,
		Call:           request.Call,
		Program:        request.Call.Program,
		Backend:        best.backend.machine.ID,
		EnginePriority: s.enginePriority(&request),
		ImportFrom:     best.source,
		Terms:          best.terms(feasible, s.placementReason(best)),
	})
}

// placementReason returns the reason in the decision's Terms.
func (s *Scheduler) placementReason(best *prediction) string {
	switch {
	case best.backend.machine.Slots == 0:
		return "least outstanding"
	case best.source != "":
		return "import"
	case best.missingTokens < best.promptTokens:
		return "warm"
	}
	return "cold"
}
