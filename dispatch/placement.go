package dispatch

// Job is the work of one turn.
type Job struct {
	// Tokens is how many tokens the turn is expected to generate.
	Tokens float64
}

// ReplicaState is the state of one replica that a turn could be sent to. Times are in
// nanoseconds.
type ReplicaState struct {
	// Load is the number of concurrent requests, and Slots how many the replica runs at
	// once.
	Load, Slots float64
	// Token is the time to generate one token without concurrent requests, and PrefillTime
	// the time to prefill one.
	Token, PrefillTime float64
	// UncachedTokens is how many tokens of the prompt have to be prefilled.
	UncachedTokens float64
	// Delay is any other time that passes before the replica starts on the turn.
	Delay float64
}

const (
	// SlowdownPerRequest is the fraction by which one concurrent request lengthens the
	// time of each token: the batch's step grows a little, and its prompt is prefilled
	// between the tokens.
	SlowdownPerRequest = 0.05
	// DefaultPrefillRatio is the time to prefill one token in units of the time to
	// generate one, used until a service's own ratio is measured.
	DefaultPrefillRatio = 1.0 / 200
	// loadUncertainty is how far the actual load may be from the known one, as a fraction
	// of the slots: other nodes choose replicas at the same time.
	loadUncertainty = 0.45
	// queueingFactor is the cost of each request in excess of the slots, as a fraction of
	// the turn's own length: the turn waits for a slot, and those that come after it wait
	// as well.
	queueingFactor = 0.3
	// marginalSlowdown is by how much one concurrent request raises the total cost of a
	// further one, in units of the token time without concurrent requests: both slow each
	// other, and prompts are prefilled between the tokens.
	marginalSlowdown = 0.13
	// maxFillFraction is the fraction of the slots up to which LoadAtCost fills a replica:
	// the rest is for what other nodes send at the same time.
	maxFillFraction = 0.5
)

// End predicts the time from sending the turn to its last token.
func (j *Job) End(replica *ReplicaState) float64 {
	work := replica.UncachedTokens*replica.PrefillTime + j.Tokens*replica.Token*(1+SlowdownPerRequest*replica.Load)
	return replica.Delay + work*(1+queueingFactor*replica.expectedQueue())
}

// AddedDelay predicts by how much the turn delays all concurrent requests together.
func (j *Job) AddedDelay(replica *ReplicaState) float64 {
	return replica.Load * (replica.UncachedTokens*replica.PrefillTime + SlowdownPerRequest*j.Tokens*replica.Token)
}

// Cost is the quantity that a placement minimizes: the turn's completion time plus the
// delay that it adds to others.
func (j *Job) Cost(replica *ReplicaState) float64 {
	return j.End(replica) + j.AddedDelay(replica)
}

// expectedQueue returns the expected number of requests in excess of the slots once the
// turn has arrived. The load is taken as uniformly distributed within loadUncertainty.
func (p *ReplicaState) expectedQueue() float64 {
	excess, margin := p.Load-p.Slots+1, loadUncertainty*p.Slots
	switch {
	case excess <= -margin:
		return 0
	case excess >= margin:
		return excess
	default:
		return (excess + margin) * (excess + margin) / (4 * margin)
	}
}

// LoadAtCost returns the number of concurrent requests at which one more costs the given
// level per token in total, up to maxFillFraction of the slots.
func LoadAtCost(level, token, slots float64) float64 {
	return min(max(0, (level/token-1)/marginalSlowdown), maxFillFraction*slots)
}
