// Package coordinator is one node's control state: who is live, which
// partitions this node owns, and the ledgers of those partitions.
//
// A Core is a pure state machine. The driver passes in events with Step and
// performs what Ready returns: messages to peers, replies to requests, takeovers
// of partitions and appends to the log. It calls Step with a Tick no later than
// NextWake. Nothing here reads a clock, opens a connection, starts a goroutine
// or uses a random source that was not passed in.
//
// # Owning a partition
//
// The node that ranks first for a partition among the live nodes that reach
// the log takes it over: it claims a new epoch, which fences the former owner,
// and then reads the newest record of each key, page by page. It serves once all
// accounts are read; requests that need what is not read yet are held for a bounded
// time. Others know of the takeover and wait for it while it gets on.
//
// A node that was fenced, or that may be behind a cut, claims only once the log shows
// that nobody else appends.
//
// It asks the owner first, which closes its ledger, gives the partition up once
// the log has all of it, and answers (Handover). An owner that is to own the
// partition answers that it keeps it; one that does not answer within a fifth of
// a second is followed all the same.
//
// A node that does not reach the log is no candidate. It tells so itself, or is
// named by nodes that heard it. An outage for all changes no owner: others' lack
// of the log counts only after an answer of the log that came later than their
// word, and not for some seconds after one's own return.
//
// In a large fleet a node hears each of the others seldom. Who serves a partition is
// therefore a record with the owner's epoch, which its owner renews when it loses or
// regains the log and which nodes pass on until all have it (Owner). A node that is
// asked in vain answers with the record that it has. The nodes that rank next after
// the first one take a partition over, one after the other, when it stays without an
// owner.
//
// Each node also ranks who reads the platform's lists for the others (Roles), so that
// all agree on that without a message.
//
// An append that the log refuses as fenced ends the ownership at once, as does
// word of a higher epoch. What waited for the append is told that the owner is
// lost, and asks the new one.
//
// # Counting to the limits of tenants
//
// One live node counts each tenant's requests, by rank; it needs neither the log nor
// a record of its own (ChargeMessage). Who follows a lost one begins with an empty
// account, and live nodes leave a part of each limit to those that they know of and
// do not reach, which may live on behind a cut.
//
// # How lately a configuration was the newest
//
// Answers to charges carry how long ago the answering node's configuration was proven
// to be the newest; nodes that hear nothing recent ask (ProofMessage). Such word
// counts from when its question was sent, so that no delay makes it younger than it
// is.
//
// # Answers that must be certain
//
// A former owner that does not yet know of its end still answers. What it
// grants lies under marks that the new owner counts as used, so that the
// budget holds. That a turn is not kept it says only after an append, if need
// be an empty one, has shown that its epoch is still in force.
package coordinator
