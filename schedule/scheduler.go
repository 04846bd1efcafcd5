package schedule

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Scheduler is the Policy that runs in production. It is not safe for
// concurrent use.
type Scheduler struct {
	config  Config
	view    *view
	queue   *queue
	tracker *tracker
	predict *predictor
	tenants tenants
	// pauseStats counts, by tenant and tool, how the pauses of programs ended.
	pauseStats map[pauseKey]*pauseStats
	// decisions are returned by the next call of Ready.
	decisions []Decision
	// now is the time of the last input.
	now             time.Time
	nextWake        time.Time
	nextPauseReview time.Time
	nextModelReview time.Time
	lastModelOrder  modelOrder
	// The slices below are scratch buffers, reused across decisions.
	pools       [][]*backend
	candidates  []*backend
	sampled     []*backend
	coldOptions []coldOption
	skipped     []*heldCall
}

// heldRecheckInterval is how often placement of held calls is retried without
// a new input. An engine that its last report showed as saturated counts as
// free again once that report is stale.
const heldRecheckInterval = time.Second

// maxSkippedCalls bounds how many calls of a pool one run of Ready skips.
const maxSkippedCalls = 64

// New returns a Scheduler, or an error that lists every finding about config.
func New(config Config) (*Scheduler, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		config:     config,
		view:       newView(config.StaleLoad),
		queue:      newQueue(),
		predict:    newPredictor(config.Rates),
		pauseStats: map[pauseKey]*pauseStats{},
		tenants:    tenants{byName: map[string]*tenantUsage{}},
	}
	s.tracker = newTracker(func(request *Request, tokens int) {
		s.tenants.addCachedTokens(s.tenants.usage(request), tokens)
	})
	return s, nil
}

// SetBackends implements Policy.
func (s *Scheduler) SetBackends(now time.Time, backends []machine.Machine) {
	s.now = now
	s.tracker.recordLost(s.view.setBackends(backends))
	s.exportFromLeaving(now)
}

// ObserveLoad implements Policy.
func (s *Scheduler) ObserveLoad(now time.Time, load Load) {
	s.now = now
	s.view.observeLoad(load)
}

// Enqueue implements Policy.
func (s *Scheduler) Enqueue(now time.Time, request Request) {
	s.now = now
	if request.Arrived.IsZero() {
		request.Arrived = request.Enqueued
	}
	if request.Kind == api.CallModel {
		s.resumed(now, request.Call.Program)
	} else {
		s.calledTool(now, &request)
	}
	usage := s.tenants.usage(&request)
	usage.lastCall = now
	callPool := s.queue.poolFor(&request)
	expectedService := s.predict.serviceTime(&request)
	call := &heldCall{
		request:          request,
		pool:             callPool,
		subqueue:         callPool.subqueueFor(&request, usage),
		effectiveArrival: effectiveArrivalOf(&request, s.config.Order),
		expires:          holdDeadline(request, s.config.MaximumHold),
		expectedService:  expectedService,
	}
	if reason := s.checkAdmission(now, call); reason != nil {
		s.refuse(now, request, reason)
		return
	}
	s.queue.push(now, call)
	s.countUnstarted(call, 1)
}

// countUnstarted adds change to the tenant's number of unstarted programs if
// the call belongs to one.
func (s *Scheduler) countUnstarted(call *heldCall, change int) {
	if isUnstarted(&call.request) {
		s.tenants.addUnstarted(call.subqueue.share.usage, change)
	}
}

// dequeue removes a call from the queue; sent reports whether it was placed.
func (s *Scheduler) dequeue(now time.Time, call *heldCall, sent bool) {
	s.queue.remove(now, call, sent)
	s.countUnstarted(call, -1)
}

// Withdraw implements Policy.
func (s *Scheduler) Withdraw(ref program.CallRef) bool {
	call := s.queue.calls[ref]
	if call == nil {
		return false
	}
	s.dequeue(s.now, call, false)
	s.tracker.pause(s.now, ref.Program)
	return true
}

// Finished implements Policy.
func (s *Scheduler) Finished(now time.Time, call program.CallRef, backend machine.ID, reportedUsage api.Usage, residentTokens int) {
	s.now = now
	sent, ok := s.view.recordEnded(now, call)
	if !ok {
		return
	}
	if entry := s.view.byID[backend]; entry != nil {
		elapsed := now.Sub(sent.placedAt) - 2*s.config.LinkDelay(entry.machine.Zone)
		s.predict.learn(sent, reportedUsage, elapsed)
	}
	if sent.request.Kind == api.CallTool {
		return
	}
	s.tenants.addRunningCalls(s.tenants.usage(&sent.request), -1)
	s.tracker.recordFinished(now, &sent.request, backend, residentTokens)
	if entry := s.tracker.programs[call.Program]; entry != nil {
		s.dropStalePrefixes(entry, backend)
		s.exportPrefix(now, entry)
	}
}

// Evicted implements Policy.
func (s *Scheduler) Evicted(now time.Time, programID api.ProgramID, backend machine.ID) {
	s.now = now
	s.tracker.recordEvicted(programID, backend)
}

// ProgramEnded implements Policy.
func (s *Scheduler) ProgramEnded(now time.Time, programID api.ProgramID) {
	s.now = now
	s.ended(now, programID)
}

// Ready implements Policy.
func (s *Scheduler) Ready(now time.Time) []Decision {
	s.now = now
	s.refuseExpired(now)
	s.tenants.updateLargestShare()
	for i := range s.queue.pools {
		s.placeHeldCalls(now, s.queue.pools[(s.queue.rotation+i)%len(s.queue.pools)])
	}
	s.queue.rotation++
	s.reviewPaused(now)
	s.reviewModels(now)
	s.updateNextWake(now)
	decisions := slices.Clone(s.decisions)
	clear(s.decisions)
	s.decisions = s.decisions[:0]
	return decisions
}

// refuseExpired refuses the calls whose hold deadline has passed.
func (s *Scheduler) refuseExpired(now time.Time) {
	for s.queue.expiry.Len() > 0 {
		call := s.queue.expiry.items[0]
		if call.expires.After(now) {
			return
		}
		s.dequeue(now, call, false)
		s.refuse(now, call.request, s.expiryError(now, call))
	}
}

// expiryError returns the refusal of an expired call: either no permitted back
// end serves it, or none became free in time.
func (s *Scheduler) expiryError(now time.Time, call *heldCall) *api.Error {
	s.candidates = s.view.feasible(&call.request, s.candidates[:0])
	if len(s.candidates) == 0 {
		return noBackendError(call.request)
	}
	refusal := api.Refuse(api.CodeOverloaded, "held for %v without a free back end", now.Sub(call.request.Enqueued))
	return refusal.WithRetryAfter(s.nextRetryAfter(now, call, 0).Milliseconds())
}

func (s *Scheduler) refuse(now time.Time, request Request, refusal *api.Error) {
	s.tracker.pause(now, request.Call.Program)
	s.decisions = append(s.decisions, refuse(request, refusal))
}

// placeHeldCalls places the held calls of a pool in order until none of the
// remaining ones can be placed.
func (s *Scheduler) placeHeldCalls(now time.Time, callPool *pool) {
	callPool.resetRound()
	s.skipped = s.skipped[:0]
	for len(s.skipped) < maxSkippedCalls {
		next := callPool.next()
		if next == nil {
			break
		}
		call := next.calls.items[0]
		switch s.place(now, call) {
		case placed:
			s.dequeue(now, call, true)
			callPool.charge(call)
		case skipped:
			if next.unstarted {
				next.blocked = true
				continue
			}
			next.skip(call)
			s.skipped = append(s.skipped, call)
		case blocked:
			callPool.blockSaturated(next, s.tenants.isFlooding(next.share.usage))
		}
	}
	for _, call := range s.skipped {
		call.subqueue.restore(call)
	}
}

// earliest returns the earlier of two times; a zero a means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// updateNextWake computes when Ready should run again without a new input.
func (s *Scheduler) updateNextWake(now time.Time) {
	s.nextWake = time.Time{}
	if s.queue.expiry.Len() > 0 {
		s.wakeBy(s.queue.expiry.items[0].expires)
		s.wakeBy(now.Add(heldRecheckInterval))
	}
	if s.tracker.paused.Len() > 0 {
		s.wakeBy(s.nextPauseReview)
	}
	if s.config.ManagesEngine != nil {
		s.wakeBy(s.nextModelReview)
	}
}

func (s *Scheduler) wakeBy(at time.Time) { s.nextWake = earliest(s.nextWake, at) }

// NextWake implements Policy.
func (s *Scheduler) NextWake() time.Time { return s.nextWake }

// Parameters of enginePriority. Engines order their own queues by priority,
// then by attained service. The first level of attained service ends at
// firstLevelTokens, and each further limit is twice the one before.
const (
	highestPriority  = 9
	attainedLevels   = 10
	firstLevelTokens = 512
)

// enginePriority returns the call's rank in the engine's queue, lower first.
func (s *Scheduler) enginePriority(request *Request) int {
	level := 0
	for limit := int64(firstLevelTokens); request.AttainedTokens > limit && level < attainedLevels-1; limit *= 2 {
		level++
	}
	return (highestPriority-min(max(request.Priority, 0), highestPriority))*attainedLevels + level
}
