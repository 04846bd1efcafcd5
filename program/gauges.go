package program

import "birchwood.example/birchwood/api"

// Stats are metrics of a store. The counters start at zero with the store, so
// they cover only the time of this owner.
type Stats struct {
	// LiveCalls is the number of calls that have not ended.
	LiveCalls int
	// Succeeded, Failed, NotRun, OutcomeUnknown and Cancelled count the calls
	// that ended, by status.
	Succeeded      uint64
	Failed         uint64
	NotRun         uint64
	OutcomeUnknown uint64
	Cancelled      uint64
	// Refused counts programs that a full store refused and calls that were not
	// admitted.
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

// Stats returns the store's metrics in constant time.
func (s *Store) Stats() Stats { return s.stats }

// BudgetTotals are the token budgets of all programs in the store, added up.
type BudgetTotals struct {
	BudgetTokens   int64
	SpentTokens    int64
	ReservedTokens int64
}

// BudgetTotals adds up the budgets of the programs without a parent; a
// sub-agent's tokens are included in its parent's. It takes time linear in the
// number of programs.
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
