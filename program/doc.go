// Package program is the state machine of agent programs: it orders their
// calls, enforces their budgets and limits, and records the outcome of every
// call.
//
// A [Store] holds the programs of one partition. It does no I/O, reads no
// clock and starts no goroutine: it takes a [Command] and the time, and
// returns an [Output]. The same package runs in the daemon and, in virtual
// time, in the emulator.
//
// # Driving a store
//
// State is event-sourced. [Store.Step] makes a decision, applies it to the
// state in memory at once and returns it as Records. The driver
//
//  1. performs Output.Immediate at once;
//  2. appends Output.Records to the partition's stream, in order;
//  3. performs Output.Effects, and answers the command's caller, once those
//     records and all earlier ones are durable;
//  4. calls [Store.SetRecordOffset] for each record once its log offset is
//     known.
//
// A command that is refused with an api.Error has no output and leaves the
// durable state unchanged. The driver calls [Store.Tick] no later than
// [Store.NextWake]; a tick processes a bounded number of programs and may have
// to be repeated. An owner that loses its partition discards the whole store:
// decisions that are not durable have not happened.
//
// The next owner creates an empty store, passes the newest snapshot to
// [Store.RecoverSnapshot] and every later valid record to [Store.Recover],
// and then calls [Store.Resume] with its epoch. Replay is deterministic: the
// same records give the same state on every node, and a snapshot followed by
// the records after it gives the same state as all records from the start.
//
// # The life of a call
//
//	Submit
//	  |  Accepted record (sequence number, deadline, reservation)
//	  v
//	queued ---------- waits until every lower sequence number has ended,
//	  |               including numbers whose call has not arrived yet
//	  |  it is the next to run: EffectSchedule
//	  v
//	scheduled <-----------------------------------------+
//	  |  Dispatch: Dispatched record (attempt, back end) | retry with backoff:
//	  v                                                  | repeatable, or
//	sent ------------------------------------------------+ nothing was sent
//	  |            |
//	  |            |  not repeatable, and the outcome is unknown, the call is
//	  |            |  cancelled, its time has run out or the owner failed
//	  |            v
//	  |          looked up by key at the tool service, a bounded number of times
//	  |            |
//	  v            v
//	Ended record: succeeded, failed, cancelled, not_run or outcome_unknown
//	  |  durable: EffectAnswer, and the next call is scheduled
//
// In the API, queued and scheduled calls are "waiting", and sent and looked up
// ones are "running".
//
// Calls of one program run strictly one after another, in the order of their
// sequence numbers, whichever gateway received them. A call without a sequence
// number gets the one after the highest in use. A call with a predecessor that
// never arrives ends as not_run at its deadline, and its sequence number is
// not reused.
//
// The caller's key identifies one call of its program permanently. The same
// key with the same body returns that call, whatever its outcome; the same key
// with another body is refused as key_reused. A call that ended as not_run
// keeps that outcome for its key, because a copy of the request may still be
// in transit; RetryAfter then suggests when to submit a new call with a new
// key.
//
// # At most once
//
// A call is repeatable if it is a model call or is marked as repeatable. Any
// other call is sent at most once:
//
//   - its Dispatched record is durable before EffectSend;
//   - an owner that replays a Dispatched record without an Ended one never
//     sends the call, but looks its key up at the service. A key that is not
//     found proves nothing, since the send may still be in transit: after
//     Config.LookupAttempts the call ends as outcome_unknown. If the service
//     cannot be reached, the lookup is repeated until the call's deadline;
//   - only the sender's statement that nothing reached the service (an Outcome
//     with StatusNotRun) permits another attempt.
//
// A repeatable call may be sent before its Dispatched record is durable. An
// owner that takes over therefore never reports not_run for the repeatable
// call that was next to run: the previous owner may have sent it without
// leaving a record.
//
// not_run is reported only for a call of which no attempt can have reached a
// back end, and none can reach one afterwards, because Dispatch refuses a call
// that has ended.
//
// Outcomes are matched by program, sequence number and attempt, and are
// accepted only while that attempt is running: late outcomes, duplicates and
// outcomes of other attempts have no effect.
//
// # Budget
//
// The sum of spent, reserved and allocated tokens never exceeds the budget.
// Accepting a model call reserves its prompt and its output cap; the call is
// refused if they do not fit. While earlier calls have not ended, the prompt is
// an estimate from their caps; it becomes exact when the call is next to run,
// and a call that no longer fits ends as not_run. The outcome replaces the
// reservation by the tokens used. If the cost is unknown (the call was
// cancelled, ran out of time or has an unknown outcome), the reservation
// remains held. Failed attempts before the last one are not charged.
//
// A sub-agent is a program of its own in the same partition. Its budget is
// allocated from its parent's by a BudgetTransferred record, and a second one
// refunds the unused part when the sub-agent ends. Ending a parent ends its
// sub-agents.
//
// # Ends
//
// A program ends on command, when it is idle for too long, at its maximum
// duration, when its parent ends, and when it requests a call beyond its limit
// of turns. Its waiting calls end as not_run, running calls that are repeatable
// are stopped, and others are awaited or looked up. Once no call and no
// sub-agent is left, EffectRelease frees the program's memory at the engines.
// The store keeps the ended program, so that its history stays readable and
// its keys stay in use, for Terms.Retention or until a full store needs the
// space.
//
// # Memory
//
// For a call that has ended the store keeps 40 bytes: the hashes of its key
// and body, two offsets, its status and its kind. Texts stay in memory only
// until SetRecordOffset gives the log offset of their record, and for calls
// that have not ended. [Store.History] and [Store.Prompt] return offsets, and
// texts only where the log does not have them yet.
// docs/measurements/program.md has the measured sizes.
package program
