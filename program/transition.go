package program

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// transition processes one input of the store and collects its output.
type transition struct {
	store  *Store
	now    time.Time
	out    Output
	marked []*programState
}

func newTransition(store *Store, now time.Time) *transition {
	return &transition{store: store, now: now.Round(0).UTC()}
}

// record applies a record and adds it to the output. Every change of durable
// state goes through here, so that replaying the records gives the same state.
func (t *transition) record(record Record) {
	record.At = t.now
	t.store.apply(NoOffset, record)
	t.out.Records = append(t.out.Records, record)
	t.markTimer(t.store.programs[record.Program])
}

// markTimer marks a program whose next deadline may have changed; setTimers then
// updates its timer.
func (t *transition) markTimer(p *programState) {
	if p != nil && !p.marked {
		p.marked = true
		t.marked = append(t.marked, p)
	}
}

// effect adds an effect to perform once the records are durable.
func (t *transition) effect(effect Effect) {
	t.out.Effects = append(t.out.Effects, effect)
}

// immediate adds an effect to perform at once.
func (t *transition) immediate(effect Effect) {
	t.out.Immediate = append(t.out.Immediate, effect)
}

// setTimers updates the timers of the marked programs.
func (t *transition) setTimers() {
	for _, p := range t.marked {
		p.marked = false
		t.store.updateTimer(p)
	}
	t.marked = t.marked[:0]
}

// finish updates the timers and returns the output.
func (t *transition) finish() Output {
	t.setTimers()
	return t.out
}

// setProgramReply sets the program in the output, for the reply.
func (t *transition) setProgramReply(p *programState) {
	described := p.describe()
	t.out.Program = &described
}

// setCallReply sets the call and its program in the output, for the reply.
func (t *transition) setCallReply(p *programState, sequence uint64) {
	described := p.describeCall(sequence)
	t.out.Call = &described
	t.setProgramReply(p)
}

// callEffect returns an effect with the fields that all effects of a call have.
func (p *programState) callEffect(kind EffectKind, live *liveCall) Effect {
	return Effect{
		Kind:           kind,
		Attempt:        AttemptRef{CallRef: CallRef{Program: p.id, Sequence: live.sequence}, Attempt: live.attempt},
		Backend:        live.backend,
		Epoch:          live.epoch,
		Call:           live.call,
		Key:            p.serviceKey(live),
		PromptTokens:   live.promptTokens,
		Deadline:       live.deadline,
		Terms:          *p.terms,
		Branch:         p.branch,
		AttainedTokens: p.budget.spent,
		Avoid:          slices.Clone(live.avoid),
	}
}

// releaseEffect returns the effect that frees the memory that engines hold for
// the program.
func releaseEffect(id api.ProgramID) Effect {
	return Effect{Kind: EffectRelease, Attempt: AttemptRef{CallRef: CallRef{Program: id}}}
}
