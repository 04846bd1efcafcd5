package ledger

import (
	"maps"
	"slices"
	"time"
)

// openKey is the key of the record that stands while an owner may have let
// programs begin that the log does not know.
const openKey = "open"

// The values of that record: of an owner that followed one that gave up in order, and
// of one that followed a lost one and may have let programs begin as well.
const (
	openValue             = "1"
	openAfterFailureValue = "2"
)

// ownership is what an owner may do before the log has a program's first mark,
// and what it has to assume of programs that the log does not know.
type ownership struct {
	// since is when the ownership began; zero where Open was not called.
	since time.Time
	// confirmedAt is the latest time of which the log has shown that the ownership
	// was in force then.
	confirmedAt time.Time
	// inheritedOpen says that a former owner's open record was found: programs
	// may have begun that the log does not know.
	inheritedOpen bool
	// inheritedTwice says that the former owner had followed a lost one, and that programs of
	// both may have begun.
	inheritedTwice bool
	// openPosition is the proposal of this owner's own open record; 0 where the
	// former owner's stands.
	openPosition uint64
	released     bool
	// retention is the longest time for which any route keeps programs.
	retention time.Duration
}

// Open begins the ownership, after Restored: from then on programs may begin
// before the log has their first mark, where the settings allow it.
func (l *Ledger) Open(now time.Time) {
	if l.config.UnrecordedShare <= 0 {
		return
	}
	l.ownership.since = now
}

// proposeOpenRecord puts the owner's open record into the log, once there is a program.
// An owner that served none leaves its successor nothing to assume.
func (l *Ledger) proposeOpenRecord() {
	if l.ownership.since.IsZero() || l.ownership.released || l.ownership.openPosition > 0 {
		return
	}
	switch {
	case !l.ownership.inheritedOpen:
		l.ownership.openPosition = l.propose(openKey, []byte(openValue))
	case !l.ownership.inheritedTwice && l.config.AgainShare > 0:
		l.ownership.openPosition = l.propose(openKey, []byte(openAfterFailureValue))
	}
}

// Prove notes that the log showed the ownership to be in force at a time: that
// at which an append was sent which the log then took.
func (l *Ledger) Prove(at time.Time) {
	if at.After(l.ownership.confirmedAt) {
		l.ownership.confirmedAt = at
	}
}

// RetainFor tells the longest time for which any route keeps programs.
func (l *Ledger) RetainFor(retention time.Duration) {
	l.ownership.retention = max(l.ownership.retention, retention)
}

// Close ends the ownership in order: marks are lowered to what is used and what
// turns under way may use, and programs no longer begin before they are in the
// log. Once everything proposed is durable, the next owner knows all of it.
func (l *Ledger) Close(now time.Time) {
	l.lowerMarks()
	l.releaseOwnership(now)
}

// lowerMarks proposes marks that reserve nothing ahead.
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

// releaseOwnership removes the open record, unless programs of a former owner may
// still come back that the log does not know.
func (l *Ledger) releaseOwnership(now time.Time) {
	if l.ownership.released || l.ownership.since.IsZero() {
		return
	}
	l.ownership.released = true
	if l.ownership.openPosition == 0 && !l.ownership.inheritedOpen {
		return
	}
	if l.ownership.inheritedOpen && now.Sub(l.ownership.since) <= l.returnWindow(l.ownership.retention) {
		if l.ownership.openPosition > 0 {
			// What began here is in the log; what began before may not be.
			l.propose(openKey, []byte(openValue))
		}
		return
	}
	l.propose(openKey, nil)
}

// Inherited reports whether a former owner may have let programs begin that the
// log does not know.
func (l *Ledger) Inherited() bool { return l.ownership.inheritedOpen }

// returnWindow is how long after a takeover a program may still come back that a
// former owner let begin.
func (l *Ledger) returnWindow(retention time.Duration) time.Duration {
	return max(retention, l.ownership.retention) + l.config.Slack
}

// assumedTokens is what a program that the log does not know may have used under a
// former owner.
func (l *Ledger) assumedTokens(now time.Time, turn Turn) int {
	if !l.mayHaveBegun(now, turn) {
		return 0
	}
	assumedTokens := l.unrecordedTokens(turn)
	if l.ownership.inheritedTwice {
		assumedTokens += l.afterFailureTokens(turn)
	}
	return assumedTokens
}

// mayHaveBegun reports whether a program that the log does not know may have begun under
// a former owner. The turn by which its budget may be exceeded was spent there then,
// also where nothing is assumed besides.
func (l *Ledger) mayHaveBegun(now time.Time, turn Turn) bool {
	return l.ownership.inheritedOpen && !l.ownership.since.IsZero() && now.Sub(l.ownership.since) <= l.returnWindow(turn.Retain)
}

// afterFailureTokens is what a program may use unrecorded at an owner that followed a lost one.
func (l *Ledger) afterFailureTokens(turn Turn) int {
	if turn.Budget < l.config.AgainBudget {
		return 0
	}
	return budgetShare(turn, l.config.AgainShare)
}

// unrecordedTokens is what a program may use before the log has its first mark,
// besides one turn.
func (l *Ledger) unrecordedTokens(turn Turn) int { return budgetShare(turn, l.config.UnrecordedShare) }

// budgetShare is a share of a turn's budget, or nothing where it would not hold the turn:
// taken as used, it would leave a small budget without one.
func budgetShare(turn Turn, share float64) int {
	tokens := int(share * float64(turn.Budget))
	if tokens < turn.Most {
		return 0
	}
	return tokens
}

// minFirstMark is the least first mark: all that a program may use before it. It
// leaves a token of the budget, since a mark that leaves none counts as spent.
func (l *Ledger) minFirstMark(turn Turn) int {
	if l.config.UnrecordedShare <= 0 {
		return 0
	}
	if l.ownership.inheritedOpen {
		return min(turn.Budget-1, l.unrecordedTokens(turn)+max(turn.Most, l.afterFailureTokens(turn)))
	}
	return min(turn.Budget-1, l.unrecordedTokens(turn)+turn.Most)
}

// unrecordedLimit is the need up to which a program may run unrecorded.
func (l *Ledger) unrecordedLimit(turn Turn, acct *account) int {
	switch {
	case !acct.mayHaveBegunBefore:
		return l.unrecordedTokens(turn) + turn.Most
	case l.ownership.inheritedTwice:
		return 0
	default:
		return acct.assumedTokens + l.afterFailureTokens(turn)
	}
}

// mayRunUnrecorded reports whether a turn may hand out tokens although the log has
// no mark of its program: its need is at most the share and one turn. The turn
// beyond the share is the one by which a budget may be exceeded at a loss. Where
// the log has a mark of this owner, the need lies under it; a former owner's mark
// may lie lower. Where the use of a former owner's programs is assumed, the turn
// beyond the share was spent there, and a smaller share is left.
// What any of this owner's records would not cover waits: each may be the last that
// becomes durable.
func (l *Ledger) mayRunUnrecorded(now time.Time, turn Turn, acct *account, grant uint64, need int) bool {
	if turn.Budget <= 0 || acct.restored || need > l.unrecordedLimit(turn, acct) || !acct.common.permits(grant, turn.Most, need) {
		return false
	}
	state := l.ownership
	if state.since.IsZero() || state.released || now.Sub(state.confirmedAt) > l.config.UnrecordedFor {
		return false
	}
	if state.inheritedOpen && !acct.mayHaveBegunBefore {
		// The former owner's record stands, and covers as much.
		return true
	}
	return state.openPosition <= l.durable
}
