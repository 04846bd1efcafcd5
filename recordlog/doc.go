// Package recordlog makes the records of one partition durable in a stream of
// the log service.
//
// Several processes may append to the same stream, and any of them may be a
// previous owner that has not detected yet that it lost the partition. Only the
// order of the entries in the log decides which of them are valid. A Fold
// processes the entries in that order: a claim opens an epoch, and the first
// claim of an epoch wins. Entries of any other epoch or writer after it are
// void, for every reader. Each entry carries its writer, epoch and sequence, so
// an append that was retried because its answer was lost takes effect once.
//
// A Journal is one writer. It is a state machine without I/O: the caller passes
// in events and the time, and performs the requests that Ready returns.
//
//	journal.Peek(now)     // read the last entry: the last writer and epoch
//	journal.CatchUp(now)  // read from the newest snapshot to the end
//	journal.Claim(now, self)
//	journal.Propose(now, payload)
//
// Proposals are committed in groups: there is one append in flight, and records
// proposed in the meantime go with the next one. With a single append in
// flight, the sequences in the log have no gaps even if answers are lost, so a
// Fold needs no buffer for entries that arrive out of order.
//
// An append is confirmed without reading it back: if the returned offset
// directly follows the last applied entry, no other entry can be in between, so
// no claim precedes the appended entries. Otherwise the gap is read and applied
// first. An append whose answer was lost is retried with the same headers; the
// offset of the copy then reveals the gap that contains the original.
//
// The cost of CatchUp is proportional to the live state: WantsSnapshot requests
// a new snapshot when the records after the last one reach both the configured
// number and the size of that snapshot. Each header names the newest snapshot,
// so the last entry of a stream shows where to start reading.
//
// The package does not handle mirrors except for the set that an entry names.
// Package partition stores records at mirrors while the log does not answer,
// and reports them with MarkMirrored.
package recordlog
