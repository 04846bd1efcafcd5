package cluster

import (
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/zone"
)

// Config describes a cluster.
type Config struct {
	Seed uint64
	// Zones are the zones, all of one region.
	Zones []zone.Name
	// NodesPerZone, EnginesPerZone and Tools are how many machines there are.
	NodesPerZone   int
	EnginesPerZone int
	Tools          int
	// LinkDelay is the mean delay between two machines, ClientDelay between a
	// caller and a node, StoreDelay of half a request to the platform.
	LinkDelay   time.Duration
	ClientDelay time.Duration
	StoreDelay  time.Duration
	// DropShare is the share of control messages that are lost at any time.
	DropShare float64
}

// DefaultConfig is a small cluster in which everything that can go wrong
// between nodes can.
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

// validate reports everything that is wrong.
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
	found.Require(c.DropShare >= 0 && c.DropShare < 1, "DropShare", "want a share")
	return found.Err()
}

// The emulated platform's times.
const (
	// listLag is how old the machine list is, listExpiry how long an entry
	// stays without renewal, renewPeriod how often back ends renew theirs.
	listLag     = time.Second
	listExpiry  = 6 * time.Second
	renewPeriod = 2 * time.Second
	// storeTimeout is how long a node waits for the platform's answer.
	storeTimeout = 2 * time.Second
	// dialTimeout is how long a node tries to reach a machine behind a cut.
	dialTimeout = time.Second
	// peerSilence is how long a node waits on a peer that owes an answer.
	peerSilence = 8 * time.Second
	// streamSilence is when a node gives up a back end's stream that stalls.
	streamSilence = 5 * time.Second
	// callerPatience is when a caller drops a request and asks again.
	callerPatience = 45 * time.Second
	// acceptLossAfter is when a new owner goes on although too few mirrors of
	// the last one answer; the stream then says so, and so does DeclaredLoss.
	acceptLossAfter = 30 * time.Second
	// longestSleep bounds the time between two steps of a node.
	longestSleep = time.Second
)
