package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// unbounded is the cover of a record that bounds tokens alone.
	unbounded = math.MaxUint64
	// listedTurns bounds the turns that one record lists, and with it the record's
	// size; with more under way the record bounds tokens alone.
	listedTurns = 64
	// repeatSlack is how long after its end a turn may still be settled at an owner
	// that did not grant it: nodes repeat a settlement for that long, and look for
	// the new owner meanwhile.
	repeatSlack = 6 * time.Second
	// lateSettlement is how long a turn that counts at its most is remembered, so that
	// a settlement which comes later still corrects the count.
	lateSettlement = 30 * time.Second
)

// cover is what an account's record allows without a newer one: grants up to a number,
// of so many tokens each, and needs up to a mark.
type cover struct {
	grant uint64
	most  int
	mark  int
}

// markOnly is what a record allows that lists no turns.
func markOnly(mark int) cover { return cover{grant: unbounded, most: math.MaxInt, mark: mark} }

func (c cover) holds(grant uint64, most, need int) bool {
	return grant <= c.grant && most <= c.most && need <= c.mark
}

// least is what both records allow.
func (c cover) least(other cover) cover {
	return cover{grant: min(c.grant, other.grant), most: min(c.most, other.most), mark: min(c.mark, other.mark)}
}

// exact reports whether an account's record is to list its turns: where each turn that
// ends well brings an append anyway, and where a budget is too small for a mark ahead
// of the need.
func (l *Ledger) exact(turn Turn, held *account, need int) bool {
	listed := len(held.open) + len(held.doubts)
	return turn.Budget > 0 && listed <= listedTurns && (turn.Keeps || l.ahead(turn, need) == 0)
}

// slots is how many turns beyond those under way may be granted without a newer record:
// one where the budget holds it, and more where they are a small share of the rest.
func (l *Ledger) slots(held *account, need int) int {
	rest := held.budget - need
	if held.most <= 0 || rest < held.most {
		return 0
	}
	share := int(float64(rest)*l.config.AheadShare) / held.most
	return min(max(1, share), l.config.AheadTurns)
}

// proposeExact puts an account into the log as it is, with slots for turns that may
// follow without a record of theirs.
func (l *Ledger) proposeExact(program string, held *account, slots int) {
	l.replaceCover(held, cover{grant: held.granted + uint64(slots), most: held.most, mark: held.used() + slots*held.most})
	held.recorded = held.granted
	held.position = l.propose(accountPrefix+program, encode(held.exactValue(slots)))
}

// proposeMark puts an account's mark into the log.
func (l *Ledger) proposeMark(program string, held *account, mark int) {
	l.replaceCover(held, markOnly(mark))
	held.recorded = held.granted
	value := held.value(mark)
	held.position = l.propose(accountPrefix+program, encode(value))
}

// replaceCover notes what the newest record allows, and what the log allows until it
// has that one: no more than either.
func (l *Ledger) replaceCover(held *account, newest cover) {
	if held.position == 0 {
		held.lowest = newest
	}
	held.lowest = held.lowest.least(newest)
	if held.position <= l.durable {
		held.durable = held.newest
	}
	held.durable = held.durable.least(newest)
	held.newest = newest
}

// renew proposes an account's record in the batch of a turn that is kept. It stands
// before the turn, so that a turn which the log has is never in doubt.
func (l *Ledger) renew(now time.Time, program string) {
	held := l.accounts[program]
	if held == nil || held.newest.grant == unbounded || held.position == 0 {
		return
	}
	held.expire(now)
	if len(held.open)+len(held.doubts) <= listedTurns {
		l.proposeExact(program, held, l.slots(held, held.used()))
	}
}

func sortedKeys[K cmp.Ordered](turns map[K]reservation) []K { return slices.Sorted(maps.Keys(turns)) }

// exactValue is the record of an account as it is.
func (a *account) exactValue(slots int) accountValue {
	value := a.value(a.newest.mark)
	value.Exact = &exactValue{
		Settled: a.settled, Presumed: a.presumed, Granted: a.granted, Slots: slots, SlotMost: a.most, WithinMS: a.within.Milliseconds(),
	}
	for _, id := range sortedKeys(a.open) {
		if one := a.open[id]; !one.lapsed {
			value.Exact.Open = append(value.Exact.Open, listedValue{ID: id, Grant: one.grant, Most: one.most})
		}
	}
	for _, grant := range sortedKeys(a.doubts) {
		if one := a.doubts[grant]; !one.lapsed {
			value.Exact.Open = append(value.Exact.Open, listedValue{Grant: grant, Most: one.most})
		}
	}
	return value
}

// value is the part of a record that owners of all formats read.
func (a *account) value(mark int) accountValue {
	value := accountValue{Mark: mark, Assumed: a.assumed, RetainMS: a.retain.Milliseconds()}
	if a.begunBefore && a.assumed == 0 {
		value.Assumed, value.NoneAssumed = 1, true
	}
	return value
}

// restoreAccount returns what a new owner knows of a program by its record. A turn that
// the former owner may have granted without a record is in doubt, as are those that the
// record lists: each until its end is told, or until nobody can tell it any more.
func restoreAccount(now time.Time, value *accountValue) *account {
	held := newAccount()
	held.restored, held.touched = true, now
	held.begunBefore = value.Assumed > 0
	if !value.NoneAssumed {
		held.assumed = value.Assumed
	}
	held.retain = time.Duration(value.RetainMS) * time.Millisecond
	held.newest = markOnly(value.Mark)
	exact := value.Exact
	if exact == nil {
		held.settled, held.presumed = value.Mark, value.Mark
		return held
	}
	held.settled, held.presumed = exact.Settled, exact.Presumed
	held.within = time.Duration(exact.WithinMS) * time.Millisecond
	held.granted = exact.Granted + uint64(exact.Slots)
	held.recorded = held.granted
	held.newest.grant, held.newest.most = held.granted, exact.SlotMost
	expires := now.Add(held.within + repeatSlack)
	for _, one := range exact.Open {
		reserved := reservation{grant: one.Grant, most: one.Most, expires: expires}
		if one.ID != "" {
			held.open[one.ID] = reserved
			continue
		}
		held.doubts[one.Grant] = reserved
	}
	for slot := range exact.Slots {
		grant := exact.Granted + 1 + uint64(slot)
		held.doubts[grant] = reservation{grant: grant, most: exact.SlotMost, expires: expires}
	}
	return held
}
