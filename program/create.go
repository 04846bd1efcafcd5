package program

import (
	"time"

	"birchwood.example/birchwood/api"
)

// defaultAllocationDivisor sets the budget of a sub-agent whose request names
// none: its parent's free tokens divided by this, or the contract's budget if
// that is less.
const defaultAllocationDivisor = 2

// fullRetryAfter is the RetryAfter of a create that a full store refuses.
const fullRetryAfter = time.Second

// create creates a program, or returns the existing one with the same id and
// key.
func (t *transition) create(id api.ProgramID, create Create) *api.Error {
	if existing, ok := t.store.programs[id]; ok {
		return t.repeatCreate(existing, create)
	}
	if !t.store.ensureCapacity() {
		t.store.stats.Refused++
		return api.Refuse(api.CodeOverloaded, "the partition holds %d programs, its maximum", len(t.store.programs)).
			WithRetryAfter(fullRetryAfter.Milliseconds())
	}
	created := Created{
		Branch:               create.Request.Branch,
		Key:                  create.Request.Key,
		Terms:                create.Terms,
		BudgetTokens:         create.Request.BudgetTokens,
		DeadlineMilliseconds: create.Request.DeadlineMilliseconds,
	}
	if create.Parent != "" {
		refusal := t.allocateBudget(id, create, &created)
		if refusal != nil {
			return refusal
		}
	}
	t.record(Record{Program: id, Created: &created})
	t.setProgramReply(t.store.programs[id])
	return nil
}

// repeatCreate handles a create whose program exists: it returns the program if
// the request is the same, and a key_reused error if not.
func (t *transition) repeatCreate(existing *programState, create Create) *api.Error {
	request := create.Request
	duration := time.Duration(request.DeadlineMilliseconds) * time.Millisecond
	switch {
	case existing.key != request.Key || existing.branch != request.Branch || existing.parent != create.Parent:
		return keyReused("$.key", "program %s was created with another key, branch or parent", existing.id)
	case existing.requestBudget != request.BudgetTokens:
		return keyReused("$.budget_tokens", "the key was used with a budget of %d", existing.requestBudget)
	case existing.requestDuration != duration:
		return keyReused("$.deadline_ms", "the key was used with a deadline of %s", existing.requestDuration)
	}
	t.setProgramReply(existing)
	return nil
}

// allocateBudget takes a sub-agent's budget from its parent's. Starting a
// sub-agent counts as a turn of the parent, so that the limit of turns also
// stops a loop that starts sub-agents.
func (t *transition) allocateBudget(id api.ProgramID, create Create, created *Created) *api.Error {
	parent, ok := t.store.programs[create.Parent]
	if !ok {
		return api.Refuse(api.CodeNotFound, "the parent %s is not known", create.Parent).WithLocation("$.parent")
	}
	if parent.closed {
		return programEnded(parent.closedReason)
	}
	if parent.turnLimitReached() {
		return t.refuseTurns(parent)
	}
	if parent.depth >= t.store.config.MaximumDepth {
		return api.Refuse(api.CodeLimitReached, "sub-agents may be %d deep at most", t.store.config.MaximumDepth).WithLocation("$.parent")
	}
	tokens := create.Request.BudgetTokens
	if tokens <= 0 {
		tokens = min(create.Terms.BudgetTokens, parent.budget.free()/defaultAllocationDivisor)
	}
	if tokens > parent.budget.free() {
		return api.Refuse(api.CodeBudgetExhausted, "the parent has %d tokens free, the sub-agent asks for %d", parent.budget.free(), tokens).
			WithLocation("$.budget_tokens")
	}
	created.Parent = create.Parent
	created.AllocatedTokens = tokens
	created.Depth = parent.depth + 1
	t.record(Record{Program: parent.id, BudgetTransferred: &BudgetTransferred{Child: id, Tokens: tokens}})
	return nil
}
