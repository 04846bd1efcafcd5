package program

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// queueRetryAfter is the RetryAfter of a call that is refused because too many
// calls wait.
const queueRetryAfter = 500 * time.Millisecond

// submit accepts a call, or returns the existing one with the same key.
func (t *transition) submit(p *programState, submit Submit) *api.Error {
	request := submit.Request
	if request.Key == "" {
		return api.Refuse(api.CodeBadRequest, "a call needs a key").WithLocation("$.key")
	}
	hash := bodyHash(request)
	if sequence := p.findKey(request.Key); sequence > 0 {
		return t.repeatSubmit(p, sequence, request, hash)
	}
	if refusal := t.admit(p, request); refusal != nil {
		t.store.stats.Refused++
		return refusal
	}
	sequence := request.Sequence
	if sequence == 0 {
		sequence = uint64(len(p.calls)) + 1
	}
	request.Sequence = sequence
	request.Stream = false
	request.MaxOutputTokens = 0
	if request.Kind == api.CallModel {
		request.MaxOutputTokens = outputCap(submit.Request, *p.terms)
	}
	accepted := t.accepted(p, request, submit.InputTokens)
	accepted.BodyHash = hash
	if accepted.ReservedTokens > p.budget.free() {
		t.store.stats.Refused++
		return api.Refuse(api.CodeBudgetExhausted, "the call may cost %d tokens, the program has %d left",
			accepted.ReservedTokens, p.budget.free()).WithLocation("$.max_output_tokens")
	}
	t.record(Record{Program: p.id, Accepted: accepted})
	t.advance(p)
	t.setCallReply(p, sequence)
	return nil
}

// accepted builds the record that accepts the call.
func (t *transition) accepted(p *programState, request api.SubmitCall, inputTokens int) *Accepted {
	if inputTokens <= 0 {
		inputTokens = t.store.config.CountTokens(request.Input)
	}
	promptTokens := p.estimatePrompt(request.Sequence, inputTokens)
	return &Accepted{
		Sequence:       request.Sequence,
		Call:           request,
		InputTokens:    inputTokens,
		PromptTokens:   promptTokens,
		ReservedTokens: reservation(request, promptTokens),
		Deadline:       callDeadline(t.now, request, *p.terms),
	}
}

// callDeadline returns the deadline of a call from the shorter of the timeouts in
// the request and the contract. It is zero if neither sets one.
func callDeadline(now time.Time, request api.SubmitCall, terms Terms) time.Time {
	timeout := terms.CallTimeout
	requested := time.Duration(request.TimeoutMilliseconds) * time.Millisecond
	if requested > 0 && (timeout <= 0 || requested < timeout) {
		timeout = requested
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return now.Add(timeout)
}

// repeatSubmit handles a call whose key is in use: it returns the call if the body
// is the same, whatever its outcome, and a key_reused error if not.
func (t *transition) repeatSubmit(p *programState, sequence uint64, request api.SubmitCall, hash uint64) *api.Error {
	if p.calls[sequence-1].bodyHash != hash {
		return keyReused("$.key", "call %d has this key and another body", sequence)
	}
	if request.Sequence != 0 && request.Sequence != sequence {
		return keyReused("$.sequence", "the call with this key has place %d", sequence)
	}
	t.setCallReply(p, sequence)
	return nil
}

// admit checks a new call against the program and its contract.
func (t *transition) admit(p *programState, request api.SubmitCall) *api.Error {
	if p.closed {
		return programEnded(p.closedReason)
	}
	if refusal := checkKind(request, *p.terms); refusal != nil {
		return refusal
	}
	if p.turnLimitReached() {
		return t.refuseTurns(p)
	}
	if refusal := t.checkSequence(p, request.Sequence); refusal != nil {
		return refusal
	}
	if len(p.live) >= t.store.config.MaximumQueuedCalls {
		return api.Refuse(api.CodeOverloaded, "%d calls of the program have not ended", len(p.live)).WithRetryAfter(queueRetryAfter.Milliseconds())
	}
	return nil
}

// checkKind checks that the contract permits the model or the tool.
func checkKind(request api.SubmitCall, terms Terms) *api.Error {
	switch request.Kind {
	case api.CallModel:
		if !slices.Contains(terms.Models, request.Model) {
			return api.Refuse(api.CodeUnknownModel, "the contract does not permit model %q", request.Model).WithLocation("$.model")
		}
		if outputCap(request, terms) <= 0 {
			return api.Refuse(api.CodeBadRequest, "neither the call nor the contract caps the output").WithLocation("$.max_output_tokens")
		}
	case api.CallTool:
		if !slices.Contains(terms.Tools, request.Tool) {
			return api.Refuse(api.CodeUnknownTool, "the contract does not permit tool %q", request.Tool).WithLocation("$.tool")
		}
	default:
		return api.Refuse(api.CodeBadRequest, "kind %q: want %q or %q", request.Kind, api.CallModel, api.CallTool).WithLocation("$.kind")
	}
	return nil
}

// checkSequence checks that the requested sequence number is free and not too far
// ahead of the head.
func (t *transition) checkSequence(p *programState, sequence uint64) *api.Error {
	if sequence == 0 {
		return nil
	}
	if p.entry(sequence) != nil {
		return api.Refuse(api.CodeConflict, "place %d is taken by a call with another key", sequence).WithLocation("$.sequence")
	}
	last := p.headSequence + uint64(t.store.config.MaximumQueuedCalls) - 1
	if sequence > last {
		return api.Refuse(api.CodeConflict, "place %d is too far ahead: %d is missing, and %d is the last that may wait for it",
			sequence, p.headSequence, last).WithLocation("$.sequence")
	}
	return nil
}

func (p *programState) turnLimitReached() bool {
	return p.terms.MaxTurns > 0 && p.turns >= p.terms.MaxTurns
}

// refuseTurns refuses a call or sub-agent beyond the limit of turns. The program
// ends once its calls have ended, so that an agent that keeps looping gets
// program_ended.
func (t *transition) refuseTurns(p *programState) *api.Error {
	p.endOnTurnLimit = true
	t.markTimer(p)
	return api.Refuse(api.CodeLimitReached, "the program has made %d turns, its maximum", p.turns)
}
