package schedule

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// verdict tells what became of one attempt to place a held call.
type verdict int

const (
	// placed: the call is sent.
	placed verdict = iota
	// passed: this call waits, for room in a cache or for a back end that it
	// does not avoid; the ones behind it may still be placed.
	passed
	// blocked: every feasible back end is saturated.
	blocked
)

// place tries to send a held call: it samples a few of the feasible back ends
// that have room, adds the ones that hold the program's prefix, and takes the
// best predicted finish.
func (s *Scheduler) place(now time.Time, call *heldCall) verdict {
	request := &call.request
	s.sampled = s.sampled[:0]
	s.addWarm(now, call)
	listed, unsaturated := s.sample(now, call)
	if len(s.sampled) == 0 {
		if listed == 0 || unsaturated || len(request.Avoid) > 0 {
			return passed
		}
		return blocked
	}
	best := s.best(now, request)
	s.send(now, call, &best, listed)
	return placed
}

// addWarm adds the feasible back ends that hold the program's prefix to
// s.sampled, unless they are saturated.
func (s *Scheduler) addWarm(now time.Time, call *heldCall) {
	for _, held := range s.tracker.residents(call.request.Call.Program) {
		entry := s.view.byID[held.backend]
		if entry != nil && feasible(&call.request, entry) && s.hasRoom(now, call, entry) {
			s.sampled = append(s.sampled, entry)
		}
	}
}

// probesPerChoice is how many random back ends are looked at for each choice,
// before all are.
const probesPerChoice = 4

// sample adds Choices random feasible back ends with room to s.sampled. It
// probes a few of a large fleet first, so that a decision does not cost more
// where there are more replicas. It returns how many back ends serve such
// calls in the permitted zones, and whether any is not saturated.
func (s *Scheduler) sample(now time.Time, call *heldCall) (listed int, unsaturated bool) {
	s.pools, listed = s.view.poolsOf(&call.request, s.pools[:0])
	probes := probesPerChoice * s.config.Choices
	if listed > probes && s.probe(now, call, listed, probes) {
		return listed, true
	}
	s.candidates = s.candidates[:0]
	for _, pool := range s.pools {
		for _, entry := range pool {
			if !feasible(&call.request, entry) || s.saturated(now, entry, call) {
				continue
			}
			unsaturated = true
			if s.fits(now, call, entry) && !slices.Contains(s.sampled, entry) {
				s.candidates = append(s.candidates, entry)
			}
		}
	}
	s.drawChoices()
	return listed, unsaturated
}

// probe looks at a few random back ends, and reports whether it found any.
func (s *Scheduler) probe(now time.Time, call *heldCall, listed, probes int) bool {
	found := 0
	for range probes {
		entry := at(s.pools, s.config.Random.IntN(listed))
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

// drawChoices moves Choices random ones of s.candidates to s.sampled.
func (s *Scheduler) drawChoices() {
	left := s.candidates
	for range min(s.config.Choices, len(left)) {
		i := s.config.Random.IntN(len(left))
		s.sampled = append(s.sampled, left[i])
		left[i] = left[len(left)-1]
		left = left[:len(left)-1]
	}
}

// hasRoom reports whether a back end has a free slot, and room in its cache.
func (s *Scheduler) hasRoom(now time.Time, call *heldCall, entry *backend) bool {
	return !s.saturated(now, entry, call) && s.fits(now, call, entry)
}

// saturated reports whether a back end should get no further call of a
// tenant. One that floods leaves slots to the others.
func (s *Scheduler) saturated(now time.Time, candidate *backend, call *heldCall) bool {
	share := s.config.EngineFill
	if s.tenants.floods(call.line.share.use) {
		share *= s.config.Cache.FloodFill
	}
	return s.loaded(now, candidate, share)
}

// loaded reports whether a share of a back end's slots is taken. Only engines
// state how much they take at once.
func (s *Scheduler) loaded(now time.Time, candidate *backend, share float64) bool {
	slots := candidate.machine.Slots
	if slots == 0 {
		return false
	}
	limit := max(1, int(share*float64(slots)))
	return candidate.outstanding(now, s.config.StaleLoad) >= limit
}

// best ranks s.sampled: of the cold candidates one is drawn, and it competes
// with those that hold the program's prefix.
func (s *Scheduler) best(now time.Time, request *Request) prediction {
	residents := s.tracker.residents(request.Call.Program)
	s.options = s.options[:0]
	var best prediction
	age := time.Duration(0)
	for _, candidate := range s.sampled {
		predicted := s.rank(now, request, candidate)
		if tokensAt(residents, candidate.machine.ID) > 0 {
			if best.backend == nil || predicted.score < best.score {
				best = predicted
			}
			continue
		}
		s.options = append(s.options, option{prediction: predicted})
		if candidate.fresh(now, s.config.StaleLoad) {
			age = max(age, now.Sub(candidate.load.At))
		}
	}
	if len(s.options) == 0 {
		return best
	}
	cold := s.drawCold(request, age)
	if best.backend == nil || cold.score < best.score {
		return cold
	}
	return best
}

// drawCold draws one of s.options.
func (s *Scheduler) drawCold(request *Request, age time.Duration) prediction {
	lowest := s.options[0].prediction.score
	for _, each := range s.options[1:] {
		lowest = min(lowest, each.prediction.score)
	}
	if request.Kind == api.CallTool {
		age = 0
	}
	perCall := max(s.predict.perPeer(request), time.Microsecond)
	for i := range s.options {
		each := &s.options[i]
		each.load = float64(each.prediction.score-lowest) / float64(perCall)
	}
	return s.interpret(age, s.predict.meanService(request.Model))
}

// send records the placement and its decision.
func (s *Scheduler) send(now time.Time, call *heldCall, best *prediction, feasible int) {
	request := call.request
	if request.Kind == api.CallModel {
		s.tenants.run(call.line.share.use, 1)
	}
	s.view.place(now, best.backend, flight{
		request: request,
		missing: best.missing,
		peers:   best.peers,
		memory:  best.memory,
	})
	s.decisions = append(s.decisions, Decision{
		Action:         ActionPlace,
		Call:           request.Call,
		Program:        request.Call.Program,
		Backend:        best.backend.machine.ID,
		EnginePriority: s.enginePriority(&request),
		ImportFrom:     best.source,
		Terms:          best.terms(feasible, s.reason(best)),
	})
}

// reason names the kind of placement.
func (s *Scheduler) reason(best *prediction) string {
	switch {
	case best.backend.machine.Slots == 0:
		return "least outstanding"
	case best.source != "":
		return "import"
	case best.missing < best.prompt:
		return "warm"
	}
	return "cold"
}
