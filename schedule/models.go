package schedule

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// Models move between replicas as demand moves. Each review compares how much
// of their replicas' slots the models use. When one is short of replicas and
// another can spare one, the donor's least busy engine is ordered to unload
// the one and load the other. One move at a time, and none until the last one
// has settled, keeps the weight store from being flooded and the decision
// from chasing its own effect. Every node sees the same reports and names the
// same engine; only the node that commands it gives the order.

// modelUse is the demand of one model.
type modelUse struct {
	model string
	slots int
	// outstanding counts the sequences of its engines, and the calls that
	// this node holds for it.
	outstanding int
	engines     []*backend
}

// share is the part of the slots in use.
func (u *modelUse) share() float64 {
	if u.slots == 0 {
		return float64(u.outstanding)
	}
	return float64(u.outstanding) / float64(u.slots)
}

// reviewModels orders at most one move.
func (s *Scheduler) reviewModels(now time.Time) {
	if s.config.Commands == nil || now.Before(s.nextModels) {
		return
	}
	s.nextModels = now.Add(s.config.Models.ReviewInterval)
	if now.Before(s.modelsChanged.Add(s.config.Models.Settle)) {
		return
	}
	uses := s.modelUses(now)
	short := busiest(uses)
	if short == nil || short.share() < s.config.Models.Busy {
		return
	}
	engine, donor := s.donor(now, uses, short)
	if engine == nil || !s.config.Commands(engine.machine.ID) {
		return
	}
	s.modelsChanged = now
	s.order(ActionUnload, engine, donor, short)
	s.order(ActionLoad, engine, short, donor)
}

func (s *Scheduler) order(action Action, engine *backend, use, other *modelUse) {
	s.decisions = append(s.decisions, Decision{
		Action:  action,
		Backend: engine.machine.ID,
		Model:   use.model,
		Terms:   Terms{Feasible: len(use.engines), Reason: "demand moved between " + use.model + " and " + other.model},
	})
}

// modelUses sums up the demand of every model that is loaded or waited for,
// sorted by name.
func (s *Scheduler) modelUses(now time.Time) []*modelUse {
	byModel := map[string]*modelUse{}
	use := func(model string) *modelUse {
		if byModel[model] == nil {
			byModel[model] = &modelUse{model: model}
		}
		return byModel[model]
	}
	for _, entry := range s.view.byID {
		if entry.machine.Kind != machine.KindEngine || entry.machine.Status != machine.StatusLive {
			continue
		}
		for _, model := range entry.machine.Models {
			known := use(model)
			known.engines = append(known.engines, entry)
			known.slots += entry.machine.Slots
			known.outstanding += entry.outstanding(now, s.config.StaleLoad) / len(entry.machine.Models)
		}
	}
	for _, waiting := range s.queue.pools {
		if waiting.kind != api.CallModel {
			continue
		}
		for _, held := range waiting.shares {
			use(waiting.name).outstanding += held.held
		}
	}
	var uses []*modelUse
	for _, each := range byModel {
		uses = append(uses, each)
	}
	slices.SortFunc(uses, func(a, b *modelUse) int { return strings.Compare(a.model, b.model) })
	return uses
}

// busiest returns the model that uses the largest share of its slots.
func busiest(uses []*modelUse) *modelUse {
	var best *modelUse
	for _, use := range uses {
		if best == nil || use.share() > best.share() {
			best = use
		}
	}
	return best
}

// donor returns the least busy engine that a model can spare for another.
func (s *Scheduler) donor(now time.Time, uses []*modelUse, short *modelUse) (*backend, *modelUse) {
	var best *backend
	var from *modelUse
	for _, use := range uses {
		if use == short {
			continue
		}
		for _, engine := range use.engines {
			if !s.canSpare(use, engine) || slices.Contains(engine.machine.Models, short.model) {
				continue
			}
			if best == nil || s.lessBusy(now, engine, best) {
				best, from = engine, use
			}
		}
	}
	return best, from
}

// canSpare reports whether a model stays below the spare share without the
// engine.
func (s *Scheduler) canSpare(use *modelUse, engine *backend) bool {
	left := use.slots - engine.machine.Slots
	return left > 0 && float64(use.outstanding) <= s.config.Models.Spare*float64(left)
}

func (s *Scheduler) lessBusy(now time.Time, a, b *backend) bool {
	left, right := a.outstanding(now, s.config.StaleLoad), b.outstanding(now, s.config.StaleLoad)
	if left != right {
		return left < right
	}
	return a.machine.ID < b.machine.ID
}
