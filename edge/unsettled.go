package edge

import (
	"sync"

	"birchwood.example/birchwood/ledger"
)

// unsettledTurns holds the turns of this node for which admission was requested and that
// are not settled yet, by partition and turn. It is safe for concurrent use.
type unsettledTurns struct {
	mutex sync.Mutex
	turns map[int]map[string]ledger.Claim
}

func newUnsettledTurns() *unsettledTurns {
	return &unsettledTurns{turns: make(map[int]map[string]ledger.Claim)}
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

func (u *unsettledTurns) remove(partition int, turn string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.turns[partition], turn)
}

// claims returns the unsettled turns of a partition.
func (u *unsettledTurns) claims(partition int) []ledger.Claim {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	claims := make([]ledger.Claim, 0, len(u.turns[partition]))
	for _, claim := range u.turns[partition] {
		claims = append(claims, claim)
	}
	return claims
}

// claimOf returns the claim of a request's turn.
func claimOf(r *requestState) ledger.Claim {
	return ledger.Claim{Turn: r.turnID(), Program: r.programID(), Grant: r.admission.Grant}
}
