package program

import "birchwood.example/birchwood/api"

// Stats are the store's figures for a metrics page. Counters start at zero
// with the store: they tell what this owner has seen.
type Stats struct {
	// LiveCalls is the number of calls that have not ended.
	LiveCalls int
	// Succeeded to Cancelled count the calls that ended here, by status.
	Succeeded      uint64
	Failed         uint64
	NotRun         uint64
	OutcomeUnknown uint64
	Cancelled      uint64
	// Refused counts the requests that were not admitted.
	Refused uint64
}

func (g *Stats) count(status api.CallStatus) {
	switch status {
	case api.StatusSucceeded:
		g.Succeeded++
	case api.StatusFailed:
		g.Failed++
	case api.StatusNotRun:
		g.NotRun++
	case api.StatusOutcomeUnknown:
		g.OutcomeUnknown++
	case api.StatusCancelled:
		g.Cancelled++
	}
}

// Stats returns the store's figures. It costs the same for any number of
// programs.
func (s *Store) Stats() Stats { return s.stats }

// BudgetTotals are the tokens of all programs held.
type BudgetTotals struct {
	BudgetTokens   int64
	SpentTokens    int64
	ReservedTokens int64
}

// BudgetTotals sums the budgets of the programs that have no parent: what a
// sub-agent holds counts in its parent. It looks at every program.
func (s *Store) BudgetTotals() BudgetTotals {
	var sum BudgetTotals
	for _, p := range s.programs {
		if p.parent != "" {
			continue
		}
		sum.BudgetTokens += p.budget.limit
		sum.SpentTokens += p.budget.spentTokens()
		sum.ReservedTokens += p.budget.reservedTokens()
	}
	return sum
}
