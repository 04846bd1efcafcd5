package machine

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
)

// Config configures a Membership. DefaultConfig returns values that suit links
// with round trips of up to 200 ms.
type Config struct {
	// Self is this node's own entry. Its incarnation must be higher than at the
	// previous start; the start time in milliseconds is suitable.
	Self Machine
	// ProbePeriod is the time between two rounds of probes.
	ProbePeriod time.Duration
	// ProbeTimeout is how long a direct probe may go unanswered before indirect
	// ones are sent. Indirect probes get twice this time.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspect may take to refute before it is
	// declared dead.
	SuspectTimeout time.Duration
	// GossipPeriod is the time between two rounds of gossip about recent
	// updates.
	GossipPeriod time.Duration
	// DeadProbePeriod is the time between two probes of dead peers that are
	// still listed.
	DeadProbePeriod time.Duration
	// ViewPeriod is the minimum time between two signals of a changed view. The
	// first change after a quiet period is signalled at once. In a burst of
	// changes, as when a zone fails, the limit bounds the share of time that
	// the rest of the node spends on them.
	ViewPeriod time.Duration
	// ListTimeout is how long an entry is kept after it disappeared from the
	// list.
	ListTimeout time.Duration
	// LeavingTimeout is how long lists must report a leaving machine as live
	// before it counts as live again in the same incarnation.
	LeavingTimeout time.Duration
	// ProbesPerPeriod is the number of peers probed in each period.
	ProbesPerPeriod int
	// IndirectProbes is the number of peers that are sent a request to probe on
	// this node's behalf.
	IndirectProbes int
	// GossipFanout is the number of peers that receive recent updates in each
	// gossip period.
	GossipFanout int
	// UpdatesPerMessage limits the updates in one message.
	UpdatesPerMessage int
	// MaximumHealthScore limits the health score. Time-outs are multiplied by 1
	// + score.
	MaximumHealthScore int
	// Random shuffles probe orders and selects peers. It is not shared with
	// other users.
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
