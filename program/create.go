package program

import (
	"time"

	"birchwood.example/birchwood/api"
)

// defaultCarveShare: a sub-agent that names no budget gets this part of what
// its parent has free, or the contract's budget where that is less.
const defaultCarveShare = 2

// fullRetry is how soon a caller may try again when the store is full.
const fullRetry = time.Second

// create opens a program, or returns the one that has the same id and key.
func (t *transition) create(id api.ProgramID, create Create) *api.Error {
	if held, ok := t.store.programs[id]; ok {
		return t.createAgain(held, create)
	}
	if !t.store.makeRoom() {
		t.store.gauge.Refused++
		return api.Refuse(api.CodeOverloaded, "the partition holds %d programs, its maximum", len(t.store.programs)).
			After(fullRetry.Milliseconds())
	}
	created := Created{
		Branch:               create.Request.Branch,
		Key:                  create.Request.Key,
		Terms:                create.Terms,
		BudgetTokens:         create.Request.BudgetTokens,
		DeadlineMilliseconds: create.Request.DeadlineMilliseconds,
	}
	if create.Parent != "" {
		refusal := t.carve(id, create, &created)
		if refusal != nil {
			return refusal
		}
	}
	t.record(Record{Program: id, Created: &created})
	t.showProgram(t.store.programs[id])
	return nil
}

// createAgain answers a repeated create.
func (t *transition) createAgain(held *heldProgram, create Create) *api.Error {
	request := create.Request
	duration := time.Duration(request.DeadlineMilliseconds) * time.Millisecond
	switch {
	case held.key != request.Key || held.branch != request.Branch || held.parent != create.Parent:
		return keyReused("$.key", "program %s was created with another key, branch or parent", held.id)
	case held.requestBudget != request.BudgetTokens:
		return keyReused("$.budget_tokens", "the key was used with a budget of %d", held.requestBudget)
	case held.requestDuration != duration:
		return keyReused("$.deadline_ms", "the key was used with a deadline of %s", held.requestDuration)
	}
	t.showProgram(held)
	return nil
}

// carve takes a sub-agent's budget from its parent's. Starting a sub-agent is
// a turn of the parent, so that a loop of sub-agents meets the limit too.
func (t *transition) carve(id api.ProgramID, create Create, created *Created) *api.Error {
	parent, ok := t.store.programs[create.Parent]
	if !ok {
		return api.Refuse(api.CodeNotFound, "the parent %s is not known", create.Parent).At("$.parent")
	}
	if parent.closed {
		return programEnded(parent.closedReason)
	}
	if parent.turnsUsedUp() {
		return t.refuseTurns(parent)
	}
	if parent.depth >= t.store.config.MaximumDepth {
		return api.Refuse(api.CodeLimitReached, "sub-agents may be %d deep at most", t.store.config.MaximumDepth).At("$.parent")
	}
	tokens := create.Request.BudgetTokens
	if tokens <= 0 {
		tokens = min(create.Terms.BudgetTokens, parent.budget.free()/defaultCarveShare)
	}
	if tokens > parent.budget.free() {
		return api.Refuse(api.CodeBudgetExhausted, "the parent has %d tokens free, the sub-agent asks for %d", parent.budget.free(), tokens).
			At("$.budget_tokens")
	}
	created.Parent = create.Parent
	created.CarvedTokens = tokens
	created.Depth = parent.depth + 1
	t.record(Record{Program: parent.id, Carved: &Carved{Child: id, Tokens: tokens}})
	return nil
}
