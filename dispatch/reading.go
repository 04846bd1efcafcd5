package dispatch

import (
	"math"
	"time"
)

// PrefillEstimator estimates, for the replicas of one service, how long a turn waits for
// its first event: a base time of each turn, plus a time for each uncached token of its
// prompt. Both are in units of the replica's token time. The zero value has no
// observations. It is not safe for concurrent use.
type PrefillEstimator struct {
	// The sums of a linear regression of the first-event time on the uncached tokens, with
	// exponential decay.
	turns, uncached, first, squares, products float64
	at                                        time.Time
}

const (
	// prefillHalfLife is the age at which a turn's weight has halved: a node sends a
	// service several turns per second, and the prefill time of engines changes with
	// releases.
	prefillHalfLife = 10 * time.Second
	// priorTurns is how many turns DefaultPrefillRatio counts as, with prompts whose
	// lengths vary by priorSpread tokens.
	priorTurns  = 20
	priorSpread = 2000
	// minPrefillRatio and maxPrefillRatio bound the ratio of prefill time to token time.
	minPrefillRatio = DefaultPrefillRatio / 4
	maxPrefillRatio = DefaultPrefillRatio * 4
	// outlierFactor and outlierTokens bound the time that one turn contributes: at most
	// outlierFactor times the expected time plus outlierTokens token times. A longer one
	// waited for something else.
	outlierFactor = 2
	outlierTokens = 20
)

// Observe adds the time that a turn waited for its first event at a replica where the
// given number of tokens were uncached, with the given token time.
func (r *PrefillEstimator) Observe(now time.Time, uncached int, first, token time.Duration) {
	if token <= 0 || first < 0 || uncached < 0 {
		return
	}
	base, ratio := r.Fit()
	tokens := float64(uncached)
	observed := min(float64(first)/float64(token), outlierFactor*(base+ratio*tokens)+outlierTokens)
	if !r.at.IsZero() {
		decay := math.Exp2(-float64(max(0, now.Sub(r.at))) / float64(prefillHalfLife))
		r.turns, r.uncached, r.first = r.turns*decay, r.uncached*decay, r.first*decay
		r.squares, r.products = r.squares*decay, r.products*decay
	}
	r.at = now
	r.turns++
	r.uncached += tokens
	r.first += observed
	r.squares += tokens * tokens
	r.products += tokens * observed
}

// Fit returns the base time of a turn and the time of each uncached token, in units of the
// token time.
func (r *PrefillEstimator) Fit() (base, ratio float64) {
	if r.turns == 0 {
		return 0, DefaultPrefillRatio
	}
	const prior = priorTurns * priorSpread * priorSpread
	variance := r.squares - r.uncached*r.uncached/r.turns
	covariance := r.products - r.uncached*r.first/r.turns
	ratio = min(max((covariance+prior*DefaultPrefillRatio)/(variance+prior), minPrefillRatio), maxPrefillRatio)
	base = max(0, (r.first-ratio*r.uncached)/r.turns)
	return base, ratio
}
