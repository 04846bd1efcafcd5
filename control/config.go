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

// Config is the configuration of a Core. DefaultConfig sets every field but
// Self, Writer, Random and Policy.
type Config struct {
	// Self is this node's entry in the machine list.
	Self machine.Machine
	// Writer identifies this process. It differs at each start.
	Writer string
	// Random is the source of every random choice, so that a run can be
	// replayed from its seed.
	Random *rand.Rand
	// Policy decides which back end serves each call.
	Policy schedule.Policy
	// PartitionsPerBranch is the number of partitions of each branch. It must
	// be the same on all nodes of a deployment and must never change, because a
	// program's ID determines its partition by this number.
	PartitionsPerBranch int
	Membership          machine.Config
	Follower            contract.FollowerConfig
	// Replica is the template of each partition's replica. The Core sets ID and
	// Mirrors.
	Replica partition.Config
	// Store is the template of each partition's program store.
	Store program.Config
	// MirrorBytes limits the entries that this node holds as a mirror, in
	// bytes.
	MirrorBytes int
	// ListPeriod is the time between two reads of the machine list.
	ListPeriod time.Duration
	// LoadPeriod is the time between two load queries to each back end that
	// this node manages.
	LoadPeriod time.Duration
	// SweepPeriod is the time between two searches for orphaned prefixes at
	// each engine that this node manages. Orphans are released within two
	// periods.
	SweepPeriod time.Duration
	// LoadFanout is the number of random peers that get each load report.
	LoadFanout int
	// ParkTimeout limits how long a request waits for this node to finish
	// taking over a partition.
	ParkTimeout time.Duration
	// DrainTimeout limits how long a planned stop waits for running attempts.
	// After that their partitions are handed over anyway.
	DrainTimeout time.Duration
	// TraceLimit is the maximum number of scheduling decisions kept for each
	// program.
	TraceLimit int
}

// DefaultConfig returns the default configuration of a node.
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

// bytesPerToken is the assumed length of a token, in bytes of text.
const bytesPerToken = 4

// countTokens estimates the number of tokens in a text, for engines that
// publish no tokenizer.
func countTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// followerConfig returns the default configuration of the settings follower.
func followerConfig(self machine.Machine, random *rand.Rand) contract.FollowerConfig {
	config := contract.DefaultFollowerConfig()
	config.Self = self.ID
	config.Zone = self.Zone
	config.Zones = []zone.Name{self.Zone}
	config.Random = random
	return config
}

// validate returns all findings about the config, joined.
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
