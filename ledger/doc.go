// Package ledger keeps what must outlast any loss of nodes for the programs of
// one partition: the tokens that each program may have used, and the turns that
// the system keeps.
//
// A Ledger is a pure state machine that its partition's owner drives. Admit
// decides whether a turn may run, Settle counts what it used, Keep takes a
// whole turn in. Each returns a Position: what was asked for is durable once
// Durable has reached it. Ready yields the records that are due for the log,
// one batch at a time, and Stored tells that the batch is in the log. The
// ledger performs no I/O and reads no clock.
//
// # The budget
//
// The log holds a record for a program, of one of two kinds. A mark says that no more
// tokens were granted: a turn whose most fits under it needs no write, and a new owner
// takes it as used. A mark is raised by up to two turns, a third of what the budget
// still holds at most: turns use about a quarter of their most, so that a program is
// seldom short of budget after its owner was lost, and most programs need one write.
//
// An exact record holds what was settled, the turns under way, and slots: how many turns
// may be granted without another record. It is written where each turn brings an append
// anyway, as kept turns do, and where the budget is too small for a mark ahead of the
// need. A new owner counts listed turns and slots at their most, as doubts, until their
// ends are told: by the id of a listed turn, or by the number of a grant. Until the time
// for that is over, a turn that does not fit is told to come back (VerdictBusy).
//
// No token of a turn may reach the client before a record that covers the turn is
// durable. An owner that stops in order lowers its marks to what was used.
//
// # Programs that the log does not know yet
//
// Where UnrecordedShare is set, a program may use that share of its budget and
// one turn before its first record is durable, so that programs begin and often end while
// the log takes no records. Of a budget whose share does not hold a turn, it is the turn
// alone. The owner has first put a record into the log that
// says so (Open). A new owner that finds it takes the share as used by every
// program that the log does not know, and lets none begin unrecorded, until no
// program of the former owner can come back. An owner that gives up in order
// removes the record behind everything that it has proposed (Close). A former
// owner that does not know that it is one stops by itself: what the log has
// proven last of its ownership (Prove) counts for UnrecordedFor only, which ends
// before its successor stops assuming.
//
// # Kept turns
//
// A kept turn holds its input and its output, and the turn that it goes on
// from. The chain of a turn is what an engine has to read before the next
// input. A turn and its chain are kept for the time that its route names.
package ledger
