package program_test

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

// oracleCall is what the oracle knows of one call.
type oracleCall struct {
	program    api.ProgramID
	request    api.SubmitCall
	sequence   uint64
	reached    int // sends that reached a back end
	answer     *api.Call
	acceptedAt int // records proposed when it was accepted
}

func (c *oracleCall) repeatable() bool {
	return c.request.Kind == api.CallModel || c.request.Repeatable
}

// send is an attempt that was sent to a back end.
type send struct {
	attempt program.AttemptRef
	epoch   uint64
	reached bool
}

// waitingEffect is performed once so many records are durable.
type waitingEffect struct {
	position int
	effect   program.Effect
}

// world is everything around the store: the log, the scheduler, the back
// ends, and the oracle's calls.
type world struct {
	t       *rapid.T
	now     time.Time
	epoch   uint64
	store   *program.Store
	log     []program.Record
	durable int
	located int
	waiting []waitingEffect

	scheduled map[program.CallRef]bool
	sends     []send
	lookups   []program.Effect
	released  map[api.ProgramID]bool
	calls     map[program.CallRef]*oracleCall
	revision  uint64

	// old is the store of an owner that does not know yet that it lost.
	old          *program.Store
	oldScheduled map[program.CallRef]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), epoch: 1, revision: 1,
		scheduled: map[program.CallRef]bool{},
		released:  map[api.ProgramID]bool{},
		calls:     map[program.CallRef]*oracleCall{},
	}
	w.store = w.emptyStore()
	_, _ = w.step(createCommand("p0"))
	return w
}

func (w *world) emptyStore() *program.Store {
	d := driver{config: program.Config{MaximumQueuedCalls: 4, LookupAttempts: 2, SnapshotPartBytes: 600}}
	return d.newStore()
}

var worldPrograms = []api.ProgramID{"p0", "p1", "p2"}

func drawProgram(t *rapid.T) api.ProgramID {
	return rapid.SampledFrom(worldPrograms).Draw(t, "program")
}

// drawCall draws mostly one of the given calls, and sometimes any other.
func drawCall(t *rapid.T, likely map[program.CallRef]bool) program.CallRef {
	if len(likely) == 0 || rapid.IntRange(0, 7).Draw(t, "any") == 0 {
		return ref(drawProgram(t), rapid.Uint64Range(1, 6).Draw(t, "sequence"))
	}
	sorted := slices.SortedFunc(maps.Keys(likely), func(a, b program.CallRef) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Sequence, b.Sequence))
	})
	return rapid.SampledFrom(sorted).Draw(t, "call")
}

// open returns the calls that have no answer yet.
func (w *world) open() map[program.CallRef]bool {
	open := map[program.CallRef]bool{}
	for call, known := range w.calls {
		if known.answer == nil {
			open[call] = true
		}
	}
	return open
}

// step applies a command and queues what follows from it.
func (w *world) step(command program.Command) (program.Output, *api.Error) {
	output, refusal := w.store.Step(w.now, command)
	if refusal != nil && len(output.Records)+len(output.Effects)+len(output.Immediate) > 0 {
		w.t.Fatalf("a refusal has an output: %v", refusal)
	}
	w.take(output)
	return output, refusal
}

func (w *world) take(output program.Output) {
	for _, record := range output.Records {
		w.log = append(w.log, roundTrip(record))
	}
	for _, effect := range output.Immediate {
		w.perform(effect)
	}
	for _, effect := range output.Effects {
		w.waiting = append(w.waiting, waitingEffect{position: len(w.log), effect: effect})
	}
}

// perform does what an effect asks for, and checks that it may.
func (w *world) perform(effect program.Effect) {
	call := effect.Attempt.CallRef
	switch effect.Kind {
	case program.EffectStart:
		w.scheduled[call] = true
	case program.EffectStop:
		if effect.Attempt.Attempt == 0 {
			delete(w.scheduled, call)
		}
	case program.EffectSend:
		if w.released[call.Program] {
			w.t.Fatalf("call %v was sent after its program was released", effect.Attempt)
		}
		w.send(effect)
	case program.EffectLookup:
		w.lookups = append(w.lookups, effect)
	case program.EffectAnswer:
		w.answer(effect)
	case program.EffectRelease:
		w.released[call.Program] = true
	}
}

func (w *world) send(effect program.Effect) {
	call := w.calls[effect.Attempt.CallRef]
	if call.answer != nil && call.answer.Status == api.StatusNotRun {
		w.t.Fatalf("call %v was sent after it was answered as not run", effect.Attempt)
	}
	for sequence := uint64(1); sequence < call.sequence; sequence++ {
		if !w.endedInLog(ref(call.program, sequence)) {
			w.t.Fatalf("call %v was sent before call %d had ended", effect.Attempt, sequence)
		}
	}
	reached := rapid.IntRange(0, 3).Draw(w.t, "reached") > 0
	if reached {
		call.reached++
	}
	if call.reached > 1 && !call.repeatable() {
		w.t.Fatalf("call %v may not be repeated and ran twice", effect.Attempt)
	}
	w.sends = append(w.sends, send{attempt: effect.Attempt, epoch: effect.Epoch, reached: reached})
}

func (w *world) answer(effect program.Effect) {
	call := w.calls[effect.Attempt.CallRef]
	answer := effect.Answer
	if call.answer != nil && call.answer.Status != answer.Status {
		w.t.Fatalf("call %v was answered as %s, then as %s", effect.Attempt, call.answer.Status, answer.Status)
	}
	call.answer = answer
	notRun := answer.Status == api.StatusNotRun || (answer.Error != nil && answer.Error.Ran == api.RanNotRun)
	if notRun && call.reached > 0 {
		w.t.Fatalf("call %v was answered as not run: %+v", effect.Attempt, answer.Error)
	}
	if answer.Status == api.StatusSucceeded && answer.Output != outputOf(effect.Attempt.CallRef) {
		w.t.Fatalf("call %v was answered with %q", effect.Attempt, answer.Output)
	}
	if answer.Key != call.request.Key || answer.Input != call.request.Input {
		w.t.Fatalf("call %v was answered with the request of another: %+v", effect.Attempt, answer)
	}
}

func outputOf(call program.CallRef) string {
	return fmt.Sprintf("output of %s/%d", call.Program, call.Sequence)
}

// compareFolds holds the state against a fold of the whole log, and against
// a snapshot with the records after it.
func (w *world) compareFolds(t *rapid.T) {
	w.durable = len(w.log)
	w.locate()
	whole := snapshotOf(w.store)
	if folded := snapshotOf(w.fold(w.log)); folded != whole {
		t.Fatalf("the fold differs:\n%s\n%s", folded, whole)
	}
	cut := rapid.IntRange(0, len(w.log)).Draw(t, "cut")
	restored := w.emptyStore()
	for _, part := range w.fold(w.log[:cut]).Snapshot() {
		if err := restored.RecoverSnapshot(part); err != nil {
			t.Fatal(err)
		}
	}
	for offset := cut; offset < len(w.log); offset++ {
		if err := restored.Recover(uint64(offset), w.log[offset]); err != nil {
			t.Fatal(err)
		}
	}
	if suffix := snapshotOf(restored); suffix != whole {
		t.Fatalf("snapshot at %d and suffix differ:\n%s\n%s", cut, suffix, whole)
	}
}

func snapshotOf(store *program.Store) string {
	var text bytes.Buffer
	for _, part := range store.Snapshot() {
		text.Write(part)
	}
	return text.String()
}

// check holds the invariants that must be true after every step.
func (w *world) check(t *rapid.T) {
	for _, id := range worldPrograms {
		described, ok := w.store.Describe(id)
		if !ok {
			continue
		}
		if described.SpentTokens < 0 || described.ReservedTokens < 0 || described.SpentTokens+described.ReservedTokens > described.BudgetTokens {
			t.Fatalf("the budget does not hold: %+v", described)
		}
	}
	for call := range w.calls {
		history, ok := w.store.History(call.Program, call.Sequence, 1)
		if !ok || len(history) == 0 || history[0].Sequence != call.Sequence {
			t.Fatalf("call %v is not in the history: %+v", call, history)
		}
		w.checkRecords(history[0])
	}
}

// checkRecords: what the log does not have is held, what it has is located.
func (w *world) checkRecords(location program.CallLocation) {
	if location.AcceptedOffset == program.NoOffset && location.Accepted == nil {
		w.t.Fatalf("nobody has the request of %+v", location)
	}
	if !location.Status.Terminal() {
		return
	}
	if location.EndedOffset == program.NoOffset && location.Ended == nil {
		w.t.Fatalf("nobody has the outcome of %+v", location)
	}
	if location.EndedOffset != program.NoOffset && w.log[location.EndedOffset].Ended.Sequence != location.Sequence {
		w.t.Fatalf("the outcome of %+v is another call's", location)
	}
}

// drain lets everything come to its end: every accepted call has an answer,
// and every program that ended is released.
func (w *world) drain() {
	for _, id := range worldPrograms {
		if !w.store.Live(id) {
			w.released[id] = true // its release may have been lost in a crash
		}
		_, _ = w.step(endCommand(id))
	}
	for range 40 {
		w.durable = len(w.log)
		w.performDue(len(w.waiting))
		w.now = w.now.Add(10 * time.Second)
		w.take(w.store.Tick(w.now))
	}
	for call, known := range w.calls {
		held, _ := w.store.Call(call.Program, call.Sequence, "")
		if !held.Status.Terminal() || (known.answer == nil && !w.endedInLog(call)) {
			w.t.Fatalf("call %v has no answer: %+v", call, held)
		}
	}
	for _, id := range worldPrograms {
		if w.store.Live(id) || !w.released[id] {
			w.t.Fatalf("program %s is still held, or was not released", id)
		}
	}
	if strings.Contains(snapshotOf(w.store), `"live"`) {
		w.t.Fatalf("calls are left over")
	}
}

// endedInLog reports that the call's end is in the log. Its answer may have
// been lost with an old owner; a caller that asks again gets it from there.
func (w *world) endedInLog(call program.CallRef) bool {
	for _, record := range w.log {
		if record.Program == call.Program && record.Ended != nil && record.Ended.Sequence == call.Sequence {
			return true
		}
	}
	return false
}
