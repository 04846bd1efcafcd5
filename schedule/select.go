package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// verdict tells what became of one attempt to place a held call.
type verdict int

const (
	// placed: the call is sent.
	placed verdict = iota
	// passed: this call waits, for its warm engine or for a back end that it
	// does not avoid; the ones behind it may still be placed.
	passed
	// blocked: every feasible back end is saturated.
	blocked
)

// place tries to send a held call: it samples a few of the feasible back ends
// that are not saturated, adds the ones that hold the program's prefix, and
// takes the best predicted finish.
func (s *Scheduler) place(now time.Time, call *heldCall) verdict {
	request := &call.request
	s.candidates = s.view.feasible(request, s.candidates[:0])
	feasible := len(s.candidates)
	if feasible == 0 {
		return passed
	}
	free := s.sample(now, call)
	if len(s.sampled) == 0 {
		if free > 0 || len(request.Avoid) > 0 {
			return passed
		}
		return blocked
	}
	best := s.best(now, request)
	if until := s.waitForWarm(now, call, &best); until.After(now) {
		call.retryAt = until
		return passed
	}
	s.send(now, call, &best, feasible)
	return placed
}

// sample keeps of s.candidates, in s.sampled, Choices random ones that are
// not saturated and have room in their cache, and those that hold the
// program's prefix. It returns how many are not saturated.
func (s *Scheduler) sample(now time.Time, call *heldCall) int {
	unsaturated := 0
	free := s.candidates[:0]
	for _, candidate := range s.candidates {
		if s.saturated(now, candidate, call) {
			continue
		}
		unsaturated++
		if s.fits(now, call, candidate) {
			free = append(free, candidate)
		}
	}
	s.sampled = s.sampled[:0]
	for _, entry := range s.tracker.residents(call.request.Call.Program) {
		for i, candidate := range free {
			if candidate.machine.ID == entry.backend {
				s.sampled = append(s.sampled, candidate)
				free[i] = free[len(free)-1]
				free = free[:len(free)-1]
				break
			}
		}
	}
	for range min(s.config.Choices, len(free)) {
		i := s.config.Random.IntN(len(free))
		s.sampled = append(s.sampled, free[i])
		free[i] = free[len(free)-1]
		free = free[:len(free)-1]
	}
	return unsaturated
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

// best ranks s.sampled.
func (s *Scheduler) best(now time.Time, request *Request) prediction {
	best := s.rank(now, request, s.sampled[0])
	for _, candidate := range s.sampled[1:] {
		if predicted := s.rank(now, request, candidate); predicted.score < best.score {
			best = predicted
		}
	}
	return best
}

// waitForWarm returns until when the call should wait for a slot at the
// engine that holds its prefix, rather than compute it again elsewhere. The
// wait is bounded by what it saves, from the time the call was enqueued.
func (s *Scheduler) waitForWarm(now time.Time, call *heldCall, best *prediction) time.Time {
	request := &call.request
	if request.Kind != api.CallModel || s.config.Cache.Patience == 0 {
		return time.Time{}
	}
	warm, ok := largest(s.tracker.residents(request.Call.Program))
	if !ok || warm.backend == best.backend.machine.ID {
		return time.Time{}
	}
	holder := s.view.byID[warm.backend]
	if holder == nil || !s.servable(request, holder) || !s.saturated(now, holder, call) {
		return time.Time{}
	}
	there := s.rank(now, request, holder)
	saved := best.transfer + best.prefill - there.prefill
	return request.Enqueued.Add(time.Duration(s.config.Cache.Patience * float64(saved)))
}

// servable reports whether a back end passes the hard rules.
func (s *Scheduler) servable(request *Request, candidate *backend) bool {
	s.candidates = s.view.feasible(request, s.candidates[:0])
	for _, entry := range s.candidates {
		if entry == candidate {
			return true
		}
	}
	return false
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
