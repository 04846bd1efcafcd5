package partition

import (
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/zone"
)

// State is a replica's part in a partition.
type State string

// The states of a Replica.
const (
	// StateFollowing: another node owns the partition, or nobody does yet.
	StateFollowing State = "following"
	// StateClaiming: this node reads the stream and appends its claim.
	StateClaiming State = "claiming"
	// StateRecovering: the claim won; records and mirrors are being read.
	StateRecovering State = "recovering"
	// StateOwning: records may be proposed.
	StateOwning State = "owning"
	// StateReleasing: a planned hand-over flushes what is not confirmed yet.
	StateReleasing State = "releasing"
)

// The requests to the log, their answers and what they add up to are those of
// the journal.
type (
	// Append asks the driver to append entries in one request.
	Append = recordlog.Append
	// Read asks the driver to read the partition's stream.
	Read = recordlog.Read
	// Appended answers an Append.
	Appended = recordlog.Appended
	// ReadDone answers a Read.
	ReadDone = recordlog.ReadDone
	// Confirmed says that a proposed record is durable.
	Confirmed = recordlog.Confirmed
	// Recovered is one valid record or snapshot part, in order.
	Recovered = recordlog.Recovered
)

// NoOffset marks a record that mirrors hold and the log does not have yet.
const NoOffset = recordlog.NoOffset

// Ready is what a Replica wants done. The driver performs all of it, then
// calls Ready again after the next Step.
type Ready struct {
	State     State
	Epoch     uint64
	Appends   []Append
	Reads     []Read
	Messages  []Outbound
	Recovered []Recovered
	Confirmed []Confirmed
	// Lost says that ownership ended: every unconfirmed proposal is void as
	// far as this node knows, and its state must be dropped.
	Lost bool
	// Acquired says that recovery is complete and Propose is open. All of
	// the partition's Recovered records were delivered before or with it.
	Acquired bool
}

// View is what ownership depends on, as this node sees it.
type View struct {
	// Placement holds the zones that may own, mirror and read the partition.
	Placement zone.Placement
	// Nodes are the nodes that are believed live, this one included. Leaving
	// ones belong to them, with that status: they own and mirror nothing new,
	// but are asked to hand over before anybody claims.
	Nodes []machine.Machine
	// Stopping is set while this node leaves: it hands everything over.
	Stopping bool
	// Excluded is set on a node that the placement does not permit, such as an
	// owner after the placement changed: it hands the partition over at once.
	Excluded bool
	// DeferHandover keeps an owner from handing over: work that must not be cut is under
	// way. HandoverDue tells when it is waited for.
	DeferHandover bool
}
