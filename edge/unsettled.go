package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/ledger"
)

const (
	// endedTurnLifetime is how long a node remembers turns that ended, for owners that took
	// their partition over.
	endedTurnLifetime = ledger.LateSettlementWindow
	// maxEndedTurns bounds the remembered turns of one partition.
	maxEndedTurns = 1024
)

// unsettledTurns holds the turns of this node for which admission was requested and that
// have not ended, and those that ended lately, by partition. It is safe for concurrent use.
type unsettledTurns struct {
	mutex sync.Mutex
	turns map[int]map[string]ledger.Claim
	ended map[int][]endedTurn
}

// endedTurn is a turn that ended at a time.
type endedTurn struct {
	claim ledger.Claim
	at    time.Time
}

func newUnsettledTurns() *unsettledTurns {
	return &unsettledTurns{turns: make(map[int]map[string]ledger.Claim), ended: make(map[int][]endedTurn)}
}

// put adds a turn, or replaces it.
func (u *unsettledTurns) put(partition int, claim ledger.Claim) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.turns[partition] == nil {
		u.turns[partition] = make(map[string]ledger.Claim)
	}
	u.turns[partition][claim.Turn] = claim
}

// remove removes a turn that was not admitted.
func (u *unsettledTurns) remove(partition int, turn string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.turns[partition], turn)
}

// end records that a turn ended.
func (u *unsettledTurns) end(now time.Time, partition int, settlement *ledger.Settlement) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.turns[partition], settlement.Turn)
	claim := ledger.Claim{Turn: settlement.Turn, Program: settlement.Program, Grant: settlement.Grant, Ended: true, Tokens: settlement.Tokens}
	ended := append(u.ended[partition], endedTurn{claim: claim, at: now})
	expired := max(0, len(ended)-maxEndedTurns)
	for expired < len(ended) && now.Sub(ended[expired].at) > endedTurnLifetime {
		expired++
	}
	u.ended[partition] = ended[expired:]
}

// claims returns the turns of a partition that have not ended, and those that ended lately.
func (u *unsettledTurns) claims(now time.Time, partition int) []ledger.Claim {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var claims []ledger.Claim
	for _, claim := range u.turns[partition] {
		claims = append(claims, claim)
	}
	for _, ended := range u.ended[partition] {
		if now.Sub(ended.at) <= endedTurnLifetime {
			claims = append(claims, ended.claim)
		}
	}
	return claims
}

// claimOf returns the claim of a request's turn.
func claimOf(r *requestState) ledger.Claim {
	return ledger.Claim{Turn: r.turnID(), Program: r.programID(), Grant: r.admission.Grant}
}
