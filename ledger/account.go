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
}

// Admission is a verdict with its reasons.
type Admission struct {
	Verdict Verdict `json:"verdict"`
	// Position must be durable before any token reaches the client; 0 where
	// nothing has to be.
	Position uint64 `json:"position,omitempty"`
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
}

// account is what is known of one program.
type account struct {
	// settled counts the tokens of turns that are over, at their most where
	// that is all that is known.
	settled int
	open    map[string]reservation
	// assumed is the part of settled that was assumed of a former owner, and
	// restored says that settled is a former owner's mark.
	assumed  int
	restored bool
	// mark is the highest that was proposed, and position its proposal.
	mark     int
	position uint64
	// replicas served the program's lines of turns last, by session.
	replicas map[string]servedBy
	used     time.Time
	retain   time.Duration
}

// servedBy is the replica that served a line of turns last, and how many of the line's
// tokens it had in its memory then.
type servedBy struct {
	replica string
	kept    int
}

type reservation struct {
	most    int
	expires time.Time
}

func (a *account) openTokens() int {
	total := 0
	for _, reserved := range a.open {
		total += reserved.most
	}
	return total
}

// expire counts the turns whose end was never told at their most.
func (a *account) expire(now time.Time) {
	for id, reserved := range a.open {
		if now.After(reserved.expires) {
			a.settled += reserved.most
			delete(a.open, id)
		}
	}
}

// limit is what all turns of the program may use: its budget, and less than one
// turn more where a former owner's mark counts as used, of which a part was not,
// and leaves anything of the budget. The turn by which a loss may exceed a budget
// is spent already where use is assumed.
func (l *Ledger) limit(turn Turn, held *account) int {
	if l.config.TurnAfterLoss && held.restored && held.assumed == 0 {
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
		assumed := l.assumed(now, turn)
		held = &account{open: map[string]reservation{}, settled: assumed, assumed: assumed}
		l.accounts[turn.Program] = held
	}
	held.used = now
	held.retain = max(held.retain, turn.Retain)
	held.expire(now)
	open := held.openTokens()
	served := held.replicas[turn.Session]
	admission := Admission{Verdict: VerdictGranted, Replica: served.replica, Kept: served.kept, Settled: held.settled, Open: open}
	admission.Fresh = len(held.replicas) == 0 && open == 0 && held.settled == held.assumed && !held.restored
	if _, again := held.open[turn.ID]; again {
		admission.Position = l.waitsFor(now, turn, held, held.settled+open)
		return admission
	}
	limit := l.limit(turn, held)
	if turn.Budget > 0 && held.settled+turn.Most > limit {
		admission.Verdict = VerdictExhausted
		return admission
	}
	if turn.Budget > 0 && held.settled+open+l.unscoped(now, turn)+turn.Most > limit {
		admission.Verdict = VerdictBusy
		return admission
	}
	held.open[turn.ID] = reservation{most: turn.Most, expires: now.Add(turn.Within + settlementSlack)}
	need := held.settled + open + turn.Most
	l.markOpen()
	l.raise(turn, held, need)
	admission.Position = l.waitsFor(now, turn, held, need)
	return admission
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
func (l *Ledger) waitsFor(now time.Time, turn Turn, held *account, need int) uint64 {
	if l.runsUnrecorded(now, turn, held, need) {
		return 0
	}
	return l.positionOf(held, need)
}

// raise proposes a higher mark where the turn would not fit under it.
func (l *Ledger) raise(turn Turn, held *account, need int) {
	if held.mark >= need {
		return
	}
	first := held.mark == 0
	held.mark = need + l.ahead(turn, need)
	if first {
		// What a program may use before its first mark is covered by it.
		held.mark = max(held.mark, l.firstMark(turn))
	}
	l.proposeMark(turn.Program, held)
}

// proposeMark puts an account's mark into the log.
func (l *Ledger) proposeMark(program string, held *account) {
	value := accountValue{Mark: held.mark, Assumed: held.assumed, RetainMS: held.retain.Milliseconds()}
	held.position = l.propose(accountPrefix+program, encode(value))
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

// positionOf returns what must be durable for a need to be covered.
func (l *Ledger) positionOf(held *account, need int) uint64 {
	if need <= held.mark && held.position > l.durable {
		return held.position
	}
	return 0
}

// Settlement tells how a turn ended.
type Settlement struct {
	Turn    string `json:"turn"`
	Program string `json:"program"`
	Session string `json:"session,omitempty"`
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
	held.used = now
	if settlement.Replica != "" {
		if held.replicas == nil {
			held.replicas = make(map[string]servedBy)
		}
		held.replicas[settlement.Session] = servedBy{replica: settlement.Replica, kept: settlement.Kept}
	}
	reserved, open := held.open[settlement.Turn]
	if !open {
		return
	}
	delete(held.open, settlement.Turn)
	held.settled += min(settlement.Tokens, reserved.most)
}
