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
	// settledTokens counts the tokens of turns that are over, at their most where
	// that is all that is known. presumed is the part of it that is not known.
	settledTokens  int
	presumedTokens int
	// open are the turns under way, by id, and doubts those that a former owner may
	// have granted without a record, by the number of their grant.
	open      map[string]reservation
	uncertain map[uint64]reservation
	// lastGrant is the number of the last grant, and recorded that of the last grant
	// before the newest record. Numbers are unique over all owners of the program.
	lastGrant         uint64
	lastRecordedGrant uint64
	// assumedTokens is the part of settled that was assumed of a former owner, and
	// begunBefore says that the program may have begun there although the log did not
	// know it. restored says that the account is a former owner's.
	assumedTokens      int
	mayHaveBegunBefore bool
	restored           bool
	// newest is what the newest record allows, which was proposed at position; lowest
	// what every record of this owner does, and durable what the log is certain to
	// allow.
	newest         allowance
	common         allowance
	durable        allowance
	recordPosition uint64
	// budget and most are those of the last turn, and within is the longest time of
	// any.
	budget      int
	maxTokens   int
	maxDuration time.Duration
	// replicas served the program's lines of turns last, by session.
	replicas   map[string]servedBy
	lastActive time.Time
	retention  time.Duration
}

func newAccount() *account {
	return &account{open: make(map[string]reservation), uncertain: make(map[uint64]reservation)}
}

// servedBy is the replica that served a line of turns last, and how many of the line's
// tokens it had in its memory then.
type servedBy struct {
	replica      string
	cachedTokens int
}

// reservation is what a turn may use whose end was not told.
type reservation struct {
	grant     uint64
	maxTokens int
	expires   time.Time
	// presumed says that the time to tell it is over: the turn counts as settled, at
	// its most.
	presumed bool
}

// openCount counts the turns whose end may be told in time.
func (a *account) openCount() int {
	count := 0
	for _, reserved := range a.open {
		if !reserved.presumed {
			count++
		}
	}
	for _, reserved := range a.uncertain {
		if !reserved.presumed {
			count++
		}
	}
	return count
}

func (a *account) openTokens() int {
	total := 0
	for _, reserved := range a.open {
		if !reserved.presumed {
			total += reserved.maxTokens
		}
	}
	for _, reserved := range a.uncertain {
		if !reserved.presumed {
			total += reserved.maxTokens
		}
	}
	return total
}

// maxUsed is the most that the program may have used.
func (a *account) maxUsed() int { return a.settledTokens + a.openTokens() }

// expire counts the turns whose end was never told at their most.
func (a *account) expire(now time.Time) {
	expireReservations(now, a, a.open)
	expireReservations(now, a, a.uncertain)
}

func expireReservations[K comparable](now time.Time, a *account, turns map[K]reservation) {
	for key, reserved := range turns {
		switch {
		case now.After(reserved.expires.Add(lateSettlementWindow)):
			if !reserved.presumed {
				a.addPresumed(reserved.maxTokens)
			}
			delete(turns, key)
		case !reserved.presumed && now.After(reserved.expires):
			a.addPresumed(reserved.maxTokens)
			reserved.presumed = true
			turns[key] = reserved
		}
	}
}

func (a *account) addPresumed(tokens int) {
	a.settledTokens += tokens
	a.presumedTokens += tokens
}

// tokenLimit is what all turns of the program may use: its budget, and less than one
// turn more where a former owner's mark counts as used, of which a part was not,
// and leaves anything of the budget. The turn by which a loss may exceed a budget
// is spent already where use is assumed.
func (l *Ledger) tokenLimit(turn Turn, acct *account) int {
	if l.config.TurnAfterLoss && acct.restored && !acct.mayHaveBegunBefore {
		return turn.Budget + turn.Most - 1
	}
	return turn.Budget
}

// settlementSlack is how long after its end a turn may still be settled.
const settlementSlack = 2 * time.Second

// Admit decides whether the turn may run, and reserves its most if so. The same
// turn may be asked for again.
func (l *Ledger) Admit(now time.Time, turn Turn) Admission {
	acct := l.accounts[turn.Program]
	if acct == nil {
		acct = l.openAccount(now, turn)
	}
	acct.updateFrom(now, turn)
	acct.expire(now)
	open := acct.openTokens()
	served := acct.replicas[turn.Session]
	admission := Admission{Verdict: VerdictGranted, Replica: served.replica, Kept: served.cachedTokens, Settled: acct.settledTokens, Open: open}
	admission.Fresh = len(acct.replicas) == 0 && open == 0 && acct.settledTokens == acct.assumedTokens && !acct.restored
	if repeated, found := acct.open[turn.ID]; found && !repeated.presumed {
		admission.Again, admission.Grant = true, repeated.grant
		admission.Position = l.requiredPosition(now, turn, acct, repeated.grant, acct.settledTokens+open)
		return admission
	}
	if verdict := l.decide(now, turn, acct, open); verdict != VerdictGranted {
		admission.Verdict = verdict
		return admission
	}
	acct.lastGrant++
	acct.open[turn.ID] = reservation{grant: acct.lastGrant, maxTokens: turn.Most, expires: now.Add(turn.Within + settlementSlack)}
	need := acct.settledTokens + open + turn.Most
	l.proposeOpenRecord()
	l.ensureRecorded(turn, acct, need)
	admission.Grant = acct.lastGrant
	admission.Position = l.requiredPosition(now, turn, acct, acct.lastGrant, need)
	return admission
}

// openAccount begins the account of a program that is not known here. Its grants are
// numbered from the present on, so that those of an owner that the log lost have other
// numbers.
func (l *Ledger) openAccount(now time.Time, turn Turn) *account {
	acct := newAccount()
	acct.assumedTokens, acct.mayHaveBegunBefore = l.assumedTokens(now, turn), l.mayHaveBegun(now, turn)
	acct.addPresumed(acct.assumedTokens)
	acct.lastGrant = uint64(max(0, now.UnixMicro()))
	l.accounts[turn.Program] = acct
	return acct
}

// updateFrom takes in what a turn tells of its program.
func (a *account) updateFrom(now time.Time, turn Turn) {
	a.lastActive = now
	a.retention = max(a.retention, turn.Retain)
	a.maxDuration = max(a.maxDuration, turn.Within)
	a.budget, a.maxTokens = turn.Budget, turn.Most
}

// decide decides whether the budget holds one more turn. It is spent only where that is
// certain: while the end of a turn may still be told, one that does not fit is to come
// back.
func (l *Ledger) decide(now time.Time, turn Turn, acct *account, open int) Verdict {
	tokenLimit := l.tokenLimit(turn, acct)
	certain := acct.settledTokens - acct.presumedTokens
	switch {
	case turn.Budget <= 0:
		return VerdictGranted
	case certain+turn.Most > turn.Budget || acct.settledTokens+turn.Most > tokenLimit:
		return VerdictExhausted
	case acct.settledTokens+open+l.unscopedTokens(now, turn)+turn.Most > tokenLimit:
		return VerdictBusy
	default:
		return VerdictGranted
	}
}

// unscopedTokens is what the account of a former format holds that may be the program's, or
// that of another tenant's program of the same name: no turn is granted from it, and
// none is told for good that its budget is spent because of it.
func (l *Ledger) unscopedTokens(now time.Time, turn Turn) int {
	legacy := l.accounts[turn.Unscoped]
	if turn.Unscoped == "" || legacy == nil {
		return 0
	}
	legacy.expire(now)
	return legacy.settledTokens + legacy.openTokens()
}

// requiredPosition returns what must be durable before a token of the turn may reach
// the client, or 0.
func (l *Ledger) requiredPosition(now time.Time, turn Turn, acct *account, grant uint64, need int) uint64 {
	if acct.recordPosition <= l.durable || acct.durable.permits(grant, turn.Most, need) || l.mayRunUnrecorded(now, turn, acct, grant, need) {
		return 0
	}
	return acct.recordPosition
}

// ensureRecorded proposes a record that covers the turn, where the newest does not.
func (l *Ledger) ensureRecorded(turn Turn, acct *account, need int) {
	if acct.newest.permits(acct.lastGrant, turn.Most, need) {
		return
	}
	if l.needsExactRecord(turn, acct, need) {
		l.proposeExact(turn.Program, acct, l.slotCount(acct, need))
		return
	}
	mark := need + l.markHeadroom(turn, need)
	if acct.newest.mark == 0 {
		// What a program may use before its first mark is covered by it.
		mark = max(mark, l.minFirstMark(turn))
	}
	l.proposeMark(turn.Program, acct, mark)
}

// markHeadroom is how far a mark is raised beyond what is needed: by a share of what
// the budget still holds and by some turns at most, and so that one more turn
// fits into the budget if the mark counts as used.
func (l *Ledger) markHeadroom(turn Turn, need int) int {
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
	acct := l.accounts[settlement.Program]
	if acct == nil {
		return
	}
	acct.lastActive = now
	if settlement.Replica != "" {
		if acct.replicas == nil {
			acct.replicas = make(map[string]servedBy)
		}
		acct.replicas[settlement.Session] = servedBy{replica: settlement.Replica, cachedTokens: settlement.Kept}
	}
	l.settleTurn(now, acct, settlement)
}

// settleTurn counts the turn of a settlement. One that is not under way here was counted, or
// is covered by what a former owner recorded.
func (l *Ledger) settleTurn(now time.Time, acct *account, settlement Settlement) {
	reserved, open := acct.open[settlement.Turn]
	if !open {
		l.settleUncertain(acct, settlement)
		return
	}
	delete(acct.open, settlement.Turn)
	acct.applyUsage(reserved, settlement.Tokens)
	if settlement.Tokens == 0 && reserved.grant == acct.lastGrant && reserved.grant > acct.lastRecordedGrant {
		// The turn ran nowhere, and no record names it: the next has its number.
		acct.lastGrant--
	}
	l.recordSettlement(now, settlement.Program, acct)
}

// settleUncertain counts a turn that a former owner granted without a record. One that used
// nothing leaves the doubt: the former owner may have given its number to the next.
func (l *Ledger) settleUncertain(acct *account, settlement Settlement) {
	reserved, found := acct.uncertain[settlement.Grant]
	if !found || settlement.Tokens == 0 {
		return
	}
	delete(acct.uncertain, settlement.Grant)
	acct.applyUsage(reserved, settlement.Tokens)
}

// applyUsage replaces what was reserved by what was used.
func (a *account) applyUsage(reserved reservation, tokens int) {
	if reserved.presumed {
		a.settledTokens -= reserved.maxTokens
		a.presumedTokens -= reserved.maxTokens
	}
	a.settledTokens += min(tokens, reserved.maxTokens)
}

// recordSettlement proposes an account's record where its newest one is still queued, which
// costs no append, and where that would leave a new owner no budget for another turn.
func (l *Ledger) recordSettlement(now time.Time, program string, acct *account) {
	markSpent := acct.restored && acct.newest.mark >= acct.budget && acct.maxUsed() < acct.budget
	if markSpent || l.isPending(accountPrefix+program) {
		l.refreshRecord(now, program)
	}
}
