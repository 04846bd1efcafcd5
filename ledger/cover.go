package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// unboundedGrant is the grant number of an allowance that only limits tokens.
	unboundedGrant = math.MaxUint64
	// maxListedTurns limits the turns that one record lists, and thereby the record's
	// size. With more open turns the record only limits tokens.
	maxListedTurns = 64
	// takeoverSettlementSlack is how long after its timeout a turn may be settled at an
	// owner that did not grant it: nodes search for the new owner meanwhile.
	takeoverSettlementSlack = 6 * time.Second
	// LateSettlementWindow is how long a turn that was counted at its maximum is
	// retained, so that a later settlement still corrects the count. Nodes repeat a
	// settlement for as long, since an owner may be paused.
	LateSettlementWindow = 30 * time.Second
)

// allowance is what an account's record allows without a newer one: grants up to a
// number, each of at most maxTokens, as long as the total stays within the mark.
type allowance struct {
	grant     uint64
	maxTokens int
	mark      int
}

// markAllowance returns what a record allows that holds only a mark.
func markAllowance(mark int) allowance {
	return allowance{grant: unboundedGrant, maxTokens: math.MaxInt, mark: mark}
}

func (a allowance) permits(grant uint64, maxTokens, need int) bool {
	return grant <= a.grant && maxTokens <= a.maxTokens && need <= a.mark
}

// intersect returns what both records allow.
func (a allowance) intersect(other allowance) allowance {
	return allowance{grant: min(a.grant, other.grant), maxTokens: min(a.maxTokens, other.maxTokens), mark: min(a.mark, other.mark)}
}

// needsExactRecord reports whether an account's record is to list its open turns: if each
// successful turn causes an append anyway, or if the budget is too small to raise a mark
// ahead of need.
func (l *Ledger) needsExactRecord(turn Turn, acct *account, need int) bool {
	listed := len(acct.open) + len(acct.uncertain)
	return turn.Budget > 0 && listed <= maxListedTurns && (turn.StoreOnSuccess || l.markHeadroom(turn, need) == 0)
}

// slotCount returns how many turns besides the open ones may be granted without a newer
// record: one if the budget holds it, and more if they are a small share of the rest.
func (l *Ledger) slotCount(acct *account, need int) int {
	rest := acct.budget - need
	if acct.maxTokens <= 0 || rest < acct.maxTokens {
		return 0
	}
	share := int(float64(rest)*l.config.MarkAheadShare) / acct.maxTokens
	return min(max(1, share), l.config.MarkAheadTurns)
}

// proposeExact proposes an exact record of the account, with slots for turns that may be
// granted without a record of their own.
func (l *Ledger) proposeExact(program string, acct *account, slots int) {
	l.replaceAllowance(acct, allowance{grant: acct.lastGrant + uint64(slots), maxTokens: acct.maxTokens, mark: acct.maxUsed() + slots*acct.maxTokens})
	acct.lastRecordedGrant = acct.lastGrant
	acct.recordPosition = l.propose(accountPrefix+program, encode(acct.exactRecord(slots, l.ownership.id)))
}

// proposeMark proposes a record that holds the account's mark.
func (l *Ledger) proposeMark(program string, acct *account, mark int) {
	l.replaceAllowance(acct, markAllowance(mark))
	acct.lastRecordedGrant = acct.lastGrant
	record := acct.record(mark, l.ownership.id)
	acct.recordPosition = l.propose(accountPrefix+program, encode(record))
}

// replaceAllowance records what the newest record allows. Until the log has that record,
// only what both it and the durable one allow is certain.
func (l *Ledger) replaceAllowance(acct *account, newest allowance) {
	if acct.recordPosition == 0 {
		acct.common = newest
	}
	acct.common = acct.common.intersect(newest)
	if acct.recordPosition <= l.durable {
		acct.durable = acct.newest
	}
	acct.durable = acct.durable.intersect(newest)
	acct.newest = newest
	if id := l.ownership.id; id != "" && !slices.Contains(acct.writers, id) {
		acct.writers = append(acct.writers, id)
	}
}

// refreshRecord proposes an account's exact record in the batch of a stored turn. It
// comes before the turn, so that a turn that is in the log is never an uncertain one.
func (l *Ledger) refreshRecord(now time.Time, program string) {
	acct := l.accounts[program]
	if acct == nil || acct.newest.grant == unboundedGrant || acct.recordPosition == 0 {
		return
	}
	acct.expire(now)
	if len(acct.open)+len(acct.uncertain) <= maxListedTurns {
		l.proposeExact(program, acct, l.slotCount(acct, acct.maxUsed()))
	}
}

func sortedKeys[K cmp.Ordered](turns map[K]reservation) []K { return slices.Sorted(maps.Keys(turns)) }

// exactRecord returns the exact record of the account.
func (a *account) exactRecord(slots int, writer string) accountValue {
	record := a.record(a.newest.mark, writer)
	record.Exact = &exactRecord{
		Settled: a.settledTokens, Presumed: a.presumedTokens, LastGrant: a.lastGrant, Slots: slots, SlotTokens: a.maxTokens, MaxDurationMS: a.maxDuration.Milliseconds(),
		Open: a.list(func(reserved reservation) bool { return !reserved.presumed }),
	}
	return record
}

// list lists those of the turns that are not settled which include selects.
func (a *account) list(include func(reservation) bool) (open []listedValue) {
	for _, id := range sortedKeys(a.open) {
		if listed := a.open[id]; include(listed) {
			open = append(open, listedValue{ID: id, Grant: listed.grant, MaxTokens: listed.maxTokens})
		}
	}
	for _, grant := range sortedKeys(a.uncertain) {
		if listed := a.uncertain[grant]; include(listed) {
			open = append(open, listedValue{Grant: grant, MaxTokens: listed.maxTokens})
		}
	}
	return open
}

// reserveListed reserves listed turns of a previous owner, except those that are reserved
// already. reconciled reports that a FormerState lists them.
func (a *account) reserveListed(open []listedValue, expires time.Time, reconciled bool) {
	for _, listed := range open {
		reserved := reservation{grant: listed.Grant, maxTokens: listed.MaxTokens, expires: expires, inherited: true, reconciled: reconciled}
		switch _, found := a.open[listed.ID]; {
		case found:
		case listed.ID != "":
			a.open[listed.ID] = reserved
		default:
			a.uncertain[listed.Grant] = reserved
		}
	}
}

// record returns the part of a record that owners of all formats read.
func (a *account) record(mark int, writer string) accountValue {
	record := accountValue{Mark: mark, Assumed: a.assumedTokens, RetentionMS: a.retention.Milliseconds(), Writer: writer}
	if a.mayHaveStartedBefore && a.assumedTokens == 0 {
		record.Assumed, record.NoneAssumed = 1, true
	}
	return record
}

// noteRestored notes the state of a restored account, for Reconcile.
func (a *account) noteRestored(writer string) {
	a.restoredWriter = writer
	if writer != "" {
		a.writers = []string{writer}
	}
	a.restoredSettled, a.restoredPresumed, a.restoredCount = a.settledTokens, a.presumedTokens, a.inheritedCount()
}

// restoreAccount returns the account that a new owner derives from a record. The turns
// that the record lists, and those that the previous owner may have granted from its
// slots, stay reserved until they are settled or the time to settle them is over.
func restoreAccount(now time.Time, value *accountValue) *account {
	acct := newAccount()
	acct.restored, acct.lastActive = true, now
	acct.mayHaveStartedBefore = value.Assumed > 0
	if !value.NoneAssumed {
		acct.assumedTokens = value.Assumed
	}
	acct.retention = time.Duration(value.RetentionMS) * time.Millisecond
	acct.newest = markAllowance(value.Mark)
	defer func() { acct.noteRestored(value.Writer) }()
	exact := value.Exact
	if exact == nil {
		acct.settledTokens, acct.presumedTokens = value.Mark, value.Mark
		acct.markedTokens = value.Mark - acct.assumedTokens
		return acct
	}
	acct.settledTokens, acct.presumedTokens = exact.Settled, exact.Presumed
	acct.maxDuration = time.Duration(exact.MaxDurationMS) * time.Millisecond
	acct.lastGrant = exact.LastGrant + uint64(exact.Slots)
	acct.lastRecordedGrant = acct.lastGrant
	acct.newest.grant, acct.newest.maxTokens = acct.lastGrant, exact.SlotTokens
	expires := now.Add(acct.maxDuration + takeoverSettlementSlack)
	acct.reserveListed(exact.Open, expires, false)
	for slot := range exact.Slots {
		grant := exact.LastGrant + 1 + uint64(slot)
		acct.uncertain[grant] = reservation{grant: grant, maxTokens: exact.SlotTokens, expires: expires, inherited: true}
	}
	return acct
}
