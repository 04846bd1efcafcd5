package coordinator

import (
	"time"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/replica"
)

// Event is an input to Core.Step.
type Event interface{ event() }

// Tick performs the work that is due.
type Tick struct{}

// NodeListRead carries the complete list of nodes in the platform's store.
type NodeListRead struct{ Nodes []machine.Machine }

// NodesDiscovered carries some nodes of the fleet.
type NodesDiscovered struct{ Nodes []machine.Machine }

// StoreContact reports whether this node reached the store recently, and when last.
type StoreContact struct {
	Reached bool
	Last    time.Time
	// Failing is set if calls to the store have failed since its last answer.
	Failing bool
}

// PeerReceived carries a message from another node.
type PeerReceived struct{ Message PeerMessage }

// RequestReceived carries a request about a partition, from this node or from a peer.
type RequestReceived struct {
	// ID correlates the Reply; the driver allocates it.
	ID        uint64
	Partition int
	Request   Request
}

// TakeoverRead reports progress of a takeover: the claim is in the log, and some of the
// newest records were read, in key order.
type TakeoverRead struct {
	Partition int
	Epoch     ownership.Epoch
	Records   []ledger.Record
}

// TakeoverEnded reports the end of a Takeover.
type TakeoverEnded struct {
	Partition int
	Epoch     ownership.Epoch
	Outcome   Outcome
	// End is the end of the log, for OutcomeLogAdvanced.
	End uint64
	// Records are those that no TakeoverRead has carried, for OutcomeDone.
	Records []ledger.Record
}

// Appended reports the end of an Append.
type Appended struct {
	Partition int
	Epoch     ownership.Epoch
	Sequence  uint64
	Outcome   Outcome
}

// LogFull reports that the log has no space for the append in progress.
type LogFull struct {
	Partition int
	Epoch     ownership.Epoch
}

// Outcome is how a takeover or an append ended.
type Outcome int

// Outcomes of takeovers and appends.
const (
	// OutcomeDone means that the log acknowledged the operation.
	OutcomeDone Outcome = iota
	// OutcomeFenced means that the log refused it because a higher epoch is in force.
	OutcomeFenced
	// OutcomeFailed means that a takeover was abandoned, and may be tried again, or that
	// the log expected another append sequence.
	OutcomeFailed
	// OutcomeLogAdvanced means that a contested takeover was not started because another
	// owner still appends.
	OutcomeLogAdvanced
)

// OwnerReported carries the owner record that another node sent in an answer.
type OwnerReported struct{ Owner Owner }

// OwnershipDenied reports that a node does not serve a partition and does not know who
// does.
type OwnershipDenied struct {
	Partition int
	Node      machine.ID
}

// Leave starts this node's planned stop.
type Leave struct{}

// Loads carries this node's requests in progress, by replica.
type Loads struct {
	Counts map[string]int
	// Reports are sent to collectors. They hold these requests and the token times of
	// replicas.
	Reports map[replica.ID]replica.Report
	// Version is the newest configuration that this node holds, and RetainFor the longest
	// retention of programs among its routes.
	Version   uint64
	RetainFor time.Duration
	// Evacuations is the version of this node's state of zone evacuations.
	Evacuations uint64
}

// ChargeRequested requests that a request received by this node be counted against its
// tenant's limit or a cold replica's rate. A Charged answers it, at the latest after
// Timeout.
type ChargeRequested struct {
	// ID correlates the Charged; the driver allocates it.
	ID      uint64
	Charge  Charge
	Timeout time.Duration
}

// FreshnessProven reports that the configuration this node holds, which has the given
// version or a newer one, was the newest at the given time.
type FreshnessProven struct {
	At      time.Time
	Version uint64
}

// ChargeRefunded reports that a granted request did not run.
type ChargeRefunded struct{ Charge Charge }

func (Tick) event()            {}
func (FreshnessProven) event() {}
func (ChargeRequested) event() {}
func (ChargeRefunded) event()  {}
func (NodeListRead) event()    {}
func (NodesDiscovered) event() {}
func (StoreContact) event()    {}
func (PeerReceived) event()    {}
func (RequestReceived) event() {}
func (TakeoverRead) event()    {}
func (TakeoverEnded) event()   {}
func (Appended) event()        {}
func (LogFull) event()         {}
func (OwnerReported) event()   {}
func (OwnershipDenied) event() {}
func (Leave) event()           {}
func (ClaimsListed) event()    {}
func (RunsReported) event()    {}
func (RunRequested) event()    {}
func (RequestReleased) event() {}
func (RunsListed) event()      {}
func (Loads) event()           {}

// PeerMessage is a message between two nodes, other than a request.
type PeerMessage struct {
	From machine.Machine `json:"from"`
	// Membership is a message of the failure detector, or nil.
	Membership *machine.Message `json:"membership,omitempty"`
	// Status is the sender's state, or nil.
	Status *Status `json:"status,omitempty"`
	// Handover requests a partition or answers such a request, or is nil.
	Handover *Handover `json:"handover,omitempty"`
	// Former is the final state of a partition that the sender lost, or nil.
	Former *FormerMessage `json:"former,omitempty"`
	// Claim concerns the unsettled turns of a partition, or is nil.
	Claim *ClaimMessage `json:"claim,omitempty"`
	// Charge concerns a request that counts against a limit, or is nil.
	Charge *ChargeMessage `json:"charge,omitempty"`
	// Proof concerns the age of the sender's configuration, or is nil.
	Proof *FreshnessMessage `json:"proof,omitempty"`
	// Quarantine concerns requests that may end their replicas, or is nil.
	Quarantine *QuarantineMessage `json:"quarantine,omitempty"`
	// Gather concerns the loads of all nodes, or is nil.
	Gather *gather.Message `json:"gather,omitempty"`
}

// Status is a node's state, which it sends to its peers regularly.
type Status struct {
	// ReachesStore is false for a node that cannot reach the store, and so may not own
	// partitions.
	ReachesStore bool `json:"reaches_store"`
	// Owned holds the epochs of the partitions that the node serves.
	Owned map[int]ownership.Epoch `json:"owned,omitempty"`
	// Owners are recently changed owner records.
	Owners []Owner `json:"owners,omitempty"`
	// Loads are the node's requests in progress, by replica.
	Loads map[string]int `json:"loads,omitempty"`
	// Version is the newest configuration that the node holds.
	Version uint64 `json:"version"`
	// Evacuations is the version of the node's state of zone evacuations.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Known is a sample of the nodes that the sender knows.
	Known []machine.Machine `json:"known,omitempty"`
	// StoreUnreachable are nodes that reported to the sender, which reaches the store, that
	// they do not. It informs nodes that do not receive messages from them.
	StoreUnreachable []machine.ID `json:"unable,omitempty"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.Machine
	Message PeerMessage
}

// Takeover instructs the driver to claim a partition in the log at the epoch, and then to
// read the newest record of each key.
type Takeover struct {
	Partition int
	Epoch     ownership.Epoch
	// Contested claims may be made only if the log still ends at ExpectedEnd. They are used
	// after this node was fenced by an owner that it does not know, or while it may be in
	// the minority of a network partition.
	Contested   bool
	ExpectedEnd uint64
}

// Stopped instructs the driver to stop reading for a takeover.
type Stopped struct {
	Partition int
	Epoch     ownership.Epoch
}

// Append instructs the driver to append the records, possibly none, under the epoch, and to
// retry until the append is acknowledged or fenced.
type Append struct {
	Partition int
	Epoch     ownership.Epoch
	Sequence  uint64
	Records   []ledger.Record
}

// PeerLoad is another node's requests in progress.
type PeerLoad struct {
	Node   string
	Counts map[string]int
	// Version is the newest configuration that the peer holds, and Evacuations the version
	// of its state of zone evacuations.
	Version     uint64
	Evacuations uint64
	From        machine.Machine
}

// PeerVersion is the version of the configuration that a peer holds.
type PeerVersion struct {
	From    machine.Machine
	Version uint64
}

// Ready is the work that the driver has to perform.
type Ready struct {
	Messages  []Outbound
	Replies   []Reply
	Takeovers []Takeover
	Stopped   []Stopped
	Appends   []Append
	Loads     []PeerLoad
	// Totals are the requests in progress on all other nodes, or nil if unchanged.
	// Collectors are the selected and lost collectors, for logging.
	Totals     *gather.Totals
	Collectors []gather.Change
	// ClaimQueries are questions for this node's unsettled turns, and ClaimsCollected the
	// ended searches of this node, for logging.
	ClaimQueries    []ClaimQuery
	ClaimsCollected []ClaimsCollected
	// TurnsLost are the turns that lapsed with the processes that ran them, for logging.
	TurnsLost []TurnsLost
	// QuarantineQueries are questions for this node's runs of marked requests, and
	// QuarantineChanges what is new of such requests. They come before Messages: what another
	// node is told has to be in force here.
	QuarantineQueries []QuarantineQuery
	QuarantineChanges []QuarantineChange
	RunsAnnounced     []RunsAnnounced
	RunsDecided       []RunDecided
	// FormerReconciled are the states of former owners that were taken over, for logging.
	FormerReconciled []FormerReconciled
	// Rejected are messages that could not be processed.
	Rejected []Rejected
	Charged  []Charged
	// NewerPeers are peers that hold a newer configuration than this node.
	NewerPeers []PeerVersion
	// FreshAsOf is a time at which this node's configuration was the newest, as proven by a
	// peer; zero if there is no new proof.
	FreshAsOf time.Time
	// Changes are the partitions gained or lost, for logging.
	Changes []Change
}

// Rejected is a peer message that could not be processed.
type Rejected struct {
	From machine.ID
	Err  error
}

// Change reports a partition that this node gained or lost.
type Change struct {
	Partition int
	Epoch     ownership.Epoch
	Owned     bool
	// Reason is the cause. Accounts, Turns and Origins (of streams) count what the log held,
	// if the partition was gained.
	Reason   string
	Accounts int
	Turns    int
	Origins  int
	// Inherited reports that the previous owner did not hand the partition over cleanly,
	// and may have started programs that the log does not contain.
	Inherited bool
}
