package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kind names a fault.
type Kind string

// The kinds of faults.
const (
	// Pause stops processes and lets them go on; Kill ends them at once, Stop in
	// order, and both start them again.
	Pause Kind = "pause"
	Kill  Kind = "kill"
	Stop  Kind = "stop"
	// Reload has processes read their settings again, time after time.
	Reload Kind = "reload"
	// KillAll ends all processes at once.
	KillAll Kind = "kill-all"
	// StoreSilent lets nothing pass between nodes and the store, StoreOneWay no
	// answers, and StoreReset ends their connections.
	StoreSilent Kind = "store-silent"
	StoreOneWay Kind = "store-one-way"
	StoreReset  Kind = "store-reset"
	// StoreMute leaves all calls to the store without an answer, and the connections over
	// which they came silent for good.
	StoreMute Kind = "store-mute"
	// ZoneCut lets nothing pass between a zone's nodes and store and clients.
	ZoneCut Kind = "zone-cut"
	// ClientReset ends the connections of clients.
	ClientReset Kind = "client-reset"
	// StoreDown, StoreSlow, StoreLost, StoreForget and StoreRefuses are the store's
	// own; the last turns some nodes away.
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLost    Kind = "store-lost"
	StoreForget  Kind = "store-forget"
	StoreRefuses Kind = "store-refuses"
	// ReplicaDrain has replicas leave in order, ReplicaKill at once; others come.
	// ReplicaFault has them break off, reset, refuse and hang, and ReplicaSlow delays
	// what passes between nodes and them.
	ReplicaDrain Kind = "replica-drain"
	ReplicaKill  Kind = "replica-kill"
	ReplicaFault Kind = "replica-fault"
	ReplicaSlow  Kind = "replica-slow"
)

// Fault is one disturbance of a run.
type Fault struct {
	Kind Kind `json:"kind"`
	// AtMS is when it begins after the first load, and ForMS how long it lasts, both
	// in milliseconds.
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
	// Targets are the numbers of the nodes, replicas or zones that it hits.
	Targets []int `json:"targets,omitempty"`
}

// Scenario is a whole run, as a file holds it.
type Scenario struct {
	// Cause says why a run that once failed did, for those who read the file.
	Cause    string  `json:"cause,omitempty"`
	Seed     uint64  `json:"seed"`
	Seconds  int     `json:"seconds"`
	Nodes    int     `json:"nodes"`
	Replicas int     `json:"replicas"`
	Faults   []Fault `json:"faults,omitempty"`
}

// Times of a schedule, in milliseconds.
const (
	// firstFault leaves the programs time to begin.
	firstFaultMS = 4000
	// Bursts of faults last so long, with pauses between that are longer than what
	// the nodes may take to recover.
	minBurstMS, maxBurstMS = 12000, 24000
	calmMS                 = 15000
	// calmDrain is when in such a pause replicas leave in order, which disturbs nobody:
	// late enough for the nodes to be in touch when the bound of it has passed.
	calmDrainMS = 3000
	// faultGap is the most between two faults of a burst, and faultMost how long one
	// lasts.
	maxFaultGapMS = 3000
	maxFaultMS    = 8000
	// outageMost is how long the store may be out of reach: longer than a key may be
	// honoured without proof.
	maxOutageMS = 12000
)

// weights are how often each kind of fault comes.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Pause, 5}, {Kill, 4}, {Stop, 3}, {KillAll, 1}, {StoreSilent, 4}, {StoreOneWay, 2}, {StoreReset, 2}, {ZoneCut, 2},
	{ClientReset, 1}, {StoreDown, 3}, {StoreSlow, 2}, {StoreLost, 3}, {StoreForget, 2}, {StoreRefuses, 2}, {StoreMute, 3}, {Reload, 3},
	{ReplicaDrain, 4}, {ReplicaKill, 2}, {ReplicaFault, 3}, {ReplicaSlow, 2},
}

// Schedule draws the faults of a run. The same scenario always gives the same ones.
func Schedule(scenario Scenario) []Fault {
	random := rand.New(rand.NewPCG(scenario.Seed, uint64(scenario.Nodes)))
	end := int64(scenario.Seconds) * int64(time.Second/time.Millisecond)
	var faults []Fault
	for at := int64(firstFaultMS); at < end-calmMS; at += calmMS {
		burst := min(at+minBurstMS+random.Int64N(maxBurstMS-minBurstMS), end-calmMS)
		for at < burst {
			fault := drawFault(random, scenario, at)
			fault.ForMS = min(fault.ForMS, max(0, burst-at))
			faults = append(faults, fault)
			at += 1 + random.Int64N(maxFaultGapMS)
		}
		at = burst
		faults = append(faults, Fault{Kind: ReplicaDrain, AtMS: burst + calmDrainMS, Targets: draw(random, scenario.Replicas, 2)})
	}
	return faults
}

func drawFault(random *rand.Rand, scenario Scenario, at int64) Fault {
	fault := Fault{Kind: drawKind(random), AtMS: at, ForMS: 500 + random.Int64N(maxFaultMS)}
	switch fault.Kind {
	case Pause, Kill, Stop, Reload, StoreSilent, StoreOneWay, StoreReset, ClientReset:
		fault.Targets = draw(random, scenario.Nodes, 1+random.IntN(max(1, scenario.Nodes/2)))
	case ReplicaDrain, ReplicaKill, ReplicaFault, ReplicaSlow:
		fault.Targets = draw(random, scenario.Replicas, 1+random.IntN(3))
		if plain := modelReplicas + int(at%plainReplicas); fault.Kind == ReplicaFault && !slices.Contains(fault.Targets, plain) {
			// One that serves calls which may not repeat is always among them.
			fault.Targets = append(fault.Targets, plain)
		}
	case ZoneCut:
		fault.Targets = draw(random, len(zones), 1)
	case StoreDown, StoreRefuses, StoreMute:
		fault.ForMS = 500 + random.Int64N(maxOutageMS)
	}
	return fault
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, one := range weights {
		total += one.weight
	}
	drawn := random.IntN(total)
	for _, one := range weights {
		if drawn -= one.weight; drawn < 0 {
			return one.kind
		}
	}
	return Pause
}

// draw returns some of the numbers below a bound, in order.
func draw(random *rand.Rand, bound, count int) []int {
	drawn := random.Perm(bound)[:min(count, bound)]
	slices.Sort(drawn)
	return drawn
}

// ReadScenario reads a scenario from a file; one without faults draws them.
func ReadScenario(path string) (Scenario, error) {
	var read Scenario
	text, err := os.ReadFile(path)
	if err != nil {
		return read, fmt.Errorf("scenario: %w", err)
	}
	if err := json.Unmarshal(text, &read); err != nil {
		return read, fmt.Errorf("scenario %s: %w", path, err)
	}
	return read, read.validate(path)
}
