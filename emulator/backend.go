package emulator

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// engineHost is one engine replica: the engine model and the delivery of its
// outputs to the nodes.
type engineHost struct {
	run     *simulation
	seed    uint64
	machine machine.Machine
	model   *enginemodel.Engine
	// calls maps each stream to the call whose node waits for its end.
	calls map[string]*call
	// wakeAt is the earliest pending wake, zero if there is none.
	wakeAt time.Time
	// down is set while the engine is crashed and loses every message; unlisted is
	// set while it is not in the machine list.
	down     bool
	unlisted bool
	// leavingSince is when the engine began to leave, zero if it does not leave.
	leavingSince time.Time
	// reportDelay is added to the delay of load reports and cache events.
	reportDelay time.Duration
	// lastLoad is the last load report that was sent to the nodes.
	lastLoad schedule.Load
}

// start replaces the engine by an empty one, at the beginning and after a crash.
func (h *engineHost) start() error {
	random := rand.New(rand.NewPCG(h.run.config.Seed, h.seed))
	model, err := enginemodel.New(engineConfig(h.machine, h.run.config.TuneEngines), h.run.clock.now, random)
	if err != nil {
		return err
	}
	h.model = model
	h.wakeAt = time.Time{}
	h.down = false
	h.scheduleWake()
	return nil
}

// step applies an event at the current time and delivers the engine's outputs.
func (h *engineHost) step(event enginemodel.Event) error {
	err := h.model.Step(h.run.clock.now, event)
	h.deliver()
	h.scheduleWake()
	return err
}

// scheduleWake schedules the engine's next wake, unless an earlier one is pending.
func (h *engineHost) scheduleWake() {
	next := h.model.NextWake()
	if next.IsZero() || h.down {
		return
	}
	if !h.wakeAt.IsZero() && !h.wakeAt.After(next) {
		return
	}
	h.wakeAt = next
	h.run.clock.at(next, func() { h.wake(next) })
}

// wake advances the engine, unless an earlier wake has replaced this one.
func (h *engineHost) wake(planned time.Time) {
	if !h.wakeAt.Equal(planned) || h.down {
		return
	}
	h.wakeAt = time.Time{}
	_ = h.step(enginemodel.Event{})
}

// deliver sends the engine's outputs to the nodes that they concern.
func (h *engineHost) deliver() {
	for _, output := range h.model.Ready(h.run.clock.now) {
		switch {
		case output.Finished != nil:
			h.finished(*output.Finished)
		case output.CacheEvent != nil:
			h.sendCacheEvent(*output.CacheEvent)
		case output.Load != nil:
			h.sendLoadReport(*output.Load)
		case output.ModelReady != "":
			h.machine.Models = h.model.Models()
			h.run.announceMachines()
		}
	}
}

// finished sends the end of a stream to the node that waits for it.
func (h *engineHost) finished(ended enginemodel.Finished) {
	waiting := h.calls[ended.Stream]
	delete(h.calls, ended.Stream)
	if waiting == nil || h.down {
		return
	}
	owner := waiting.agent.node
	delay := h.run.links.delay(h.machine.Zone, owner.zone)
	if h.run.links.isBlocked(h.machine.Zone, owner.zone) {
		h.run.clock.after(failureDetectionDelay, func() { owner.streamBroken(waiting) })
		return
	}
	h.run.clock.after(delay, func() { owner.modelFinished(waiting, h, ended) })
}

// sendCacheEvent sends an eviction to the node that owns the program. Other cache
// events are ignored.
func (h *engineHost) sendCacheEvent(event engine.CacheEvent) {
	owner := h.run.owners[event.Owner]
	if owner == nil || !event.Evicted || h.run.links.isBlocked(h.machine.Zone, owner.zone) {
		return
	}
	h.run.clock.after(h.reportDelay+h.run.links.delay(h.machine.Zone, owner.zone), func() {
		owner.policy.Evicted(h.run.clock.now, event.Owner, h.machine.ID)
		owner.markDirty()
	})
}

// unchangedReportInterval is the time after which a load report is sent although
// it equals the previous one.
const unchangedReportInterval = 4 * time.Second

// sendLoadReport sends a load report to every node. It suppresses a report that
// equals the previous one for unchangedReportInterval.
func (h *engineHost) sendLoadReport(measured schedule.Load) {
	same := h.lastLoad
	same.At = measured.At
	if same == measured && measured.At.Sub(h.lastLoad.At) < unchangedReportInterval {
		return
	}
	h.lastLoad = measured
	h.run.clock.after(h.reportDelay+h.run.config.Deployment.ZoneDelay, func() {
		for _, each := range h.run.nodes {
			if h.run.links.isBlocked(h.machine.Zone, each.zone) {
				continue
			}
			each.policy.ObserveLoad(h.run.clock.now, measured)
			each.markDirty()
		}
	})
}

// release drops the cached prefix of a program.
func (h *engineHost) release(owner api.ProgramID) {
	if !h.down {
		_ = h.step(enginemodel.Event{Release: &enginemodel.Release{Owner: owner}})
	}
}

// sweepInterval is how often the manager of an engine searches its cache for
// prefixes of ended programs, whose release may have been lost.
const sweepInterval = 10 * time.Second

// sweep releases the prefixes of ended programs and schedules the next sweep.
func (h *engineHost) sweep() {
	h.run.clock.after(sweepInterval, h.sweep)
	manager := h.run.engineManager(h.machine.ID)
	if h.down || h.run.links.isBlocked(manager.zone, h.machine.Zone) {
		return
	}
	for _, held := range h.model.Prefixes() {
		if h.run.owners[held.Owner] == nil {
			h.release(held.Owner)
		}
	}
}

// transfer moves a program's prefix to another engine and reports whether it did:
// the prefix may be evicted, or an engine down.
func (h *engineHost) transfer(owner api.ProgramID, target *engineHost) bool {
	tokens := h.model.Resident(owner)
	if h.down || target.down || tokens == 0 {
		return false
	}
	if err := target.step(enginemodel.Event{Import: &enginemodel.Import{Owner: owner, Tokens: tokens}}); err != nil {
		return false
	}
	_ = h.step(enginemodel.Event{Export: &enginemodel.Export{Owner: owner}})
	return true
}

// crash stops the engine and loses its state. The nodes that wait for its streams
// see their connections break after the link delay.
func (h *engineHost) crash() {
	h.down = true
	h.wakeAt = time.Time{}
	h.run.measure.countEngine(h.model)
	for _, waiting := range sortedCalls(h.calls) {
		owner := waiting.agent.node
		h.run.clock.after(h.run.links.delay(h.machine.Zone, owner.zone), func() { owner.streamBroken(waiting) })
	}
	clear(h.calls)
}

// toolHost is one tool service. It runs any number of requests concurrently.
type toolHost struct {
	run     *simulation
	machine machine.Machine
	down    bool
	// hung makes the service accept requests without running them.
	hung bool
	// dropsAnswers makes the service run requests without sending the answers.
	dropsAnswers bool
	leavingSince time.Time
}

// start runs a tool call and sends its answer back.
func (h *toolHost) start(started *call) {
	owner := started.agent.node
	returnDelay := h.run.links.delay(h.machine.Zone, owner.zone)
	if h.down {
		h.run.clock.after(returnDelay, func() { owner.releaseAndRetry(started, h.machine.ID) })
		return
	}
	if h.hung {
		return // The call ends by toolTimeout.
	}
	h.run.check.toolRan(started)
	if h.dropsAnswers || h.run.links.isBlocked(h.machine.Zone, owner.zone) {
		return
	}
	h.run.clock.after(started.step.Duration+returnDelay, func() { owner.toolFinished(started) })
}
