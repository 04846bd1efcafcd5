package cluster

import (
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/zone"
)

// Config describes a cluster.
type Config struct {
	Seed uint64
	// Zones are the cluster's zones, all in the same region.
	Zones []zone.Name
	// NodesPerZone, EnginesPerZone and Tools are the numbers of machines.
	NodesPerZone   int
	EnginesPerZone int
	Tools          int
	// LinkDelay is the mean one-way delay between two machines, ClientDelay
	// between a caller and a node, StoreDelay between a node and the platform.
	LinkDelay   time.Duration
	ClientDelay time.Duration
	StoreDelay  time.Duration
	// DropShare is the share of control messages that are lost, from 0 to below 1.
	DropShare float64
}

// DefaultConfig returns the configuration of a small cluster, large enough for
// every kind of fault between nodes.
func DefaultConfig(seed uint64) Config {
	return Config{
		Seed:           seed,
		Zones:          []zone.Name{"isando", "midrand-a", "midrand-b"},
		NodesPerZone:   1,
		EnginesPerZone: 1,
		Tools:          2,
		LinkDelay:      time.Millisecond,
		ClientDelay:    time.Millisecond,
		StoreDelay:     2 * time.Millisecond,
		DropShare:      0.005,
	}
}

// validate reports all invalid fields.
func (c Config) validate() error {
	found := findings.Of("cluster config")
	found.Require(len(c.Zones) > 0, "Zones", "missing")
	for _, name := range c.Zones {
		found.NoError("Zones", name.Validate())
	}
	findings.Positive(found, "NodesPerZone", c.NodesPerZone)
	findings.Positive(found, "EnginesPerZone", c.EnginesPerZone)
	findings.Positive(found, "Tools", c.Tools)
	findings.Positive(found, "LinkDelay", c.LinkDelay)
	findings.Positive(found, "ClientDelay", c.ClientDelay)
	findings.Positive(found, "StoreDelay", c.StoreDelay)
	found.Require(c.DropShare >= 0 && c.DropShare < 1, "DropShare", "want at least 0 and less than 1")
	return found.Err()
}

// Delays and timeouts of the emulated platform, nodes and callers.
const (
	// listLag is the delay until a change shows in the machine list,
	// listExpiry the time after which an entry expires without renewal,
	// renewPeriod the interval at which back ends renew theirs.
	listLag     = time.Second
	listExpiry  = 6 * time.Second
	renewPeriod = 2 * time.Second
	// storeTimeout is a node's timeout for requests to the platform.
	storeTimeout = 2 * time.Second
	// dialTimeout is a node's timeout for connecting to an unreachable machine.
	dialTimeout = time.Second
	// peerTimeout is a node's timeout for an answer lost on the way from a peer.
	peerTimeout = 8 * time.Second
	// streamTimeout is how long a node waits for a stalled stream of a back end.
	streamTimeout = 5 * time.Second
	// callerTimeout is when a caller abandons a request and sends it again.
	callerTimeout = 45 * time.Second
	// acceptLossAfter is how long a new owner waits for enough mirrors of the
	// previous one. It then continues without them and records the possible
	// loss in the partition's stream, which DeclaredLoss reads.
	acceptLossAfter = 30 * time.Second
	// longestSleep is the maximum time between two steps of a running node.
	longestSleep = time.Second
)
