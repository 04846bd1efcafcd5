package schedule

import (
	"math/bits"
	"slices"
	"time"

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

// pauses is what a tenant's programs did after a model call: how long until
// they came back, or ended without coming back.
type pauses struct {
	returned [pauseBuckets]uint32
	ended    [pauseBuckets]uint32
}

// smallestSample is how many pauses must have lasted as long before they say
// anything.
const smallestSample = 20

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
	if returned+ended < smallestSample {
		return 1
	}
	return float64(returned) / float64(returned+ended)
}

// pausesOf returns the pauses of a tenant's programs.
func (s *Scheduler) pausesOf(tenant string) *pauses {
	known := s.pauses[tenant]
	if known == nil {
		known = &pauses{}
		s.pauses[tenant] = known
	}
	return known
}

// reviewPaused drops the prefixes of programs that are unlikely to return.
func (s *Scheduler) reviewPaused(now time.Time) {
	if now.Before(s.nextReview) {
		return
	}
	s.nextReview = now.Add(s.config.Cache.ReviewInterval)
	reviewed := 0
	for element := s.tracker.paused.Front(); element != nil && reviewed < reviewLimit; reviewed++ {
		entry := element.Value.(*tracked)
		element = element.Next()
		probability := s.pausesOf(entry.tenant).returnProbability(now.Sub(entry.pausedAt))
		if probability < s.config.Cache.ReuseFloor {
			s.dropAll(entry, "unlikely to return")
		}
	}
}

// dropAll drops a program's prefixes everywhere.
func (s *Scheduler) dropAll(entry *tracked, reason string) {
	for _, held := range entry.residents {
		s.drop(entry, held, reason)
	}
	entry.residents = nil
	s.tracker.unlist(entry)
}

func (s *Scheduler) drop(entry *tracked, held resident, reason string) {
	s.decisions = append(s.decisions, Decision{
		Action:  ActionDrop,
		Program: entry.id,
		Backend: held.backend,
		Terms:   Terms{MissingTokens: held.tokens, Reason: reason},
	})
}

// dropStale drops the prefixes that a program left behind when it moved.
func (s *Scheduler) dropStale(entry *tracked, current machine.ID) {
	if tokensAt(entry.residents, current) == 0 {
		return
	}
	for _, held := range entry.residents {
		if held.backend != current {
			s.drop(entry, held, "left behind")
		}
	}
	entry.residents = slices.DeleteFunc(entry.residents, func(r resident) bool { return r.backend != current })
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
	entry.residents = append(entry.residents[:0], resident{backend: target.machine.ID, tokens: held.tokens})
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

// roomiest returns the feasible engine with the most free cache, less what
// was exported to it in this call of Ready.
func (s *Scheduler) roomiest(_ time.Time, request *Request) *backend {
	var best *backend
	s.candidates = s.view.feasible(request, s.candidates[:0])
	for _, candidate := range s.candidates {
		if best == nil || candidate.freeCache() > best.freeCache() {
			best = candidate
		}
	}
	return best
}
