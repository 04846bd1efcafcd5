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
	openValue      = "1"
	openAgainValue = "2"
)

// tenure is what an owner may do before the log has a program's first mark,
// and what it has to assume of programs that the log does not know.
type tenure struct {
	// begun is when the ownership began; zero where Open was not called.
	begun time.Time
	// proven is the latest time of which the log has shown that the ownership
	// was in force then.
	proven time.Time
	// inherited says that a former owner's open record was found: programs
	// may have begun that the log does not know.
	inherited bool
	// again says that the former owner had followed a lost one, and that programs of
	// both may have begun.
	again bool
	// position is the proposal of this owner's own open record; 0 where the
	// former owner's stands.
	position uint64
	closed   bool
	// retain is the longest time for which any route keeps programs.
	retain time.Duration
}

// Open begins the ownership, after Restored: from then on programs may begin
// before the log has their first mark, where the settings allow it.
func (l *Ledger) Open(now time.Time) {
	if l.config.UnrecordedShare <= 0 {
		return
	}
	l.tenure.begun = now
}

// markOpen puts the owner's open record into the log, once there is a program.
// An owner that served none leaves its successor nothing to assume.
func (l *Ledger) markOpen() {
	if l.tenure.begun.IsZero() || l.tenure.closed || l.tenure.position > 0 {
		return
	}
	switch {
	case !l.tenure.inherited:
		l.tenure.position = l.propose(openKey, []byte(openValue))
	case !l.tenure.again && l.config.AgainShare > 0:
		l.tenure.position = l.propose(openKey, []byte(openAgainValue))
	}
}

// Prove notes that the log showed the ownership to be in force at a time: that
// at which an append was sent which the log then took.
func (l *Ledger) Prove(at time.Time) {
	if at.After(l.tenure.proven) {
		l.tenure.proven = at
	}
}

// RetainFor tells the longest time for which any route keeps programs.
func (l *Ledger) RetainFor(retain time.Duration) {
	l.tenure.retain = max(l.tenure.retain, retain)
}

// Close ends the ownership in order: marks are lowered to what is used and what
// turns under way may use, and programs no longer begin before they are in the
// log. Once everything proposed is durable, the next owner knows all of it.
func (l *Ledger) Close(now time.Time) {
	l.lowerMarks()
	l.closeTenure(now)
}

// lowerMarks proposes marks that reserve nothing ahead.
func (l *Ledger) lowerMarks() {
	for _, program := range slices.Sorted(maps.Keys(l.accounts)) {
		held := l.accounts[program]
		switch used := held.used(); {
		case used >= held.newest.mark:
		case held.newest.grant == unbounded:
			l.proposeMark(program, held, used)
		default:
			l.proposeExact(program, held, 0)
		}
	}
}

// closeTenure removes the open record, unless programs of a former owner may
// still come back that the log does not know.
func (l *Ledger) closeTenure(now time.Time) {
	if l.tenure.closed || l.tenure.begun.IsZero() {
		return
	}
	l.tenure.closed = true
	if l.tenure.position == 0 && !l.tenure.inherited {
		return
	}
	if l.tenure.inherited && now.Sub(l.tenure.begun) <= l.window(l.tenure.retain) {
		if l.tenure.position > 0 {
			// What began here is in the log; what began before may not be.
			l.propose(openKey, []byte(openValue))
		}
		return
	}
	l.propose(openKey, nil)
}

// Inherited reports whether a former owner may have let programs begin that the
// log does not know.
func (l *Ledger) Inherited() bool { return l.tenure.inherited }

// window is how long after a takeover a program may still come back that a
// former owner let begin.
func (l *Ledger) window(retain time.Duration) time.Duration {
	return max(retain, l.tenure.retain) + l.config.Slack
}

// assumed is what a program that the log does not know may have used under a
// former owner.
func (l *Ledger) assumed(now time.Time, turn Turn) int {
	if !l.mayHaveBegun(now, turn) {
		return 0
	}
	assumed := l.unrecordedMost(turn)
	if l.tenure.again {
		assumed += l.againMost(turn)
	}
	return assumed
}

// mayHaveBegun reports whether a program that the log does not know may have begun under
// a former owner. The turn by which its budget may be exceeded was spent there then,
// also where nothing is assumed besides.
func (l *Ledger) mayHaveBegun(now time.Time, turn Turn) bool {
	return l.tenure.inherited && !l.tenure.begun.IsZero() && now.Sub(l.tenure.begun) <= l.window(turn.Retain)
}

// againMost is what a program may use unrecorded at an owner that followed a lost one.
func (l *Ledger) againMost(turn Turn) int {
	if turn.Budget < l.config.AgainBudget {
		return 0
	}
	return shareOf(turn, l.config.AgainShare)
}

// unrecordedMost is what a program may use before the log has its first mark,
// besides one turn.
func (l *Ledger) unrecordedMost(turn Turn) int { return shareOf(turn, l.config.UnrecordedShare) }

// shareOf is a share of a turn's budget, or nothing where it would not hold the turn:
// taken as used, it would leave a small budget without one.
func shareOf(turn Turn, share float64) int {
	tokens := int(share * float64(turn.Budget))
	if tokens < turn.Most {
		return 0
	}
	return tokens
}

// firstMark is the least first mark: all that a program may use before it. It
// leaves a token of the budget, since a mark that leaves none counts as spent.
func (l *Ledger) firstMark(turn Turn) int {
	if l.config.UnrecordedShare <= 0 {
		return 0
	}
	if l.tenure.inherited {
		return min(turn.Budget-1, l.unrecordedMost(turn)+max(turn.Most, l.againMost(turn)))
	}
	return min(turn.Budget-1, l.unrecordedMost(turn)+turn.Most)
}

// unrecordedUpTo is the need up to which a program may run unrecorded.
func (l *Ledger) unrecordedUpTo(turn Turn, held *account) int {
	switch {
	case !held.begunBefore:
		return l.unrecordedMost(turn) + turn.Most
	case l.tenure.again:
		return 0
	default:
		return held.assumed + l.againMost(turn)
	}
}

// runsUnrecorded reports whether a turn may hand out tokens although the log has
// no mark of its program: its need is at most the share and one turn. The turn
// beyond the share is the one by which a budget may be exceeded at a loss. Where
// the log has a mark of this owner, the need lies under it; a former owner's mark
// may lie lower. Where the use of a former owner's programs is assumed, the turn
// beyond the share was spent there, and a smaller share is left.
// What any of this owner's records would not cover waits: each may be the last that
// becomes durable.
func (l *Ledger) runsUnrecorded(now time.Time, turn Turn, held *account, grant uint64, need int) bool {
	if turn.Budget <= 0 || held.restored || need > l.unrecordedUpTo(turn, held) || !held.lowest.holds(grant, turn.Most, need) {
		return false
	}
	own := l.tenure
	if own.begun.IsZero() || own.closed || now.Sub(own.proven) > l.config.UnrecordedFor {
		return false
	}
	if own.inherited && !held.begunBefore {
		// The former owner's record stands, and covers as much.
		return true
	}
	return own.position <= l.durable
}
