// Package recordlog makes the records of one partition durable in a stream of
// the log service.
//
// Many processes may append to the same stream, and any of them may be a
// former owner that does not know it yet. Which entries count is decided by
// their order in the log alone. A Fold reads the entries in that order: a
// claim opens an epoch, and the first claim of an epoch wins. Entries of any
// other epoch or writer that stand after it are void, for every reader. Each
// entry carries its writer, epoch and sequence, so an append that was repeated
// because its answer was lost counts once.
//
// A Journal is one writer. It is a state machine without I/O: the caller
// passes events and the time in, and performs what Ready returns.
//
//	recordlog.Peek(now)     // read the last entry: who wrote last, which epoch
//	recordlog.CatchUp(now)  // read from the newest snapshot to the end
//	recordlog.Claim(now, self)
//	recordlog.Propose(now, payload)
//
// Proposals are committed in groups: one append is in flight, and what is
// proposed meanwhile goes with the next one. A single append in flight keeps
// the sequence of the log free of gaps whatever becomes of an answer, so the
// fold needs no buffer for entries that arrive out of order.
//
// An append is confirmed without reading it back: when the returned offset
// follows directly on the last entry that was folded, nothing can stand
// between, so no claim precedes the entries. Otherwise the gap is read and
// folded first. An append whose answer was lost is repeated with the same
// headers; the offset of the copy then shows the gap that holds the first one.
//
// The cost of CatchUp follows the live state: WantsSnapshot asks for a new
// snapshot when the records after the last one outnumber the configured count
// and outweigh the last snapshot. Each header names the newest snapshot, so
// the last entry of a stream tells where to start.
//
// The package knows nothing of mirrors beyond the set that an entry names;
// package partition holds records at mirrors while the log does not answer
// and marks them with MarkMirrored.
package recordlog
