package program

import (
	"birchwood.example/birchwood/api"
)

// budget accounts for a program's tokens. The sum of those spent, reserved and
// allocated to sub-agents never exceeds the limit.
type budget struct {
	limit    int64
	spent    int64
	reserved int64
	// children is the total allocated to sub-agents and not refunded yet;
	// childrenSpent is what sub-agents had used when they were refunded.
	children      int64
	childrenSpent int64
}

func (b budget) committed() int64 { return b.spent + b.reserved + b.children + b.childrenSpent }

func (b budget) free() int64 { return b.limit - b.committed() }

// spentTokens returns the tokens spent, including those of ended sub-agents.
func (b budget) spentTokens() int64 { return b.spent + b.childrenSpent }

// reservedTokens returns the tokens reserved for calls or allocated to sub-agents.
func (b budget) reservedTokens() int64 { return b.reserved + b.children }

// budgetLimit returns the limit in force: the contract's or the creator's,
// whichever is lower, but never less than is committed already. The limit of a
// sub-agent is its allocated budget.
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

// outputCap returns the maximum output of a model call in tokens: the lower of
// the limits in the request and the contract, where zero means none.
func outputCap(request api.SubmitCall, terms Terms) int {
	if terms.MaxOutputTokens <= 0 {
		return request.MaxOutputTokens
	}
	if request.MaxOutputTokens <= 0 {
		return terms.MaxOutputTokens
	}
	return min(request.MaxOutputTokens, terms.MaxOutputTokens)
}

// estimatePrompt returns the length in tokens of the prompt of a call with this
// sequence number: the history, the most that earlier calls that have not ended
// may add to it, and the call's own input.
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

// reservation returns the tokens to reserve for a call. Tool calls cost none.
func reservation(call api.SubmitCall, promptTokens int) int64 {
	if call.Kind != api.CallModel {
		return 0
	}
	return int64(promptTokens) + int64(call.MaxOutputTokens)
}

// updateHeadReservation replaces the estimated prompt length of the head call by
// the exact one and adjusts its reservation. If the new reservation does not
// fit, the old one stays and the call is not affordable.
func (p *programState) updateHeadReservation() {
	head := p.head()
	if head == nil || head.attempt > 0 {
		return
	}
	head.promptTokens = p.historyTokens + head.inputTokens
	required := reservation(head.call, head.promptTokens)
	if required-head.reserved <= p.budget.free() {
		p.budget.reserved += required - head.reserved
		head.reserved = required
	}
}

func (c *liveCall) affordable() bool {
	return reservation(c.call, c.promptTokens) <= c.reserved
}

// settleReservation releases the reservation of a call that ended, except for
// its held tokens, and charges the tokens used.
func (p *programState) settleReservation(live *liveCall, ended *CallEnded) {
	held := min(ended.HeldTokens, live.reserved)
	used := int64(ended.Usage.PromptTokens) + int64(ended.Usage.OutputTokens)
	p.budget.reserved -= live.reserved - held
	p.budget.spent += min(used, live.reserved-held)
}
