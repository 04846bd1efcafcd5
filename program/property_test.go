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

// fixedFlags make the property test give the same verdict in every run, where
// the command line does not set them: a fixed seed, and enough runs to find
// the faults that were found while the store was written.
var fixedFlags = map[string]string{
	"rapid.seed":       "20260301",
	"rapid.checks":     "2000",
	"rapid.steps":      "60",
	"rapid.nofailfile": "true",
}

func fixFlags(t *testing.T) {
	for name, value := range fixedFlags {
		given := flag.Lookup(name)
		if given.Value.String() != given.DefValue {
			continue
		}
		if err := given.Value.Set(value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStoreAgainstOracle drives a store with interleaved commands, crashes
// that keep any prefix of the undecided records, an old owner that goes on
// sending, and outcomes that come late, twice or crossed. The oracle is a
// list of calls with what back ends saw of them.
func TestStoreAgainstOracle(t *testing.T) {
	fixFlags(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"create":   w.create,
			"submit":   w.submit,
			"submit 2": w.submit,
			"confirm":  w.confirm,
			"log":      w.confirm,
			"place":    w.place,
			"place 2":  w.place,
			"finish":   w.finish,
			"finish 2": w.finish,
			"lookup":   w.answerLookup,
			"cancel":   w.cancel,
			"refuse":   w.refuse,
			"end":      w.end,
			"retarget": w.retarget,
			"tick":     w.tick,
			"crash":    w.crash,
			"oldOwner": w.oldOwnerSends,
			"refold":   w.compareFolds,
			"":         w.check,
		})
		w.drain()
	})
}

func (w *world) create(t *rapid.T) {
	id := drawProgram(t)
	command := createCommand(id)
	command.Create.Terms.BudgetTokens = 900
	command.Create.Terms.MaxTurns = 8
	command.Create.Terms.Revision = w.revision
	if id != "p0" && rapid.Bool().Draw(t, "child") {
		command.Create.Parent = "p0"
	}
	_, _ = w.step(command)
}

func (w *world) submit(t *rapid.T) {
	id := drawProgram(t)
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
	request := rapid.SampledFrom([]func(string) api.SubmitCall{modelCall, sealCall, readCall}).Draw(t, "kind")(key)
	request.Sequence = rapid.SampledFrom([]uint64{0, 0, 0, 1, 2, 3, 4}).Draw(t, "place")
	known := w.findKey(id, key)
	output, refusal := w.step(submitCommand(id, request))
	switch {
	case known != nil && known.request != withoutPlace(request):
		if refusal == nil || refusal.Code != api.CodeKeyReused {
			t.Fatalf("key %s of %s with another body: %v", key, id, refusal)
		}
	case refusal != nil:
		if refusal.Ran != api.RanNotRun {
			t.Fatalf("refusal %v does not say that nothing ran", refusal)
		}
	case known != nil:
		if output.Call.Sequence != known.sequence {
			t.Fatalf("key %s of %s has places %d and %d", key, id, known.sequence, output.Call.Sequence)
		}
	default:
		w.accept(id, withoutPlace(request), output.Call.Sequence)
	}
}

func withoutPlace(request api.SubmitCall) api.SubmitCall {
	request.Sequence = 0
	return request
}

func (w *world) accept(id api.ProgramID, request api.SubmitCall, sequence uint64) {
	call := ref(id, sequence)
	if taken := w.calls[call]; taken != nil {
		w.t.Fatalf("place %v was given to key %s and key %s", call, taken.request.Key, request.Key)
	}
	w.calls[call] = &oracleCall{program: id, request: request, sequence: sequence, acceptedAt: len(w.log)}
}

func (w *world) findKey(id api.ProgramID, key string) *oracleCall {
	for _, call := range w.calls {
		if call.program == id && call.request.Key == key {
			return call
		}
	}
	return nil
}

// confirm makes some records durable and performs some of what waited.
func (w *world) confirm(t *rapid.T) {
	if rapid.Bool().Draw(t, "all") {
		w.durable = len(w.log)
		w.performDue(len(w.waiting))
		return
	}
	w.durable += rapid.IntRange(0, len(w.log)-w.durable).Draw(t, "records")
	w.locate()
	w.performDue(rapid.IntRange(0, 8).Draw(t, "effects"))
}

func (w *world) locate() {
	for ; w.located < w.durable; w.located++ {
		record := w.log[w.located]
		w.store.Located(record.Program, record, uint64(w.located))
	}
}

func (w *world) performDue(limit int) {
	for ; limit > 0 && len(w.waiting) > 0 && w.waiting[0].position <= w.durable; limit-- {
		effect := w.waiting[0].effect
		w.waiting = w.waiting[1:]
		w.perform(effect)
	}
}

// place takes the scheduler's decision about any call, waiting for one or not.
func (w *world) place(t *rapid.T) {
	call := drawCall(t, w.scheduled)
	scheduled := w.scheduled[call]
	delete(w.scheduled, call)
	command := program.Command{Dispatch: &program.Dispatch{Call: call, Backend: "b", Epoch: w.epoch}}
	output, refusal := w.store.Step(w.now, command)
	if refusal == nil && !scheduled && len(output.Records) > 0 && output.Records[0].Dispatched != nil && !w.startWaits(call) {
		t.Fatalf("call %v was dispatched and was not with the scheduler", call)
	}
	w.take(output)
}

// startWaits reports that the call's start is not performed yet.
func (w *world) startWaits(call program.CallRef) bool {
	for _, waiting := range w.waiting {
		if waiting.effect.Kind == program.EffectStart && waiting.effect.Attempt.CallRef == call {
			return true
		}
	}
	return false
}

// finish reports an outcome of any send so far, again or late, or of a send
// that the store did not make.
func (w *world) finish(t *rapid.T) {
	if len(w.sends) == 0 {
		t.Skip("nothing was sent")
	}
	sent := w.sends[len(w.sends)-1]
	if rapid.Bool().Draw(t, "older") {
		sent = rapid.SampledFrom(w.sends).Draw(t, "send")
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
	_, _ = w.step(program.Command{Outcome: &outcome})
}

func (w *world) answerLookup(t *rapid.T) {
	if len(w.lookups) == 0 {
		t.Skip("nothing to look up")
	}
	call := rapid.SampledFrom(w.lookups).Draw(t, "lookup").Attempt.CallRef
	result := program.LookupResult{Call: call}
	switch {
	case w.calls[call].reached > 0 && rapid.Bool().Draw(t, "found"):
		result.Found, result.Output = true, outputOf(call)
	case rapid.Bool().Draw(t, "error"):
		result.Err = fmt.Errorf("the service is down")
	}
	_, _ = w.step(program.Command{Lookup: &result})
}

func (w *world) cancel(t *rapid.T) {
	call := drawCall(t, w.open())
	_, _ = w.step(program.Command{Program: call.Program, Cancel: &program.Cancel{Sequence: call.Sequence}})
}

func (w *world) refuse(t *rapid.T) {
	call := drawCall(t, w.scheduled)
	delete(w.scheduled, call)
	refusal := program.Refusal{Call: call, Error: api.Refuse(api.CodeOverloaded, "no room").After(100)}
	_, _ = w.step(program.Command{Refuse: &refusal})
}

func (w *world) end(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
		_, _ = w.step(endCommand(drawProgram(t)))
	}
}

func (w *world) retarget(t *rapid.T) {
	revised := terms()
	w.revision++
	revised.Revision = w.revision
	revised.BudgetTokens = rapid.SampledFrom([]int64{300, 900}).Draw(t, "budget")
	revised.MaxTurns = 8
	revised.Placement = "isando"
	_, _ = w.step(program.Command{Program: drawProgram(t), Retarget: &revised})
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
	w.take(w.store.Tick(w.now))
}

// crash replaces the owner. Every durable record survives, and any number of
// the others; the old owner may not know for a while.
func (w *world) crash(t *rapid.T) {
	survive := w.durable + rapid.IntRange(0, len(w.log)-w.durable).Draw(t, "survivors")
	w.old, w.oldScheduled = w.store, w.scheduled
	w.recover(survive)
}

func (w *world) recover(survive int) {
	w.log = w.log[:survive]
	w.durable, w.located = survive, survive
	w.waiting, w.lookups = nil, nil
	w.scheduled = map[program.CallRef]bool{}
	for call, known := range w.calls {
		if known.acceptedAt > survive {
			delete(w.calls, call)
		}
	}
	w.store = w.fold(w.log)
	w.epoch++
	w.take(w.store.Resume(w.now, w.epoch))
	for call, known := range w.calls {
		held, ok := w.store.Call(call.Program, call.Sequence, known.request.Key)
		if !ok || (known.answer != nil && known.answer.Status != held.Status) {
			w.t.Fatalf("call %v was lost or changed: %+v, answered %+v", call, held, known.answer)
		}
	}
}

func (w *world) fold(records []program.Record) *program.Store {
	store := w.emptyStore()
	for offset, record := range records {
		if err := store.Recover(uint64(offset), record); err != nil {
			w.t.Fatal(err)
		}
	}
	return store
}

// oldOwnerSends lets the replaced owner dispatch what its scheduler holds.
// Nothing that it records becomes durable, so that it performs only what need
// not wait.
func (w *world) oldOwnerSends(t *rapid.T) {
	call := drawCall(t, w.oldScheduled)
	if !w.oldScheduled[call] || w.calls[call] == nil {
		return
	}
	delete(w.oldScheduled, call)
	command := program.Command{Dispatch: &program.Dispatch{Call: call, Backend: "b", Epoch: w.epoch - 1}}
	output, _ := w.old.Step(w.now, command)
	for _, effect := range output.Immediate {
		if effect.Kind == program.EffectSend {
			w.send(effect)
		}
	}
}
