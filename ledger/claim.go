package ledger

import "time"

// Claim states that a node has a turn that it has not settled yet, or had one that ended
// lately.
type Claim struct {
	Turn    string `json:"turn"`
	Program string `json:"program"`
	// Grant is the number of the turn's grant; 0 if the node has not received it.
	Grant uint64 `json:"grant,omitempty"`
	// Ended reports that the turn has ended and used Tokens tokens. It may have been settled
	// at a previous owner, and no record may tell so.
	Ended  bool `json:"ended,omitempty"`
	Tokens int  `json:"tokens,omitempty"`
}

// HasInherited reports whether turns that a previous owner granted, or may have granted,
// are still to be settled.
func (l *Ledger) HasInherited() bool {
	for _, acct := range l.accounts {
		for _, reserved := range acct.open {
			if reserved.inherited && !reserved.presumed {
				return true
			}
		}
		for _, reserved := range acct.uncertain {
			if !reserved.presumed {
				return true
			}
		}
	}
	return false
}

// SettleEnded settles the claimed turns that have ended.
func (l *Ledger) SettleEnded(now time.Time, claims []Claim) {
	for _, claim := range claims {
		if claim.Ended {
			l.Settle(now, Settlement{Turn: claim.Turn, Program: claim.Program, Grant: claim.Grant, Tokens: claim.Tokens})
		}
	}
}

// LapseUnclaimed counts the turns of previous owners that no node claims as unsettled at
// their maximum, and returns their number. Nobody is left to settle them, so that waiting
// longer would only hold a part of their programs' budgets. A settlement that arrives
// nevertheless still corrects the count.
func (l *Ledger) LapseUnclaimed(now time.Time, claims []Claim) (lapsed int) {
	turns := make(map[string]bool, len(claims))
	grants := make(map[Claim]bool, len(claims))
	for _, claim := range claims {
		if claim.Ended {
			continue
		}
		turns[claim.Turn] = true
		grants[Claim{Program: claim.Program, Grant: claim.Grant}] = true
	}
	for program, acct := range l.accounts {
		for id, reserved := range acct.open {
			if reserved.inherited && !turns[id] {
				lapsed += lapse(now, acct, acct.open, id)
			}
		}
		for grant := range acct.uncertain {
			if !grants[Claim{Program: program, Grant: grant}] {
				lapsed += lapse(now, acct, acct.uncertain, grant)
			}
		}
	}
	return lapsed
}

// lapse counts a turn at its maximum, unless it is counted so already.
func lapse[K comparable](now time.Time, acct *account, turns map[K]reservation, key K) int {
	reserved := turns[key]
	if reserved.presumed {
		return 0
	}
	acct.addPresumed(reserved.maxTokens)
	reserved.presumed, reserved.expires = true, now
	turns[key] = reserved
	return 1
}
