package program_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

// defaultFlags are the flags of the property test unless the command line sets
// them. The seed is fixed so that every run gives the same result, and the number
// of checks is large enough to reproduce the faults that the test has found.
var defaultFlags = map[string]string{
	"rapid.seed":       "20260301",
	"rapid.checks":     "2000",
	"rapid.steps":      "60",
	"rapid.nofailfile": "true",
}

func setDefaultFlags(t *testing.T) {
	for name, value := range defaultFlags {
		given := flag.Lookup(name)
		if given.Value.String() != given.DefValue {
			continue
		}
		if err := given.Value.Set(value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStoreAgainstOracle drives a store with interleaved commands, crashes that
// keep any prefix of the records that are not durable, a previous owner that
// continues to send, and outcomes that arrive late, twice or for another attempt.
// The oracle is a list of calls with the sends that reached a back end.
func TestStoreAgainstOracle(t *testing.T) {
	setDefaultFlags(t)
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":   h.create,
			"submit":   h.submit,
			"submit 2": h.submit,
			"confirm":  h.makeDurable,
			"log":      h.makeDurable,
			"place":    h.dispatch,
			"place 2":  h.dispatch,
			"finish":   h.reportOutcome,
			"finish 2": h.reportOutcome,
			"lookup":   h.answerLookup,
			"cancel":   h.cancel,
			"refuse":   h.refuse,
			"end":      h.end,
			"retarget": h.updateTerms,
			"tick":     h.tick,
			"crash":    h.crash,
			"oldOwner": h.previousOwnerSends,
			"refold":   h.compareReplays,
			"":         h.check,
		})
		h.finishAll()
	})
}

func (h *harness) create(t *rapid.T) {
	id := drawProgram(t)
	command := createCommand(id)
	command.Create.Terms.BudgetTokens = 900
	command.Create.Terms.MaxTurns = 8
	command.Create.Terms.Revision = h.revision
	if id != "p0" && rapid.Bool().Draw(t, "child") {
		command.Create.Parent = "p0"
	}
	_, _ = h.step(command)
}

func (h *harness) submit(t *rapid.T) {
	id := drawProgram(t)
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
	request := rapid.SampledFrom([]func(string) api.SubmitCall{modelCall, sealCall, readCall}).Draw(t, "kind")(key)
	request.Sequence = rapid.SampledFrom([]uint64{0, 0, 0, 1, 2, 3, 4}).Draw(t, "place")
	expected := h.findKey(id, key)
	output, refusal := h.step(submitCommand(id, request))
	switch {
	case expected != nil && expected.request != withoutSequence(request):
		if refusal == nil || refusal.Code != api.CodeKeyReused {
			t.Fatalf("key %s of %s with another body: %v", key, id, refusal)
		}
	case refusal != nil:
		if refusal.Ran != api.RanNotRun {
			t.Fatalf("refusal %v does not say that nothing ran", refusal)
		}
	case expected != nil:
		if output.Call.Sequence != expected.sequence {
			t.Fatalf("key %s of %s has places %d and %d", key, id, expected.sequence, output.Call.Sequence)
		}
	default:
		h.accept(id, withoutSequence(request), output.Call.Sequence)
	}
}

func withoutSequence(request api.SubmitCall) api.SubmitCall {
	request.Sequence = 0
	return request
}

func (h *harness) accept(id api.ProgramID, request api.SubmitCall, sequence uint64) {
	call := ref(id, sequence)
	if taken := h.calls[call]; taken != nil {
		h.t.Fatalf("place %v was given to key %s and key %s", call, taken.request.Key, request.Key)
	}
	h.calls[call] = &oracleCall{program: id, request: request, sequence: sequence, acceptedAt: len(h.log)}
}

func (h *harness) findKey(id api.ProgramID, key string) *oracleCall {
	for _, call := range h.calls {
		if call.program == id && call.request.Key == key {
			return call
		}
	}
	return nil
}

// makeDurable makes some or all records durable and performs some or all of the
// effects that waited for them.
func (h *harness) makeDurable(t *rapid.T) {
	if rapid.Bool().Draw(t, "all") {
		h.durable = len(h.log)
		h.performDue(len(h.pending))
		return
	}
	h.durable += rapid.IntRange(0, len(h.log)-h.durable).Draw(t, "records")
	h.setOffsets()
	h.performDue(rapid.IntRange(0, 8).Draw(t, "effects"))
}

func (h *harness) setOffsets() {
	for ; h.located < h.durable; h.located++ {
		record := h.log[h.located]
		h.store.SetRecordOffset(record.Program, record, uint64(h.located))
	}
}

func (h *harness) performDue(limit int) {
	for ; limit > 0 && len(h.pending) > 0 && h.pending[0].position <= h.durable; limit-- {
		effect := h.pending[0].effect
		h.pending = h.pending[1:]
		h.perform(effect)
	}
}

// dispatch reports a scheduler's decision for any call, also for one that is not
// with the scheduler.
func (h *harness) dispatch(t *rapid.T) {
	call := drawCall(t, h.scheduled)
	scheduled := h.scheduled[call]
	delete(h.scheduled, call)
	command := program.Command{Dispatch: &program.Dispatch{Call: call, Backend: "b", Epoch: h.epoch}}
	output, refusal := h.store.Step(h.now, command)
	if refusal == nil && !scheduled && len(output.Records) > 0 && output.Records[0].Dispatched != nil && !h.schedulePending(call) {
		t.Fatalf("call %v was dispatched and was not with the scheduler", call)
	}
	h.collect(output)
}

// schedulePending reports whether the call's EffectSchedule still waits for
// durable records.
func (h *harness) schedulePending(call program.CallRef) bool {
	for _, pending := range h.pending {
		if pending.effect.Kind == program.EffectSchedule && pending.effect.Attempt.CallRef == call {
			return true
		}
	}
	return false
}

// reportOutcome reports an outcome of any send so far. It may be late or a
// duplicate, or belong to a send of a previous owner.
func (h *harness) reportOutcome(t *rapid.T) {
	if len(h.sends) == 0 {
		t.Skip("nothing was sent")
	}
	sent := h.sends[len(h.sends)-1]
	if rapid.Bool().Draw(t, "older") {
		sent = rapid.SampledFrom(h.sends).Draw(t, "send")
	}
	outcome := program.Outcome{Attempt: sent.attempt, Status: api.StatusNotRun}
	if rapid.Bool().Draw(t, "with epoch") {
		outcome.Epoch = sent.epoch
	}
	if sent.reached {
		outcome.Status = rapid.SampledFrom([]api.CallStatus{
			api.StatusSucceeded, api.StatusSucceeded, api.StatusFailed, api.StatusOutcomeUnknown,
		}).Draw(t, "status")
	}
	if outcome.Status == api.StatusSucceeded {
		outcome.Output = outputOf(sent.attempt.CallRef)
		outcome.Usage = api.Usage{PromptTokens: 200, OutputTokens: rapid.IntRange(0, 100).Draw(t, "tokens")}
	}
	_, _ = h.step(program.Command{Outcome: &outcome})
}

func (h *harness) answerLookup(t *rapid.T) {
	if len(h.lookups) == 0 {
		t.Skip("nothing to look up")
	}
	call := rapid.SampledFrom(h.lookups).Draw(t, "lookup").Attempt.CallRef
	result := program.LookupResult{Call: call}
	switch {
	case h.calls[call].reached > 0 && rapid.Bool().Draw(t, "found"):
		result.Found, result.Output = true, outputOf(call)
	case rapid.Bool().Draw(t, "error"):
		result.Err = fmt.Errorf("the service is down")
	}
	_, _ = h.step(program.Command{Lookup: &result})
}

func (h *harness) cancel(t *rapid.T) {
	call := drawCall(t, h.unanswered())
	_, _ = h.step(program.Command{Program: call.Program, Cancel: &program.Cancel{Sequence: call.Sequence}})
}

func (h *harness) refuse(t *rapid.T) {
	call := drawCall(t, h.scheduled)
	delete(h.scheduled, call)
	refusal := program.Refusal{Call: call, Error: api.Refuse(api.CodeOverloaded, "no room").WithRetryAfter(100)}
	_, _ = h.step(program.Command{Refuse: &refusal})
}

func (h *harness) end(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
		_, _ = h.step(endCommand(drawProgram(t)))
	}
}

func (h *harness) updateTerms(t *rapid.T) {
	revised := terms()
	h.revision++
	revised.Revision = h.revision
	revised.BudgetTokens = rapid.SampledFrom([]int64{300, 900}).Draw(t, "budget")
	revised.MaxTurns = 8
	revised.Placement = "isando"
	_, _ = h.step(program.Command{Program: drawProgram(t), UpdateTerms: &revised})
}

func (h *harness) tick(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
	h.collect(h.store.Tick(h.now))
}

// crash replaces the owner. All durable records survive, and some prefix of the
// others. The previous owner may not notice for a while.
func (h *harness) crash(t *rapid.T) {
	surviving := h.durable + rapid.IntRange(0, len(h.log)-h.durable).Draw(t, "survivors")
	h.previous, h.previousScheduled = h.store, h.scheduled
	h.recover(surviving)
}

func (h *harness) recover(surviving int) {
	h.log = h.log[:surviving]
	h.durable, h.located = surviving, surviving
	h.pending, h.lookups = nil, nil
	h.scheduled = map[program.CallRef]bool{}
	for call, expected := range h.calls {
		if expected.acceptedAt > surviving {
			delete(h.calls, call)
		}
	}
	h.store = h.replay(h.log)
	h.epoch++
	h.collect(h.store.Resume(h.now, h.epoch))
	for call, expected := range h.calls {
		actual, ok := h.store.Call(call.Program, call.Sequence, expected.request.Key)
		if !ok || (expected.answer != nil && expected.answer.Status != actual.Status) {
			h.t.Fatalf("call %v was lost or changed: %+v, answered %+v", call, actual, expected.answer)
		}
	}
}

func (h *harness) replay(records []program.Record) *program.Store {
	store := h.emptyStore()
	for offset, record := range records {
		if err := store.Recover(uint64(offset), record); err != nil {
			h.t.Fatal(err)
		}
	}
	return store
}

// previousOwnerSends lets the replaced owner dispatch calls that are in its
// scheduler. Its records never become durable, so only its immediate effects are
// performed.
func (h *harness) previousOwnerSends(t *rapid.T) {
	call := drawCall(t, h.previousScheduled)
	if !h.previousScheduled[call] || h.calls[call] == nil {
		return
	}
	delete(h.previousScheduled, call)
	command := program.Command{Dispatch: &program.Dispatch{Call: call, Backend: "b", Epoch: h.epoch - 1}}
	output, _ := h.previous.Step(h.now, command)
	for _, effect := range output.Immediate {
		if effect.Kind == program.EffectSend {
			h.send(effect)
		}
	}
}
