// Package contract holds the settings tree, and resolves it into the contract
// of each branch: where its programs may run and what they may spend.
//
// It is a library of its own: it knows no network, clock or goroutine, and
// needs none of the daemon's other parts.
//
// # The tree
//
// A branch has a Path, such as "koudeketting/triage", and Values that it
// overrides. What it does not set it inherits from the nearest branch above
// that does; the root inherits defaults. Zones are the exception: a branch can
// only narrow what its parent permits, so its Placement is the intersection
// of its own list with its parent's Placement. A list that is narrowed above
// binds every branch below at once, and a branch whose zones are all gone
// permits none. The root has no default zone.
//
// Bearer tokens stand in the tree as hashes (HashToken). A token counts at
// the one branch that lists it, and below it. Tree.Caller and Tree.Operator
// find that branch; Path.Within says whether another one lies below it.
//
// # The fold
//
// Changes stand in one stream of the log service, StreamName. A Tree is the
// fold of that stream: Apply (or ApplyBytes) takes the record at offset n as
// revision n+1 and returns a Verdict. The fold depends on nothing but the
// records, so every node reaches the same verdict. An operator is told the
// verdict; that the append was answered says nothing.
//
// A change is a compare-and-set. It names the revision that it is Based on,
// and conflicts when a path that it edits, or one above or below it, was
// edited after that by an accepted change; the verdict names the latest of
// those as the Winner. A change that is wrong in itself is refused with all of
// its findings, each with its place ("edits[1].values.zones[0]"). Records that
// are no change are refused and skipped. A change whose ID was seen before
// gets its first verdict again and has no further effect.
//
// A tree remembers the last Window records, for duplicates, History and Diff.
// A change based before the window is refused if anything was accepted since;
// that is also why a duplicate that comes after its first copy was forgotten
// has no effect: what it is based on is older still.
//
// All nodes of a deployment must fold alike. A release that adds a value
// must therefore run on every node before a change uses it: an older node
// refuses a record with a name that it does not know.
//
// # Reading
//
// Resolve, Explain, Placements, Caller and the other reads see the state as
// of the last published change, take no lock, and may be called from any
// goroutine. Resolve is meant for the path of a request: it is a lookup.
// Preview and Check fold a change on a copy and tell its effect.
//
// # Following the stream
//
// Follower is the state machine that keeps a Tree in step with the stream. Its
// driver calls Tick at NextWake, performs the Read that Ready asks for,
// answers with Step, and passes each peer's Report to HeardReport. The
// follower polls slowly and reads at once when a peer tells of a newer record.
//
// # What a node may do without the store
//
// Freshness says whether new work may be placed. The rule is that a node
// places work only under settings that nobody can have changed without its
// hearing of it within the bound (FollowerConfig.FreshnessBound):
//
//   - fresh: within the bound, this node saw the end of the stream, or a peer
//     that holds the same position did. The time that counts is when the read
//     was issued, and a peer's time is told as an age, since clocks differ,
//     to which FollowerConfig.MessageDelay is added. It may place. A node that alone cannot reach the store stays fresh so.
//   - behind: a record that it has not read is known to exist, from its own
//     read or from any peer. It may not place, whatever else it hears.
//   - outage: nobody saw the end within the bound. Within the bound it heard
//     of a node in every zone of the deployment, from that node or by way of
//     others, that holds the same position, knows of no newer record and did
//     not see the end either. The store is then down for all, nobody can have
//     changed the settings, since a change is an append, and it may place.
//   - unconfirmed: anything else. Some zone was not heard of, or no peer was
//     heard at all: the cut may be on this side, and whoever is on the
//     other may have changed the settings. It may not place.
//
// The rule asks for every zone and not for every node, because a zone is what
// the network cuts off as a whole, while a dead node is no reason to stop. A
// node that hears of each zone and is wrong all the same, because some other
// node of such a zone reaches the store again, hears of the newer record
// within that node's read pause (MaximumRetryInterval) and the time that news
// takes between nodes. Operators who append to the stream by other means than a node
// count as a node here: they too need the store to be up for somebody.
//
// A node that cannot read the stream while a peer holds newer settings, such
// as one that starts while the store is down, is told by Ready to Fetch: it
// asks that peer for Export and calls Import. The snapshot has a checksum, is checked as a whole before it
// replaces anything, and is refused when it is not newer than what is held.
// Nothing ever moves a tree back to an older revision: not a snapshot, not a
// stream that became shorter, not a late answer.
package contract
