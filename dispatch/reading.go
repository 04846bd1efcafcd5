package dispatch

import (
	"math"
	"time"
)

// Reading learns, for the replicas of one service, how long a turn waits for its first
// event: a time that each turn has, and one for each token of the prompt that is missing
// there. Both are in times of a generated token at the replica. The zero value knows
// nothing. It is not safe for concurrent use.
type Reading struct {
	// The sums of a fit of the time by the missing tokens, halving with time.
	turns, missing, first, squares, products float64
	at                                       time.Time
}

const (
	// prefillHalfLife is the time in which a turn counts half as much: a node's own turns at
	// a service are some a second, and what engines need to read changes with releases.
	prefillHalfLife = 10 * time.Second
	// priorTurns is how many turns ReadShare counts as, with prompts that differ by
	// readingSpread tokens.
	priorTurns  = 20
	priorSpread = 2000
	// minPrefillRatio and readingMost bound the time to read a token, by that to generate
	// one.
	minPrefillRatio = ReadShare / 4
	maxPrefillRatio = ReadShare * 4
	// outlierFactor is how far over what is expected, by that and by so many tokens' times,
	// one turn may lie: it waited for something else.
	outlierFactor = 2
	outlierTokens = 20
)

// Observe takes in how long a turn waited for its first event at a replica where so many
// tokens were missing, and a generated token takes so long.
func (r *Reading) Observe(now time.Time, missing int, first, token time.Duration) {
	if token <= 0 || first < 0 || missing < 0 {
		return
	}
	base, share := r.Fit()
	tokens := float64(missing)
	observed := min(float64(first)/float64(token), outlierFactor*(base+share*tokens)+outlierTokens)
	if !r.at.IsZero() {
		decay := math.Exp2(-float64(max(0, now.Sub(r.at))) / float64(prefillHalfLife))
		r.turns, r.missing, r.first = r.turns*decay, r.missing*decay, r.first*decay
		r.squares, r.products = r.squares*decay, r.products*decay
	}
	r.at = now
	r.turns++
	r.missing += tokens
	r.first += observed
	r.squares += tokens * tokens
	r.products += tokens * observed
}

// Fit returns the time that each turn has, and that of each missing token, in times of a
// generated token.
func (r *Reading) Fit() (base, share float64) {
	if r.turns == 0 {
		return 0, ReadShare
	}
	const prior = priorTurns * priorSpread * priorSpread
	variance := r.squares - r.missing*r.missing/r.turns
	covariance := r.products - r.missing*r.first/r.turns
	share = min(max((covariance+prior*ReadShare)/(variance+prior), minPrefillRatio), maxPrefillRatio)
	base = max(0, (r.first-share*r.missing)/r.turns)
	return base, share
}
