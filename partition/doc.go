// Package partition decides which node owns a partition, and moves the
// partition from one owner to the next without losing a confirmed record.
//
// A partition is one stream of the log service, one placement (the zones that
// may see its data) and one valid owner. Replica is one node's part in it: a
// state machine without I/O, driven like this.
//
//	replica.SetView(now, view)       // whenever the list of live nodes changes
//	replica.Step(now, answer)        // Appended and ReadDone, from the log
//	replica.StepMessage(now, from, message)
//	replica.Tick(now)                // at NextWake
//	for replica.HasReady() { perform(replica.Ready()) }
//
// # Who owns
//
// Owner ranks the permitted live nodes by rendezvous hash, so nodes with the
// same list agree without talking. A node that finds itself first for
// Config.ClaimDwell looks at the stream. If the last winner is live, it asks
// that node to hand over; the owner does so once it has seen the same other
// node first for Config.HandoverDwell. It stops taking proposals, appends an
// entry that ends its epoch behind the last one, and offers the partition. If
// the last winner is not live, or stays silent for Config.OwnerPatience, the
// node claims. A list that flaps faster than the dwell times changes nothing.
//
// # Why two owners do no harm
//
// The view only decides who tries. The order of the log decides who owns: the
// first claim of the epoch after the newest one wins, and voids every later
// entry of older epochs (see package recordlog). A former owner that was paused
// finds the claim before anything that it appends is confirmed.
//
// # While the log does not answer
//
// When an owner opens its epoch it names up to Config.MirrorCount mirrors in
// the log, in other zones where there are any. Entries that the log leaves
// unanswered for Config.MirrorDelay go to them, and are confirmed with NoOffset
// once a write quorum holds them; a second Confirmed with the offset follows
// when the log has them. What may be unconfirmed by the log is bounded:
// Propose answers ErrFull beyond.
//
// The next owner reads a read quorum of the mirrors that the last opened epoch
// named, which shares a mirror with every write quorum; a mirror that was read
// refuses the older epoch from then on. It appends what the log lacks, each
// record with the epoch and sequence that it had, and behind them the entry
// that names its own mirrors. Only then it is Acquired. If it dies before, the
// next claimant finds the same debt, less what the log has by then.
//
// Mirrors hold entries in memory. They are named with the process that agreed,
// so a restarted one never counts as having held nothing. A former owner whose
// process lives answers for all of them once it knows that it lost the epoch.
// When neither a read quorum nor that owner is left, the recovery waits and Stall
// says why:
// records may be lost, and whether to go on is for an operator (AcceptLoss) or
// for a policy (Config.AcceptLossAfter) to decide. The log notes the decision.
//
// A claim needs the log: while the owner is dead and the log is down together,
// the partition waits.
package partition
