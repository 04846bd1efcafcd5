package schedule

import (
	"math/bits"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// While a program is paused, its prefix uses cache memory that other programs
// could use. Three rules apply:
//
//   - A prefix that remains in an engine after the program has moved to another
//     one is dropped at once, because the newer prefix serves the next turn.
//   - A prefix whose program is unlikely to call a model again is dropped. The
//     probability is estimated from earlier pauses of the tenant's programs.
//   - A prefix in a leaving engine is exported to another engine, if the
//     program's placement still permits the leaving engine's zone.

// pauseBucketCount is the number of histogram buckets for the lengths of
// pauses. Their bounds are powers of two of a millisecond.
const pauseBucketCount = 24

// pauseKey groups pauses by tenant and by the tool called last. The tool is a
// strong predictor: after a tool that sends the program's final notice, for
// example, a program seldom calls the model again.
type pauseKey struct{ tenant, tool string }

// pauseStats counts how pauses ended, by their length: the program called a
// model again (returned), or it ended without doing so (ended).
type pauseStats struct {
	returned [pauseBucketCount]uint32
	ended    [pauseBucketCount]uint32
}

// priorReturnCount is added to the number of returns, so that a few observed
// pauses do not dominate the estimate.
const priorReturnCount = 1

// maxReviewedPrograms bounds how many paused programs one review examines.
const maxReviewedPrograms = 256

func pauseBucket(pause time.Duration) int {
	return min(bits.Len64(uint64(max(pause, 0)/time.Millisecond)), pauseBucketCount-1)
}

// returnProbability estimates the probability that a program that has been
// paused for this long calls a model again.
func (p *pauseStats) returnProbability(pause time.Duration) float64 {
	returned, ended := 0, 0
	for bucket := pauseBucket(pause); bucket < pauseBucketCount; bucket++ {
		returned += int(p.returned[bucket])
		ended += int(p.ended[bucket])
	}
	return float64(returned+priorReturnCount) / float64(returned+ended+priorReturnCount)
}

// pauseStatsOf returns the statistics for a program's current pause.
func (s *Scheduler) pauseStatsOf(entry *trackedProgram) *pauseStats {
	key := pauseKey{entry.tenant, entry.lastTool}
	known := s.pauseStats[key]
	if known == nil {
		known = &pauseStats{}
		s.pauseStats[key] = known
	}
	return known
}

// resumed records that a paused program calls a model again.
func (s *Scheduler) resumed(now time.Time, programID api.ProgramID) {
	entry := s.tracker.programs[programID]
	if entry == nil || !entry.paused {
		return
	}
	s.pauseStatsOf(entry).returned[pauseBucket(now.Sub(entry.pausedAt))]++
	s.tracker.resume(entry)
}

// calledTool restarts the pause of a program that calls a tool, because the
// statistics for that tool predict better whether it returns.
func (s *Scheduler) calledTool(now time.Time, request *Request) {
	entry := s.tracker.programs[request.Call.Program]
	if entry == nil || !entry.paused {
		return
	}
	entry.lastTool = request.Tool
	s.tracker.pause(now, entry.id)
	s.reviewProgram(now, entry)
}

// ended records the end of a program and removes its state.
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

// reviewPaused drops the prefixes of paused programs that are unlikely to
// return, at most once in each review interval.
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

// dropPrefixes drops all prefixes of a program.
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

// dropStalePrefixes drops a program's prefixes in engines other than the
// current one.
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

// exportFromLeaving exports the prefixes of paused programs from leaving
// engines.
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

// exportPrefix exports a paused program's largest prefix to the feasible engine
// with the most free cache, if the prefix is in a leaving engine whose zone is
// still permitted.
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
