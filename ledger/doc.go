// Package ledger holds the state of one partition's programs that must survive the loss
// of any node: an upper bound of the tokens that each program has used, and the stored
// turns.
//
// A Ledger is a pure state machine that is driven by the partition's owner. Admit decides
// whether a turn may run, Settle records the tokens that it used, and StoreTurn stores a
// completed turn. Admit and StoreTurn return a position; their effect is durable once
// Durable has reached it. Ready returns the next batch of records to append to the log,
// and BatchCommitted reports that the batch is in the log. The ledger performs no I/O and
// reads no clock.
//
// # The budget
//
// The log holds one record for each program, of one of two kinds.
//
// A mark is an upper bound of the tokens granted so far. A turn whose maximum fits under
// the mark needs no write. A new owner counts the whole mark as used. A mark is raised
// ahead of need by up to two turns, and by at most a third of the remaining budget. Turns
// use about a quarter of their maximum, so a program seldom runs short of budget after
// its owner failed, and most programs need one write.
//
// An exact record holds the tokens of settled turns, the open turns, and a number of
// slots: turns that may be granted without another record. It is written where every turn
// causes an append anyway, as stored turns do, and where the budget is too small to raise
// a mark ahead of need. A new owner counts the listed turns and the slots as uncertain,
// at their maximum, until they are settled: a listed turn by its ID, a slot by its grant
// number. Until the time to settle them is over, a turn that does not fit gets
// VerdictBusy and is to be retried.
//
// No token of a turn may reach the client before a record that covers the turn is
// durable. An owner that releases the partition in an orderly way lowers its marks to the
// tokens used.
//
// # Programs without a record in the log
//
// If UnrecordedShare is set, a program may use that share of its budget and one turn
// before its first record is durable, so that programs can start, and often finish, while
// the log accepts no appends. If the share is smaller than one turn, or the budget is below
// UnrecordedMinBudget, only the one turn is allowed. The owner first writes an open record
// that announces this (Open).
//
// A new owner that finds the open record assumes that every program without a record has
// used what it was allowed besides the one turn, and requires a durable record from each
// of them, until no program of the previous owner can return. An owner that releases the
// partition removes the open record after everything else that it has proposed (Close). A
// previous owner that has not noticed its replacement stops by itself: a confirmation of
// its ownership by the log (ConfirmOwnership) is valid for OwnershipProofTTL, which ends
// before the new owner stops assuming use.
//
// # The final state of a previous owner
//
// An owner that lost its partition and is alive passes on the use of its programs
// (FormerState). The new owner replaces by it what it restored from that owner's records
// (Reconcile).
//
// # Origins of streams
//
// BeginStream notes which version of a service began the stream of a client attempt, and
// StreamOrigin returns it to the node at which the client resumes the stream. An origin is
// known at once and recorded with the next batch, so that neither a stream nor its first
// event waits for the log. A new owner does not know origins that were not recorded yet: their
// streams cannot be resumed, but none goes on at another version.
//
// # Streams that are resumed
//
// A turn that resumes a stream names the turn that began it. All attempts at a stream are one
// turn of the program, but each counts for itself until it is settled, since a node that is
// slow or partitioned off may still deliver tokens. To make up for that, the resuming turn may
// use one turn more than the budget. LapseLost lets the turns of processes lapse that have
// ended; what a client then says that it has received replaces the maximum of such attempts.
//
// # Stored turns
//
// A stored turn holds its input, its output and the ID of the turn that it continues. The
// chain of a turn is what an engine has to read before the next input. A turn and its
// chain are stored for the retention time of its route.
package ledger
