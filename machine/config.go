package machine

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
)

// Config sets up a Membership. DefaultConfig gives values that suit links
// with round trips of up to 200 ms.
type Config struct {
	// Self is this node's own entry. Its incarnation must be higher than at
	// the previous start; the start time in milliseconds will do.
	Self Machine
	// ProbePeriod is the time between two rounds of probes.
	ProbePeriod time.Duration
	// ProbeTimeout is how long a direct probe waits before indirect ones are
	// sent. Those get twice this time.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspect may refute before it is dead.
	SuspectTimeout time.Duration
	// GossipPeriod is the time between two sendings of fresh news.
	GossipPeriod time.Duration
	// DeadProbePeriod is the time between two probes of listed dead peers.
	DeadProbePeriod time.Duration
	// ViewPeriod is the least time between two signals of a changed view. The
	// first change after a quiet time is signalled at once; a burst of them, as
	// when a zone fails, costs the rest of the node a bounded share of its time.
	ViewPeriod time.Duration
	// ListTimeout is how long an entry that the list misses is kept.
	ListTimeout time.Duration
	// LeavingTimeout is how long lists must say live before a machine that
	// was leaving counts as live again in the same incarnation.
	LeavingTimeout time.Duration
	// ProbesPerPeriod is the number of peers probed in each period.
	ProbesPerPeriod int
	// IndirectProbes is the number of peers asked to probe on our behalf.
	IndirectProbes int
	// GossipFanout is the number of peers that fresh news is sent to in each
	// gossip period.
	GossipFanout int
	// UpdatesPerMessage bounds the updates that one message carries.
	UpdatesPerMessage int
	// MaximumHealthScore bounds the factor on time-outs, which is 1 + score.
	MaximumHealthScore int
	// Random shuffles probe orders and picks peers. It is used by this
	// Membership alone.
	Random *rand.Rand
}

// DefaultConfig returns the settings used in production for the given node.
func DefaultConfig(self Machine, random *rand.Rand) Config {
	return Config{
		Self:               self,
		ProbePeriod:        time.Second,
		ProbeTimeout:       400 * time.Millisecond,
		SuspectTimeout:     3 * time.Second,
		GossipPeriod:       250 * time.Millisecond,
		DeadProbePeriod:    4 * time.Second,
		ViewPeriod:         500 * time.Millisecond,
		ListTimeout:        10 * time.Second,
		LeavingTimeout:     30 * time.Second,
		ProbesPerPeriod:    1,
		IndirectProbes:     3,
		GossipFanout:       2,
		UpdatesPerMessage:  24,
		MaximumHealthScore: 8,
		Random:             random,
	}
}

func (c Config) validate() error {
	found := findings.Of("membership config")
	found.Require(c.Self.ID != "", "Self.ID", "want a name")
	found.Require(c.Self.Kind == KindNode, "Self.Kind", "got %q, want %q", c.Self.Kind, KindNode)
	findings.Positive(found, "ProbePeriod", c.ProbePeriod)
	findings.Positive(found, "ProbeTimeout", c.ProbeTimeout)
	findings.Positive(found, "SuspectTimeout", c.SuspectTimeout)
	findings.Positive(found, "GossipPeriod", c.GossipPeriod)
	findings.Positive(found, "DeadProbePeriod", c.DeadProbePeriod)
	findings.Positive(found, "ViewPeriod", c.ViewPeriod)
	findings.Positive(found, "ListTimeout", c.ListTimeout)
	findings.Positive(found, "LeavingTimeout", c.LeavingTimeout)
	findings.AtLeast(found, "ProbesPerPeriod", c.ProbesPerPeriod, 1)
	findings.AtLeast(found, "IndirectProbes", c.IndirectProbes, 0)
	findings.AtLeast(found, "GossipFanout", c.GossipFanout, 1)
	findings.AtLeast(found, "UpdatesPerMessage", c.UpdatesPerMessage, 2)
	findings.AtLeast(found, "MaximumHealthScore", c.MaximumHealthScore, 0)
	found.Require(c.Random != nil, "Random", "want a seeded source")
	return found.Err()
}
