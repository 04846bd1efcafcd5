package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// unboundedGrant is the cover of a record that bounds tokens alone.
	unboundedGrant = math.MaxUint64
	// maxListedTurns bounds the turns that one record lists, and with it the record's
	// size; with more under way the record bounds tokens alone.
	maxListedTurns = 64
	// takeoverSettlementSlack is how long after its end a turn may still be settled at an owner
	// that did not grant it: nodes repeat a settlement for that long, and look for
	// the new owner meanwhile.
	takeoverSettlementSlack = 6 * time.Second
	// lateSettlementWindow is how long a turn that counts at its most is remembered, so that
	// a settlement which comes later still corrects the count.
	lateSettlementWindow = 30 * time.Second
)

// allowance is what an account's record allows without a newer one: grants up to a number,
// of so many tokens each, and needs up to a mark.
type allowance struct {
	grant     uint64
	maxTokens int
	mark      int
}

// markAllowance is what a record allows that lists no turns.
func markAllowance(mark int) allowance {
	return allowance{grant: unboundedGrant, maxTokens: math.MaxInt, mark: mark}
}

func (a allowance) permits(grant uint64, maxTokens, need int) bool {
	return grant <= a.grant && maxTokens <= a.maxTokens && need <= a.mark
}

// intersect is what both records allow.
func (a allowance) intersect(other allowance) allowance {
	return allowance{grant: min(a.grant, other.grant), maxTokens: min(a.maxTokens, other.maxTokens), mark: min(a.mark, other.mark)}
}

// needsExactRecord reports whether an account's record is to list its turns: where each turn that
// ends well brings an append anyway, and where a budget is too small for a mark ahead
// of the need.
func (l *Ledger) needsExactRecord(turn Turn, acct *account, need int) bool {
	listed := len(acct.open) + len(acct.uncertain)
	return turn.Budget > 0 && listed <= maxListedTurns && (turn.Keeps || l.markHeadroom(turn, need) == 0)
}

// slotCount is how many turns beyond those under way may be granted without a newer record:
// one where the budget holds it, and more where they are a small share of the rest.
func (l *Ledger) slotCount(acct *account, need int) int {
	rest := acct.budget - need
	if acct.maxTokens <= 0 || rest < acct.maxTokens {
		return 0
	}
	share := int(float64(rest)*l.config.AheadShare) / acct.maxTokens
	return min(max(1, share), l.config.AheadTurns)
}

// proposeExact puts an account into the log as it is, with slots for turns that may
// follow without a record of theirs.
func (l *Ledger) proposeExact(program string, acct *account, slots int) {
	l.replaceAllowance(acct, allowance{grant: acct.lastGrant + uint64(slots), maxTokens: acct.maxTokens, mark: acct.maxUsed() + slots*acct.maxTokens})
	acct.lastRecordedGrant = acct.lastGrant
	acct.recordPosition = l.propose(accountPrefix+program, encode(acct.exactRecord(slots)))
}

// proposeMark puts an account's mark into the log.
func (l *Ledger) proposeMark(program string, acct *account, mark int) {
	l.replaceAllowance(acct, markAllowance(mark))
	acct.lastRecordedGrant = acct.lastGrant
	record := acct.record(mark)
	acct.recordPosition = l.propose(accountPrefix+program, encode(record))
}

// replaceAllowance notes what the newest record allows, and what the log allows until it
// has that one: no more than either.
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
}

// refreshRecord proposes an account's record in the batch of a turn that is kept. It stands
// before the turn, so that a turn which the log has is never in doubt.
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

// exactRecord is the record of an account as it is.
func (a *account) exactRecord(slots int) accountValue {
	record := a.record(a.newest.mark)
	record.Exact = &exactRecord{
		Settled: a.settledTokens, Presumed: a.presumedTokens, LastGrant: a.lastGrant, Slots: slots, SlotTokens: a.maxTokens, MaxDurationMS: a.maxDuration.Milliseconds(),
	}
	for _, id := range sortedKeys(a.open) {
		if listed := a.open[id]; !listed.presumed {
			record.Exact.Open = append(record.Exact.Open, listedValue{ID: id, Grant: listed.grant, MaxTokens: listed.maxTokens})
		}
	}
	for _, grant := range sortedKeys(a.uncertain) {
		if listed := a.uncertain[grant]; !listed.presumed {
			record.Exact.Open = append(record.Exact.Open, listedValue{Grant: grant, MaxTokens: listed.maxTokens})
		}
	}
	return record
}

// record is the part of a record that owners of all formats read.
func (a *account) record(mark int) accountValue {
	record := accountValue{Mark: mark, Assumed: a.assumedTokens, RetentionMS: a.retention.Milliseconds()}
	if a.mayHaveBegunBefore && a.assumedTokens == 0 {
		record.Assumed, record.NoneAssumed = 1, true
	}
	return record
}

// restoreAccount returns what a new owner knows of a program by its record. A turn that
// the former owner may have granted without a record is in doubt, as are those that the
// record lists: each until its end is told, or until nobody can tell it any more.
func restoreAccount(now time.Time, value *accountValue) *account {
	acct := newAccount()
	acct.restored, acct.lastActive = true, now
	acct.mayHaveBegunBefore = value.Assumed > 0
	if !value.NoneAssumed {
		acct.assumedTokens = value.Assumed
	}
	acct.retention = time.Duration(value.RetentionMS) * time.Millisecond
	acct.newest = markAllowance(value.Mark)
	exact := value.Exact
	if exact == nil {
		acct.settledTokens, acct.presumedTokens = value.Mark, value.Mark
		return acct
	}
	acct.settledTokens, acct.presumedTokens = exact.Settled, exact.Presumed
	acct.maxDuration = time.Duration(exact.MaxDurationMS) * time.Millisecond
	acct.lastGrant = exact.LastGrant + uint64(exact.Slots)
	acct.lastRecordedGrant = acct.lastGrant
	acct.newest.grant, acct.newest.maxTokens = acct.lastGrant, exact.SlotTokens
	expires := now.Add(acct.maxDuration + takeoverSettlementSlack)
	for _, listed := range exact.Open {
		reserved := reservation{grant: listed.Grant, maxTokens: listed.MaxTokens, expires: expires}
		if listed.ID != "" {
			acct.open[listed.ID] = reserved
			continue
		}
		acct.uncertain[listed.Grant] = reserved
	}
	for slot := range exact.Slots {
		grant := exact.LastGrant + 1 + uint64(slot)
		acct.uncertain[grant] = reservation{grant: grant, maxTokens: exact.SlotTokens, expires: expires}
	}
	return acct
}
