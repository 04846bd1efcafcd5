package evacuation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// departureWindowShare is the part of the operator's time limit over which sessions
// leave. The rest is for nodes that learn of the evacuation late, and for requests that
// were routed but not sent yet.
const departureWindowShare = 0.6

// float64FractionBits is the number of significant bits of a float64.
const float64FractionBits = 53

// DepartureTime returns until when a session may go on in a zone whose evacuation began
// at since, with within as the operator's time limit. Every node computes the same time
// for a session, and the times of all sessions are spread evenly.
func DepartureTime(since time.Time, within time.Duration, session string) time.Time {
	draw := float64(xxhash.Sum64String(session)>>(64-float64FractionBits)) / (1 << float64FractionBits)
	return since.Add(time.Duration(draw * departureWindowShare * float64(within)))
}
