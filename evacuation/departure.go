package evacuation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// leavingShare is the part of the operator's bound over which lines of turns leave: the
// rest is for nodes that learn late, and for what was chosen and not yet sent.
const leavingShare = 0.6

// fractionBits are the bits of a float64's fraction.
const fractionBits = 53

// Departure returns until when a line of turns may go on in a zone that is evacuated
// since a time, of which the operator gives within to leave it. Every node draws the
// same time for a line; those of all lines are spread evenly.
func Departure(since time.Time, within time.Duration, line string) time.Time {
	draw := float64(xxhash.Sum64String(line)>>(64-fractionBits)) / (1 << fractionBits)
	return since.Add(time.Duration(draw * leavingShare * float64(within)))
}
