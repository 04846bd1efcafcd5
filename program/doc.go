// Package program is the state machine of agent programs: their calls in
// order, their budgets and limits, and what became of every call.
//
// A [Store] holds the programs of one partition. It does no I/O, reads no
// clock and starts no goroutine: a [Command] and the time go in, an [Output]
// comes out. The same package runs in the daemon and, in virtual time, in the
// emulator.
//
// # Driving a store
//
// State is event-sourced. [Store.Step] decides, applies its decision at once,
// and returns it as Records. The driver
//
//  1. performs Output.Immediate at once;
//  2. appends Output.Records to the partition's stream, in order;
//  3. performs Output.Effects, and answers the command's caller, once those
//     records and all before them are durable;
//  4. calls [Store.Located] for each record once the log tells its offset.
//
// A command that is refused with an api.Error has no output and has changed
// nothing durable. [Store.Tick] is called no later than [Store.NextWake]; it
// looks at a bounded number of programs and may have to be called again. An
// owner that loses its partition drops the store as a whole: what was decided
// and is not durable has not happened.
//
// The next owner makes an empty store, feeds the newest snapshot to
// [Store.RecoverSnapshot] and every later valid record to [Store.Recover],
// and then calls [Store.Resume] with its epoch. Folding is deterministic: the
// same records give the same state on every node, and a snapshot followed by
// the records after it gives the same state as all records from the start.
//
// # The life of a call
//
//	Submit
//	  |  Accepted record (place, deadline, reservation)
//	  v
//	queued ---------- waits for every earlier place, also for a missing one
//	  |  its turn has come: EffectStart
//	  v
//	started <-------------------------------------------+
//	  |  Dispatch: Dispatched record (attempt, back end) | retry with backoff:
//	  v                                                  | repeatable, or
//	sent ------------------------------------------------+ nothing was sent
//	  |            |
//	  |            |  not repeatable, and the outcome is unknown, or the
//	  |            |  call is cancelled, or its time is up, or the owner died
//	  |            v
//	  |          looked up by key at the tool service, a bounded number of times
//	  |            |
//	  v            v
//	Ended record: succeeded, failed, cancelled, not_run or outcome_unknown
//	  |  durable: EffectAnswer, and the next place has its turn
//
// Callers see queued and started as "waiting", sent and looked up as
// "running".
//
// Calls of one program run strictly one after another, in the order of their
// places, whichever gateway they came by. A call that names no place gets the
// one after the highest taken. A call whose predecessor never comes ends as
// not_run at its deadline, and its place stays taken.
//
// A caller's key names one call of its program for good. The same key with
// the same body returns that call, whatever became of it; with another body
// it is refused as key_reused. A call that ended as not_run stays so for its
// key, because a copy of the request may still be on its way; RetryAfter then
// tells when a new call, with a new key, may find better luck.
//
// # At most once
//
// A call is repeatable if it is a model call or says so. Any other call is
// sent at most once, ever:
//
//   - its Dispatched record is durable before EffectSend;
//   - an owner that folds a Dispatched record without an Ended one never
//     sends the call, but looks its key up at the service. A key that is not
//     found proves nothing, since the send may still be on its way: after
//     Config.LookupAttempts the call ends as outcome_unknown. A service that
//     cannot be asked is asked again until the call's deadline;
//   - only the sender's own word that nothing reached the service
//     (an Outcome with StatusNotRun) allows another attempt.
//
// A repeatable call may be sent before its Dispatched record is durable. An
// owner that takes over therefore never says not_run of the repeatable call
// whose turn it was: the owner before may have sent it and be unable to tell.
//
// not_run is said only of a call of which no attempt can have reached a back
// end. None can any more, because Dispatch refuses a call that has ended.
//
// Outcomes are matched on program, place and attempt, and are taken only
// while that attempt is out: late, second and crossed ones change nothing.
//
// # Budget
//
// The tokens that are spent, reserved and carved out never exceed the budget.
// A model call reserves its prompt and its output cap when it is accepted,
// and is refused when that does not fit. While earlier calls have not ended
// the prompt is an estimate from their caps; it is made exact when the call's
// turn comes, and a call that no longer fits ends as not_run. The outcome
// replaces the reservation by what was used. Where nobody knows what a call
// cost (cancelled, out of time, outcome unknown) the reservation stays held.
// Attempts that failed before the last one are not charged.
//
// A sub-agent is a program of its own in the same partition. Its budget is
// carved from its parent's by a Carved record, and what it has not used
// returns with another when it ends. Ending a parent ends its sub-agents.
//
// # Ends
//
// A program ends on command, when it is idle or lives for too long, when its
// parent ends, and when it asks for a call beyond its limit of turns. What
// waits ends as not_run, running calls that may be repeated are stopped, and
// others are awaited or looked up. Once nothing is left, EffectRelease frees
// what engines keep. The store then remembers the program, so that its
// history stays readable and its keys stay taken, for Terms.Retention or
// until a full store needs the room.
//
// # Memory
//
// Of a call that has ended the store keeps 40 bytes: the hashes of its key
// and body, two offsets and a status. Texts stay in memory only until Located
// tells where the log has them, and for calls that have not ended.
// [Store.History] and [Store.Prompt] return offsets, and the texts only where
// the log does not have them. docs/measurements/program.md has the figures.
package program
