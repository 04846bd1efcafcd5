package schedule

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// The names of the baselines, for NewBaseline.
const (
	BaselineRoundRobin  = "round-robin"
	BaselineLeastLoaded = "least-loaded"
	BaselineSticky      = "sticky"
)

// baseline is a first-come-first-served policy that sends each call at once to
// one feasible back end, as a common load balancer does. It applies the same
// feasibility rules as Scheduler and leaves queueing to the back ends.
type baseline struct {
	config   Config
	view     *view
	pending  []Request
	choose   func(now time.Time, request *Request, candidates []*backend) *backend
	scratch  []*backend
	rotation int
}

// NewBaseline returns one of the policies that Scheduler is compared with:
// round robin, least loaded (by reported load and the node's own calls since
// the report), or sticky by a hash of the program.
func NewBaseline(name string, config Config) (Policy, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	b := &baseline{config: config, view: newView(config.StaleLoad)}
	switch name {
	case BaselineRoundRobin:
		b.choose = b.roundRobin
	case BaselineLeastLoaded:
		b.choose = b.leastLoaded
	case BaselineSticky:
		b.choose = b.sticky
	default:
		return nil, fmt.Errorf("baseline %q: want %s, %s or %s", name,
			BaselineRoundRobin, BaselineLeastLoaded, BaselineSticky)
	}
	return b, nil
}

func (b *baseline) roundRobin(_ time.Time, _ *Request, candidates []*backend) *backend {
	b.rotation++
	return candidates[b.rotation%len(candidates)]
}

func (b *baseline) leastLoaded(now time.Time, _ *Request, candidates []*backend) *backend {
	best := candidates[0]
	least := best.outstanding(now, b.config.StaleLoad)
	for _, candidate := range candidates[1:] {
		if load := candidate.outstanding(now, b.config.StaleLoad); load < least {
			best, least = candidate, load
		}
	}
	return best
}

// sticky chooses by rendezvous hashing, so that a back end that joins or leaves
// moves only its own share of the programs.
func (b *baseline) sticky(_ time.Time, request *Request, candidates []*backend) *backend {
	var best *backend
	var highest uint64
	for _, candidate := range candidates {
		score := xxhash.Sum64String(string(request.Call.Program) + "/" + string(candidate.machine.ID))
		if best == nil || score > highest {
			best, highest = candidate, score
		}
	}
	return best
}

// SetBackends implements Policy.
func (b *baseline) SetBackends(_ time.Time, backends []machine.Machine) {
	b.view.setBackends(backends)
}

// ObserveLoad implements Policy.
func (b *baseline) ObserveLoad(_ time.Time, load Load) { b.view.observeLoad(load) }

// Enqueue implements Policy.
func (b *baseline) Enqueue(_ time.Time, request Request) {
	b.pending = append(b.pending, request)
}

// Withdraw implements Policy.
func (b *baseline) Withdraw(call program.CallRef) bool {
	for i, request := range b.pending {
		if request.Call == call {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return true
		}
	}
	return false
}

// Finished implements Policy.
func (b *baseline) Finished(now time.Time, call program.CallRef, _ machine.ID, _ api.Usage, _ int) {
	b.view.recordEnded(now, call)
}

// Evicted implements Policy. A baseline does not track prefixes.
func (b *baseline) Evicted(time.Time, api.ProgramID, machine.ID) {}

// ProgramEnded implements Policy. A baseline does not track programs.
func (b *baseline) ProgramEnded(time.Time, api.ProgramID) {}

// Ready implements Policy.
func (b *baseline) Ready(now time.Time) []Decision {
	var decisions []Decision
	held := b.pending[:0]
	for _, request := range b.pending {
		b.scratch = b.view.feasible(&request, b.scratch[:0])
		switch {
		case len(b.scratch) > 0:
			chosen := b.choose(now, &request, b.scratch)
			b.view.recordPlaced(now, chosen, placedCall{request: request})
			decisions = append(decisions, Decision{
				Action: ActionPlace, Call: request.Call, Program: request.Call.Program,
				Backend: chosen.machine.ID,
				Terms:   Terms{Feasible: len(b.scratch), Reason: "baseline"},
			})
		case !now.Before(holdDeadline(request, b.config.MaximumHold)):
			decisions = append(decisions, refuse(request, noBackendError(request)))
		default:
			held = append(held, request)
		}
	}
	b.pending = held
	return decisions
}

// NextWake implements Policy.
func (b *baseline) NextWake() time.Time {
	var wake time.Time
	for _, request := range b.pending {
		until := holdDeadline(request, b.config.MaximumHold)
		if wake.IsZero() || until.Before(wake) {
			wake = until
		}
	}
	return wake
}
