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

// pauseBucketCount counts pauses by the power of two of their milliseconds.
const pauseBucketCount = 24

// pauseKey names the pauses that are alike: those of one tenant's programs,
// after the same tool was called. The tool tells much: a program that has
// sent its notice seldom asks the model again.
type pauseKey struct{ tenant, tool string }

// pauseStats is what programs did after a model call or tool call: how long until
// they came back, or ended without coming back.
type pauseStats struct {
	returned [pauseBucketCount]uint32
	ended    [pauseBucketCount]uint32
}

// priorReturnCount are counted before the first pause is seen, so that few pauses
// say little.
const priorReturnCount = 1

// maxReviewedPrograms bounds how many paused programs one review looks at.
const maxReviewedPrograms = 256

func pauseBucket(pause time.Duration) int {
	return min(bits.Len64(uint64(max(pause, 0)/time.Millisecond)), pauseBucketCount-1)
}

// returnProbability is the chance that a program comes back after it was
// paused for so long.
func (p *pauseStats) returnProbability(pause time.Duration) float64 {
	returned, ended := 0, 0
	for bucket := pauseBucket(pause); bucket < pauseBucketCount; bucket++ {
		returned += int(p.returned[bucket])
		ended += int(p.ended[bucket])
	}
	return float64(returned+priorReturnCount) / float64(returned+ended+priorReturnCount)
}

// pauseStatsOf returns the pauses like the one that a program is in.
func (s *Scheduler) pauseStatsOf(entry *trackedProgram) *pauseStats {
	key := pauseKey{entry.tenant, entry.lastTool}
	known := s.pauseStats[key]
	if known == nil {
		known = &pauseStats{}
		s.pauseStats[key] = known
	}
	return known
}

// resumed learns from a program that calls a model again.
func (s *Scheduler) resumed(now time.Time, programID api.ProgramID) {
	entry := s.tracker.programs[programID]
	if entry == nil || !entry.paused {
		return
	}
	s.pauseStatsOf(entry).returned[pauseBucket(now.Sub(entry.pausedAt))]++
	s.tracker.resume(entry)
}

// calledTool restarts a program's pause, of which the tool now tells more.
func (s *Scheduler) calledTool(now time.Time, request *Request) {
	entry := s.tracker.programs[request.Call.Program]
	if entry == nil || !entry.paused {
		return
	}
	entry.lastTool = request.Tool
	s.tracker.pause(now, entry.id)
	s.reviewProgram(now, entry)
}

// ended learns from a program that ended, and forgets it.
func (s *Scheduler) ended(now time.Time, programID api.ProgramID) {
	entry := s.tracker.programs[programID]
	if entry == nil {
		return
	}
	if entry.paused {
		s.pauseStatsOf(entry).ended[pauseBucket(now.Sub(entry.pausedAt))]++
	}
	for _, prefix := range entry.prefixes {
		s.view.recordDropped(now, prefix.backend, prefix.tokens)
	}
	s.tracker.remove(entry)
}

// reviewPaused drops the prefixes of programs that are unlikely to return.
func (s *Scheduler) reviewPaused(now time.Time) {
	if now.Before(s.nextPauseReview) {
		return
	}
	s.nextPauseReview = now.Add(s.config.Cache.ReviewInterval)
	s.tenants.removeIdle(now)
	reviewed := 0
	for element := s.tracker.paused.Front(); element != nil && reviewed < maxReviewedPrograms; reviewed++ {
		entry := element.Value.(*trackedProgram)
		element = element.Next()
		s.reviewProgram(now, entry)
	}
}

// reviewProgram drops a paused program's prefixes if it is unlikely to
// return.
func (s *Scheduler) reviewProgram(now time.Time, entry *trackedProgram) {
	probability := s.pauseStatsOf(entry).returnProbability(now.Sub(entry.pausedAt))
	if probability < s.config.Cache.ReuseFloor {
		s.dropPrefixes(entry, "unlikely to return")
	}
}

// dropPrefixes drops a program's prefixes everywhere.
func (s *Scheduler) dropPrefixes(entry *trackedProgram, reason string) {
	for _, prefix := range entry.prefixes {
		s.dropPrefix(entry, prefix, reason)
	}
	s.tracker.setPrefixes(entry, nil)
}

func (s *Scheduler) dropPrefix(entry *trackedProgram, prefix residentPrefix, reason string) {
	s.view.recordDropped(s.now, prefix.backend, prefix.tokens)
	s.decisions = append(s.decisions, Decision{
		Action:  ActionDrop,
		Program: entry.id,
		Backend: prefix.backend,
		Terms:   Terms{MissingTokens: prefix.tokens, Reason: reason},
	})
}

// dropStalePrefixes drops the prefixes that a program left behind when it moved.
func (s *Scheduler) dropStalePrefixes(entry *trackedProgram, current machine.ID) {
	if len(entry.prefixes) < 2 || tokensAt(entry.prefixes, current) == 0 {
		return
	}
	for _, prefix := range entry.prefixes {
		if prefix.backend != current {
			s.dropPrefix(entry, prefix, "left behind")
		}
	}
	s.tracker.setPrefixes(entry, []residentPrefix{{backend: current, tokens: tokensAt(entry.prefixes, current)}})
}

// exportFromLeaving exports the prefixes of paused programs from leaving engines.
func (s *Scheduler) exportFromLeaving(now time.Time) {
	leaving := false
	for _, entry := range s.view.byID {
		leaving = leaving || entry.machine.Status == machine.StatusLeaving
	}
	if !leaving {
		return
	}
	for element := s.tracker.paused.Front(); element != nil; element = element.Next() {
		s.exportPrefix(now, element.Value.(*trackedProgram))
	}
}

// exportPrefix moves a paused program's prefix out of a leaving engine, into the
// feasible one with the most free cache.
func (s *Scheduler) exportPrefix(now time.Time, entry *trackedProgram) {
	prefix, ok := largestPrefix(entry.prefixes)
	if !ok || entry.pause == nil {
		return
	}
	source := s.view.byID[prefix.backend]
	if source == nil || source.machine.Status != machine.StatusLeaving {
		return
	}
	if !entry.lastModelCall.Placement.Contains(source.machine.Zone) {
		return
	}
	target := s.mostFreeCache(now, &entry.lastModelCall)
	if target == nil {
		return
	}
	s.tracker.setPrefixes(entry, []residentPrefix{{backend: target.machine.ID, tokens: prefix.tokens}})
	s.decisions = append(s.decisions, Decision{
		Action:   ActionExport,
		Program:  entry.id,
		Backend:  prefix.backend,
		ExportTo: target.machine.ID,
		Terms: Terms{
			Transfer: time.Duration(prefix.tokens) * s.config.Rates.TransferPerToken,
			Reason:   "engine is leaving",
		},
	})
}

// mostFreeCache returns the feasible engine with the most free cache.
func (s *Scheduler) mostFreeCache(now time.Time, request *Request) *backend {
	var best *backend
	most := 0
	s.candidates = s.view.feasible(request, s.candidates[:0])
	for _, candidate := range s.candidates {
		free := candidate.machine.CacheTokens - candidate.cachedTokens(now, s.config.StaleLoad)
		if best == nil || free > most {
			best, most = candidate, free
		}
	}
	return best
}
