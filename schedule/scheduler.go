package schedule

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Scheduler is the Policy of the project. It is not safe for concurrent use.
type Scheduler struct {
	config  Config
	view    *view
	queue   *queue
	tracker *tracker
	predict *predictor
	tenants tenants
	// pauses holds what programs did when they paused.
	pauses map[pauseKey]*pauses
	// decisions are due with the next call of Ready.
	decisions []Decision
	// now is the time of the last input.
	now        time.Time
	wake       time.Time
	nextReview time.Time
	nextModels time.Time
	lastOrder  modelOrder
	// candidates and sampled are reused from decision to decision.
	pools      [][]*backend
	candidates []*backend
	sampled    []*backend
	options    []option
	passed     []*heldCall
}

// holdRecheck is how often held calls are tried again without a new input:
// a load report may have become too old to keep an engine saturated.
const holdRecheck = time.Second

// passLimit bounds how many calls of a pool one call of Ready passes over.
const passLimit = 64

// New returns a Scheduler, or every finding about its configuration.
func New(config Config) (*Scheduler, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		config:  config,
		view:    newView(config.StaleLoad),
		queue:   newQueue(),
		predict: newPredictor(config.Rates),
		pauses:  map[pauseKey]*pauses{},
		tenants: tenants{byName: map[string]*tenantUse{}},
	}
	s.tracker = newTracker(func(request *Request, tokens int) {
		s.tenants.hold(s.tenants.use(request), tokens)
	})
	return s, nil
}

// SetBackends implements Policy.
func (s *Scheduler) SetBackends(now time.Time, backends []machine.Machine) {
	s.now = now
	s.tracker.lost(s.view.setBackends(backends))
	s.evacuate(now)
}

// ObserveLoad implements Policy.
func (s *Scheduler) ObserveLoad(now time.Time, load Load) {
	s.now = now
	s.view.observe(load)
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
	use := s.tenants.use(&request)
	use.seen = now
	waiting := s.queue.poolOf(&request)
	cost := s.predict.serviceTime(&request)
	call := &heldCall{
		request: request,
		pool:    waiting,
		line:    waiting.lineOf(&request, use),
		place:   placeInLine(&request, s.config.Order),
		expires: holdUntil(request, s.config.MaximumHold),
		cost:    cost,
	}
	if reason := s.admit(now, call); reason != nil {
		s.refuse(now, request, reason)
		return
	}
	s.queue.push(now, call)
	s.countWaiting(call, 1)
}

// countWaiting counts a program that waits to start, or no longer does.
func (s *Scheduler) countWaiting(call *heldCall, change int) {
	if unstarted(&call.request) {
		s.tenants.wait(call.line.share.use, change)
	}
}

// release takes a call out of the queue, because it is sent or not.
func (s *Scheduler) release(now time.Time, call *heldCall, sent bool) {
	s.queue.remove(now, call, sent)
	s.countWaiting(call, -1)
}

// Withdraw implements Policy.
func (s *Scheduler) Withdraw(ref program.CallRef) bool {
	call := s.queue.calls[ref]
	if call == nil {
		return false
	}
	s.release(s.now, call, false)
	s.tracker.pause(s.now, ref.Program)
	return true
}

// Finished implements Policy.
func (s *Scheduler) Finished(now time.Time, call program.CallRef, backend machine.ID, usage api.Usage, residentTokens int) {
	s.now = now
	sent, ok := s.view.finish(now, call)
	if !ok {
		return
	}
	if entry := s.view.byID[backend]; entry != nil {
		took := now.Sub(sent.placed) - 2*s.config.LinkDelay(entry.machine.Zone)
		s.predict.learn(sent, usage, took)
	}
	if sent.request.Kind == api.CallTool {
		return
	}
	s.tenants.run(s.tenants.use(&sent.request), -1)
	s.tracker.finished(now, &sent.request, backend, residentTokens)
	if entry := s.tracker.programs[call.Program]; entry != nil {
		s.dropStale(entry, backend)
		s.export(now, entry)
	}
}

// Evicted implements Policy.
func (s *Scheduler) Evicted(now time.Time, owner api.ProgramID, backend machine.ID) {
	s.now = now
	s.tracker.evicted(owner, backend)
}

// ProgramEnded implements Policy.
func (s *Scheduler) ProgramEnded(now time.Time, owner api.ProgramID) {
	s.now = now
	s.ended(now, owner)
}

// Ready implements Policy.
func (s *Scheduler) Ready(now time.Time) []Decision {
	s.now = now
	s.expire(now)
	s.tenants.compare()
	for i := range s.queue.pools {
		s.serve(now, s.queue.pools[(s.queue.turn+i)%len(s.queue.pools)])
	}
	s.queue.turn++
	s.reviewPaused(now)
	s.reviewModels(now)
	s.setWake(now)
	decisions := slices.Clone(s.decisions)
	clear(s.decisions)
	s.decisions = s.decisions[:0]
	return decisions
}

// expire refuses the calls that were held as long as they may.
func (s *Scheduler) expire(now time.Time) {
	for s.queue.expiry.Len() > 0 {
		call := s.queue.expiry.items[0]
		if call.expires.After(now) {
			return
		}
		s.release(now, call, false)
		s.refuse(now, call.request, s.expiryError(now, call))
	}
}

// expiryError tells a call without a permitted back end from one that found
// none free in time.
func (s *Scheduler) expiryError(now time.Time, call *heldCall) *api.Error {
	s.candidates = s.view.feasible(&call.request, s.candidates[:0])
	if len(s.candidates) == 0 {
		return noPlaceError(call.request)
	}
	reason := api.Refuse(api.CodeOverloaded, "held for %v without a free back end", now.Sub(call.request.Enqueued))
	return reason.After(s.promise(now, call, 0).Milliseconds())
}

func (s *Scheduler) refuse(now time.Time, request Request, reason *api.Error) {
	s.tracker.pause(now, request.Call.Program)
	s.decisions = append(s.decisions, refuse(request, reason))
}

// serve places held calls of a pool in their order, until nothing is left
// that could be placed.
func (s *Scheduler) serve(now time.Time, waiting *pool) {
	waiting.trim()
	s.passed = s.passed[:0]
	for len(s.passed) < passLimit {
		next := waiting.next()
		if next == nil {
			break
		}
		call := next.calls.items[0]
		switch s.place(now, call) {
		case placed:
			s.release(now, call, true)
			waiting.served(call)
		case passed:
			if next.unstarted {
				next.blocked = true
				continue
			}
			next.setAside(call)
			s.passed = append(s.passed, call)
		case blocked:
			waiting.block(next, s.tenants.floods(next.share.use))
		}
	}
	for _, call := range s.passed {
		call.line.putBack(call)
	}
}

// earliest returns the earlier of two times, where the zero time is never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// setWake finds when Ready should run again without a new input.
func (s *Scheduler) setWake(now time.Time) {
	s.wake = time.Time{}
	if s.queue.expiry.Len() > 0 {
		s.wakeBy(s.queue.expiry.items[0].expires)
		s.wakeBy(now.Add(holdRecheck))
	}
	if s.tracker.paused.Len() > 0 {
		s.wakeBy(s.nextReview)
	}
	if s.config.Commands != nil {
		s.wakeBy(s.nextModels)
	}
}

func (s *Scheduler) wakeBy(at time.Time) { s.wake = earliest(s.wake, at) }

// NextWake implements Policy.
func (s *Scheduler) NextWake() time.Time { return s.wake }

// The engines' own queues order calls by urgency, then by attained service.
const (
	highestPriority  = 9
	attainedLevels   = 10
	attainedPerLevel = 512
)

// enginePriority orders the call in the engine's queue, lower first.
func (s *Scheduler) enginePriority(request *Request) int {
	level := 0
	for limit := int64(attainedPerLevel); request.Attained > limit && level < attainedLevels-1; limit *= 2 {
		level++
	}
	return (highestPriority-min(max(request.Priority, 0), highestPriority))*attainedLevels + level
}
