package evacuation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// departureWindowShare is the part of the operator's bound over which lines of turns leave: the
// rest is for nodes that learn late, and for what was chosen and not yet sent.
const departureWindowShare = 0.6

// float64FractionBits are the bits of a float64's fraction.
const float64FractionBits = 53

// Departure returns until when a line of turns may go on in a zone that is evacuated
// since a time, of which the operator gives within to leave it. Every node draws the
// same time for a line; those of all lines are spread evenly.
func Departure(since time.Time, within time.Duration, session string) time.Time {
	draw := float64(xxhash.Sum64String(session)>>(64-float64FractionBits)) / (1 << float64FractionBits)
	return since.Add(time.Duration(draw * departureWindowShare * float64(within)))
}
