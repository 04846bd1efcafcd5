package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// Models move between replicas as demand moves. Each review compares how busy
// the engines of each model are. When the busiest model's are busy, and an
// engine without that model is clearly less so, that engine is ordered to
// load it, and to unload its least busy model first when it has no room.
//
// One order at a time, and none until the last one shows in the machine list,
// keeps the weight store from being flooded and the decision from chasing its
// own effect. Every node sees the same reports and, by a hash, names the same
// engine; only the node that commands it gives the order.

// modelDemand is the demand of one model.
type modelDemand struct {
	model   string
	engines []*backend
	// meanUtilisation is the mean of its engines' busy shares, and the calls that this
	// node holds for it over its slots.
	meanUtilisation float64
}

// modelOrder is an order that does not show in the machine list yet.
type modelOrder struct {
	engine   machine.ID
	model    string
	issuedAt time.Time
}

// reviewModels orders at most one move.
func (s *Scheduler) reviewModels(now time.Time) {
	if s.config.Commands == nil || now.Before(s.nextModelReview) {
		return
	}
	s.nextModelReview = now.Add(s.config.Models.ReviewInterval)
	if s.orderPending(now) {
		return
	}
	demands := s.modelDemands(now)
	overloaded := mostUtilised(demands)
	if overloaded == nil || overloaded.meanUtilisation < s.config.Models.Busy {
		return
	}
	engine := s.loadTarget(now, overloaded)
	if engine == nil || !s.config.Commands(engine.machine.ID) {
		return
	}
	s.lastModelOrder = modelOrder{engine: engine.machine.ID, model: overloaded.model, issuedAt: now}
	if len(engine.machine.Models) >= s.config.Models.PerEngine {
		s.orderModel(ActionUnload, engine, modelToUnload(demands, engine), overloaded)
	}
	s.orderModel(ActionLoad, engine, overloaded.model, overloaded)
}

// orderPending reports whether the last order is still under way.
func (s *Scheduler) orderPending(now time.Time) bool {
	last := s.lastModelOrder
	if last.model == "" || !now.Before(last.issuedAt.Add(s.config.Models.OrderTimeout)) {
		return false
	}
	entry := s.view.byID[last.engine]
	return entry != nil && !slices.Contains(entry.machine.Models, last.model)
}

func (s *Scheduler) orderModel(action Action, engine *backend, model string, overloaded *modelDemand) {
	s.decisions = append(s.decisions, Decision{
		Action:  action,
		Backend: engine.machine.ID,
		Model:   model,
		Terms:   Terms{Feasible: len(overloaded.engines), Reason: overloaded.model + " is short of replicas"},
	})
}

// modelDemands sums up the demand of every model that is loaded or waited for,
// sorted by name.
func (s *Scheduler) modelDemands(now time.Time) []*modelDemand {
	byModel := map[string]*modelDemand{}
	demandOf := func(model string) *modelDemand {
		if byModel[model] == nil {
			byModel[model] = &modelDemand{model: model}
		}
		return byModel[model]
	}
	for _, entry := range s.view.sorted {
		if entry.machine.Kind != machine.KindEngine || entry.machine.Status != machine.StatusLive {
			continue
		}
		for _, model := range entry.machine.Models {
			known := demandOf(model)
			known.engines = append(known.engines, entry)
			known.meanUtilisation += s.utilisation(now, entry)
		}
	}
	for _, callPool := range s.queue.pools {
		if callPool.kind == api.CallModel && callPool.heldCount() > 0 {
			demandOf(callPool.name).meanUtilisation += float64(callPool.heldCount()) / typicalPeers
		}
	}
	var demands []*modelDemand
	for _, each := range byModel {
		each.meanUtilisation /= float64(max(len(each.engines), 1))
		demands = append(demands, each)
	}
	slices.SortFunc(demands, func(a, b *modelDemand) int { return strings.Compare(a.model, b.model) })
	return demands
}

// utilisation is the part of an engine that is in use, by slots or by cache.
func (s *Scheduler) utilisation(now time.Time, engine *backend) float64 {
	bySlots := float64(engine.outstanding(now, s.config.StaleLoad)) / float64(max(engine.machine.Slots, 1))
	byCache := float64(engine.cachedTokens(now, s.config.StaleLoad)) / float64(max(engine.machine.CacheTokens, 1))
	return max(bySlots, byCache)
}

// mostUtilised returns the model whose engines are busiest.
func mostUtilised(demands []*modelDemand) *modelDemand {
	var best *modelDemand
	for _, demand := range demands {
		if best == nil || demand.meanUtilisation > best.meanUtilisation {
			best = demand
		}
	}
	return best
}

// modelToUnload returns the model of the engine that can best go without it: of
// those with other engines, the least busy.
func modelToUnload(demands []*modelDemand, engine *backend) string {
	var best *modelDemand
	for _, demand := range demands {
		if !slices.Contains(engine.machine.Models, demand.model) {
			continue
		}
		if best == nil || demand.spareEngines() > best.spareEngines() {
			best = demand
		}
	}
	return best.model
}

// spareEngines is how much of the model's engines is unused.
func (u *modelDemand) spareEngines() float64 {
	return (1 - u.meanUtilisation) * float64(len(u.engines)-1)
}

// loadTarget returns the engine that is to load the model: of those that are
// clearly less busy than the model's own, the first by a hash that every node
// computes alike.
func (s *Scheduler) loadTarget(now time.Time, overloaded *modelDemand) *backend {
	var best *backend
	var highest uint64
	for _, entry := range s.view.sorted {
		if entry.machine.Kind != machine.KindEngine || entry.machine.Status != machine.StatusLive {
			continue
		}
		if slices.Contains(entry.machine.Models, overloaded.model) {
			continue
		}
		if s.utilisation(now, entry)+s.config.Models.Margin > overloaded.meanUtilisation {
			continue
		}
		hash := xxhash.Sum64String(overloaded.model + "/" + string(entry.machine.ID))
		if best == nil || hash > highest {
			best, highest = entry, hash
		}
	}
	return best
}
