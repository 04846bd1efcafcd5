// Package coordinator implements the control state of one node: which nodes are live, which
// partitions this node owns, and the ledgers of those partitions.
//
// A Core is a pure state machine. The driver passes in events with Step and performs the
// work that Ready returns: messages to peers, replies to requests, takeovers of partitions
// and appends to the log. It calls Step with a Tick no later than NextWake. The package
// reads no clock, opens no connection, starts no goroutine and uses no random source other
// than the one passed in.
//
// # Ownership of partitions
//
// Of the live nodes that reach the log, the one that ranks first for a partition takes it
// over: it claims a new epoch, which fences the previous owner, and then reads the newest
// record of each key, page by page. It starts to serve once it has read all accounts.
// Requests that need records not yet read are held for a bounded time. Other nodes are
// notified of the takeover and wait for it as long as it makes progress.
//
// Before it claims, the node requests a handover from the present owner (Handover). The
// owner closes its ledger, releases the partition once all its records are in the log, and
// answers. An owner that should own the partition answers that it retains it. If the owner
// does not answer within 200 ms, the node claims the partition anyway.
//
// A node that was fenced, or that may be in the minority of a network partition, claims only
// once the log shows that nobody else appends.
//
// A node that cannot reach the log is not a candidate. It reports this itself, or nodes that
// received the report pass it on. An outage of the log for all nodes changes no owner: a
// node takes such reports of others into account only after the log has answered it since
// the report, and not for some seconds after it reached the log again itself.
//
// In a large fleet a node receives messages from each of the others only seldom. The owner
// of a partition is therefore a record with the owner's epoch, which nodes gossip until all
// have it (Owner). The owner revises it when it loses or regains the log. A node that
// receives a request for a partition it does not serve replies with the record it has. If a
// partition remains without an owner, the nodes that rank next in its preference list take
// it over, one after the other.
//
// An append that the log refuses as fenced ends the ownership at once, as does a message
// with a higher epoch. Requests that waited for the append are answered with ReplyLost, and
// the requesters contact the new owner.
//
// Each node also computes by rank which nodes read the platform's lists for the others
// (Roles), so that all nodes agree on this without exchanging messages.
//
// # Turns of previous owners
//
// A new owner asks all nodes for the turns of the partition that they have not settled
// (ClaimMessage). Turns that no node has count at their maximum at once, since nobody will
// settle them.
//
// An owner that lost a partition and is alive sends the final state of its programs to the
// new owner (FormerMessage), which then counts what was used in place of what the log allowed.
//
// # Origins of streams
//
// A node reports to the owner of the program's partition which version of a service began a
// resumable stream, with the admission where that is certain (AdmitRequest), else once the
// first event has come (ledger.Stream). The node at which a client resumes the stream asks
// the same owner (OriginRequest).
//
// # Limits of tenants
//
// One live node, the counting node, counts all requests of a tenant (ChargeMessage). It is
// determined by rank, and needs neither the log nor a record of its own. The successor of a
// lost counting node starts with an empty account. The live nodes leave a part of each limit
// to known nodes that they cannot reach, since these may be alive in another network
// partition.
//
// # Freshness of the configuration
//
// Answers to charges carry a freshness proof: how long ago the answering node's
// configuration was proven to be the newest. Nodes without a recent proof request one
// (FreshnessMessage). A proof is dated from when its request was sent, so that delays never
// make it appear more recent than it is.
//
// # Answers from previous owners
//
// A previous owner that has not noticed its replacement yet still answers requests. The
// tokens that it grants lie below marks that the new owner counts as used, so that budgets
// are not exceeded. It replies that a turn is not stored only after an append, if necessary
// an empty one, has proven that its epoch is still in force.
package coordinator
