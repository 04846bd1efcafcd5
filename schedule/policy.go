package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Policy decides which back end serves each call. A Policy is a pure state
// machine: it reads no clock and starts nothing; the same inputs give the
// same decisions. Scheduler is the real one; the baselines of the bench
// implement it too.
type Policy interface {
	// SetBackends replaces the known back ends. A leaving one gets no new
	// work from then on.
	SetBackends(now time.Time, backends []machine.Machine)
	// ObserveLoad takes a report, late or out of order.
	ObserveLoad(now time.Time, load Load)
	// Enqueue hands over a call to be placed or refused.
	Enqueue(now time.Time, request Request)
	// Withdraw takes back a call that is not placed yet, and reports whether
	// it was still held.
	Withdraw(call program.CallRef) bool
	// Finished tells that a placed attempt ended at its back end. The prefix
	// of the program is then resident there, in residentTokens.
	Finished(now time.Time, call program.CallRef, backend machine.ID, usage api.Usage, residentTokens int)
	// Evicted tells that an engine no longer holds a program's prefix.
	Evicted(now time.Time, programID api.ProgramID, backend machine.ID)
	// ProgramEnded forgets a program and its prefixes.
	ProgramEnded(now time.Time, programID api.ProgramID)
	// Ready returns the decisions that are due, in order.
	Ready(now time.Time) []Decision
	// NextWake is when Ready should be asked again without a new input; the
	// zero time means never.
	NextWake() time.Time
}
