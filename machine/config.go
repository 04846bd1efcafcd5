package machine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
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
	var findings []error
	if c.Self.ID == "" {
		findings = append(findings, errors.New("field Self.ID: want a name"))
	}
	if c.Self.Kind != KindNode {
		findings = append(findings, fmt.Errorf("field Self.Kind: got %q, want %q", c.Self.Kind, KindNode))
	}
	durations := []struct {
		field string
		value time.Duration
	}{
		{"ProbePeriod", c.ProbePeriod},
		{"ProbeTimeout", c.ProbeTimeout},
		{"SuspectTimeout", c.SuspectTimeout},
		{"GossipPeriod", c.GossipPeriod},
		{"DeadProbePeriod", c.DeadProbePeriod},
		{"ViewPeriod", c.ViewPeriod},
		{"ListTimeout", c.ListTimeout},
		{"LeavingTimeout", c.LeavingTimeout},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			findings = append(findings, fmt.Errorf("field %s: got %v, want more than 0", duration.field, duration.value))
		}
	}
	counts := []struct {
		field   string
		value   int
		minimum int
	}{
		{"ProbesPerPeriod", c.ProbesPerPeriod, 1},
		{"IndirectProbes", c.IndirectProbes, 0},
		{"GossipFanout", c.GossipFanout, 1},
		{"UpdatesPerMessage", c.UpdatesPerMessage, 2},
		{"MaximumHealthScore", c.MaximumHealthScore, 0},
	}
	for _, count := range counts {
		if count.value < count.minimum {
			findings = append(findings, fmt.Errorf("field %s: got %d, want at least %d", count.field, count.value, count.minimum))
		}
	}
	if c.Random == nil {
		findings = append(findings, errors.New("field Random: want a seeded source"))
	}
	return errors.Join(findings...)
}
