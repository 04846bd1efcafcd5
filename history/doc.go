// Package history records the events that callers, back ends, the log and the
// nodes observed during a run, and checks afterwards that birchwood's
// invariants held.
//
// A history is a file of JSON lines, one Event each. Emulated and real runs
// write the same events through a Recorder. A run of real processes writes
// one file per process; Check reads all files and sorts their events by time.
// The checker depends only on the invariants and the events. It shares no
// code with the scheduler, so a fault there cannot also hide it here.
//
//	recorder := history.NewRecorder(file)
//	recorder.Record(history.Event{At: now, Sent: &history.Sent{...}})
//	...
//	report, err := history.Check(file)
//	for _, finding := range report.Findings {
//	    fmt.Println(finding)
//	}
//
// Each Finding names the violated Invariant, the events that show the
// violation and the seed of the run. An Event is a tagged union: exactly one
// of its pointers is set. Events that an observer could not see may be
// missing; a check draws conclusions from a missing event only if RunEnded
// marks the run as settled.
//
// The invariants are:
//
//   - order: a call starts at a back end only after every earlier call of its
//     program has ended.
//   - history: an acknowledged program or call is never lost, every read of a
//     program's history returns the same calls, and an engine's prompt is
//     exactly the history of its program.
//   - budget: a program and its sub-agents use no more than its budget.
//   - engine-memory: an engine caches nothing of a program that ended longer
//     ago than the bound.
//   - answer: a caller gets the complete answer to its own request.
//   - not-run: a request that was refused as not run never reached a back end.
//   - at-most-once: a call that may not be repeated starts at most once.
//   - leaving: a leaving back end receives no call after the bound.
//   - planned-stop: a planned stop interrupts no request.
//   - settings: an accepted change is in force on every node within the bound,
//     every node reaches the same verdict, and no node reverts to an older
//     revision.
//   - placement: data is only in zones that its placement permits.
package history
