package program

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// transition collects what one input of the store decides.
type transition struct {
	store  *Store
	now    time.Time
	out    Output
	marked []*programState
}

func newTransition(store *Store, now time.Time) *transition {
	return &transition{store: store, now: now.Round(0).UTC()}
}

// record applies a durable fact and keeps it for the journal. Every change
// of durable state goes through here, so that folding the records again
// gives the same state.
func (t *transition) record(record Record) {
	record.At = t.now
	t.store.apply(NoOffset, record)
	t.out.Records = append(t.out.Records, record)
	t.markTimer(t.store.programs[record.Program])
}

// markTimer marks a program whose next deadline may have changed.
func (t *transition) markTimer(p *programState) {
	if p != nil && !p.marked {
		p.marked = true
		t.marked = append(t.marked, p)
	}
}

// effect asks for something once the records are durable.
func (t *transition) effect(effect Effect) {
	t.out.Effects = append(t.out.Effects, effect)
}

// immediate asks for something that need not wait.
func (t *transition) immediate(effect Effect) {
	t.out.Immediate = append(t.out.Immediate, effect)
}

// setTimers sets the timers of the programs that were touched.
func (t *transition) setTimers() {
	for _, p := range t.marked {
		p.marked = false
		t.store.updateTimer(p)
	}
	t.marked = t.marked[:0]
}

// finish returns the output once every timer is set.
func (t *transition) finish() Output {
	t.setTimers()
	return t.out
}

// setProgramReply puts the program into the output, for the reply.
func (t *transition) setProgramReply(p *programState) {
	described := p.describe()
	t.out.Program = &described
}

// setCallReply puts the call into the output, for the reply.
func (t *transition) setCallReply(p *programState, sequence uint64) {
	described := p.describeCall(sequence)
	t.out.Call = &described
	t.setProgramReply(p)
}

// callEffect is the part that effects about a call share.
func (p *programState) callEffect(kind EffectKind, live *liveCall) Effect {
	return Effect{
		Kind:         kind,
		Attempt:      AttemptRef{CallRef: CallRef{Program: p.id, Sequence: live.sequence}, Attempt: live.attempt},
		Backend:      live.backend,
		Epoch:        live.epoch,
		Call:         live.call,
		Key:          p.serviceKey(live),
		PromptTokens: live.promptTokens,
		Deadline:     live.deadline,
		Terms:        *p.terms,
		Branch:       p.branch,
		Attained:     p.budget.spent,
		Avoid:        slices.Clone(live.avoid),
	}
}

// releaseEffect asks to free what engines keep for the program.
func releaseEffect(id api.ProgramID) Effect {
	return Effect{Kind: EffectRelease, Attempt: AttemptRef{CallRef: CallRef{Program: id}}}
}
