package control

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
)

// advanceSchedule executes the scheduler's decisions and reports whether there
// were any. While the settings are not fresh it executes none, because a
// placement may have changed without this node having read it.
func (c *Core) advanceSchedule(now time.Time) bool {
	if !c.follower.Freshness(now).MayPlace {
		return false
	}
	decisions := c.config.Policy.Ready(now)
	for _, decision := range decisions {
		c.execute(now, decision)
	}
	return len(decisions) > 0
}

func (c *Core) execute(now time.Time, decision schedule.Decision) {
	switch decision.Action {
	case schedule.ActionPlace:
		c.place(now, decision)
	case schedule.ActionRefuse:
		c.refuse(now, decision)
	case schedule.ActionDrop:
		c.releaseAt(decision.Program, decision.Backend)
	case schedule.ActionExport:
		c.movePrefix(decision)
	case schedule.ActionLoad, schedule.ActionUnload:
		c.orderModel(decision)
	}
}

// movePrefix moves a paused program's prefix to another engine.
func (c *Core) movePrefix(decision schedule.Decision) {
	from, fromKnown := c.backendManager.backend(decision.Backend)
	to, toKnown := c.backendManager.backend(decision.ExportTo)
	owned, ok := c.ownerOf(decision.Program)
	if !fromKnown || !toKnown || !ok {
		return
	}
	terms, _ := owned.store.Terms(decision.Program)
	if !terms.Placement.Contains(to.Zone) {
		return
	}
	c.setResident(owned, decision.Program, to.ID, true)
	c.emit(MovePrefix{Owner: decision.Program, From: from, To: to})
}

// orderModel has an engine load or unload a model, if this node manages the
// engine.
func (c *Core) orderModel(decision schedule.Decision) {
	backend, ok := c.backendManager.backend(decision.Backend)
	if !ok || !c.Manages(decision.Backend) {
		return
	}
	order := OrderModel{Backend: backend}
	if decision.Action == schedule.ActionLoad {
		order.Load = decision.Model
	} else {
		order.Unload = decision.Model
	}
	c.emit(order)
}

// Manages reports whether this node manages a back end, and so sends it orders.
// Two nodes with different views may both manage it; the fencing number of an
// order then decides which one takes effect.
func (c *Core) Manages(id machine.ID) bool {
	_, managed := c.backendManager.managed[id]
	return managed
}

// place records the scheduler's choice in the program, whose output then sends
// the attempt. The terms are checked again here, where the choice takes effect,
// because the contract may have been narrowed since the call was enqueued.
func (c *Core) place(now time.Time, decision schedule.Decision) {
	owned, ok := c.ownerOf(decision.Call.Program)
	if !ok {
		c.cancelPlacement(now, decision)
		return
	}
	waiting, queued := owned.queued[decision.Call]
	delete(owned.queued, decision.Call)
	if !queued || !c.placementPermits(owned, decision) {
		c.cancelPlacement(now, decision)
		if queued {
			c.retryPlacement(now, owned, waiting.effect)
		}
		return
	}
	owned.placed[decision.Call] = placedCall{backend: decision.Backend, decision: decision}
	command := program.Command{
		Program:  decision.Call.Program,
		Dispatch: &program.Dispatch{Call: decision.Call, Backend: decision.Backend, Epoch: owned.replica.Epoch()},
	}
	output, refusal := owned.store.Step(now, command)
	if refusal != nil {
		delete(owned.placed, decision.Call)
		c.cancelPlacement(now, decision)
		return
	}
	c.trace(now, owned, waiting.since, decision)
	c.apply(now, owned, output, nil)
}

// placementRetry is the delay before a call is scheduled again after a choice
// that its terms no longer permit.
const placementRetry = 100 * time.Millisecond

// retryPlacement schedules a call again after placementRetry. It must be
// enqueued again because the scheduler drops a call once it has decided.
func (c *Core) retryPlacement(now time.Time, owned *ownedPartition, effect program.Effect) {
	effect.Delay = placementRetry
	c.scheduleCall(now, owned, effect)
}

// placementPermits reports whether the program's terms permit its data in the
// zone of the chosen back end.
func (c *Core) placementPermits(owned *ownedPartition, decision schedule.Decision) bool {
	terms, ok := owned.store.Terms(decision.Call.Program)
	backend, known := c.backendManager.backend(decision.Backend)
	return ok && known && terms.Placement.Contains(backend.Zone)
}

// cancelPlacement reports to the scheduler that a choice was not carried out.
func (c *Core) cancelPlacement(now time.Time, decision schedule.Decision) {
	c.config.Policy.Finished(now, decision.Call, decision.Backend, api.Usage{}, 0)
}

// refuse ends a call that the scheduler will not serve.
func (c *Core) refuse(now time.Time, decision schedule.Decision) {
	owned, ok := c.ownerOf(decision.Call.Program)
	if !ok {
		return
	}
	delete(owned.queued, decision.Call)
	command := program.Command{
		Program: decision.Call.Program,
		Refuse:  &program.Refusal{Call: decision.Call, Error: decision.Error},
	}
	output, refusal := owned.store.Step(now, command)
	if refusal == nil {
		c.apply(now, owned, output, nil)
	}
}

// stepAttemptEnded passes an attempt's outcome to the program and, if it is the
// call's current attempt, to the scheduler.
func (c *Core) stepAttemptEnded(now time.Time, event AttemptEnded) {
	if event.Load != nil {
		c.observeLoad(now, *event.Load)
	}
	attempt := event.Outcome.Attempt
	owned, ok := c.ownerOf(attempt.Program)
	if !ok {
		return
	}
	if placed, ok := owned.placed[attempt.CallRef]; ok && placed.attempt == attempt.Attempt {
		delete(owned.placed, attempt.CallRef)
		c.config.Policy.Finished(now, attempt.CallRef, event.Backend, event.Outcome.Usage, event.Resident)
		c.setResident(owned, attempt.Program, event.Backend, event.Resident > 0)
		c.traceEnd(now, owned, attempt)
	}
	output, refusal := owned.store.Step(now, program.Command{Program: attempt.Program, Outcome: &event.Outcome})
	if refusal == nil {
		c.apply(now, owned, output, nil)
	}
}

// setResident records whether an engine caches a program's prefix, so that it
// can be released later.
func (c *Core) setResident(owned *ownedPartition, id api.ProgramID, backend machine.ID, resident bool) {
	engines := owned.prefixEngines[id]
	if !resident {
		delete(engines, backend)
		return
	}
	if engines == nil {
		engines = make(map[machine.ID]bool)
		owned.prefixEngines[id] = engines
	}
	engines[backend] = true
}

// releaseProgram releases everything that an ended program still holds: its
// scheduler state, its prefixes at engines and its traces.
func (c *Core) releaseProgram(now time.Time, owned *ownedPartition, id api.ProgramID) {
	c.config.Policy.ProgramEnded(now, id)
	for _, backend := range sortedMachines(owned.prefixEngines[id]) {
		c.releaseAt(id, backend)
	}
	delete(owned.prefixEngines, id)
	delete(owned.traces, id)
}

// releaseAt releases a program's prefix at one engine. If the release is lost,
// the next sweep repeats it.
func (c *Core) releaseAt(id api.ProgramID, engineID machine.ID) {
	if backend, ok := c.backendManager.backend(engineID); ok {
		c.emit(ReleasePrefix{Backend: backend, Owner: id})
	}
}

// withdrawPartition withdraws all calls of the partition from the scheduler and
// drops its delayed effects.
func (c *Core) withdrawPartition(owned *ownedPartition) {
	c.delayed.removePartition(owned.id)
	for _, call := range sortedCalls(owned.queued) {
		c.config.Policy.Withdraw(call)
	}
}

// ownerOf returns the partition of a program if this node serves it.
func (c *Core) ownerOf(id api.ProgramID) (*ownedPartition, bool) {
	partitionID, err := partition.OfProgram(id)
	if err != nil {
		return nil, false
	}
	owned, ok := c.partitions[partitionID]
	if !ok || !owned.serving() {
		return nil, false
	}
	return owned, true
}

// trace records the scheduling decision for a call.
func (c *Core) trace(now time.Time, owned *ownedPartition, since time.Time, decision schedule.Decision) {
	id := decision.Call.Program
	traces := owned.traces[id]
	if len(traces) >= c.config.TraceLimit {
		traces = traces[1:]
	}
	attempt := 1
	if call, ok := owned.store.Call(id, decision.Call.Sequence, ""); ok {
		attempt = call.Attempt
	}
	owned.traces[id] = append(traces, CallTrace{
		Sequence: decision.Call.Sequence,
		Attempt:  attempt,
		Backend:  decision.Backend,
		Accepted: since,
		Placed:   now,
		Terms:    decision.Terms,
	})
}

func (c *Core) traceEnd(now time.Time, owned *ownedPartition, attempt program.AttemptRef) {
	traces := owned.traces[attempt.Program]
	for i := len(traces) - 1; i >= 0; i-- {
		if traces[i].Sequence == attempt.Sequence {
			traces[i].Ended = now
			return
		}
	}
}
