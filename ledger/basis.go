package ledger

// Basis is what the verdict on a turn that does not fit its budget is based on.
type Basis string

// The bases, from certain to least certain.
const (
	// BasisUsed means that the tokens known to be used leave no budget for the turn.
	BasisUsed Basis = "used"
	// BasisPresumed means that turns which were not settled in time count at their maximum.
	BasisPresumed Basis = "presumed"
	// BasisMarked means that a previous owner's mark counts as used.
	BasisMarked Basis = "marked"
	// BasisAssumed means that a program without a record counts as having used the tokens
	// that it may have used at a previous owner.
	BasisAssumed Basis = "assumed"
)

// Basis returns the least uncertain basis on which a turn of maxTokens does not fit the
// budget.
func (a *Admission) Basis(maxTokens, budget int) Basis {
	tokens := a.SettledTokens - a.PresumedTokens - a.MarkedTokens - a.AssumedTokens + maxTokens
	if tokens > budget {
		return BasisUsed
	}
	if tokens += a.PresumedTokens; tokens > budget {
		return BasisPresumed
	}
	if tokens += a.MarkedTokens; tokens > budget {
		return BasisMarked
	}
	return BasisAssumed
}
