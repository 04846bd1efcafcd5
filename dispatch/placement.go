package dispatch

// Job is what one turn needs of a replica.
type Job struct {
	// Tokens is how many tokens are expected to come out.
	Tokens float64
}

// Place is one replica as a turn would find it. Times are in nanoseconds.
type Place struct {
	// Load is the requests beside, and Slots how many it works on at once.
	Load, Slots float64
	// Token is the time of a generated token with none beside, and Read that of one
	// token of the prompt.
	Token, Read float64
	// Missing is how many tokens of the prompt are to be read.
	Missing float64
	// Way is what else passes before the turn is there.
	Way float64
}

const (
	// BesideShare is how much one request beside slows each token: the batch's step
	// grows a little, and its prompt is read between the tokens.
	BesideShare = 0.05
	// ReadShare is the time to read one token of a prompt by that to generate one, until
	// a service's own is learned.
	ReadShare = 1.0 / 200
	// loadUncertainty is how far, by the slots, the load may be off what is known of it: other
	// nodes choose at the same time.
	loadUncertainty = 0.45
	// queueingFactor is what a turn costs for each that is over the slots, by its own length:
	// it waits for a slot, and those that come after it wait as well.
	queueingFactor = 0.3
	// marginalSlowdown is how much one request beside raises what another one costs all
	// together, by a token with none beside: it slows them, and they slow it, and prompts
	// are read between the tokens.
	marginalSlowdown = 0.13
	// maxFillFraction is the part of the slots that shares are dealt up to: the rest is for
	// what other nodes send at the same time.
	maxFillFraction = 0.5
)

// End predicts how long after it is sent the turn is whole.
func (j *Job) End(place *Place) float64 {
	work := place.Missing*place.Read + j.Tokens*place.Token*(1+BesideShare*place.Load)
	return place.Way + work*(1+queueingFactor*place.expectedQueue())
}

// AddedDelay predicts by how much the turn delays those beside it, all together.
func (j *Job) AddedDelay(place *Place) float64 {
	return place.Load * (place.Missing*place.Read + BesideShare*j.Tokens*place.Token)
}

// Cost is what a placement weighs: the turn's end, and what it costs the others.
func (j *Job) Cost(place *Place) float64 {
	return j.End(place) + j.AddedDelay(place)
}

// expectedQueue is how many requests are expected expectedQueue the slots once the turn is there, where the
// load is uncertain by a share of the slots.
func (p *Place) expectedQueue() float64 {
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

// Fill is how many requests a replica has when one more would cost so much a token, all
// told, up to its place.
func Fill(level, token, slots float64) float64 {
	return min(max(0, (level/token-1)/marginalSlowdown), maxFillFraction*slots)
}
