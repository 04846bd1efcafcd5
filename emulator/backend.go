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

// engineHost is one replica: the engine model and what it still has to tell.
type engineHost struct {
	run     *simulation
	seed    uint64
	machine machine.Machine
	model   *enginemodel.Engine
	// calls are the streams that a node waits for.
	calls map[string]*call
	// wakeAt is the earliest pending wake.
	wakeAt time.Time
	// down engines lose every message; gone ones have left the machine list.
	down     bool
	unlisted bool
	// leavingSince is when the machine list began to show it as leaving.
	leavingSince time.Time
	// reportDelay delays load reports and cache events further.
	reportDelay time.Duration
	// told is the last load report that was passed on.
	lastLoad schedule.Load
}

// start begins with an empty engine, at first and after a crash.
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

// step applies an event now and delivers what the engine tells.
func (h *engineHost) step(event enginemodel.Event) error {
	err := h.model.Step(h.run.clock.now, event)
	h.deliver()
	h.scheduleWake()
	return err
}

// scheduleWake makes sure that the engine runs when it next has something to
// do.
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

// wake lets the engine run, unless an earlier wake has replaced this one.
func (h *engineHost) wake(planned time.Time) {
	if !h.wakeAt.Equal(planned) || h.down {
		return
	}
	h.wakeAt = time.Time{}
	_ = h.step(enginemodel.Event{})
}

// deliver sends what the engine tells to those whom it concerns.
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

// sendCacheEvent sends a cache event to the node that owns the program.
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

// unchangedReportInterval is how often a load report is passed on that says the same
// as the one before.
const unchangedReportInterval = 4 * time.Second

// sendLoadReport sends a load report to every node, if it says something new.
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

// release drops a program's prefix.
func (h *engineHost) release(owner api.ProgramID) {
	if !h.down {
		_ = h.step(enginemodel.Event{Release: &enginemodel.Release{Owner: owner}})
	}
}

// sweepInterval is how often an engine's attendant compares what the engine
// holds with the programs that live: a release may have been lost.
const sweepInterval = 10 * time.Second

// sweep releases the prefixes of programs that are gone, and comes again.
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

// transfer moves a program's prefix to another engine, if it is still here.
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

// crash loses everything that the engine holds. The nodes that wait for its
// streams notice broken connections.
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

// toolHost is one tool service. It runs any number of requests at once.
type toolHost struct {
	run     *simulation
	machine machine.Machine
	down    bool
	hung    bool
	// dropsAnswers lets runs take effect whose answers never arrive.
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
		return // the call's own time-out ends it
	}
	h.run.check.toolRan(started)
	if h.dropsAnswers || h.run.links.isBlocked(h.machine.Zone, owner.zone) {
		return
	}
	h.run.clock.after(started.step.Duration+returnDelay, func() { owner.toolFinished(started) })
}
