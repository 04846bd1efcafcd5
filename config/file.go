package config

import (
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// File is the settings file of one process. The tag "help" holds the text for
// docs/SETTINGS.md, the tag "validate" the rules for the validator library.
type File struct {
	Node      *Node     `yaml:"node" help:"This node. Required for serve."`
	Zones     []Zone    `yaml:"zones" validate:"required,min=1,max=64,unique=Name,dive" help:"Every zone of the deployment. All processes must agree on the list."`
	Platform  *Platform `yaml:"platform" help:"Where the platform answers. Required for serve."`
	PeerToken string    `yaml:"peer_token" validate:"omitempty,min=16,max=256,printascii" help:"The secret by which nodes know each other, at least 16 characters. Required for serve."`
	// BootstrapToken gives access while the settings tree lists no operator.
	BootstrapToken string   `yaml:"bootstrap_token" validate:"omitempty,min=16,max=256,printascii" help:"An operator's bearer token that acts on the whole settings tree, for the time until the tree lists operators. Left out: there is none."`
	Links          Links    `yaml:"links" help:"One-way delays of the network, with which the scheduler predicts."`
	Timings        Timings  `yaml:"timings" help:"Periods and time-outs of a node."`
	Limits         Limits   `yaml:"limits" help:"Bounds on what a node accepts and holds."`
	Log            Log      `yaml:"log" help:"What the process writes about itself."`
	Standin        *Standin `yaml:"standin" help:"The stand-ins of the platform and of the back ends. Required for standin."`

	source source
}

// Node is the identity, zone and addresses of the node.
type Node struct {
	ID        machine.ID `yaml:"id" validate:"required,machine" help:"The node's name, unique in the deployment."`
	Zone      zone.Name  `yaml:"zone" validate:"required,zone" help:"The zone that the node runs in."`
	Listen    string     `yaml:"listen" validate:"required,address" help:"Where callers and peers connect."`
	Operator  string     `yaml:"operator" validate:"required,address" help:"Where operators connect, and where metrics and health are read."`
	Advertise string     `yaml:"advertise" validate:"omitempty,address" help:"The address that peers use for listen. Left out: listen itself, which then must not be the unspecified address."`
}

// Zone is one zone of the deployment.
type Zone struct {
	Name   zone.Name   `yaml:"name" validate:"required,zone" help:"The zone's name."`
	Region zone.Region `yaml:"region" validate:"required,zone" help:"The region that the zone belongs to."`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log      string `yaml:"log" validate:"required,address" help:"The log service."`
	Machines string `yaml:"machines" validate:"required,address" help:"The machine list."`
	Weights  string `yaml:"weights" validate:"required,address" help:"The weight store."`
}

// Links holds the one-way network delays.
type Links struct {
	SameZone     time.Duration `yaml:"same_zone" validate:"min=0,max=10s" help:"Between two machines of one zone."`
	BetweenZones time.Duration `yaml:"between_zones" validate:"min=0,max=10s" help:"Between machines of two zones, unless a pair says otherwise."`
	Client       time.Duration `yaml:"client" validate:"min=0,max=10s" help:"Between a client and any zone."`
	Pairs        []LinkPair    `yaml:"pairs" validate:"max=2016,dive" help:"Pairs of zones whose delay differs, in both directions."`
}

// LinkPair is the one-way delay between two zones, equal in both directions.
type LinkPair struct {
	From  zone.Name     `yaml:"from" validate:"required,zone" help:"One zone."`
	To    zone.Name     `yaml:"to" validate:"required,zone,nefield=From" help:"The other zone."`
	Delay time.Duration `yaml:"delay" validate:"min=0,max=10s" help:"The delay between them, one way."`
}

// Timings holds the periods and time-outs of a node.
type Timings struct {
	ProbePeriod       time.Duration `yaml:"probe_period" validate:"min=50ms,max=1m" help:"Time between two rounds of probes of other nodes."`
	ProbeTimeout      time.Duration `yaml:"probe_timeout" validate:"min=10ms,max=1m" help:"How long a direct probe waits before other nodes are asked to probe."`
	SuspectTimeout    time.Duration `yaml:"suspect_timeout" validate:"min=100ms,max=10m" help:"How long a suspected node may refute before it counts as dead."`
	MachineListPeriod time.Duration `yaml:"machine_list_period" validate:"min=100ms,max=5m" help:"Time between two looks at the machine list."`
	LoadPeriod        time.Duration `yaml:"load_period" validate:"min=50ms,max=1m" help:"Time between two load reports asked of each back end that the node attends."`
	SweepPeriod       time.Duration `yaml:"sweep_period" validate:"min=500ms,max=10m" help:"Time between two looks for engine memory whose program is gone. Such memory is freed within two periods."`
	SettingsPoll      time.Duration `yaml:"settings_poll" validate:"min=100ms,max=1m" help:"Time between two looks at the end of the settings stream when no peer tells of a newer revision."`
	SettingsFreshness time.Duration `yaml:"settings_freshness" validate:"min=200ms,max=5m" help:"For how long settings count as the newest after the end of their stream was seen. At least two settings_poll."`
	LogTimeout        time.Duration `yaml:"log_timeout" validate:"min=100ms,max=5m" help:"How long an append or read of the log service may go unanswered before it is repeated."`
	LogRetryMinimum   time.Duration `yaml:"log_retry_minimum" validate:"min=1ms,max=1m" help:"The first pause before a request to the log service is repeated; it doubles up to log_retry_maximum."`
	LogRetryMaximum   time.Duration `yaml:"log_retry_maximum" validate:"min=1ms,max=10m,gtefield=LogRetryMinimum" help:"The longest pause before a request to the log service is repeated."`
	MirrorDelay       time.Duration `yaml:"mirror_delay" validate:"min=1ms,max=1m" help:"How long an append may go unanswered before mirrors get the records."`
	AcceptLossAfter   time.Duration `yaml:"accept_loss_after" validate:"min=0,max=24h" help:"How long a partition waits, once its last owner is dead and too few of its mirrors are left that were not restarted, before it opens without them. Records that were confirmed while the log service was down, and that only those machines held, are lost then. Zero: it waits for birchwood partition accept-loss."`
	DialTimeout       time.Duration `yaml:"dial_timeout" validate:"min=10ms,max=1m" help:"Bound on a connection attempt to a peer, a back end or the platform."`
	ReadTimeout       time.Duration `yaml:"read_timeout" validate:"min=100ms,max=10m" help:"In which time a whole request of a caller must arrive."`
	WriteTimeout      time.Duration `yaml:"write_timeout" validate:"min=100ms,max=10m" help:"Bound on one write to a caller: a whole answer, or one event of a stream."`
	IdleTimeout       time.Duration `yaml:"idle_timeout" validate:"min=1s,max=1h" help:"When a connection that sends no further request is closed."`
	KeepAlive         time.Duration `yaml:"keep_alive" validate:"min=100ms,max=1m" help:"Time between two comments on an idle stream: how long a caller that hung up goes unnoticed."`
	MaximumWait       time.Duration `yaml:"maximum_wait" validate:"min=1s,max=1h" help:"How long a request may wait for its call before it gets the call's state."`
	ParkTimeout       time.Duration `yaml:"park_timeout" validate:"min=100ms,max=10m" help:"How long a request waits for the node to finish taking over a partition."`
	DrainTimeout      time.Duration `yaml:"drain_timeout" validate:"min=0,max=1h" help:"How long a planned stop waits for running calls before it hands their partitions over all the same."`
}

// Limits holds the bounds on what a node accepts and keeps.
type Limits struct {
	PartitionsPerBranch int `yaml:"partitions_per_branch" validate:"min=1,max=1024" help:"How many partitions the programs of each branch are spread over. All nodes must agree, and it never changes once programs exist."`
	BodyBytes           int `yaml:"body_bytes" validate:"min=1024,max=67108864" help:"The largest body of a caller's request, in bytes."`
	Connections         int `yaml:"connections" validate:"min=1,max=1000000" help:"How many connections of callers may be open."`
	ConnectionsPerPeer  int `yaml:"connections_per_peer" validate:"min=1,max=100000" help:"How many connections to one other node may be open."`
	Programs            int `yaml:"programs" validate:"min=1,max=10000000" help:"How many programs one partition holds, ended ones within their retention included."`
	QueuedCalls         int `yaml:"queued_calls" validate:"min=1,max=100000" help:"How many calls of one program may wait or run."`
	SubAgentDepth       int `yaml:"sub_agent_depth" validate:"min=0,max=64" help:"How deep sub-agents may start sub-agents."`
	UnconfirmedBytes    int `yaml:"unconfirmed_bytes" validate:"min=65536,max=1073741824" help:"The records of one partition, in bytes, that the log service has not confirmed. Beyond it requests are refused."`
	MirrorBytes         int `yaml:"mirror_bytes" validate:"min=0,max=1073741824" help:"What the node holds as a mirror for other nodes, in bytes."`
	Mirrors             int `yaml:"mirrors" validate:"min=0,max=8" help:"How many mirrors an owner keeps ready for a slow or unreachable log service. Zero: none."`
	SnapshotRecords     int `yaml:"snapshot_records" validate:"min=16,max=1000000" help:"The least number of records between two snapshots of a partition."`
}

// Log configures the log of the process.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error" help:"The least important line that is written: debug, info, warn or error."`
}

// Address returns the address that peers use.
func (n *Node) Address() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Listen
}

// Machine returns the node's entry in the machine list.
func (n *Node) Machine(incarnation uint64) machine.Machine {
	return machine.Machine{
		ID: n.ID, Kind: machine.KindNode, Zone: n.Zone, Address: n.Address(),
		Status: machine.StatusLive, Incarnation: incarnation,
	}
}

// Delay returns the one-way delay between two zones. An empty name means a
// client outside the zones.
func (l *Links) Delay(from, to zone.Name) time.Duration {
	if from == "" || to == "" {
		return l.Client
	}
	if from == to {
		return l.SameZone
	}
	for _, pair := range l.Pairs {
		if pair.From == from && pair.To == to || pair.From == to && pair.To == from {
			return pair.Delay
		}
	}
	return l.BetweenZones
}

// ZoneNames returns the names of all zones in the order of the file.
func (f *File) ZoneNames() []zone.Name {
	names := make([]zone.Name, len(f.Zones))
	for index, zone := range f.Zones {
		names[index] = zone.Name
	}
	return names
}
