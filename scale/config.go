package scale

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/findings"
)

// Config sets up a run.
type Config struct {
	// Nodes is the number of nodes, hollow and real ones together.
	Nodes int
	// RealNodes is how many of them talk over loopback.
	RealNodes int
	// Programs is how many programs arrive during the busy phase. All stay
	// open until its end.
	Programs int
	// Replicas is the number of back ends; one in ten is a tool service.
	Replicas int
	// Zones and Regions shape the fleet.
	Zones   int
	Regions int
	// Duration is the length of the busy phase.
	Duration time.Duration
	// IdleTime is the length of the idle phase before it.
	IdleTime time.Duration
	// SettleTimeout bounds the wait for the fleet to become ready.
	SettleTimeout time.Duration
	// SweepPeriod is the time between two sweeps of an engine's memory.
	SweepPeriod time.Duration
	// AcceptLossAfter stands for the operator who lets a partition go on whose
	// mirrors have all restarted, as those of a zone that was lost. The log
	// service is up all the time in these runs, so that nothing is lost by it.
	AcceptLossAfter time.Duration
	// ProbeTimeout replaces the membership's, and SuspectTimeout grows with it.
	// Zero keeps those of production. Hundreds of nodes on a few busy cores
	// answer late, which production's time-outs would take for failures.
	ProbeTimeout time.Duration
	// Churn switches the failures of nodes, zone and region on.
	Churn bool
	// Seed drives every random choice of the load and the churn.
	Seed uint64
	// Progress, if set, is told what the run does.
	Progress func(text string)
}

// DefaultConfig returns a small run of the shape of the largest one.
func DefaultConfig() Config {
	return Config{
		Nodes:           10,
		RealNodes:       3,
		Programs:        100,
		Replicas:        600,
		Zones:           10,
		Regions:         3,
		Duration:        time.Minute,
		IdleTime:        20 * time.Second,
		SettleTimeout:   2 * time.Minute,
		SweepPeriod:     10 * time.Second,
		AcceptLossAfter: 5 * time.Second,
		Churn:           true,
		Seed:            1,
	}
}

// toolShare is one in how many replicas is a tool service.
const toolShare = 10

func (c Config) validate() error {
	found := findings.Of("scale config")
	findings.AtLeast(found, "nodes", c.Nodes, 1)
	found.Require(c.RealNodes >= 0 && c.RealNodes <= c.Nodes, "real nodes", "got %d, want 0 up to nodes", c.RealNodes)
	findings.AtLeast(found, "programs", c.Programs, 0)
	findings.AtLeast(found, "zones", c.Zones, 1)
	found.Require(c.Regions >= 1 && c.Regions <= c.Zones, "regions", "got %d, want 1 up to zones", c.Regions)
	found.Require(c.Replicas >= 2*c.Zones, "replicas", "got %d, want at least two a zone", c.Replicas)
	findings.Positive(found, "duration", c.Duration)
	findings.Positive(found, "idle time", c.IdleTime)
	findings.Positive(found, "sweep period", c.SweepPeriod)
	findings.Positive(found, "accept loss after", c.AcceptLossAfter)
	findings.Positive(found, "settle timeout", c.SettleTimeout)
	return found.Err()
}

func (c Config) progress(format string, arguments ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, arguments...))
	}
}
