package ledger

import (
	"maps"
	"slices"
	"time"
)

// openKey is the key of the open record, which exists while an owner may let programs
// start that have no record in the log.
const openKey = "open"

// The values of the open record. An owner writes openValue if its predecessor released
// the partition, and openAfterFailureValue if its predecessor failed: programs of both
// may then have started without a record. The former values are those of owners of an
// earlier version, at which programs of any budget used the unrecorded share.
const (
	openValue                   = "3"
	openAfterFailureValue       = "4"
	formerOpenValue             = "1"
	formerOpenAfterFailureValue = "2"
)

// ownership decides what an owner may do before a program's first record is durable, and
// what it has to assume about programs without a record.
type ownership struct {
	// id tells this owner from all others of the partition; "" if Identify was not called.
	id string
	// since is when the ownership began; zero if Open was not called.
	since time.Time
	// confirmedAt is the latest time at which the log has confirmed that this owner was
	// in force.
	confirmedAt time.Time
	// inheritedOpen reports that a previous owner's open record was found: programs
	// without a record may have started there.
	inheritedOpen bool
	// inheritedTwice reports that the previous owner had itself replaced a failed one,
	// and that programs of both may have started without a record.
	inheritedTwice bool
	// inheritedFormer reports that a previous owner was of an earlier version.
	inheritedFormer bool
	// inheritedID identifies the open record that was found; "" if it has no ID.
	// reconciled reports that the final state of its owner is known, so that programs
	// without a record did not start there.
	inheritedID string
	reconciled  bool
	// stateReceived reports that a recent owner has sent its final state.
	stateReceived bool
	// openPosition is the proposal of this owner's own open record; 0 if there is none,
	// as when the previous owner's is still in the log.
	openPosition uint64
	released     bool
	// retention is the longest time for which any route retains programs.
	retention time.Duration
}

// Identify sets the ID that tells this owner from all others of the partition. It is called
// before Open. Without an ID, successors cannot use this owner's FormerState.
func (l *Ledger) Identify(id string) { l.ownership.id = id }

// Open begins the ownership. It is called after FinishRestore. From then on programs may
// start before their first record is durable, if the configuration allows it.
func (l *Ledger) Open(now time.Time) {
	if l.config.UnrecordedShare <= 0 {
		return
	}
	l.ownership.since = now
}

// proposeOpenRecord proposes the owner's open record once there is a program. An owner
// that served no program leaves its successor nothing to assume.
func (l *Ledger) proposeOpenRecord() {
	if l.ownership.since.IsZero() || l.ownership.released || l.ownership.openPosition > 0 {
		return
	}
	switch {
	case !l.ownership.inheritedOpen || l.ownership.reconciled:
		l.ownership.openPosition = l.propose(openKey, []byte(joinOpenID(openValue, l.ownership.id)))
	case l.ownership.inheritedTwice || l.config.AfterFailureShare <= 0:
	case l.ownership.inheritedFormer:
		l.ownership.openPosition = l.propose(openKey, []byte(formerOpenAfterFailureValue))
	default:
		l.ownership.openPosition = l.propose(openKey, []byte(openAfterFailureValue))
	}
}

// restore restores the open record of a previous owner.
func (o *ownership) restore(record string) {
	value, id := cutOpenID(record)
	o.inheritedOpen, o.inheritedID = true, id
	o.inheritedTwice = value == openAfterFailureValue || value == formerOpenAfterFailureValue
	o.inheritedFormer = value == formerOpenValue || value == formerOpenAfterFailureValue
}

// singleValue returns the value of the open record of the previous owner alone.
func (o *ownership) singleValue() string {
	if o.inheritedFormer {
		return formerOpenValue
	}
	return joinOpenID(openValue, o.inheritedID)
}

// ConfirmOwnership records that the ownership was in force at the given time, which is
// when an append was sent that the log then accepted.
func (l *Ledger) ConfirmOwnership(at time.Time) {
	if at.After(l.ownership.confirmedAt) {
		l.ownership.confirmedAt = at
	}
}

// RetainFor raises the longest time for which any route retains programs to the given
// one. It is never lowered.
func (l *Ledger) RetainFor(retention time.Duration) {
	l.ownership.retention = max(l.ownership.retention, retention)
}

// Close releases the partition: it lowers marks to the tokens of settled and open turns,
// and lets no more programs start without a record. Once all proposals are durable, the
// log holds the complete state for the next owner.
func (l *Ledger) Close(now time.Time) {
	l.lowerMarks()
	l.releaseOwnership(now)
	l.proposeStreams()
}

// lowerMarks proposes records that reserve nothing ahead of need.
func (l *Ledger) lowerMarks() {
	for _, program := range slices.Sorted(maps.Keys(l.accounts)) {
		acct := l.accounts[program]
		switch maxUsed := acct.maxUsed(); {
		case maxUsed >= acct.newest.mark:
		case acct.newest.grant == unboundedGrant:
			l.proposeMark(program, acct, maxUsed)
		default:
			l.proposeExact(program, acct, 0)
		}
	}
}

// releaseOwnership removes the open record, unless programs of a previous owner that have
// no record may still return.
func (l *Ledger) releaseOwnership(now time.Time) {
	if l.ownership.released || l.ownership.since.IsZero() {
		return
	}
	l.ownership.released = true
	if l.ownership.openPosition == 0 && !l.ownership.inheritedOpen {
		return
	}
	if l.ownership.inheritedOpen && !l.ownership.reconciled && now.Sub(l.ownership.since) <= l.returnWindow(l.ownership.retention) {
		if l.ownership.openPosition > 0 {
			// All programs that started here have a record; those of the previous owner
			// may not.
			l.propose(openKey, []byte(l.ownership.singleValue()))
		}
		return
	}
	l.propose(openKey, nil)
}

// Inherited reports whether programs without a record in the log may have started under a
// previous owner.
func (l *Ledger) Inherited() bool { return l.ownership.inheritedOpen }

// returnWindow returns how long after a takeover a program may still return that started
// under a previous owner.
func (l *Ledger) returnWindow(retention time.Duration) time.Duration {
	return max(retention, l.ownership.retention) + l.config.RetentionSlack
}

// assumedTokens returns what a program without a record may have used under a previous
// owner.
func (l *Ledger) assumedTokens(now time.Time, turn Turn) int {
	if !l.mayHaveStarted(now, turn) {
		return 0
	}
	assumedTokens := l.inheritedTokens(turn)
	if l.ownership.inheritedTwice {
		assumedTokens += l.afterFailureTokens(turn)
	}
	return assumedTokens
}

// mayHaveStarted reports whether a program without a record may have started under a
// previous owner. Its extra turn then counts as used there, even if nothing else is
// assumed.
func (l *Ledger) mayHaveStarted(now time.Time, turn Turn) bool {
	return l.ownership.inheritedOpen && !l.ownership.reconciled && !l.ownership.since.IsZero() && now.Sub(l.ownership.since) <= l.returnWindow(turn.Retain)
}

// afterFailureTokens returns how many tokens a program may use without a record at an
// owner that replaced a failed one.
func (l *Ledger) afterFailureTokens(turn Turn) int {
	if turn.Budget < l.config.AfterFailureMinBudget {
		return 0
	}
	return budgetShare(turn, l.config.AfterFailureShare)
}

// unrecordedTokens returns how many tokens a program may use before its first record is
// durable, in addition to one turn.
func (l *Ledger) unrecordedTokens(turn Turn) int {
	if turn.Budget < l.config.UnrecordedMinBudget {
		return 0
	}
	return budgetShare(turn, l.config.UnrecordedShare)
}

// inheritedTokens returns how many tokens a program may have used at a previous owner
// without a record, in addition to one turn.
func (l *Ledger) inheritedTokens(turn Turn) int {
	if l.ownership.inheritedFormer {
		return budgetShare(turn, l.config.UnrecordedShare)
	}
	return l.unrecordedTokens(turn)
}

// budgetShare returns a share of a turn's budget, or 0 if it does not hold the turn:
// counted as used, it would leave no turn in a small budget.
func budgetShare(turn Turn, share float64) int {
	tokens := int(share * float64(turn.Budget))
	if tokens < turn.MaxTokens {
		return 0
	}
	return tokens
}

// minFirstMark returns the lowest first mark: all that a program may use before the mark
// is durable. It leaves one token of the budget, since a mark that leaves none counts as
// exhausted.
func (l *Ledger) minFirstMark(turn Turn) int {
	if l.config.UnrecordedShare <= 0 {
		return 0
	}
	if l.ownership.inheritedOpen {
		return min(turn.Budget-1, l.inheritedTokens(turn)+max(turn.MaxTokens, l.afterFailureTokens(turn)))
	}
	return min(turn.Budget-1, l.unrecordedTokens(turn)+turn.MaxTokens)
}

// unrecordedLimit returns the total of tokens up to which a program may run without a
// record.
func (l *Ledger) unrecordedLimit(turn Turn, acct *account) int {
	switch {
	case !acct.mayHaveStartedBefore:
		return l.unrecordedTokens(turn) + turn.MaxTokens
	case l.ownership.inheritedTwice:
		return 0
	default:
		return acct.assumedTokens + l.afterFailureTokens(turn)
	}
}

// mayRunUnrecorded reports whether a turn may deliver tokens before a record of its
// program is durable. The total must be within the unrecorded share and one turn; that
// turn is the one by which a failure may exceed the budget. If the log has a record of
// this owner, the total is below its mark; a previous owner's mark may be lower. If use
// under a previous owner is assumed, the extra turn was spent there, and only a smaller
// share remains.
//
// A turn that is not covered by each of this owner's records waits, since any of them may
// be the last one that becomes durable.
func (l *Ledger) mayRunUnrecorded(now time.Time, turn Turn, acct *account, grant uint64, need int) bool {
	if turn.Budget <= 0 || acct.restored || need > l.unrecordedLimit(turn, acct) || !acct.common.permits(grant, turn.MaxTokens, need) {
		return false
	}
	state := l.ownership
	if state.since.IsZero() || state.released || now.Sub(state.confirmedAt) > l.config.OwnershipProofTTL {
		return false
	}
	if state.inheritedOpen && !state.reconciled && !acct.mayHaveStartedBefore {
		// The previous owner's open record is still in the log and covers as much.
		return true
	}
	return state.openPosition <= l.durable
}
