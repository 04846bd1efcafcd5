package dispatch

import "time"

// Late is a call without an answer that has taken longer than its route's calls do, and
// that may run more than once.
type Late struct {
	// Full is how full the emptiest replica is that could take it as well: its requests by
	// its places.
	Full float64
	// Left is what is left until its deadline, and Usual what a call of its route takes as
	// a rule; 0 where that is not known.
	Left, Usual time.Duration
}

// minRepeatTime is the least time left in which a call is worth sending again: the way to a
// replica and back, and pauses of this process.
const minRepeatTime = 20 * time.Millisecond

// RepeatVerdict is whether a late call goes out again, with its reason.
type RepeatVerdict int

// The verdicts on a late call.
const (
	// AgainYes: its answer is likely lost, and another can come in time.
	AgainYes RepeatVerdict = iota
	// RepeatNoTime: no other answer would come in time.
	RepeatNoTime
	// AgainFull: every replica is full. The call is late because others are; one more
	// would wait in a line and make that longer.
	AgainFull
	repeatVerdicts
)

// String returns the verdict as logs and metrics name it.
func (a RepeatVerdict) String() string { return [repeatVerdicts]string{"sent", "no time", "full"}[a] }

// Repeat decides whether a late call goes out again beside itself.
func Repeat(call *Late) RepeatVerdict {
	switch {
	case call.Left < max(minRepeatTime, call.Usual):
		return RepeatNoTime
	case call.Full >= 1:
		return AgainFull
	default:
		return AgainYes
	}
}
