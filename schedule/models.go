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

// modelUse is the demand of one model.
type modelUse struct {
	model   string
	engines []*backend
	// busy is the mean of its engines' busy shares, and the calls that this
	// node holds for it over its slots.
	busy float64
}

// modelOrder is an order that does not show in the machine list yet.
type modelOrder struct {
	engine machine.ID
	model  string
	given  time.Time
}

// reviewModels orders at most one move.
func (s *Scheduler) reviewModels(now time.Time) {
	if s.config.Commands == nil || now.Before(s.nextModels) {
		return
	}
	s.nextModels = now.Add(s.config.Models.ReviewInterval)
	if s.awaitsOrder(now) {
		return
	}
	uses := s.modelUses(now)
	short := busiest(uses)
	if short == nil || short.busy < s.config.Models.Busy {
		return
	}
	engine := s.recipient(now, short)
	if engine == nil || !s.config.Commands(engine.machine.ID) {
		return
	}
	s.lastOrder = modelOrder{engine: engine.machine.ID, model: short.model, given: now}
	if len(engine.machine.Models) >= s.config.Models.PerEngine {
		s.order(ActionUnload, engine, leastBusy(uses, engine), short)
	}
	s.order(ActionLoad, engine, short.model, short)
}

// awaitsOrder reports whether the last order is still under way.
func (s *Scheduler) awaitsOrder(now time.Time) bool {
	last := s.lastOrder
	if last.model == "" || !now.Before(last.given.Add(s.config.Models.OrderTimeout)) {
		return false
	}
	entry := s.view.byID[last.engine]
	return entry != nil && !slices.Contains(entry.machine.Models, last.model)
}

func (s *Scheduler) order(action Action, engine *backend, model string, short *modelUse) {
	s.decisions = append(s.decisions, Decision{
		Action:  action,
		Backend: engine.machine.ID,
		Model:   model,
		Terms:   Terms{Feasible: len(short.engines), Reason: short.model + " is short of replicas"},
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
	for _, entry := range s.view.order {
		if entry.machine.Kind != machine.KindEngine || entry.machine.Status != machine.StatusLive {
			continue
		}
		for _, model := range entry.machine.Models {
			known := use(model)
			known.engines = append(known.engines, entry)
			known.busy += s.busyShare(now, entry)
		}
	}
	for _, waiting := range s.queue.pools {
		if waiting.kind == api.CallModel && waiting.held() > 0 {
			use(waiting.name).busy += float64(waiting.held()) / typicalPeers
		}
	}
	var uses []*modelUse
	for _, each := range byModel {
		each.busy /= float64(max(len(each.engines), 1))
		uses = append(uses, each)
	}
	slices.SortFunc(uses, func(a, b *modelUse) int { return strings.Compare(a.model, b.model) })
	return uses
}

// busyShare is the part of an engine that is in use, by slots or by cache.
func (s *Scheduler) busyShare(now time.Time, engine *backend) float64 {
	bySlots := float64(engine.outstanding(now, s.config.StaleLoad)) / float64(max(engine.machine.Slots, 1))
	byCache := float64(engine.memory(now, s.config.StaleLoad)) / float64(max(engine.machine.CacheTokens, 1))
	return max(bySlots, byCache)
}

// busiest returns the model whose engines are busiest.
func busiest(uses []*modelUse) *modelUse {
	var best *modelUse
	for _, use := range uses {
		if best == nil || use.busy > best.busy {
			best = use
		}
	}
	return best
}

// leastBusy returns the model of the engine that can best go without it: of
// those with other engines, the least busy.
func leastBusy(uses []*modelUse, engine *backend) string {
	var best *modelUse
	for _, use := range uses {
		if !slices.Contains(engine.machine.Models, use.model) {
			continue
		}
		if best == nil || use.spare() > best.spare() {
			best = use
		}
	}
	return best.model
}

// spare is how much of the model's engines is unused.
func (u *modelUse) spare() float64 {
	return (1 - u.busy) * float64(len(u.engines)-1)
}

// recipient returns the engine that is to load the model: of those that are
// clearly less busy than the model's own, the first by a hash that every node
// computes alike.
func (s *Scheduler) recipient(now time.Time, short *modelUse) *backend {
	var best *backend
	var highest uint64
	for _, entry := range s.view.order {
		if entry.machine.Kind != machine.KindEngine || entry.machine.Status != machine.StatusLive {
			continue
		}
		if slices.Contains(entry.machine.Models, short.model) {
			continue
		}
		if s.busyShare(now, entry)+s.config.Models.Margin > short.busy {
			continue
		}
		hash := xxhash.Sum64String(short.model + "/" + string(entry.machine.ID))
		if best == nil || hash > highest {
			best, highest = entry, hash
		}
	}
	return best
}
