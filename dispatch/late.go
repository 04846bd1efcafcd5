package dispatch

import "time"

// LateCall is a call that is still unanswered after the time that calls of its route take,
// and that may run more than once.
type LateCall struct {
	// Utilisation is the number of requests per slot at the least loaded replica that
	// could take the call as well.
	Utilisation float64
	// Left is the time until the call's deadline, and TypicalDuration how long a call of
	// its route usually takes; 0 if unknown.
	Left, TypicalDuration time.Duration
}

// minRepeatTime is the least time left with which a repeat is worthwhile: the round trip
// to a replica, and pauses of this process.
const minRepeatTime = 20 * time.Millisecond

// RepeatVerdict is the decision whether a late call is repeated, with its reason.
type RepeatVerdict int

// The verdicts on a late call.
const (
	// RepeatSent: the answer is likely lost, and that of a repeat can come in time.
	RepeatSent RepeatVerdict = iota
	// RepeatNoTime: the answer of a repeat would not come in time.
	RepeatNoTime
	// RepeatFull: every replica is full. The call is late because of the load; a repeat
	// would wait in a queue and make it longer.
	RepeatFull
	repeatVerdicts
)

// String returns the label of the verdict in logs and metrics.
func (a RepeatVerdict) String() string { return [repeatVerdicts]string{"sent", "no time", "full"}[a] }

// DecideRepeat decides whether a late call is sent a second time, as a hedged request: the
// first one stays open.
func DecideRepeat(call *LateCall) RepeatVerdict {
	switch {
	case call.Left < max(minRepeatTime, call.TypicalDuration):
		return RepeatNoTime
	case call.Utilisation >= 1:
		return RepeatFull
	default:
		return RepeatSent
	}
}
