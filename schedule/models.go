package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// Models are loaded and unloaded as demand shifts between them. Each review
// compares the utilisation of each model's engines. If it is high for the most
// utilised model, and an engine without that model is utilised clearly less,
// that engine is ordered to load the model. If the engine has no room, it is
// first ordered to unload the model with the most spare engines.
//
// Only one order is issued at a time, and no further one until the last has
// taken effect in the machine list or has timed out. This avoids overloading the weight store,
// and oscillation caused by acting on demand that the last order has not
// changed yet. All nodes read the same reports and choose the same engine by a
// hash; only the node that manages that engine issues the order.

// modelDemand is the demand for one model.
type modelDemand struct {
	model   string
	engines []*backend
	// meanUtilisation is the mean utilisation of the model's engines. Each
	// typicalPeers calls that this node holds for the model count as one fully
	// used engine.
	meanUtilisation float64
}

// modelOrder is the last load order that this node issued.
type modelOrder struct {
	engine   machine.ID
	model    string
	issuedAt time.Time
}

// reviewModels issues at most one load order, with an unload order before it if
// the engine has no room.
func (s *Scheduler) reviewModels(now time.Time) {
	if s.config.ManagesEngine == nil || now.Before(s.nextModelReview) {
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
	if engine == nil || !s.config.ManagesEngine(engine.machine.ID) {
		return
	}
	s.lastModelOrder = modelOrder{engine: engine.machine.ID, model: overloaded.model, issuedAt: now}
	if len(engine.machine.Models) >= s.config.Models.PerEngine {
		s.orderModel(ActionUnload, engine, modelToUnload(demands, engine), overloaded)
	}
	s.orderModel(ActionLoad, engine, overloaded.model, overloaded)
}

// orderPending reports whether the last load order has neither taken effect nor
// timed out.
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

// modelDemands returns the demand for every model that an engine has loaded or
// held calls need, sorted by name.
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

// utilisation returns the share of an engine's slots or of its cache that is in
// use, whichever is larger.
func (s *Scheduler) utilisation(now time.Time, engine *backend) float64 {
	bySlots := float64(engine.outstanding(now, s.config.StaleLoad)) / float64(max(engine.machine.Slots, 1))
	byCache := float64(engine.cachedTokens(now, s.config.StaleLoad)) / float64(max(engine.machine.CacheTokens, 1))
	return max(bySlots, byCache)
}

// mostUtilised returns the demand with the highest mean utilisation.
func mostUtilised(demands []*modelDemand) *modelDemand {
	var best *modelDemand
	for _, demand := range demands {
		if best == nil || demand.meanUtilisation > best.meanUtilisation {
			best = demand
		}
	}
	return best
}

// modelToUnload returns the engine's model with the most spare engines.
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

// spareEngines returns the unused capacity that the model's engines have if one
// of them unloads it, in engines.
func (d *modelDemand) spareEngines() float64 {
	return (1 - d.meanUtilisation) * float64(len(d.engines)-1)
}

// loadTarget returns the engine that should load the overloaded model, or nil.
// Among the engines whose utilisation is lower by at least the configured
// margin, it is the one with the highest hash, so that all nodes choose the
// same one.
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
