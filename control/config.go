package control

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// Config holds what a Core needs to know at its start. DefaultConfig fills
// every field but Self, Writer, Random and Policy.
type Config struct {
	// Self is this node as the machine list shows it.
	Self machine.Machine
	// Writer is unique to this start of the process.
	Writer string
	// Random drives every random choice, so that a seed replays a run.
	Random *rand.Rand
	// Policy decides which back end serves each call.
	Policy schedule.Policy
	// PartitionsPerBranch is how many partitions each branch has. All
	// nodes of a deployment must agree on it and it never changes, because
	// program ids are spread over the partitions by it.
	PartitionsPerBranch int
	Membership          machine.Config
	Follower            contract.FollowerConfig
	// Replica is the template of each partition's replica; the Core fills in
	// the ID and this node's mirror store.
	Replica partition.Config
	// Store is the template of each partition's programs.
	Store program.Config
	// MirrorBytes bounds what this node holds as a mirror for others.
	MirrorBytes int
	// ListPeriod is the time between two looks at the machine list.
	ListPeriod time.Duration
	// LoadPeriod is the time between two load reports asked of each back end
	// that this node attends.
	LoadPeriod time.Duration
	// SweepPeriod is the time between two looks for orphaned prefixes at each
	// engine that this node attends. Orphans are gone within two periods.
	SweepPeriod time.Duration
	// LoadFanout is how many random peers get each load report.
	LoadFanout int
	// ParkTimeout bounds how long a request waits for this node to finish
	// taking a partition over.
	ParkTimeout time.Duration
	// DrainTimeout bounds how long a planned stop waits for running attempts
	// before it hands their partitions over all the same.
	DrainTimeout time.Duration
	// TraceLimit bounds the decisions kept for each program.
	TraceLimit int
}

// DefaultConfig returns the configuration of a node with the usual times.
func DefaultConfig(self machine.Machine, writer string, random *rand.Rand, policy schedule.Policy) Config {
	return Config{
		Self:                self,
		Writer:              writer,
		Random:              random,
		Policy:              policy,
		PartitionsPerBranch: 4,
		Membership:          machine.DefaultConfig(self, random),
		Follower:            followerConfig(self, random),
		Replica:             partition.DefaultConfig(partition.ID{}, self.ID, writer, random),
		Store:               program.Config{CountTokens: countTokens, Random: random},
		MirrorBytes:         32 << 20,
		ListPeriod:          2 * time.Second,
		LoadPeriod:          time.Second,
		SweepPeriod:         10 * time.Second,
		LoadFanout:          3,
		ParkTimeout:         10 * time.Second,
		DrainTimeout:        30 * time.Second,
		TraceLimit:          64,
	}
}

// bytesPerToken is how many bytes of text count as one token.
const bytesPerToken = 4

// countTokens measures a text as engines do that publish no tokenizer.
func countTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// followerConfig returns the usual times of the settings follower.
func followerConfig(self machine.Machine, random *rand.Rand) contract.FollowerConfig {
	config := contract.DefaultFollowerConfig()
	config.Self = self.ID
	config.Zone = self.Zone
	config.Zones = []zone.Name{self.Zone}
	config.Random = random
	return config
}

// validate reports every field that is out of range.
func (c Config) validate() error {
	found := findings.Of("control config")
	found.Require(c.Self.ID != "", "Self.ID", "missing")
	found.Require(c.Self.Zone != "", "Self.Zone", "missing")
	found.Require(c.Writer != "", "Writer", "missing")
	found.Require(c.Random != nil, "Random", "missing")
	found.Require(c.Policy != nil, "Policy", "missing")
	findings.Positive(found, "PartitionsPerBranch", c.PartitionsPerBranch)
	findings.Positive(found, "MirrorBytes", c.MirrorBytes)
	findings.Positive(found, "ListPeriod", c.ListPeriod)
	findings.Positive(found, "LoadPeriod", c.LoadPeriod)
	findings.Positive(found, "SweepPeriod", c.SweepPeriod)
	findings.Positive(found, "LoadFanout", c.LoadFanout)
	findings.Positive(found, "ParkTimeout", c.ParkTimeout)
	findings.Positive(found, "DrainTimeout", c.DrainTimeout)
	findings.Positive(found, "TraceLimit", c.TraceLimit)
	return found.Err()
}
