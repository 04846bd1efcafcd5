package partition

import (
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/zone"
)

// State is a replica's role in a partition.
type State string

// The states of a Replica.
const (
	// StateFollowing: another node owns the partition, or no node does.
	StateFollowing State = "following"
	// StateClaiming: this node reads the stream and appends its claim.
	StateClaiming State = "claiming"
	// StateRecovering: the claim won; the mirrors of an earlier epoch are read
	// and this epoch is opened.
	StateRecovering State = "recovering"
	// StateOwning: this node owns the partition and accepts proposals.
	StateOwning State = "owning"
	// StateReleasing: a planned handover waits for the log to confirm all
	// proposals.
	StateReleasing State = "releasing"
)

// The requests to the log, their answers and their results are those of
// recordlog.
type (
	// Append is a request to append entries to the partition's stream.
	Append = recordlog.Append
	// Read is a request to read the partition's stream.
	Read = recordlog.Read
	// Appended answers an Append.
	Appended = recordlog.Appended
	// ReadDone answers a Read.
	ReadDone = recordlog.ReadDone
	// Confirmed reports that a proposed record is durable.
	Confirmed = recordlog.Confirmed
	// Recovered is one valid record or snapshot part, in order.
	Recovered = recordlog.Recovered
)

// NoOffset is the offset of a confirmed record that mirrors hold and the log
// does not have yet.
const NoOffset = recordlog.NoOffset

// Ready holds the pending output of a Replica. The driver performs all of it,
// then calls Ready again after the next Step.
type Ready struct {
	State     State
	Epoch     uint64
	Appends   []Append
	Reads     []Read
	Messages  []Outbound
	Recovered []Recovered
	Confirmed []Confirmed
	// Lost is set when ownership ended: this node must treat every unconfirmed
	// proposal as void and drop the partition's state.
	Lost bool
	// Acquired is set when recovery is complete and Propose accepts records.
	// All of the partition's Recovered records were delivered before or with
	// it.
	Acquired bool
}

// View is this node's view of everything that ownership depends on.
type View struct {
	// Placement lists the zones that may own, mirror and read the partition.
	Placement zone.Placement
	// Nodes lists the nodes that are not known to be dead, this one included.
	// Leaving nodes are listed with that status: they get no new partitions or
	// mirror roles, but are sent a handover request before another node claims.
	Nodes []machine.Machine
	// Stopping is set while this node leaves the cluster: it hands over all its
	// partitions.
	Stopping bool
	// Excluded is set when the placement does not permit this node, for example
	// after a change of the placement: an owner then hands the partition over
	// at once.
	Excluded bool
	// DeferHandover delays a handover that is due, because work that must not
	// be interrupted is running. HandoverDue reports whether one is waiting.
	DeferHandover bool
}
