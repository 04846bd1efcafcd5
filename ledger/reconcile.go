package ledger

import (
	"slices"
	"time"
)

const (
	// formerStateTimeout is how long after its start an owner waits for the state of the
	// former one, which may be paused, before it answers that a budget is exhausted.
	formerStateTimeout = 5 * time.Second
	// formerStateLifetime is how long after its start an owner uses a state that arrives.
	formerStateLifetime = 30 * time.Second
	// formerTransit is how long a FormerState is in transit at most.
	formerTransit = time.Second
)

// Reconcile replaces what this owner counts as an upper bound by the final state of a
// previous one, and returns the number of accounts that changed. The state may be late and
// may come more than once.
//
// An account with a record is replaced only if the previous owner wrote that record, or
// found it: an owner in between could have granted nothing without a record of its own.
// Programs without a record are known only if the previous owner wrote the open record,
// and an owner in between would still have been within its return window.
func (l *Ledger) Reconcile(now time.Time, state FormerState) (reconciled int) {
	if now.Sub(l.ownership.since) >= formerStateLifetime {
		return 0
	}
	if state.ConfirmedAgo < formerStateTimeout {
		// No later owner is likely to send another one.
		l.ownership.stateReceived = true
	}
	wroteOpenRecord := l.wroteOpenRecord(&state)
	known := make(map[string]bool, len(state.Accounts))
	for index := range state.Accounts {
		former := &state.Accounts[index]
		known[former.Program] = true
		acct := l.accounts[former.Program]
		switch {
		case acct != nil && acct.restored:
			if acct.reconcile(now, former) {
				l.proposeState(former.Program, acct)
				reconciled++
			}
		case wroteOpenRecord && !l.ownership.reconciled:
			l.addUnrecorded(now, former)
			reconciled++
		}
	}
	if wroteOpenRecord && !l.ownership.reconciled {
		l.ownership.reconciled = true
		// This owner's programs without a record need an open record of its own.
		l.ownership.openPosition = 0
		reconciled += l.clearAssumed(known)
	}
	return reconciled
}

// wroteOpenRecord reports whether the state is of the owner that wrote the open record in
// the log, and recent enough that no owner in between was past its return window.
func (l *Ledger) wroteOpenRecord(state *FormerState) bool {
	wrote := state.OpenID != "" && state.OpenID == l.ownership.inheritedID && !l.ownership.inheritedTwice
	return wrote && state.ConfirmedAgo+formerTransit < l.config.RetentionSlack
}

// addUnrecorded adds the use of a program that started at a previous owner and has no
// record in the log. It may have continued here.
func (l *Ledger) addUnrecorded(now time.Time, former *FormerAccount) {
	acct := l.accounts[former.Program]
	if acct == nil {
		acct = newAccount()
		acct.lastActive, acct.lastGrant = now, former.LastGrant
		acct.retention = time.Duration(former.RetentionMS) * time.Millisecond
		l.accounts[former.Program] = acct
	}
	acct.settledTokens -= acct.assumedTokens
	acct.presumedTokens -= acct.assumedTokens
	acct.restored = true
	acct.addFormer(now, former)
	l.proposeState(former.Program, acct)
}

// proposeState proposes a record of what was taken over from a previous owner. Its open
// turns may be requested again here, and no record lists them yet.
func (l *Ledger) proposeState(program string, acct *account) {
	if len(acct.open)+len(acct.uncertain) > maxListedTurns {
		l.proposeMark(program, acct, acct.maxUsed())
		return
	}
	l.proposeExact(program, acct, 0)
}

// awaitsState reports whether the state of the former owner may still correct what is
// counted of a program, if it arrives within the given time after this owner's start.
func (l *Ledger) awaitsState(now time.Time, acct *account, within time.Duration) bool {
	inherited := acct.restored || acct.mayHaveStartedBefore
	return l.ownership.id != "" && inherited && !acct.reconciled && now.Sub(l.ownership.since) < within
}

// mayBeCorrected reports whether a verdict on what is counted of a program should wait for
// the state of the former owner.
func (l *Ledger) mayBeCorrected(now time.Time, acct *account) bool {
	return !l.ownership.stateReceived && l.awaitsState(now, acct, formerStateTimeout)
}

// addFormer adds the use of a program at a previous owner.
func (a *account) addFormer(now time.Time, former *FormerAccount) {
	a.reconciled = true
	a.lastGrant = max(a.lastGrant, former.LastGrant)
	a.settledTokens += former.Settled
	a.presumedTokens += former.Presumed
	a.assumedTokens, a.mayHaveStartedBefore = former.Assumed, former.MayHaveStarted
	a.maxDuration = max(a.maxDuration, time.Duration(former.MaxDurationMS)*time.Millisecond)
	open := slices.DeleteFunc(slices.Clone(former.Open), a.wasSettledHere)
	a.reserveListed(open, now.Add(a.maxDuration+takeoverSettlementSlack), true)
	a.settledHere = nil
}

// clearAssumed removes the assumed use of the programs that did not start at the previous
// owner.
func (l *Ledger) clearAssumed(known map[string]bool) (cleared int) {
	for program, acct := range l.accounts {
		if known[program] || acct.restored || !acct.mayHaveStartedBefore {
			continue
		}
		acct.settledTokens -= acct.assumedTokens
		acct.presumedTokens -= acct.assumedTokens
		acct.assumedTokens, acct.mayHaveStartedBefore = 0, false
		cleared++
	}
	return cleared
}

// reconcile replaces what was restored of the account by its final state at a previous
// owner.
func (a *account) reconcile(now time.Time, former *FormerAccount) bool {
	if a.reconciled || a.restoredWriter == "" || !slices.Contains(former.Writers, a.restoredWriter) {
		return false
	}
	if former.Settled == a.restoredSettled && former.Presumed == a.restoredPresumed && len(former.Open) == a.restoredCount {
		return false
	}
	a.dropInherited()
	a.settledTokens -= a.restoredSettled + a.inheritedTokens
	a.presumedTokens -= a.restoredPresumed
	a.markedTokens = 0
	// A mark of the previous owner may now leave room for turns. They need a record of this
	// owner, so that its successor does not take the previous owner's state for the last.
	a.newest.maxTokens, a.durable.maxTokens, a.common.maxTokens = 0, 0, 0
	a.addFormer(now, former)
	return true
}

// noteSettled notes a turn that was settled here while the state of a former owner may
// still list it as open, with its tokens unless this owner granted it.
func (l *Ledger) noteSettled(now time.Time, acct *account, turn string, tokens int) {
	if !l.awaitsState(now, acct, formerStateLifetime) {
		return
	}
	if len(acct.settledHere) >= maxListedTurns {
		acct.reconciled, acct.settledHere = true, nil
		return
	}
	if acct.settledHere == nil {
		acct.settledHere = make(map[string]int)
	}
	acct.settledHere[turn] = tokens
}

// wasSettledHere reports whether a listed turn was settled here, and counts what it used.
func (a *account) wasSettledHere(listed listedValue) bool {
	tokens, found := a.settledHere[listed.ID]
	if found {
		a.settledTokens += min(tokens, listed.MaxTokens)
	}
	return found
}

// inheritedCount returns the number of turns of previous owners that are not settled.
func (a *account) inheritedCount() int {
	count := len(a.uncertain)
	for _, reserved := range a.open {
		if reserved.inherited {
			count++
		}
	}
	return count
}

// dropInherited removes the turns of previous owners.
func (a *account) dropInherited() {
	dropReservations(a, a.open, func(_ string, reserved reservation) bool { return reserved.inherited })
	dropReservations(a, a.uncertain, func(uint64, reservation) bool { return true })
}

// dropUncertain removes a turn that a previous owner may have granted.
func (a *account) dropUncertain(grant uint64) {
	dropReservations(a, a.uncertain, func(other uint64, _ reservation) bool { return other == grant })
}

func dropReservations[K comparable](a *account, turns map[K]reservation, drop func(K, reservation) bool) {
	for key, reserved := range turns {
		if !drop(key, reserved) {
			continue
		}
		if reserved.presumed {
			a.addPresumed(-reserved.maxTokens)
		}
		delete(turns, key)
	}
}
