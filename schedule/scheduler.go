package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Scheduler is the Policy of the project. It is not safe for concurrent use.
type Scheduler struct {
	config  Config
	view    *view
	pending []Request
	scratch []*backend
	home    map[api.ProgramID]machine.ID
}

// New returns a Scheduler, or every finding about its configuration.
func New(config Config) (*Scheduler, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Scheduler{
		config: config,
		view:   newView(config.StaleLoad),
		home:   map[api.ProgramID]machine.ID{},
	}, nil
}

// SetBackends implements Policy.
func (s *Scheduler) SetBackends(_ time.Time, backends []machine.Machine) {
	s.view.setBackends(backends)
}

// ObserveLoad implements Policy.
func (s *Scheduler) ObserveLoad(_ time.Time, load Load) { s.view.observe(load) }

// Enqueue implements Policy.
func (s *Scheduler) Enqueue(_ time.Time, request Request) {
	s.pending = append(s.pending, request)
}

// Withdraw implements Policy.
func (s *Scheduler) Withdraw(call program.CallRef) bool {
	for i, request := range s.pending {
		if request.Call == call {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return true
		}
	}
	return false
}

// Finished implements Policy.
func (s *Scheduler) Finished(now time.Time, call program.CallRef, backend machine.ID, _ api.Usage, residentTokens int) {
	s.view.finish(now, call)
	if residentTokens > 0 {
		s.home[call.Program] = backend
	}
}

// Evicted implements Policy.
func (s *Scheduler) Evicted(_ time.Time, owner api.ProgramID, backend machine.ID) {
	if s.home[owner] == backend {
		delete(s.home, owner)
	}
}

// ProgramEnded implements Policy.
func (s *Scheduler) ProgramEnded(_ time.Time, owner api.ProgramID) { delete(s.home, owner) }

// Ready implements Policy.
func (s *Scheduler) Ready(now time.Time) []Decision {
	var decisions []Decision
	held := s.pending[:0]
	for _, request := range s.pending {
		s.scratch = s.view.feasible(&request, s.scratch[:0])
		switch {
		case len(s.scratch) > 0:
			chosen := s.choose(now, &request)
			s.view.place(now, chosen, flight{request: request})
			decisions = append(decisions, Decision{
				Action: ActionPlace, Call: request.Call, Program: request.Call.Program,
				Backend: chosen.machine.ID,
				Terms:   Terms{Feasible: len(s.scratch), Reason: "least outstanding"},
			})
		case !now.Before(holdUntil(request, s.config.MaximumHold)):
			decisions = append(decisions, refuse(request, noPlaceError(request)))
		default:
			held = append(held, request)
		}
	}
	s.pending = held
	return decisions
}

// choose prefers the engine that holds the program's prefix while it has a
// free slot, else the least outstanding.
func (s *Scheduler) choose(now time.Time, request *Request) *backend {
	best := s.scratch[0]
	home := s.home[request.Call.Program]
	for _, candidate := range s.scratch {
		load := candidate.outstanding(now, s.config.StaleLoad)
		if candidate.machine.ID == home && load < max(candidate.machine.Slots, 1) {
			return candidate
		}
		if load < best.outstanding(now, s.config.StaleLoad) {
			best = candidate
		}
	}
	return best
}

// NextWake implements Policy.
func (s *Scheduler) NextWake() time.Time {
	var wake time.Time
	for _, request := range s.pending {
		until := holdUntil(request, s.config.MaximumHold)
		if wake.IsZero() || until.Before(wake) {
			wake = until
		}
	}
	return wake
}
