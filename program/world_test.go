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

// oracleCall is the oracle's state of one call.
type oracleCall struct {
	program    api.ProgramID
	request    api.SubmitCall
	sequence   uint64
	reached    int // sends that reached a back end
	answer     *api.Call
	acceptedAt int // number of records in the log after its acceptance
}

func (c *oracleCall) repeatable() bool {
	return c.request.Kind == api.CallModel || c.request.Repeatable
}

// send is an attempt that was sent. It may not have reached its back end.
type send struct {
	attempt program.AttemptRef
	epoch   uint64
	reached bool
}

// pendingEffect is an effect to perform once the first position records are
// durable.
type pendingEffect struct {
	position int
	effect   program.Effect
}

// harness simulates the surroundings of a store, which are the log, the scheduler
// and the back ends, and holds the oracle's calls.
type harness struct {
	t       *rapid.T
	now     time.Time
	epoch   uint64
	store   *program.Store
	log     []program.Record
	durable int
	located int
	pending []pendingEffect

	scheduled map[program.CallRef]bool
	sends     []send
	lookups   []program.Effect
	released  map[api.ProgramID]bool
	calls     map[program.CallRef]*oracleCall
	revision  uint64

	// previous is the store of the previous owner, which has not noticed yet that
	// it lost the partition. previousScheduled are the calls in its scheduler.
	previous          *program.Store
	previousScheduled map[program.CallRef]bool
}

func newHarness(t *rapid.T) *harness {
	h := &harness{
		t: t, now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), epoch: 1, revision: 1,
		scheduled: map[program.CallRef]bool{},
		released:  map[api.ProgramID]bool{},
		calls:     map[program.CallRef]*oracleCall{},
	}
	h.store = h.emptyStore()
	_, _ = h.step(createCommand("p0"))
	return h
}

func (h *harness) emptyStore() *program.Store {
	d := driver{config: program.Config{MaximumQueuedCalls: 4, LookupAttempts: 2, SnapshotPartBytes: 600}}
	return d.newStore()
}

var programIDs = []api.ProgramID{"p0", "p1", "p2"}

func drawProgram(t *rapid.T) api.ProgramID {
	return rapid.SampledFrom(programIDs).Draw(t, "program")
}

// drawCall draws one of the likely calls in most cases, and otherwise any call.
func drawCall(t *rapid.T, likely map[program.CallRef]bool) program.CallRef {
	if len(likely) == 0 || rapid.IntRange(0, 7).Draw(t, "any") == 0 {
		return ref(drawProgram(t), rapid.Uint64Range(1, 6).Draw(t, "sequence"))
	}
	sorted := slices.SortedFunc(maps.Keys(likely), func(a, b program.CallRef) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Sequence, b.Sequence))
	})
	return rapid.SampledFrom(sorted).Draw(t, "call")
}

// unanswered returns the calls without an answer.
func (h *harness) unanswered() map[program.CallRef]bool {
	unanswered := map[program.CallRef]bool{}
	for call, expected := range h.calls {
		if expected.answer == nil {
			unanswered[call] = true
		}
	}
	return unanswered
}

// step applies a command and collects its output. It checks that a refusal has
// no output.
func (h *harness) step(command program.Command) (program.Output, *api.Error) {
	output, refusal := h.store.Step(h.now, command)
	if refusal != nil && len(output.Records)+len(output.Effects)+len(output.Immediate) > 0 {
		h.t.Fatalf("a refusal has an output: %v", refusal)
	}
	h.collect(output)
	return output, refusal
}

func (h *harness) collect(output program.Output) {
	for _, record := range output.Records {
		h.log = append(h.log, roundTrip(record))
	}
	for _, effect := range output.Immediate {
		h.perform(effect)
	}
	for _, effect := range output.Effects {
		h.pending = append(h.pending, pendingEffect{position: len(h.log), effect: effect})
	}
}

// perform performs an effect and checks that it is permitted.
func (h *harness) perform(effect program.Effect) {
	call := effect.Attempt.CallRef
	switch effect.Kind {
	case program.EffectSchedule:
		h.scheduled[call] = true
	case program.EffectStop:
		if effect.Attempt.Attempt == 0 {
			delete(h.scheduled, call)
		}
	case program.EffectSend:
		if h.released[call.Program] {
			h.t.Fatalf("call %v was sent after its program was released", effect.Attempt)
		}
		h.send(effect)
	case program.EffectLookup:
		h.lookups = append(h.lookups, effect)
	case program.EffectAnswer:
		h.answer(effect)
	case program.EffectRelease:
		h.released[call.Program] = true
	}
}

func (h *harness) send(effect program.Effect) {
	call := h.calls[effect.Attempt.CallRef]
	if call.answer != nil && call.answer.Status == api.StatusNotRun {
		h.t.Fatalf("call %v was sent after it was answered as not run", effect.Attempt)
	}
	for sequence := uint64(1); sequence < call.sequence; sequence++ {
		if !h.endedInLog(ref(call.program, sequence)) {
			h.t.Fatalf("call %v was sent before call %d had ended", effect.Attempt, sequence)
		}
	}
	reached := rapid.IntRange(0, 3).Draw(h.t, "reached") > 0
	if reached {
		call.reached++
	}
	if call.reached > 1 && !call.repeatable() {
		h.t.Fatalf("call %v may not be repeated and ran twice", effect.Attempt)
	}
	h.sends = append(h.sends, send{attempt: effect.Attempt, epoch: effect.Epoch, reached: reached})
}

func (h *harness) answer(effect program.Effect) {
	call := h.calls[effect.Attempt.CallRef]
	answer := effect.Answer
	if call.answer != nil && call.answer.Status != answer.Status {
		h.t.Fatalf("call %v was answered as %s, then as %s", effect.Attempt, call.answer.Status, answer.Status)
	}
	call.answer = answer
	notRun := answer.Status == api.StatusNotRun || (answer.Error != nil && answer.Error.Ran == api.RanNotRun)
	if notRun && call.reached > 0 {
		h.t.Fatalf("call %v was answered as not run: %+v", effect.Attempt, answer.Error)
	}
	if answer.Status == api.StatusSucceeded && answer.Output != outputOf(effect.Attempt.CallRef) {
		h.t.Fatalf("call %v was answered with %q", effect.Attempt, answer.Output)
	}
	if answer.Key != call.request.Key || answer.Input != call.request.Input {
		h.t.Fatalf("call %v was answered with the request of another: %+v", effect.Attempt, answer)
	}
}

func outputOf(call program.CallRef) string {
	return fmt.Sprintf("output of %s/%d", call.Program, call.Sequence)
}

// compareReplays compares the state with a replay of the whole log, and with a
// snapshot followed by the records after it.
func (h *harness) compareReplays(t *rapid.T) {
	h.durable = len(h.log)
	h.setOffsets()
	full := snapshotOf(h.store)
	if replayed := snapshotOf(h.replay(h.log)); replayed != full {
		t.Fatalf("the fold differs:\n%s\n%s", replayed, full)
	}
	split := rapid.IntRange(0, len(h.log)).Draw(t, "cut")
	restored := h.emptyStore()
	for _, part := range h.replay(h.log[:split]).Snapshot() {
		if err := restored.RecoverSnapshot(part); err != nil {
			t.Fatal(err)
		}
	}
	for offset := split; offset < len(h.log); offset++ {
		if err := restored.Recover(uint64(offset), h.log[offset]); err != nil {
			t.Fatal(err)
		}
	}
	if suffix := snapshotOf(restored); suffix != full {
		t.Fatalf("snapshot at %d and suffix differ:\n%s\n%s", split, suffix, full)
	}
}

func snapshotOf(store *program.Store) string {
	var text bytes.Buffer
	for _, part := range store.Snapshot() {
		text.Write(part)
	}
	return text.String()
}

// check checks the invariants that must hold after every step.
func (h *harness) check(t *rapid.T) {
	for _, id := range programIDs {
		described, ok := h.store.Describe(id)
		if !ok {
			continue
		}
		if described.SpentTokens < 0 || described.ReservedTokens < 0 || described.SpentTokens+described.ReservedTokens > described.BudgetTokens {
			t.Fatalf("the budget does not hold: %+v", described)
		}
	}
	for call := range h.calls {
		history, ok := h.store.History(call.Program, call.Sequence, 1)
		if !ok || len(history) == 0 || history[0].Sequence != call.Sequence {
			t.Fatalf("call %v is not in the history: %+v", call, history)
		}
		h.checkRecords(history[0])
	}
}

// checkRecords checks that the store has every record of the call that is not in
// the log, and that the offset of its Ended record, if set, is right.
func (h *harness) checkRecords(location program.CallLocation) {
	if location.AcceptedOffset == program.NoOffset && location.Accepted == nil {
		h.t.Fatalf("nobody has the request of %+v", location)
	}
	if !location.Status.Terminal() {
		return
	}
	if location.EndedOffset == program.NoOffset && location.Ended == nil {
		h.t.Fatalf("nobody has the outcome of %+v", location)
	}
	if location.EndedOffset != program.NoOffset && h.log[location.EndedOffset].Ended.Sequence != location.Sequence {
		h.t.Fatalf("the outcome of %+v is another call's", location)
	}
}

// finishAll ends all programs and lets their calls finish. It checks that every
// accepted call has an answer and that every program is released.
func (h *harness) finishAll() {
	for _, id := range programIDs {
		if !h.store.Live(id) {
			h.released[id] = true // EffectRelease may have been lost in a crash
		}
		_, _ = h.step(endCommand(id))
	}
	for range 40 {
		h.durable = len(h.log)
		h.performDue(len(h.pending))
		h.now = h.now.Add(10 * time.Second)
		h.collect(h.store.Tick(h.now))
	}
	for call, expected := range h.calls {
		actual, _ := h.store.Call(call.Program, call.Sequence, "")
		if !actual.Status.Terminal() || (expected.answer == nil && !h.endedInLog(call)) {
			h.t.Fatalf("call %v has no answer: %+v", call, actual)
		}
	}
	for _, id := range programIDs {
		if h.store.Live(id) || !h.released[id] {
			h.t.Fatalf("program %s is still held, or was not released", id)
		}
	}
	if strings.Contains(snapshotOf(h.store), `"live"`) {
		h.t.Fatalf("calls are left over")
	}
}

// endedInLog reports whether the call's Ended record is in the log. Its answer
// may have been lost with a previous owner; a repeated request gets it from the
// log.
func (h *harness) endedInLog(call program.CallRef) bool {
	for _, record := range h.log {
		if record.Program == call.Program && record.Ended != nil && record.Ended.Sequence == call.Sequence {
			return true
		}
	}
	return false
}
