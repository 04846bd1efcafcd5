// Package history records what callers, back ends, the log and the nodes saw
// during a run, and checks afterwards that birchwood kept what it promises.
//
// A history is a file of JSON lines, one Event each. Emulated and real runs
// write the same events through a Recorder; a run of real processes writes
// one file a process, and Check reads them one after another and sorts them
// by time. The checker knows the promises and the events alone: it shares no
// code with the scheduler, so that a fault there cannot hide itself here.
//
//	recorder := history.NewRecorder(file)
//	recorder.Record(history.Event{At: now, Sent: &history.Sent{...}})
//	...
//	report, err := history.Check(file)
//	for _, finding := range report.Findings {
//	    fmt.Println(finding)
//	}
//
// Each Finding names the Invariant that was broken, the events that show it
// and the seed of the run. An Event is a tagged union: exactly one of its
// pointers is set. Events that an observer cannot see may be missing; a check
// draws no conclusion from an absence unless the run ended settled, which
// RunEnded says.
//
// What each invariant means here:
//
//   - order: a call starts at a back end only after every earlier call of its
//     program is over.
//   - history: an acknowledged program or call is never lost, a program's
//     history reads back the same everywhere, and an engine's prompt is that
//     program's history and nothing else.
//   - budget: a program and its sub-agents use no more than its budget.
//   - engine-memory: an engine holds nothing of a program that ended longer
//     ago than the bound.
//   - answer: a caller gets the whole answer to its own request.
//   - not-run: a request that was refused as not run never reached a back end.
//   - at-most-once: a call that may not be repeated starts once at most.
//   - leaving: a leaving back end is given nothing after the bound.
//   - planned-stop: a planned stop cuts no request.
//   - settings: an accepted change is in force everywhere within the bound,
//     every node reaches the same verdict, and no node goes back.
//   - placement: data is nowhere that its placement does not permit.
package history
