package scale

import (
	"errors"
	"fmt"
	"time"
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
	var findings []error
	check := func(ok bool, field string, got any, want string) {
		if !ok {
			findings = append(findings, fmt.Errorf("%s: got %v, want %s", field, got, want))
		}
	}
	check(c.Nodes >= 1, "nodes", c.Nodes, "at least 1")
	check(c.RealNodes >= 0 && c.RealNodes <= c.Nodes, "real nodes", c.RealNodes, "0 up to nodes")
	check(c.Programs >= 0, "programs", c.Programs, "at least 0")
	check(c.Zones >= 1, "zones", c.Zones, "at least 1")
	check(c.Regions >= 1 && c.Regions <= c.Zones, "regions", c.Regions, "1 up to zones")
	check(c.Replicas >= 2*toolShare*c.Zones || c.Replicas >= 2*c.Zones, "replicas", c.Replicas, "at least two a zone")
	check(c.Duration > 0, "duration", c.Duration, "more than 0")
	check(c.IdleTime > 0, "idle time", c.IdleTime, "more than 0")
	check(c.SweepPeriod > 0, "sweep period", c.SweepPeriod, "more than 0")
	check(c.AcceptLossAfter > 0, "accept loss after", c.AcceptLossAfter, "more than 0")
	check(c.SettleTimeout > 0, "settle timeout", c.SettleTimeout, "more than 0")
	return errors.Join(findings...)
}

func (c Config) progress(format string, arguments ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, arguments...))
	}
}
