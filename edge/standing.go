package edge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/routing"
)

// scheduling holds this node's estimates for running programs, which order competing turns.
// It is safe for concurrent use.
type scheduling struct {
	mutex     sync.Mutex
	remaining *dispatch.RemainingTimeEstimator
	// bands are the urgency ranges of the latest configuration that was used.
	bands atomic.Pointer[tableBands]
}

// tableBands holds the urgency ranges of one configuration by service.
type tableBands struct {
	table    *routing.Table
	services map[string]dispatch.Bands
}

func newScheduling() *scheduling { return &scheduling{remaining: dispatch.NewRemainingTimeEstimator()} }

// turnBegan records that a turn of a program arrived.
func (s *scheduling) turnBegan(now time.Time, r *requestState) {
	if r.program == "" {
		return
	}
	granted := time.Duration(0)
	if !r.programStarted() && !r.finishBy.IsZero() {
		granted = r.finishBy.Sub(now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remaining.Begin(now, r.route.Name, r.programID(), granted)
	r.expectedRemaining = s.remaining.Remaining(r.route.Name, r.programID())
}

// turnEnded records that a turn of a program was served.
func (s *scheduling) turnEnded(now time.Time, r *requestState) {
	if r.program == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remaining.End(now, r.programID())
}

// schedulingState returns what decides the order in which competing turns are served.
func (r *requestState) schedulingState(now time.Time) *dispatch.SchedulingState {
	schedulingState := &dispatch.SchedulingState{Begun: r.programStarted(), ExpectedRemaining: r.expectedRemaining}
	if !r.finishBy.IsZero() {
		schedulingState.Left, schedulingState.HasFinish = r.finishBy.Sub(now), true
	}
	return schedulingState
}

// bandsFor returns the urgency ranges at a service's replicas.
func (s *scheduling) bandsFor(table *routing.Table, service string) dispatch.Bands {
	known := s.bands.Load()
	if known == nil || known.table != table {
		known = &tableBands{table: table, services: make(map[string]dispatch.Bands, len(table.Services))}
		var tenants []int
		if table.Tenants != nil {
			tenants = table.Tenants.Priorities()
		}
		for name := range table.Services {
			known.services[name] = dispatch.NewBands(slices.Concat(table.Priorities(name), tenants))
		}
		s.bands.Store(known)
	}
	return known.services[service]
}

// urgency returns the rank that an engine gets with the turn. It is the turn's priority,
// unless the selected engine has no free slot, so that turns compete there.
func (n *Node) urgency(r *requestState, table *routing.Table) int {
	competes := r.choice.Entry.Slots > 0 && r.choice.Load >= r.choice.Entry.Slots
	if !competes || !n.settings.uses(OrderBySlack) {
		return min(max(0, r.priority()), dispatch.LeastUrgency)
	}
	return n.scheduling.bandsFor(table, r.service).Urgency(r.priority(), r.schedulingState(time.Now()))
}
