package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Policy decides which back end serves each call. A Policy is a pure state
// machine: it reads no clock, starts no goroutine and does no I/O; the same
// inputs give the same decisions. Scheduler runs in production; the baselines
// that the bench compares it with implement Policy too.
type Policy interface {
	// SetBackends replaces the list of back ends. A back end that is leaving
	// gets no new calls.
	SetBackends(now time.Time, backends []machine.Machine)
	// ObserveLoad processes a load report, which may be late or out of order.
	ObserveLoad(now time.Time, load Load)
	// Enqueue adds a call, which a later decision places or refuses.
	Enqueue(now time.Time, request Request)
	// Withdraw removes a call that is not placed yet, and reports whether it
	// was still held.
	Withdraw(call program.CallRef) bool
	// Finished records that a placed attempt ended at its back end, whose
	// cache now holds residentTokens of the program's prefix.
	Finished(now time.Time, call program.CallRef, backend machine.ID, usage api.Usage, residentTokens int)
	// Evicted records that an engine no longer holds a program's prefix.
	Evicted(now time.Time, programID api.ProgramID, backend machine.ID)
	// ProgramEnded discards the state of a program and its prefixes.
	ProgramEnded(now time.Time, programID api.ProgramID)
	// Ready returns the decisions that are due, in order.
	Ready(now time.Time) []Decision
	// NextWake returns when Ready should be called again without a new input;
	// the zero time means never.
	NextWake() time.Time
}
