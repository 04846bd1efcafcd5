package ledger

import "time"

// Verdict is the answer to Admit.
type Verdict string

// The verdicts.
const (
	// VerdictGranted lets the turn run.
	VerdictGranted Verdict = "granted"
	// VerdictExhausted says that the budget does not hold one more turn.
	VerdictExhausted Verdict = "exhausted"
	// VerdictBusy says that the budget might hold the turn once the program's
	// other turns have ended.
	VerdictBusy Verdict = "busy"
)

// Turn asks for a turn of a program.
type Turn struct {
	ID      string `json:"id"`
	Program string `json:"program"`
	// Unscoped is what the program's account stands under if it was opened before
	// ids had a scope, or "".
	Unscoped string `json:"unscoped,omitempty"`
	// Session is the line of turns that the turn belongs to.
	Session string `json:"session,omitempty"`
	// Most is the most tokens that the turn generates; Budget what all turns
	// of the program may. A Budget of 0 sets none.
	Most   int `json:"most"`
	Budget int `json:"budget"`
	// Within is when the turn is over at the latest, from now.
	Within time.Duration `json:"within"`
	// Retain is how long the program's account is kept after its last turn.
	Retain time.Duration `json:"retain"`
	// Keeps says that the turn is kept if it ends well: then the log has an append
	// to bring the account along.
	Keeps bool `json:"keeps,omitempty"`
}

// Admission is a verdict with its reasons.
type Admission struct {
	Verdict Verdict `json:"verdict"`
	// Position must be durable before any token reaches the client; 0 where
	// nothing has to be.
	Position uint64 `json:"position,omitempty"`
	// Grant numbers the grant among those of the program.
	Grant uint64 `json:"grant,omitempty"`
	// Replica served the line of turns last, or "", and Kept is how many tokens of
	// the line it had in its memory then; 0 where that is not known.
	Replica string `json:"replica,omitempty"`
	Kept    int    `json:"kept,omitempty"`
	// Settled and Open are the tokens that were used and those that turns
	// under way may still use, before this turn.
	Settled int `json:"settled"`
	Open    int `json:"open"`
	// Fresh says that no turn of the program has been served yet, as far as
	// this owner knows.
	Fresh bool `json:"fresh,omitempty"`
	// Again says that the turn was under way already.
	Again bool `json:"-"`
}

// account is what is known of one program.
type account struct {
	// settled counts the tokens of turns that are over, at their most where
	// that is all that is known. presumed is the part of it that is not known.
	settled  int
	presumed int
	// open are the turns under way, by id, and doubts those that a former owner may
	// have granted without a record, by the number of their grant.
	open   map[string]reservation
	doubts map[uint64]reservation
	// granted is the number of the last grant, and recorded that of the last grant
	// before the newest record. Numbers are unique over all owners of the program.
	granted  uint64
	recorded uint64
	// assumed is the part of settled that was assumed of a former owner, and
	// begunBefore says that the program may have begun there although the log did not
	// know it. restored says that the account is a former owner's.
	assumed     int
	begunBefore bool
	restored    bool
	// newest is what the newest record allows, which was proposed at position; lowest
	// what every record of this owner does, and durable what the log is certain to
	// allow.
	newest   cover
	lowest   cover
	durable  cover
	position uint64
	// budget and most are those of the last turn, and within is the longest time of
	// any.
	budget int
	most   int
	within time.Duration
	// replicas served the program's lines of turns last, by session.
	replicas map[string]servedBy
	touched  time.Time
	retain   time.Duration
}

func newAccount() *account {
	return &account{open: make(map[string]reservation), doubts: make(map[uint64]reservation)}
}

// servedBy is the replica that served a line of turns last, and how many of the line's
// tokens it had in its memory then.
type servedBy struct {
	replica string
	kept    int
}

// reservation is what a turn may use whose end was not told.
type reservation struct {
	grant   uint64
	most    int
	expires time.Time
	// lapsed says that the time to tell it is over: the turn counts as settled, at
	// its most.
	lapsed bool
}

// underWay counts the turns whose end may be told in time.
func (a *account) underWay() int {
	count := 0
	for _, reserved := range a.open {
		if !reserved.lapsed {
			count++
		}
	}
	for _, reserved := range a.doubts {
		if !reserved.lapsed {
			count++
		}
	}
	return count
}

func (a *account) openTokens() int {
	total := 0
	for _, reserved := range a.open {
		if !reserved.lapsed {
			total += reserved.most
		}
	}
	for _, reserved := range a.doubts {
		if !reserved.lapsed {
			total += reserved.most
		}
	}
	return total
}

// used is the most that the program may have used.
func (a *account) used() int { return a.settled + a.openTokens() }

// expire counts the turns whose end was never told at their most.
func (a *account) expire(now time.Time) {
	expireAll(now, a, a.open)
	expireAll(now, a, a.doubts)
}

func expireAll[K comparable](now time.Time, a *account, turns map[K]reservation) {
	for key, reserved := range turns {
		switch {
		case now.After(reserved.expires.Add(lateSettlement)):
			if !reserved.lapsed {
				a.presume(reserved.most)
			}
			delete(turns, key)
		case !reserved.lapsed && now.After(reserved.expires):
			a.presume(reserved.most)
			reserved.lapsed = true
			turns[key] = reserved
		}
	}
}

func (a *account) presume(tokens int) {
	a.settled += tokens
	a.presumed += tokens
}

// limit is what all turns of the program may use: its budget, and less than one
// turn more where a former owner's mark counts as used, of which a part was not,
// and leaves anything of the budget. The turn by which a loss may exceed a budget
// is spent already where use is assumed.
func (l *Ledger) limit(turn Turn, held *account) int {
	if l.config.TurnAfterLoss && held.restored && !held.begunBefore {
		return turn.Budget + turn.Most - 1
	}
	return turn.Budget
}

// settlementSlack is how long after its end a turn may still be settled.
const settlementSlack = 2 * time.Second

// Admit decides whether the turn may run, and reserves its most if so. The same
// turn may be asked for again.
func (l *Ledger) Admit(now time.Time, turn Turn) Admission {
	held := l.accounts[turn.Program]
	if held == nil {
		held = l.openAccount(now, turn)
	}
	held.note(now, turn)
	held.expire(now)
	open := held.openTokens()
	served := held.replicas[turn.Session]
	admission := Admission{Verdict: VerdictGranted, Replica: served.replica, Kept: served.kept, Settled: held.settled, Open: open}
	admission.Fresh = len(held.replicas) == 0 && open == 0 && held.settled == held.assumed && !held.restored
	if again, known := held.open[turn.ID]; known && !again.lapsed {
		admission.Again, admission.Grant = true, again.grant
		admission.Position = l.waitsFor(now, turn, held, again.grant, held.settled+open)
		return admission
	}
	if verdict := l.judge(now, turn, held, open); verdict != VerdictGranted {
		admission.Verdict = verdict
		return admission
	}
	held.granted++
	held.open[turn.ID] = reservation{grant: held.granted, most: turn.Most, expires: now.Add(turn.Within + settlementSlack)}
	need := held.settled + open + turn.Most
	l.markOpen()
	l.raise(turn, held, need)
	admission.Grant = held.granted
	admission.Position = l.waitsFor(now, turn, held, held.granted, need)
	return admission
}

// openAccount begins the account of a program that is not known here. Its grants are
// numbered from the present on, so that those of an owner that the log lost have other
// numbers.
func (l *Ledger) openAccount(now time.Time, turn Turn) *account {
	held := newAccount()
	held.assumed, held.begunBefore = l.assumed(now, turn), l.mayHaveBegun(now, turn)
	held.presume(held.assumed)
	held.granted = uint64(max(0, now.UnixMicro()))
	l.accounts[turn.Program] = held
	return held
}

// note takes in what a turn tells of its program.
func (a *account) note(now time.Time, turn Turn) {
	a.touched = now
	a.retain = max(a.retain, turn.Retain)
	a.within = max(a.within, turn.Within)
	a.budget, a.most = turn.Budget, turn.Most
}

// judge decides whether the budget holds one more turn. It is spent only where that is
// certain: while the end of a turn may still be told, one that does not fit is to come
// back.
func (l *Ledger) judge(now time.Time, turn Turn, held *account, open int) Verdict {
	limit := l.limit(turn, held)
	known := held.settled - held.presumed
	switch {
	case turn.Budget <= 0:
		return VerdictGranted
	case known+turn.Most > turn.Budget || held.settled+turn.Most > limit:
		return VerdictExhausted
	case held.settled+open+l.unscoped(now, turn)+turn.Most > limit:
		return VerdictBusy
	default:
		return VerdictGranted
	}
}

// unscoped is what the account of a former format holds that may be the program's, or
// that of another tenant's program of the same name: no turn is granted from it, and
// none is told for good that its budget is spent because of it.
func (l *Ledger) unscoped(now time.Time, turn Turn) int {
	former := l.accounts[turn.Unscoped]
	if turn.Unscoped == "" || former == nil {
		return 0
	}
	former.expire(now)
	return former.settled + former.openTokens()
}

// waitsFor returns what must be durable before a token of the turn may reach
// the client, or 0.
func (l *Ledger) waitsFor(now time.Time, turn Turn, held *account, grant uint64, need int) uint64 {
	if held.position <= l.durable || held.durable.holds(grant, turn.Most, need) || l.runsUnrecorded(now, turn, held, grant, need) {
		return 0
	}
	return held.position
}

// raise proposes a record that covers the turn, where the newest does not.
func (l *Ledger) raise(turn Turn, held *account, need int) {
	if held.newest.holds(held.granted, turn.Most, need) {
		return
	}
	if l.exact(turn, held, need) {
		l.proposeExact(turn.Program, held, l.slots(held, need))
		return
	}
	mark := need + l.ahead(turn, need)
	if held.newest.mark == 0 {
		// What a program may use before its first mark is covered by it.
		mark = max(mark, l.firstMark(turn))
	}
	l.proposeMark(turn.Program, held, mark)
}

// ahead is how far a mark is raised beyond what is needed: by a share of what
// the budget still holds and by some turns at most, and so that one more turn
// fits into the budget if the mark counts as used.
func (l *Ledger) ahead(turn Turn, need int) int {
	if turn.Budget == 0 {
		return turn.Most
	}
	rest := turn.Budget - need
	share := int(float64(rest) * l.config.AheadShare)
	return max(0, min(share, l.config.AheadTurns*turn.Most, rest-turn.Most))
}

// Settlement tells how a turn ended.
type Settlement struct {
	Turn    string `json:"turn"`
	Program string `json:"program"`
	Session string `json:"session,omitempty"`
	// Grant is the number of the turn's grant; 0 where that is not known.
	Grant uint64 `json:"grant,omitempty"`
	// Tokens are those that were handed to the client.
	Tokens int `json:"tokens"`
	// Replica served the turn, or "" where none keeps its memory, and Kept is how many
	// tokens it has in its memory of the prompt and of what it generated.
	Replica string `json:"replica,omitempty"`
	Kept    int    `json:"kept,omitempty"`
}

// Settle counts what a turn used. A turn that this ledger did not admit was
// counted at its most by the former owner's mark.
func (l *Ledger) Settle(now time.Time, settlement Settlement) {
	held := l.accounts[settlement.Program]
	if held == nil {
		return
	}
	held.touched = now
	if settlement.Replica != "" {
		if held.replicas == nil {
			held.replicas = make(map[string]servedBy)
		}
		held.replicas[settlement.Session] = servedBy{replica: settlement.Replica, kept: settlement.Kept}
	}
	l.end(now, held, settlement)
}

// end counts the turn of a settlement. One that is not under way here was counted, or
// is covered by what a former owner recorded.
func (l *Ledger) end(now time.Time, held *account, settlement Settlement) {
	reserved, open := held.open[settlement.Turn]
	if !open {
		l.endDoubt(held, settlement)
		return
	}
	delete(held.open, settlement.Turn)
	held.count(reserved, settlement.Tokens)
	if settlement.Tokens == 0 && reserved.grant == held.granted && reserved.grant > held.recorded {
		// The turn ran nowhere, and no record names it: the next has its number.
		held.granted--
	}
	l.recordEnd(now, settlement.Program, held)
}

// endDoubt counts a turn that a former owner granted without a record. One that used
// nothing leaves the doubt: the former owner may have given its number to the next.
func (l *Ledger) endDoubt(held *account, settlement Settlement) {
	reserved, doubted := held.doubts[settlement.Grant]
	if !doubted || settlement.Tokens == 0 {
		return
	}
	delete(held.doubts, settlement.Grant)
	held.count(reserved, settlement.Tokens)
}

// count replaces what was reserved by what was used.
func (a *account) count(reserved reservation, tokens int) {
	if reserved.lapsed {
		a.settled -= reserved.most
		a.presumed -= reserved.most
	}
	a.settled += min(tokens, reserved.most)
}

// recordEnd proposes an account's record where its newest one is still queued, which
// costs no append, and where that would leave a new owner no budget for another turn.
func (l *Ledger) recordEnd(now time.Time, program string, held *account) {
	spent := held.restored && held.newest.mark >= held.budget && held.used() < held.budget
	if spent || l.queues(accountPrefix+program) {
		l.renew(now, program)
	}
}
