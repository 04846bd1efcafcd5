package coordinator

import (
	"time"

	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/replica"
)

// Event is what a driver passes to Core.Step.
type Event interface{ event() }

// Tick performs what is due.
type Tick struct{}

// Listed brings all nodes that the platform's store names.
type Listed struct{ Nodes []machine.Machine }

// Learned brings some nodes of the fleet.
type Learned struct{ Nodes []machine.Machine }

// Contact tells whether this node reached the store lately, and when last.
type Contact struct {
	Reached bool
	Last    time.Time
	// Failing says that calls to the store have failed since it answered last.
	Failing bool
}

// PeerReceived is a message of another node.
type PeerReceived struct{ Message PeerMessage }

// Requested is a request about a partition, of this node or of a peer.
type Requested struct {
	// ID correlates the Reply; the driver allocates it.
	ID        uint64
	Partition int
	Request   Request
}

// TakeoverRead tells of progress in a takeover: the log has the claim, and some of
// the newest record of each key were read, in the order of the keys.
type TakeoverRead struct {
	Partition int
	Epoch     ownership.Epoch
	Records   []ledger.Record
}

// TakenOver ends a Takeover.
type TakenOver struct {
	Partition int
	Epoch     ownership.Epoch
	Outcome   Outcome
	// End is where the log ended, for OutcomeMoved.
	End uint64
	// Records are those that no TakeoverRead has brought, when done.
	Records []ledger.Record
}

// Appended answers an Append.
type Appended struct {
	Partition int
	Epoch     ownership.Epoch
	Sequence  uint64
	Outcome   Outcome
}

// LogFull tells that the log takes no record of an append under way, for want of space.
type LogFull struct {
	Partition int
	Epoch     ownership.Epoch
}

// Outcome tells how a takeover or an append ended.
type Outcome int

// The outcomes.
const (
	// OutcomeDone was acknowledged.
	OutcomeDone Outcome = iota
	// OutcomeFenced was refused because a higher epoch holds.
	OutcomeFenced
	// OutcomeFailed is a takeover that was given up; it may be tried again.
	OutcomeFailed
	// OutcomeMoved is a takeover that was not begun: another owner appends.
	OutcomeMoved
)

// OwnerHeard is what another node answered of a partition's owner.
type OwnerHeard struct{ Owner Owner }

// Disowned tells that a node does not serve a partition, and knows of nobody who
// does.
type Disowned struct {
	Partition int
	Node      machine.ID
}

// Leave begins this node's planned stop.
type Leave struct{}

// Loads brings this node's requests under way, by replica.
type Loads struct {
	Counts map[string]int
	// Reports are what collectors are told: these requests, and the paces of replicas.
	Reports map[replica.ID]replica.Report
	// Version is the newest configuration that this node holds, and RetainFor
	// the longest time for which any of its routes keeps programs.
	Version   uint64
	RetainFor time.Duration
	// Evacuations is the version of what this node knows of evacuated zones.
	Evacuations uint64
}

// ChargeRequested asks for a request of this node's traffic to be counted to its
// tenant's limit, or to a cold replica's rate. The answer is a Charged, after the patience at the latest.
type ChargeRequested struct {
	// ID correlates the Charged; the driver allocates it.
	ID       uint64
	Charge   Charge
	Patience time.Duration
}

// ProofNoted says that the configuration which this node holds, of this version or a
// newer one, was the newest at a time.
type ProofNoted struct {
	At      time.Time
	Version uint64
}

// ChargeReturned says that a request did not run that was granted.
type ChargeReturned struct{ Charge Charge }

func (Tick) event()            {}
func (ProofNoted) event()      {}
func (ChargeRequested) event() {}
func (ChargeReturned) event()  {}
func (Listed) event()          {}
func (Learned) event()         {}
func (Contact) event()         {}
func (PeerReceived) event()    {}
func (Requested) event()       {}
func (TakeoverRead) event()    {}
func (TakenOver) event()       {}
func (Appended) event()        {}
func (LogFull) event()         {}
func (OwnerHeard) event()      {}
func (Disowned) event()        {}
func (Leave) event()           {}
func (Loads) event()           {}

// PeerMessage is what two nodes exchange besides requests.
type PeerMessage struct {
	From machine.Machine `json:"from"`
	// Membership is a message of the failure detector, or nil.
	Membership *machine.Message `json:"membership,omitempty"`
	// Status is what the sender tells of itself, or nil.
	Status *Status `json:"status,omitempty"`
	// Handover asks for a partition, or answers that, or is nil.
	Handover *Handover `json:"handover,omitempty"`
	// Charge is about a request that counts to a limit, or nil.
	Charge *ChargeMessage `json:"charge,omitempty"`
	// Proof is about the age of the sender's configuration, or nil.
	Proof *FreshnessMessage `json:"proof,omitempty"`
	// Gather is about the loads of all nodes, or nil.
	Gather *gather.Message `json:"gather,omitempty"`
}

// Status is what a node tells of itself every now and then.
type Status struct {
	// ReachesStore is false for a node that may not own partitions.
	ReachesStore bool `json:"reaches_store"`
	// Owned are the partitions that the node serves, with their epochs.
	Owned map[int]ownership.Epoch `json:"owned,omitempty"`
	// Owners are records of the owners of partitions that are news.
	Owners []Owner `json:"owners,omitempty"`
	// Loads are the node's requests under way, by replica.
	Loads map[string]int `json:"loads,omitempty"`
	// Version is the newest configuration that the node holds.
	Version uint64 `json:"version"`
	// Evacuations is the version of what the node knows of evacuated zones.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Known are some of the nodes that the sender knows.
	Known []machine.Machine `json:"known,omitempty"`
	// Unable are nodes that told the sender, which reaches the store, that they
	// do not. Those that cannot hear them learn of it so.
	StoreUnreachable []machine.ID `json:"unable,omitempty"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.Machine
	Message PeerMessage
}

// Takeover asks the driver to claim a partition in the log at the epoch, and
// then to read the newest record of each key.
type Takeover struct {
	Partition int
	Epoch     ownership.Epoch
	// Contested claims are made only where the log still ends at Unmoved: the node
	// was fenced by an owner of which it has heard nothing else.
	Contested bool
	Unmoved   uint64
}

// Stopped asks the driver to read no more for a takeover.
type Stopped struct {
	Partition int
	Epoch     ownership.Epoch
}

// Append asks the driver to append records under the epoch, or none, and to
// repeat it until it is acknowledged or fenced.
type Append struct {
	Partition int
	Epoch     ownership.Epoch
	Sequence  uint64
	Records   []ledger.Record
}

// PeerLoad is another node's requests under way.
type PeerLoad struct {
	Node   string
	Counts map[string]int
	// Version is the newest configuration that the peer holds, and Evacuations the
	// version of what it knows of evacuated zones.
	Version     uint64
	Evacuations uint64
	From        machine.Machine
}

// PeerVersion is the version of the configuration that a peer holds.
type PeerVersion struct {
	From    machine.Machine
	Version uint64
}

// Ready is what a driver has to perform.
type Ready struct {
	Messages  []Outbound
	Replies   []Reply
	Takeovers []Takeover
	Stopped   []Stopped
	Appends   []Append
	Loads     []PeerLoad
	// Totals are what all other nodes have under way, where that is news, and Collectors
	// tells of collectors taken and lost, for the log.
	Totals     *gather.Totals
	Collectors []gather.Change
	// Unread are messages that were not understood.
	Unread  []Unread
	Charged []Charged
	// Newer are peers that hold a newer configuration than this node.
	Newer []PeerVersion
	// Proven is when this node's configuration was the newest by word of a peer;
	// zero where that is no news.
	Proven time.Time
	// Changes tell of partitions won or lost, for the log.
	Changes []Change
}

// Unread is a message of a peer that was not understood.
type Unread struct {
	From machine.ID
	Err  error
}

// Change is a partition that this node won or lost.
type Change struct {
	Partition int
	Epoch     ownership.Epoch
	Owned     bool
	// Reason tells why, and Accounts and Turns what was found, when won.
	Reason   string
	Accounts int
	Turns    int
	// Inherited says that the former owner did not give up in order.
	Inherited bool
}
