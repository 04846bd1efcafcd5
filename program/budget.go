package program

import (
	"birchwood.example/birchwood/api"
)

// budget counts a program's tokens. What is spent, reserved and carved out
// never exceeds the limit.
type budget struct {
	limit    int64
	spent    int64
	reserved int64
	// children is what sub-agents hold; settled is what ended ones have used.
	children      int64
	childrenSpent int64
}

func (b budget) committed() int64 { return b.spent + b.reserved + b.children + b.childrenSpent }

func (b budget) free() int64 { return b.limit - b.committed() }

// spentTokens includes what sub-agents that ended have used.
func (b budget) spentTokens() int64 { return b.spent + b.childrenSpent }

// reservedTokens includes what sub-agents hold.
func (b budget) reservedTokens() int64 { return b.reserved + b.children }

// budgetLimit is the limit in force: the contract's, lowered by the creator,
// but never below what is committed already. A sub-agent has what was carved.
func (p *programState) budgetLimit() int64 {
	if p.parent != "" {
		return p.allocatedTokens
	}
	limit := p.terms.BudgetTokens
	if p.requestBudget > 0 {
		limit = min(limit, p.requestBudget)
	}
	return max(limit, p.budget.committed())
}

// outputCap bounds the output of a model call.
func outputCap(request api.SubmitCall, terms Terms) int {
	if terms.MaxOutputTokens <= 0 {
		return request.MaxOutputTokens
	}
	if request.MaxOutputTokens <= 0 {
		return terms.MaxOutputTokens
	}
	return min(request.MaxOutputTokens, terms.MaxOutputTokens)
}

// estimatePrompt is the length of the prompt of a call at the place: the
// history, what earlier calls that have not ended may add, and its input.
func (p *programState) estimatePrompt(sequence uint64, inputTokens int) int {
	tokens := p.historyTokens + inputTokens
	for _, live := range p.live {
		if live.sequence >= sequence {
			break
		}
		tokens += live.inputTokens + live.call.MaxOutputTokens
	}
	return tokens
}

// reservation is what a call holds of the budget. Tools cost no tokens.
func reservation(call api.SubmitCall, promptTokens int) int64 {
	if call.Kind != api.CallModel {
		return 0
	}
	return int64(promptTokens) + int64(call.MaxOutputTokens)
}

// updateHeadReservation replaces the estimate of the call whose turn has come by its
// exact prompt. A reservation that would not fit stays as it was; the call
// is then not affordable.
func (p *programState) updateHeadReservation() {
	head := p.head()
	if head == nil || head.attempt > 0 {
		return
	}
	head.promptTokens = p.historyTokens + head.inputTokens
	wanted := reservation(head.call, head.promptTokens)
	if wanted-head.reserved <= p.budget.free() {
		p.budget.reserved += wanted - head.reserved
		head.reserved = wanted
	}
}

func (c *liveCall) affordable() bool {
	return reservation(c.call, c.promptTokens) <= c.reserved
}

// settleReservation releases the reservation of a call that ended and counts its cost.
func (p *programState) settleReservation(live *liveCall, ended *CallEnded) {
	held := min(ended.HeldTokens, live.reserved)
	used := int64(ended.Usage.PromptTokens) + int64(ended.Usage.OutputTokens)
	p.budget.reserved -= live.reserved - held
	p.budget.spent += min(used, live.reserved-held)
}
