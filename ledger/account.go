package ledger

import "time"

// Verdict is the result of Admit.
type Verdict string

// The verdicts.
const (
	// VerdictGranted means that the turn may run.
	VerdictGranted Verdict = "granted"
	// VerdictExhausted means that the budget does not hold one more turn.
	VerdictExhausted Verdict = "exhausted"
	// VerdictBusy means that the budget may hold the turn once other turns of the program
	// are settled.
	VerdictBusy Verdict = "busy"
)

// Turn is a request to run a turn of a program.
type Turn struct {
	ID      string `json:"id"`
	Program string `json:"program"`
	// Unscoped is the ID of an account that may be the program's, opened before program
	// IDs were scoped by tenant, or "".
	Unscoped string `json:"unscoped,omitempty"`
	// Session identifies the sequence of turns that the turn belongs to.
	Session string `json:"session,omitempty"`
	// MaxTokens limits the tokens that the turn generates, and Budget those of all turns
	// of the program. A Budget of 0 means no limit.
	MaxTokens int `json:"most"`
	Budget    int `json:"budget"`
	// Timeout is how long from now the turn takes at most.
	Timeout time.Duration `json:"within"`
	// Retain is how long the program's account is retained after its last turn.
	Retain time.Duration `json:"retain"`
	// StoreOnSuccess reports that the turn is stored if it succeeds. The account's record
	// is then appended together with it.
	StoreOnSuccess bool `json:"keeps,omitempty"`
	// Resumes is the ID of the turn that began the stream which this one resumes, or "".
	// Received is the most tokens of that stream that the client can have received; 0 if
	// unknown.
	Resumes  string `json:"resumes,omitempty"`
	Received int    `json:"received,omitempty"`
	// Node is the node that runs the turn, and Process its incarnation; "" if unknown.
	Node    string `json:"node,omitempty"`
	Process uint64 `json:"process,omitempty"`
}

// Admission is the verdict on a turn and the figures behind it.
type Admission struct {
	Verdict Verdict `json:"verdict"`
	// Position must be durable before any token reaches the client; 0 if nothing has to
	// be.
	Position uint64 `json:"position,omitempty"`
	// Grant is the number of the grant among those of the program.
	Grant uint64 `json:"grant,omitempty"`
	// Replica served the session's last turn, or "". CachedTokens is how many tokens of
	// the session it then had in its KV cache; 0 if unknown.
	Replica      string `json:"replica,omitempty"`
	CachedTokens int    `json:"kept,omitempty"`
	// SettledTokens are those of settled turns, and OpenTokens the maximum of the open
	// turns, both without this turn.
	SettledTokens int `json:"settled"`
	OpenTokens    int `json:"open"`
	// MarkedTokens, AssumedTokens and PresumedTokens are the parts of SettledTokens that are
	// upper bounds: of a previous owner's mark, of its use without a record, and of turns
	// that were not settled in time.
	MarkedTokens   int `json:"marked,omitempty"`
	AssumedTokens  int `json:"assumed,omitempty"`
	PresumedTokens int `json:"presumed,omitempty"`
	// BusyFor is how long a VerdictBusy lasts at most; 0 if that depends on other turns.
	BusyFor time.Duration `json:"busy_for,omitempty"`
	// NewProgram reports that, as far as this owner knows, no turn of the program has
	// been served yet.
	NewProgram bool `json:"fresh,omitempty"`
	// Repeated reports that the same turn was already open.
	Repeated bool `json:"-"`
}

// account is the state of one program.
type account struct {
	// settledTokens counts the tokens of turns that have ended. presumedTokens is the
	// part of it that counts turns at their maximum because their use is unknown.
	settledTokens  int
	presumedTokens int
	// open holds the turns that are admitted and not settled, by ID. uncertain holds the
	// turns that a previous owner may have granted without a record, by grant number.
	open      map[string]reservation
	uncertain map[uint64]reservation
	// lastGrant is the number of the last grant, and lastRecordedGrant that of the last
	// grant before the newest record. Numbers are unique across all owners of the
	// program.
	lastGrant         uint64
	lastRecordedGrant uint64
	// markedTokens is the part of presumedTokens that the mark of a previous owner counts.
	markedTokens int
	// assumedTokens is the part of settledTokens that was assumed to be used under a
	// previous owner. mayHaveStartedBefore reports that the program may have started there
	// without a record in the log. restored reports that the account was restored from
	// the log.
	assumedTokens        int
	mayHaveStartedBefore bool
	restored             bool
	// writers are the owners that may have written the record in the log.
	writers []string
	// restoredWriter wrote the restored record, which counted restoredSettled and
	// restoredPresumed tokens and restoredCount unsettled turns. reconciled reports that a
	// previous owner's final state replaced them.
	restoredWriter   string
	restoredSettled  int
	restoredPresumed int
	restoredCount    int
	reconciled       bool
	// inheritedTokens are those of turns of previous owners that were settled here.
	// settledHere holds the turns that were settled here, which a previous owner's final
	// state may list as open, with the tokens of those that this owner did not grant.
	inheritedTokens int
	settledHere     map[string]int
	// newest is what the newest record allows, which was proposed at recordPosition.
	// common is what every record of this owner allows, and durable what the log is
	// certain to allow.
	newest         allowance
	common         allowance
	durable        allowance
	recordPosition uint64
	// budget and maxTokens are those of the last turn; maxDuration is the longest timeout
	// of any turn.
	budget      int
	maxTokens   int
	maxDuration time.Duration
	// replicas holds the replica that served the last turn of each session.
	replicas   map[string]servedBy
	lastActive time.Time
	retention  time.Duration
}

func newAccount() *account {
	return &account{open: make(map[string]reservation), uncertain: make(map[uint64]reservation)}
}

// servedBy is the replica that served the last turn of a session, and how many of the
// session's tokens it then had in its KV cache.
type servedBy struct {
	replica      string
	cachedTokens int
}

// reservation is the maximum that a turn may use until it is settled.
type reservation struct {
	grant     uint64
	maxTokens int
	expires   time.Time
	// presumed reports that the time to settle the turn is over: it counts as settled at
	// its maximum.
	presumed bool
	// inherited reports that a previous owner granted the turn.
	inherited bool
	// reconciled reports that no record in the log listed the turn when this owner learned
	// of it.
	reconciled bool
	// node and process run the turn. lost reports that the process has ended.
	node    string
	process uint64
	lost    bool
	// resumes is the turn that began the stream which this one resumes, or "".
	resumes string
}

// openCount returns the number of turns that may still be settled in time.
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

// maxUsed returns the most tokens that the program can have used.
func (a *account) maxUsed() int { return a.settledTokens + a.openTokens() }

// expire counts turns that were not settled in time at their maximum.
func (a *account) expire(now time.Time) {
	expireReservations(now, a, a.open)
	expireReservations(now, a, a.uncertain)
}

func expireReservations[K comparable](now time.Time, a *account, turns map[K]reservation) {
	for key, reserved := range turns {
		switch {
		case now.After(reserved.expires.Add(LateSettlementWindow)):
			lapse(now, a, turns, key)
			delete(turns, key)
		case now.After(reserved.expires):
			lapse(reserved.expires, a, turns, key)
		}
	}
}

func (a *account) addPresumed(tokens int) {
	a.settledTokens += tokens
	a.presumedTokens += tokens
}

// tokenLimit returns how many tokens all turns of the program may use. That is its
// budget, plus one turn minus one token for a restored account, and for one with turns
// that were not settled: the previous owner's whole mark, or the maximum of such a turn,
// counts as used although a part of it may not have been, so the program may run one more
// turn if that leaves any of the budget. If use under a previous owner is assumed, that
// extra turn is already counted there.
//
// A turn that resumes a stream may use one turn more than the budget: its earlier attempts
// count with their maximum, or with what was sent to a client that did not read it, although
// all of them together are one turn.
func (l *Ledger) tokenLimit(turn Turn, acct *account, resumed bool) int {
	extraTurn := l.config.ExtraTurnAfterFailure && !acct.mayHaveStartedBefore
	switch {
	case extraTurn && resumed:
		return turn.Budget + turn.MaxTokens
	case extraTurn && (acct.restored || acct.presumedTokens > 0):
		return turn.Budget + turn.MaxTokens - 1
	default:
		return turn.Budget
	}
}

// settlementSlack is how long after its timeout a turn may still be settled.
const settlementSlack = 2 * time.Second

// Admit decides whether the turn may run, and reserves its maximum if so. It may be
// called again for the same turn.
func (l *Ledger) Admit(now time.Time, turn Turn) Admission {
	acct := l.accounts[turn.Program]
	if acct == nil {
		acct = l.openAccount(now, turn)
	}
	acct.updateFrom(now, turn)
	acct.expire(now)
	resumed := l.resumesKnownStream(acct, turn)
	open := acct.openTokens()
	served := acct.replicas[turn.Session]
	admission := acct.admission(open)
	admission.Replica, admission.CachedTokens = served.replica, served.cachedTokens
	admission.NewProgram = len(acct.replicas) == 0 && open == 0 && acct.settledTokens == acct.assumedTokens && !acct.restored
	if repeated, found := acct.open[turn.ID]; found && !repeated.presumed {
		if repeated.reconciled && turn.Budget > 0 && acct.settledTokens+open > l.tokenLimit(turn, acct, resumed) {
			// What was granted here since then leaves no budget for it.
			admission.Verdict = VerdictBusy
			return admission
		}
		// Its node is alive and will settle it here.
		repeated.inherited, repeated.reconciled = false, false
		repeated.node, repeated.process, repeated.resumes = turn.Node, turn.Process, turn.Resumes
		acct.open[turn.ID] = repeated
		admission.Repeated, admission.Grant = true, repeated.grant
		admission.Position = l.requiredPosition(now, turn, acct, repeated.grant, acct.settledTokens+open)
		return admission
	}
	if verdict := l.decide(now, turn, acct, open, resumed); verdict != VerdictGranted {
		admission.Verdict = verdict
		if verdict == VerdictBusy && open == 0 {
			admission.BusyFor = l.ownership.since.Add(formerStateTimeout).Sub(now)
		}
		return admission
	}
	acct.lastGrant++
	acct.open[turn.ID] = reservation{
		grant: acct.lastGrant, maxTokens: turn.MaxTokens, expires: now.Add(turn.Timeout + settlementSlack),
		node: turn.Node, process: turn.Process, resumes: turn.Resumes,
	}
	need := acct.settledTokens + open + turn.MaxTokens
	l.proposeOpenRecord()
	l.ensureRecorded(turn, acct, need)
	admission.Grant = acct.lastGrant
	admission.Position = l.requiredPosition(now, turn, acct, acct.lastGrant, need)
	return admission
}

// admission returns a grant with the figures of the account.
func (a *account) admission(open int) Admission {
	return Admission{
		Verdict: VerdictGranted, SettledTokens: a.settledTokens, OpenTokens: open,
		MarkedTokens: a.markedTokens, AssumedTokens: a.assumedTokens,
		PresumedTokens: a.presumedTokens - a.markedTokens - a.assumedTokens,
	}
}

// openAccount creates the account of a program that has none here. Its grants are
// numbered from the current time in microseconds, so that they differ from those of an
// owner whose records were lost.
func (l *Ledger) openAccount(now time.Time, turn Turn) *account {
	acct := newAccount()
	acct.assumedTokens, acct.mayHaveStartedBefore = l.assumedTokens(now, turn), l.mayHaveStarted(now, turn)
	acct.addPresumed(acct.assumedTokens)
	acct.lastGrant = uint64(max(0, now.UnixMicro()))
	l.accounts[turn.Program] = acct
	return acct
}

// updateFrom updates the account's settings from a turn.
func (a *account) updateFrom(now time.Time, turn Turn) {
	a.lastActive = now
	a.retention = max(a.retention, turn.Retain)
	a.maxDuration = max(a.maxDuration, turn.Timeout)
	a.budget, a.maxTokens = turn.Budget, turn.MaxTokens
}

// decide returns the verdict on one more turn. The budget is exhausted only if that is
// certain: while other turns may still be settled, a turn that does not fit is to be
// retried.
func (l *Ledger) decide(now time.Time, turn Turn, acct *account, open int, resumed bool) Verdict {
	tokenLimit := l.tokenLimit(turn, acct, resumed)
	certainLimit := turn.Budget
	if resumed {
		certainLimit = tokenLimit
	}
	certain := acct.settledTokens - acct.presumedTokens
	switch {
	case turn.Budget <= 0:
		return VerdictGranted
	case certain+turn.MaxTokens > certainLimit:
		return VerdictExhausted
	case acct.settledTokens+turn.MaxTokens > tokenLimit:
		if l.mayBeCorrected(now, acct) {
			return VerdictBusy
		}
		return VerdictExhausted
	case acct.settledTokens+open+l.unscopedTokens(now, turn)+turn.MaxTokens > tokenLimit:
		return VerdictBusy
	default:
		return VerdictGranted
	}
}

// unscopedTokens returns what the account under the unscoped ID may have used. That
// account may belong to the program or to another tenant's program of the same name. So
// its tokens are not granted again, but they never make the verdict VerdictExhausted.
func (l *Ledger) unscopedTokens(now time.Time, turn Turn) int {
	legacy := l.accounts[turn.Unscoped]
	if turn.Unscoped == "" || legacy == nil {
		return 0
	}
	legacy.expire(now)
	return legacy.settledTokens + legacy.openTokens()
}

// requiredPosition returns the position that must be durable before a token of the turn
// may reach the client, or 0. need is the most tokens that the program can have used once
// the turn has ended.
func (l *Ledger) requiredPosition(now time.Time, turn Turn, acct *account, grant uint64, need int) uint64 {
	if acct.recordPosition <= l.durable || acct.durable.permits(grant, turn.MaxTokens, need) || l.mayRunUnrecorded(now, turn, acct, grant, need) {
		return 0
	}
	return acct.recordPosition
}

// ensureRecorded proposes a record that covers the turn if the newest one does not.
func (l *Ledger) ensureRecorded(turn Turn, acct *account, need int) {
	if acct.newest.permits(acct.lastGrant, turn.MaxTokens, need) {
		return
	}
	if l.needsExactRecord(turn, acct, need) {
		l.proposeExact(turn.Program, acct, l.slotCount(acct, need))
		return
	}
	mark := need + l.markHeadroom(turn, need)
	if acct.newest.mark == 0 {
		// The first mark covers what the program may use before it is durable.
		mark = max(mark, l.minFirstMark(turn))
	}
	l.proposeMark(turn.Program, acct, mark)
}

// markHeadroom returns how far a mark is raised ahead of need: by at most a share of the
// remaining budget and a number of turns, and such that one more turn fits into the
// budget if the whole mark counts as used.
func (l *Ledger) markHeadroom(turn Turn, need int) int {
	if turn.Budget == 0 {
		return turn.MaxTokens
	}
	rest := turn.Budget - need
	share := int(float64(rest) * l.config.MarkAheadShare)
	return max(0, min(share, l.config.MarkAheadTurns*turn.MaxTokens, rest-turn.MaxTokens))
}

// Settlement reports how a turn ended.
type Settlement struct {
	Turn    string `json:"turn"`
	Program string `json:"program"`
	Session string `json:"session,omitempty"`
	// Grant is the number of the turn's grant; 0 if unknown.
	Grant uint64 `json:"grant,omitempty"`
	// Tokens is the number of tokens that were delivered to the client.
	Tokens int `json:"tokens"`
	// Replica served the turn, or "" if none has it in its KV cache. CachedTokens is how
	// many tokens of the prompt and of the answer the replica has cached.
	Replica      string `json:"replica,omitempty"`
	CachedTokens int    `json:"kept,omitempty"`
}

// Settle records what a turn used. A turn that this ledger did not admit is already
// counted at its maximum by the previous owner's record.
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
		acct.replicas[settlement.Session] = servedBy{replica: settlement.Replica, cachedTokens: settlement.CachedTokens}
	}
	l.settleTurn(now, acct, settlement)
}

// settleTurn replaces a turn's reservation by its use. A turn that is not open here was
// settled before, or is covered by what a previous owner recorded.
func (l *Ledger) settleTurn(now time.Time, acct *account, settlement Settlement) {
	reserved, open := acct.open[settlement.Turn]
	if !open {
		l.settleUncertain(acct, settlement)
		l.noteSettled(now, acct, settlement.Turn, settlement.Tokens)
		return
	}
	formerTokens := 0
	if reserved.inherited {
		formerTokens = settlement.Tokens
		acct.inheritedTokens += min(settlement.Tokens, reserved.maxTokens)
	}
	l.noteSettled(now, acct, settlement.Turn, formerTokens)
	delete(acct.open, settlement.Turn)
	acct.applyUsage(reserved, settlement.Tokens)
	if settlement.Grant != reserved.grant && settlement.Tokens > 0 {
		// A previous owner granted the same turn, and its tokens are in the settlement.
		acct.dropUncertain(settlement.Grant)
	}
	if settlement.Tokens == 0 && reserved.grant == acct.lastGrant && reserved.grant > acct.lastRecordedGrant {
		// The turn did not run, and no record names its grant: the next turn gets the
		// same number.
		acct.lastGrant--
	}
	l.recordSettlement(now, settlement.Program, acct)
}

// settleUncertain settles a turn that a previous owner granted without a record. One that
// used nothing stays uncertain, since the previous owner may have reused its grant
// number.
func (l *Ledger) settleUncertain(acct *account, settlement Settlement) {
	reserved, found := acct.uncertain[settlement.Grant]
	if !found || settlement.Tokens == 0 {
		return
	}
	delete(acct.uncertain, settlement.Grant)
	acct.applyUsage(reserved, settlement.Tokens)
	acct.inheritedTokens += min(settlement.Tokens, reserved.maxTokens)
}

// applyUsage replaces a reservation by the tokens used.
func (a *account) applyUsage(reserved reservation, tokens int) {
	if reserved.presumed {
		a.settledTokens -= reserved.maxTokens
		a.presumedTokens -= reserved.maxTokens
	}
	a.settledTokens += min(tokens, reserved.maxTokens)
}

// recordSettlement proposes a new record of the account in two cases: if its newest
// record is still pending, since that costs no append, and if that record would leave a
// new owner no budget for another turn.
func (l *Ledger) recordSettlement(now time.Time, program string, acct *account) {
	markSpent := acct.restored && acct.newest.mark >= acct.budget && acct.maxUsed() < acct.budget
	if markSpent || l.isPending(accountPrefix+program) {
		l.refreshRecord(now, program)
	}
}
