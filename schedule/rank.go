package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// prediction is the predicted completion time of a call at one back end, as
// the sum of its terms.
type prediction struct {
	backend  *backend
	link     time.Duration
	queue    time.Duration
	transfer time.Duration
	prefill  time.Duration
	decode   time.Duration
	// promptTokens is the length of the whole prompt; missingTokens is the part
	// of it that needs prefill.
	promptTokens  int
	missingTokens int
	// cachedTokens is the number of tokens that the call adds to the cache.
	cachedTokens int
	// peers is the expected number of concurrent sequences at the back end.
	peers int
	// source is the engine to import the prefix from; empty for no import.
	source machine.ID
	// score orders the candidates, lower first. It is the predicted completion
	// time plus the cost of the placement to other calls.
	score time.Duration
}

// completionTime returns the predicted time from now until the answer is
// complete.
func (p *prediction) completionTime() time.Duration {
	return p.link + p.queue + p.transfer + p.prefill + p.decode
}

// terms returns the Terms that explain the prediction.
func (p *prediction) terms(feasible int, reason string) Terms {
	return Terms{
		Feasible:      feasible,
		Queue:         p.queue,
		Prefill:       p.prefill,
		Transfer:      p.transfer,
		Decode:        p.decode,
		Link:          p.link,
		MissingTokens: p.missingTokens,
		Reason:        reason,
	}
}

// rank predicts the completion time of a request at a candidate.
func (s *Scheduler) rank(now time.Time, request *Request, candidate *backend) prediction {
	if request.Kind == api.CallTool {
		return s.rankTool(now, request, candidate)
	}
	return s.rankModel(now, request, candidate)
}

// rankTool prefers the back end with the fewest outstanding calls, then the
// nearest one. Each outstanding call counts as one mean service time.
func (s *Scheduler) rankTool(now time.Time, request *Request, candidate *backend) prediction {
	outstanding := candidate.outstanding(now, s.config.StaleLoad)
	predicted := prediction{backend: candidate, peers: outstanding}
	predicted.link = 2 * s.config.LinkDelay(candidate.machine.Zone)
	predicted.queue = time.Duration(outstanding) * s.predict.meanServiceTime(request.Tool)
	predicted.score = predicted.completionTime()
	return predicted
}

// rankModel adds up link delay, queueing, prefill of the uncached part or
// transfer of the prefix, and a decode time that grows with the batch.
func (s *Scheduler) rankModel(now time.Time, request *Request, candidate *backend) prediction {
	learned := s.predict.speedModel(request.Model)
	predicted := prediction{
		backend:      candidate,
		peers:        candidate.outstanding(now, s.config.StaleLoad),
		promptTokens: request.PromptTokens,
		link:         2 * s.config.LinkDelay(candidate.machine.Zone),
	}
	prefixes := s.tracker.prefixes(request.Call.Program)
	heldTokens := min(tokensAt(prefixes, candidate.machine.ID), request.PromptTokens)
	predicted.missingTokens = request.PromptTokens - heldTokens
	predicted.prefill = s.predict.prefill(learned, predicted.missingTokens)
	s.considerImport(request, &predicted, prefixes, heldTokens)
	predicted.cachedTokens = request.PromptTokens - heldTokens + request.OutputCap
	waiting := candidate.queuedTokens(now, s.config.StaleLoad)
	predicted.queue = s.predict.prefill(learned, waiting)
	predicted.decode = s.predict.decode(learned, s.predict.expectedOutput(request), predicted.peers)
	predicted.score = predicted.completionTime() + s.transferPenalty(&predicted)
	return predicted
}

// considerImport changes the prediction to an import of the prefix from another
// engine if that is faster than computing the uncached part.
func (s *Scheduler) considerImport(request *Request, predicted *prediction, prefixes []residentPrefix, heldTokens int) {
	best, ok := largestPrefix(prefixes)
	if !ok || best.backend == predicted.backend.machine.ID {
		return
	}
	source := s.view.byID[best.backend]
	if source == nil || !request.Placement.Contains(source.machine.Zone) {
		return
	}
	tokens := min(best.tokens, request.PromptTokens)
	saved := tokens - heldTokens
	if saved <= 0 {
		return
	}
	learned := s.predict.speedModel(request.Model)
	transfer := time.Duration(tokens)*s.config.Rates.TransferPerToken + 2*s.config.LinkDelay(source.machine.Zone)
	if transfer >= s.predict.prefill(learned, saved) {
		return
	}
	predicted.source = best.backend
	predicted.transfer = transfer
	predicted.missingTokens = request.PromptTokens - tokens
	predicted.prefill = s.predict.prefill(learned, predicted.missingTokens)
}

// transferPenalty returns the cost of a transfer beyond its duration: the
// prefix leaves the engine that holds it and takes cache space in another.
func (s *Scheduler) transferPenalty(predicted *prediction) time.Duration {
	return time.Duration((s.config.Cache.MoveWeight - 1) * float64(predicted.transfer))
}
