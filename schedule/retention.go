package schedule

import (
	"math/bits"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// While a program is paused, its prefix takes memory that other programs
// could use. Three rules decide on it. A prefix that the program has left
// behind in another engine is dropped at once, because the newer one serves
// the next turn. One whose program is unlikely to return is dropped: how
// likely follows from the pauses that programs of the same tenant made. One
// in an engine that leaves is exported to another.

// pauseBuckets counts pauses by the power of two of their milliseconds.
const pauseBuckets = 24

// pauseKey names the pauses that are alike: those of one tenant's programs,
// after the same tool was called. The tool tells much: a program that has
// sent its notice seldom asks the model again.
type pauseKey struct{ tenant, tool string }

// pauses is what programs did after a model call or tool call: how long until
// they came back, or ended without coming back.
type pauses struct {
	returned [pauseBuckets]uint32
	ended    [pauseBuckets]uint32
}

// priorReturns are counted before the first pause is seen, so that few pauses
// say little.
const priorReturns = 1

// reviewLimit bounds how many paused programs one review looks at.
const reviewLimit = 256

func pauseBucket(pause time.Duration) int {
	return min(bits.Len64(uint64(max(pause, 0)/time.Millisecond)), pauseBuckets-1)
}

// returnProbability is the chance that a program comes back after it was
// paused for so long.
func (p *pauses) returnProbability(pause time.Duration) float64 {
	returned, ended := 0, 0
	for bucket := pauseBucket(pause); bucket < pauseBuckets; bucket++ {
		returned += int(p.returned[bucket])
		ended += int(p.ended[bucket])
	}
	return float64(returned+priorReturns) / float64(returned+ended+priorReturns)
}

// pausesOf returns the pauses like the one that a program is in.
func (s *Scheduler) pausesOf(entry *tracked) *pauses {
	key := pauseKey{entry.tenant, entry.tool}
	known := s.pauses[key]
	if known == nil {
		known = &pauses{}
		s.pauses[key] = known
	}
	return known
}

// resumed learns from a program that calls a model again.
func (s *Scheduler) resumed(now time.Time, owner api.ProgramID) {
	entry := s.tracker.programs[owner]
	if entry == nil || !entry.paused {
		return
	}
	s.pausesOf(entry).returned[pauseBucket(now.Sub(entry.pausedAt))]++
	s.tracker.resume(entry)
}

// calledTool restarts a program's pause, of which the tool now tells more.
func (s *Scheduler) calledTool(now time.Time, request *Request) {
	entry := s.tracker.programs[request.Call.Program]
	if entry == nil || !entry.paused {
		return
	}
	entry.tool = request.Tool
	s.tracker.pause(now, entry.id)
	s.reviewProgram(now, entry)
}

// ended learns from a program that ended, and forgets it.
func (s *Scheduler) ended(now time.Time, owner api.ProgramID) {
	entry := s.tracker.programs[owner]
	if entry == nil {
		return
	}
	if entry.paused {
		s.pausesOf(entry).ended[pauseBucket(now.Sub(entry.pausedAt))]++
	}
	for _, held := range entry.residents {
		s.view.release(now, held.backend, held.tokens)
	}
	s.tracker.forget(entry)
}

// reviewPaused drops the prefixes of programs that are unlikely to return.
func (s *Scheduler) reviewPaused(now time.Time) {
	if now.Before(s.nextReview) {
		return
	}
	s.nextReview = now.Add(s.config.Cache.ReviewInterval)
	s.tenants.forget(now)
	reviewed := 0
	for element := s.tracker.paused.Front(); element != nil && reviewed < reviewLimit; reviewed++ {
		entry := element.Value.(*tracked)
		element = element.Next()
		s.reviewProgram(now, entry)
	}
}

// reviewProgram drops a paused program's prefixes if it is unlikely to
// return.
func (s *Scheduler) reviewProgram(now time.Time, entry *tracked) {
	probability := s.pausesOf(entry).returnProbability(now.Sub(entry.pausedAt))
	if probability < s.config.Cache.ReuseFloor {
		s.dropAll(entry, "unlikely to return")
	}
}

// dropAll drops a program's prefixes everywhere.
func (s *Scheduler) dropAll(entry *tracked, reason string) {
	for _, held := range entry.residents {
		s.drop(entry, held, reason)
	}
	s.tracker.setResidents(entry, nil)
}

func (s *Scheduler) drop(entry *tracked, held resident, reason string) {
	s.view.release(s.now, held.backend, held.tokens)
	s.decisions = append(s.decisions, Decision{
		Action:  ActionDrop,
		Program: entry.id,
		Backend: held.backend,
		Terms:   Terms{MissingTokens: held.tokens, Reason: reason},
	})
}

// dropStale drops the prefixes that a program left behind when it moved.
func (s *Scheduler) dropStale(entry *tracked, current machine.ID) {
	if len(entry.residents) < 2 || tokensAt(entry.residents, current) == 0 {
		return
	}
	for _, held := range entry.residents {
		if held.backend != current {
			s.drop(entry, held, "left behind")
		}
	}
	s.tracker.setResidents(entry, []resident{{backend: current, tokens: tokensAt(entry.residents, current)}})
}

// evacuate exports the prefixes of paused programs from leaving engines.
func (s *Scheduler) evacuate(now time.Time) {
	leaving := false
	for _, entry := range s.view.byID {
		leaving = leaving || entry.machine.Status == machine.StatusLeaving
	}
	if !leaving {
		return
	}
	for element := s.tracker.paused.Front(); element != nil; element = element.Next() {
		s.export(now, element.Value.(*tracked))
	}
}

// export moves a paused program's prefix out of a leaving engine, into the
// feasible one with the most free cache.
func (s *Scheduler) export(now time.Time, entry *tracked) {
	held, ok := largest(entry.residents)
	if !ok || entry.pause == nil {
		return
	}
	source := s.view.byID[held.backend]
	if source == nil || source.machine.Status != machine.StatusLeaving {
		return
	}
	if !entry.last.Placement.Contains(source.machine.Zone) {
		return
	}
	target := s.roomiest(now, &entry.last)
	if target == nil {
		return
	}
	s.tracker.setResidents(entry, []resident{{backend: target.machine.ID, tokens: held.tokens}})
	s.decisions = append(s.decisions, Decision{
		Action:   ActionExport,
		Program:  entry.id,
		Backend:  held.backend,
		ExportTo: target.machine.ID,
		Terms: Terms{
			Transfer: time.Duration(held.tokens) * s.config.Rates.TransferPerToken,
			Reason:   "engine is leaving",
		},
	})
}

// roomiest returns the feasible engine with the most free cache.
func (s *Scheduler) roomiest(now time.Time, request *Request) *backend {
	var best *backend
	most := 0
	s.candidates = s.view.feasible(request, s.candidates[:0])
	for _, candidate := range s.candidates {
		free := candidate.machine.CacheTokens - candidate.memory(now, s.config.StaleLoad)
		if best == nil || free > most {
			best, most = candidate, free
		}
	}
	return best
}
