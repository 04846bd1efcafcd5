// Package partition decides which node owns a partition, and moves ownership
// between nodes without losing a confirmed record.
//
// A partition is one stream of the log service with one placement (the zones
// that may see its data) and one valid owner. Replica is one node's state
// machine for one partition. It does no I/O; the caller drives it:
//
//	replica.SetView(now, view)       // whenever the list of live nodes changes
//	replica.Step(now, answer)        // Appended and ReadDone, from the log
//	replica.StepMessage(now, from, message)
//	replica.Tick(now)                // at NextWake
//	for replica.HasReady() { perform(replica.Ready()) }
//
// # Choice of the owner
//
// Owner ranks the permitted live nodes by rendezvous hash, so nodes with the
// same list choose the same owner without communicating. A node that has been
// the desired owner for Config.ClaimDwell reads the tail of the stream. If the
// winner of the last epoch is live, the node sends it a HandoverRequest. The
// winner hands over once it has seen the same other node as the desired owner
// for Config.HandoverDwell: it accepts no more proposals, appends an entry that
// ends its epoch after the last one, and offers the partition. If the winner is
// not live, or does not answer for Config.OwnerPatience, the node claims. A
// list that flaps faster than the dwell times has no effect.
//
// # Safety with two owners
//
// The view only decides which node tries to own the partition. The order of the
// log decides which one does: the first claim of the epoch after the newest one
// wins, and voids every later entry of older epochs (see package recordlog). A
// previous owner that was paused reads that claim before the log confirms
// anything that it appends.
//
// # While the log does not answer
//
// When an owner opens its epoch it names up to Config.MirrorCount mirrors in
// the log, in other zones if possible. Entries that the log leaves unanswered
// for Config.MirrorDelay are sent to the mirrors, and are confirmed with
// NoOffset once a write quorum holds them. A second Confirmed with the offset
// follows once the log has them. The records that the log has not confirmed are
// limited: beyond that limit, Propose returns ErrFull.
//
// The next owner reads a read quorum of the mirrors that the last opened epoch
// named; every read quorum shares a mirror with every write quorum. A mirror
// that was read refuses the older epoch from then on. The new owner appends the
// records that the log lacks, each with its original epoch and sequence, and
// after them the entry that names its own mirrors. Only then does it report
// Acquired. If it dies before that, the next claimant has to recover the same
// records, except those that are in the log by then.
//
// Mirrors hold entries in memory. The log names each mirror with the process
// that agreed, so a restarted process is not mistaken for one that held
// nothing. A previous owner whose process still runs answers for all mirrors
// once it has detected that it lost the epoch. If neither a read quorum nor that
// owner is left, the recovery waits and Stall returns the reason: records may
// be lost, and whether to continue is decided by an operator (AcceptLoss) or by
// a policy (Config.AcceptLossAfter). The log records the decision.
//
// A claim needs the log: while the owner is dead and the log is down at the same
// time, the partition is unavailable.
package partition
