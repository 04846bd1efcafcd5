// Package contract holds the settings tree and resolves it into the contract
// of each branch: where its programs may run and what they may spend.
//
// It is a standalone library. It uses no network, clock or goroutines, and does
// not depend on the rest of the daemon.
//
// # The tree
//
// A branch has a Path, such as "koudeketting/triage", and Values that it
// overrides. It inherits all other values from the nearest ancestor that sets
// them; the root inherits defaults. Zones are the exception: a branch can only
// narrow what its parent permits, so its Placement is the intersection of its
// own list with its parent's Placement. Narrowing a list affects every
// descendant at once, and a branch with no zones left permits none. The root
// has no default zone.
//
// The tree stores bearer tokens as hashes (HashToken). A token is listed by
// one branch and is valid there and below it. Tree.Caller and Tree.Operator
// find that branch; Path.Within reports whether a path is at or below another.
//
// # Applying changes
//
// Changes are records of one stream of the log service, StreamName. A Tree is
// the state that results from applying them in order: Apply (or ApplyBytes)
// takes the record at offset n as revision n+1 and returns a Verdict. The
// result depends on the records alone, so every node reaches the same verdict.
// Operators are shown the verdict; a successful append does not mean that a
// change was accepted.
//
// A change is a compare-and-set. It names the revision that it is Based on,
// and conflicts if a path that it edits, or an ancestor or descendant of one,
// was edited after that by an accepted change; the verdict names the latest
// such change as the Winner. An invalid change is refused with all of its
// findings, each with the path of the offending value
// ("edits[1].values.zones[0]"). Records that do not decode as a change are
// refused and skipped. A change whose ID was seen before gets its first verdict
// again and has no further effect.
//
// A tree retains the last WindowRecords records, for duplicates, History and
// Diff. A change based on a revision before the window is refused if anything
// was accepted since. This also makes a duplicate harmless after its first copy
// was evicted: the revision that it is based on is older still.
//
// All nodes of a deployment must apply records identically. A release that adds
// a value must therefore run on every node before a change uses it, because
// older nodes refuse a record with an unknown name.
//
// # Reading
//
// Resolve, Explain, Placements, Caller and the other reads see the state as of
// the last published change, take no lock, and may be called from any
// goroutine. Resolve is a lookup and cheap enough for the request path.
// Preview and Check apply a change to a copy and report the result.
//
// # Following the stream
//
// Follower is the state machine that keeps a Tree up to date with the stream.
// Its driver calls Tick at NextWake, performs the Read that Ready returns,
// answers with Step, and passes each peer's Report to ObserveReport. The
// follower polls at a low rate and reads at once when a peer reports a newer
// record.
//
// # Operation without the store
//
// Freshness reports whether new work may start. The rule is that a node starts
// work only under settings that cannot have changed without the node receiving
// the change within the bound (FollowerConfig.FreshnessBound):
//
//   - fresh: within the bound, this node, or a peer that holds the same
//     position, saw the end of the stream. The time that counts is when the
//     read was issued. A peer's time is sent as an age, since clocks differ,
//     and FollowerConfig.MessageDelay is added to it. New work may start. A
//     node that alone cannot reach the store stays fresh in this way.
//   - behind: a record that this node has not read is known to exist, from its
//     own read or from any peer. New work may not start, whatever other peers
//     report.
//   - outage: neither this node nor a peer with the same position saw the end
//     of the stream within the bound. Within the bound, this node received
//     evidence, directly or through other nodes, of a node in every zone of
//     the deployment that holds the same position, knows of no newer record
//     and did not see the end either. The store is then down for all, and
//     since a change is an append, the settings cannot have changed. New work
//     may start.
//   - unconfirmed: anything else. Either there is no evidence from some zone,
//     or no peer reported at all: the network partition may be on this node's
//     side, and nodes on the other side may have changed the settings. New
//     work may not start.
//
// The rule requires every zone rather than every node, because network
// partitions separate whole zones, while a failed node is no reason to stop. A
// node may have evidence from every zone and still be wrong, if another node in
// one of these zones can reach the store again. It then receives the newer
// record within that node's read delay (MaximumRetryInterval) plus the time
// that information takes between nodes. Operators who append to the stream by
// other means than a node are equivalent to a node here: they too need the
// store to be reachable for somebody.
//
// If a node cannot read the stream while a peer holds newer settings, for
// example because it started during an outage of the store, Ready returns
// FetchFrom: the driver requests Export from that peer and calls Import. The
// snapshot has a checksum, is fully validated before it replaces anything, and
// is refused if it is not newer than the settings held. A tree never returns to
// an older revision, whether by a snapshot, a stream that became shorter or a
// late answer.
package contract
