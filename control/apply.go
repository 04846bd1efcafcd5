package control

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
)

// pendingReply is a reply that waits for durability: either an answer or a
// fetch.
type pendingReply struct {
	answer *Answer
	fetch  *FetchHistory
}

// apply proposes an output's records, performs its immediate effects, and holds
// the rest back until every record decided so far is durable. A reply waits
// even if the output has no records of its own, because its content may depend
// on earlier records that are not durable yet.
func (c *Core) apply(now time.Time, owned *ownedPartition, output program.Output, reply *pendingReply) {
	if len(output.Records) == 0 && len(output.Effects) == 0 && len(output.Immediate) == 0 && reply == nil {
		return
	}
	pending := pendingOutput{effects: output.Effects}
	for _, record := range output.Records {
		owned.position++
		owned.unproposed = append(owned.unproposed, record)
		if record.Ended != nil || record.Closed != nil {
			pending.endings = append(pending.endings, record)
		}
	}
	pending.position = owned.position
	if reply != nil && reply.answer != nil {
		pending.replies = append(pending.replies, *reply.answer)
	}
	if reply != nil && reply.fetch != nil {
		pending.fetches = append(pending.fetches, *reply.fetch)
	}
	owned.outputs = append(owned.outputs, pending)
	c.proposeRecords(now, owned)
	for _, effect := range output.Immediate {
		c.perform(now, owned, effect)
	}
	c.performDurable(now, owned)
}

// proposeRecords proposes the waiting records in order, until the replica
// refuses one.
func (c *Core) proposeRecords(now time.Time, owned *ownedPartition) {
	first := owned.position - uint64(len(owned.unproposed))
	for len(owned.unproposed) > 0 {
		record := owned.unproposed[0]
		payload, err := json.Marshal(record)
		if err != nil {
			panic(fmt.Sprintf("control: encoding a program record as JSON: %v", err))
		}
		token, err := owned.replica.Propose(now, payload)
		if err != nil {
			return
		}
		first++
		owned.proposed[token] = proposedRecord{position: first, record: record}
		owned.unproposed = owned.unproposed[1:]
	}
	owned.unproposed = nil
}

// performDurable performs the outputs whose records are all durable.
func (c *Core) performDurable(now time.Time, owned *ownedPartition) {
	for len(owned.outputs) > 0 && owned.outputs[0].position <= owned.durablePosition {
		output := owned.outputs[0]
		owned.outputs = owned.outputs[1:]
		for _, record := range output.endings {
			c.emitFinished(owned, record, output.effects)
		}
		for _, effect := range output.effects {
			c.perform(now, owned, effect)
		}
		for _, answer := range output.replies {
			c.emit(answer)
		}
		for _, fetch := range output.fetches {
			c.emit(fetch)
		}
	}
}

// perform carries out an effect of the program store.
func (c *Core) perform(now time.Time, owned *ownedPartition, effect program.Effect) {
	switch effect.Kind {
	case program.EffectSchedule:
		c.scheduleCall(now, owned, effect)
	case program.EffectSend:
		c.sendAttempt(now, owned, effect)
	case program.EffectStop:
		c.stopCall(owned, effect)
	case program.EffectAnswer:
		c.answerCall(owned, effect)
	case program.EffectLookup:
		c.lookUp(now, owned, effect)
	case program.EffectRelease:
		c.releaseProgram(now, owned, effect.Attempt.Program)
	}
}

// scheduleCall passes a call to the scheduler, now or after its delay. A
// partition that is being handed over postpones it for the next owner.
func (c *Core) scheduleCall(now time.Time, owned *ownedPartition, effect program.Effect) {
	if effect.Delay > 0 {
		due := now.Add(effect.Delay)
		effect.Delay = 0
		c.delayed.push(due, owned.id, effect)
		return
	}
	if owned.draining {
		owned.postponed = append(owned.postponed, effect)
		return
	}
	call := effect.Call
	owned.queued[effect.Attempt.CallRef] = queuedCall{effect: effect, since: now}
	c.config.Policy.Enqueue(now, schedule.Request{
		Call:           effect.Attempt.CallRef,
		Kind:           call.Kind,
		Model:          call.Model,
		Tool:           call.Tool,
		Tenant:         tenantOf(effect.Branch),
		Placement:      effect.Terms.Placement,
		Priority:       effect.Terms.Priority,
		PromptTokens:   effect.PromptTokens,
		OutputCap:      cmp.Or(call.MaxOutputTokens, effect.Terms.MaxOutputTokens),
		AttainedTokens: effect.AttainedTokens,
		Arrived:        owned.createdAt(effect.Attempt.Program),
		Enqueued:       now,
		Deadline:       effect.Deadline,
		Avoid:          effect.Avoid,
		Excluded:       effect.Terms.DrainedBackends,
	})
}

// createdAt returns the program's creation time, by which the scheduler orders
// its calls among those of other programs.
func (p *ownedPartition) createdAt(id api.ProgramID) time.Time {
	described, _ := p.store.Describe(id)
	return described.CreatedAt
}

// sendAttempt sends an attempt whose dispatch the program has recorded durably.
func (c *Core) sendAttempt(now time.Time, owned *ownedPartition, effect program.Effect) {
	placed, ok := owned.placed[effect.Attempt.CallRef]
	backend, known := c.backendManager.backend(effect.Backend)
	if !ok || !known {
		backend = machine.Machine{ID: effect.Backend}
	}
	placed.attempt = effect.Attempt.Attempt
	placed.backend = effect.Backend
	placed.sent = true
	owned.placed[effect.Attempt.CallRef] = placed
	if refusal := c.checkSend(now, owned, backend); refusal != nil {
		outcome := program.Outcome{Attempt: effect.Attempt, Status: api.StatusNotRun, Error: refusal}
		c.unsent = append(c.unsent, AttemptEnded{Backend: effect.Backend, Outcome: outcome})
		return
	}
	importFrom, _ := c.backendManager.backend(placed.decision.ImportFrom)
	c.emit(SendAttempt{
		Partition:  owned.id,
		ImportFrom: importFrom,
		Attempt:    effect.Attempt,
		Epoch:      effect.Epoch,
		Backend:    backend,
		Call:       effect.Call,
		Key:        effect.Key,
		Deadline:   effect.Deadline,
		Decision:   placed.decision,
		Prompt:     earlierCalls(owned.store, effect.Attempt.CallRef),
	})
}

// checkSend returns the reason why an attempt must not be sent after all, or
// nil. The back end was chosen before the dispatch record was durable: since
// then the process may have been paused, and the placement may have been
// narrowed without this node having read it.
func (c *Core) checkSend(now time.Time, owned *ownedPartition, backend machine.Machine) *api.Error {
	if !c.follower.Freshness(now).MayPlace {
		return api.Refuse(api.CodeSettingsStale, "the settings may have changed since the choice").WithRetryAfter(0)
	}
	if !c.placement(owned.id).Contains(backend.Zone) {
		return api.Refuse(api.CodeNoPermittedPlace, "back end %s is no longer permitted", backend.ID).WithRetryAfter(0)
	}
	return nil
}

// endUnsent ends the attempts that were refused by checkSend, and reports
// whether there were any.
func (c *Core) endUnsent(now time.Time) bool {
	unsent := c.unsent
	c.unsent = nil
	for _, ended := range unsent {
		c.stepAttemptEnded(now, ended)
	}
	return len(unsent) > 0
}

// earlierCalls returns the locations of the calls that precede a call in its
// prompt. The call itself is left out because the attempt carries its input.
func earlierCalls(store *program.Store, call program.CallRef) []program.CallLocation {
	prompt, found := store.Prompt(call.Program, call.Sequence)
	if !found {
		return nil
	}
	return prompt[:len(prompt)-1]
}

// stopCall withdraws a call from the scheduler, or cancels its running attempt.
func (c *Core) stopCall(owned *ownedPartition, effect program.Effect) {
	if effect.Attempt.Attempt > 0 {
		c.emit(StopAttempt{Attempt: effect.Attempt})
		return
	}
	call := effect.Attempt.CallRef
	c.config.Policy.Withdraw(call)
	delete(owned.queued, call)
	c.delayed.remove(call)
	owned.dropPostponed(call)
}

func (p *ownedPartition) dropPostponed(call program.CallRef) {
	remaining := p.postponed[:0]
	for _, effect := range p.postponed {
		if effect.Attempt.CallRef != call {
			remaining = append(remaining, effect)
		}
	}
	p.postponed = remaining
}

// answerCall replies to all requests that wait for the end of the call.
func (c *Core) answerCall(owned *ownedPartition, effect program.Effect) {
	call := effect.Attempt.CallRef
	handles := owned.waiters[call]
	delete(owned.waiters, call)
	for _, handle := range handles {
		answer := *effect.Answer
		c.emit(Answer{Handle: handle, Reply: Reply{Call: &answer}})
	}
}

// SetOutcome copies a call's outcome into its API form.
func SetOutcome(call *api.Call, ended *program.CallEnded) {
	call.Status = ended.Status
	call.Output = ended.Output
	call.Usage = ended.Usage
	call.Backend = string(ended.Backend)
	call.Attempt = ended.Attempt
	call.Error = ended.Error
}

// refuseWaiting refuses all waiting requests, so that their callers query the
// next owner by key.
func (c *Core) refuseWaiting(owned *ownedPartition) {
	refusal := notOwner(owned.id)
	for _, call := range sortedCalls(owned.waiters) {
		for _, handle := range owned.waiters[call] {
			c.emit(Answer{Handle: handle, Reply: Reply{Error: refusal}})
		}
	}
	for _, output := range owned.outputs {
		for _, answer := range output.replies {
			c.emit(Answer{Handle: answer.Handle, Reply: Reply{Error: refusal}})
		}
		for _, fetch := range output.fetches {
			c.emit(Answer{Handle: fetch.Handle, Reply: Reply{Error: refusal}})
		}
	}
}

// notOwner returns the refusal that sends a caller to another node. The request
// may have been recorded here, so its outcome is unknown until the caller
// queries it by its key.
func notOwner(id partition.ID) *api.Error {
	refusal := &api.Error{
		Code:    api.CodeNotOwner,
		Message: fmt.Sprintf("this node does not own partition %s", id),
		Ran:     api.RanOutcomeUnknown,
	}
	return refusal.WithRetryAfter(int64(notOwnerRetryAfter / time.Millisecond))
}

// notOwnerRetryAfter is the retry-after delay of CodeNotOwner.
const notOwnerRetryAfter = 200 * time.Millisecond

// emitFinished reports the durable end of a program, or of a call with the
// result its callers get, to the driver for metrics and histories.
func (c *Core) emitFinished(owned *ownedPartition, record program.Record, effects []program.Effect) {
	if record.Closed != nil {
		if described, ok := owned.store.Describe(record.Program); ok {
			c.emit(ProgramFinished{Program: described, CreatedAt: described.CreatedAt, EndedAt: record.At})
		}
		return
	}
	call := program.CallRef{Program: record.Program, Sequence: record.Ended.Sequence}
	for _, effect := range effects {
		if effect.Kind == program.EffectAnswer && effect.Attempt.CallRef == call {
			c.emit(CallFinished{Branch: effect.Branch, Call: *effect.Answer, Ended: record.At})
			return
		}
	}
}

// lookUp queries the tool service for the outcome of a call by its key, now or
// after the effect's delay.
func (c *Core) lookUp(now time.Time, owned *ownedPartition, effect program.Effect) {
	if effect.Delay > 0 {
		due := now.Add(effect.Delay)
		effect.Delay = 0
		c.delayed.push(due, owned.id, effect)
		return
	}
	backend, ok := c.lookupBackend(owned, effect)
	if !ok {
		result := program.LookupResult{Call: effect.Attempt.CallRef, Err: errBackendUnknown}
		c.stepLookup(now, result)
		return
	}
	c.emit(LookUpKey{Call: effect.Attempt.CallRef, Backend: backend, Key: effect.Key})
}

// lookupBackend returns the replica to query for a key: the one that the call
// was sent to or, if the machine list no longer has it, another replica of the
// same tool. The replicas of a service share their records of keys.
func (c *Core) lookupBackend(owned *ownedPartition, effect program.Effect) (machine.Machine, bool) {
	terms, _ := owned.store.Terms(effect.Attempt.Program)
	var other machine.Machine
	for _, backend := range c.membership.Backends() {
		if backend.ID == effect.Backend {
			return backend, true
		}
		if slices.Contains(backend.Tools, effect.Call.Tool) && terms.Placement.Contains(backend.Zone) {
			other = backend
		}
	}
	if other.ID != "" {
		return other, true
	}
	return c.backendManager.backend(effect.Backend)
}

var errBackendUnknown = errors.New("the back end is not in the machine list")

// stepLookup passes the result of a key lookup to the program.
func (c *Core) stepLookup(now time.Time, result program.LookupResult) {
	owned, ok := c.ownerOf(result.Call.Program)
	if !ok {
		return
	}
	output, refusal := owned.store.Step(now, program.Command{Program: result.Call.Program, Lookup: &result})
	if refusal == nil {
		c.apply(now, owned, output, nil)
	}
}

// tenantOf returns the tenant of a branch for fair scheduling: the first
// segment of its path.
func tenantOf(branch string) string {
	for i := range len(branch) {
		if branch[i] == '/' {
			return branch[:i]
		}
	}
	return branch
}
