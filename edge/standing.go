package edge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/routing"
)

// standings hold what this node knows of programs under way, for the order in which
// turns that compete are served. They are safe for concurrent use.
type standings struct {
	mutex sync.Mutex
	usual *dispatch.RemainingTimeEstimator
	// bands are those of the newest configuration that was used.
	bands atomic.Pointer[bandsOf]
}

// bandsOf holds the ranges of urgencies of one configuration, by service.
type bandsOf struct {
	table    *routing.Table
	services map[string]dispatch.Bands
}

func newStandings() *standings { return &standings{usual: dispatch.NewRemainingTimeEstimator()} }

// begin takes in that a turn of a program came.
func (s *standings) begin(now time.Time, r *requestState) {
	if r.program == "" {
		return
	}
	granted := time.Duration(0)
	if !r.begun() && !r.finish.IsZero() {
		granted = r.finish.Sub(now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.usual.Begin(now, r.route.Name, r.programID(), granted)
	r.need = s.usual.Remaining(r.route.Name, r.programID())
}

// end takes in that a turn of a program was served.
func (s *standings) end(now time.Time, r *requestState) {
	if r.program == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.usual.End(now, r.programID())
}

// standing returns what counts where the turn competes with others.
func (r *requestState) standing(now time.Time) *dispatch.SchedulingState {
	standing := &dispatch.SchedulingState{Begun: r.begun(), ExpectedRemaining: r.need}
	if !r.finish.IsZero() {
		standing.Left, standing.HasFinish = r.finish.Sub(now), true
	}
	return standing
}

// bandsFor returns the ranges of urgencies at a service's replicas.
func (s *standings) bandsFor(table *routing.Table, service string) dispatch.Bands {
	known := s.bands.Load()
	if known == nil || known.table != table {
		known = &bandsOf{table: table, services: make(map[string]dispatch.Bands, len(table.Services))}
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

// urgency returns the rank that an engine gets with the turn: its priority, unless the
// engine that was chosen has no place free, so that turns compete there.
func (n *Node) urgency(r *requestState, table *routing.Table) int {
	competes := r.choice.Entry.Slots > 0 && r.choice.Load >= r.choice.Entry.Slots
	if !competes || !n.settings.uses(OrderBySlack) {
		return min(max(0, r.priority()), dispatch.LeastUrgency)
	}
	return n.standings.bandsFor(table, r.service).Urgency(r.priority(), r.standing(time.Now()))
}
