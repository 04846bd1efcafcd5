package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

const (
	// Pause suspends processes and resumes them. Kill kills them, Stop shuts them down in
	// order; both start them again.
	Pause Kind = "pause"
	Kill  Kind = "kill"
	Stop  Kind = "stop"
	// Reload signals processes repeatedly to read their settings again.
	Reload Kind = "reload"
	// KillAll kills all processes at once, and starts them again.
	KillAll Kind = "kill-all"
	// StoreSilent holds all traffic between nodes and the store, StoreOneWay only the store's
	// answers. StoreReset resets the connections.
	StoreSilent Kind = "store-silent"
	StoreOneWay Kind = "store-one-way"
	StoreReset  Kind = "store-reset"
	// StoreMute leaves all calls to the store unanswered. The connections stay open but never
	// pass data again.
	StoreMute Kind = "store-mute"
	// ZoneCut holds all traffic of a zone's nodes with the store and clients, and of its
	// replicas with all nodes.
	ZoneCut Kind = "zone-cut"
	// ClientReset resets the connections of clients.
	ClientReset Kind = "client-reset"
	// The following are faults of the store itself. StoreDown refuses all calls, StoreSlow
	// delays them, and StoreLost carries out appends without answering. StoreForget drops the
	// history except the newest record of each key. StoreRefuses refuses calls to the store's
	// second address, which some nodes use.
	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLost    Kind = "store-lost"
	StoreForget  Kind = "store-forget"
	StoreRefuses Kind = "store-refuses"
	// Release replaces replicas by others of a new software version, one after the other.
	Release Kind = "release"
	// ReplicaDrain drains replicas and ReplicaKill removes them at once; others replace them.
	// ReplicaFault makes them abort answers, reset connections, refuse and hang. ReplicaSlow
	// delays the traffic between them and nodes.
	ReplicaDrain Kind = "replica-drain"
	ReplicaKill  Kind = "replica-kill"
	ReplicaFault Kind = "replica-fault"
	ReplicaSlow  Kind = "replica-slow"
	// ReplicaCut makes replicas end answers early: after any byte, in any framing, in order, by
	// a reset, or by being killed.
	ReplicaCut Kind = "replica-cut"
	// LethalRequest has a caller try a request that ends every replica that runs it.
	LethalRequest Kind = "lethal-request"
)

// Fault is one scheduled fault.
type Fault struct {
	Kind Kind `json:"kind"`
	// AtMS is when the fault begins, from the start of the load, and ForMS its duration, both in
	// milliseconds.
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms"`
	// Targets are the indexes of the affected nodes, replicas or zones, depending on the kind.
	Targets []int `json:"targets,omitempty"`
}

// Scenario describes a run, and is the content of a scenario file.
type Scenario struct {
	// Cause explains, for readers of the file, why this run once failed.
	Cause    string `json:"cause,omitempty"`
	Seed     uint64 `json:"seed"`
	Seconds  int    `json:"seconds"`
	Nodes    int    `json:"nodes"`
	Replicas int    `json:"replicas"`
	// Series adds series of stops, kills, pauses and reloads to the drawn faults.
	Series bool    `json:"series,omitempty"`
	Faults []Fault `json:"faults,omitempty"`
}

// Times of a schedule, in milliseconds.
const (
	// firstFaultMS leaves programs time to start.
	firstFaultMS = 4000
	// A burst of faults lasts from minBurstMS to maxBurstMS. The pause between two bursts,
	// burstPauseMS, is longer than the nodes' recovery bound.
	minBurstMS, maxBurstMS = 12000, 24000
	burstPauseMS           = 15000
	// drainDelayMS is how long after a burst replicas are drained, which disturbs nothing. It is
	// late enough that all nodes count as fault-free when the drain bound has passed.
	drainDelayMS = 3000
	// maxFaultGapMS is the longest gap between the starts of two faults of a burst, and
	// maxFaultMS bounds the random part of a fault's duration.
	maxFaultGapMS = 3000
	maxFaultMS    = 8000
	// maxOutageMS bounds the random part of a store outage. It is longer than the time for
	// which nodes accept a key without a freshness proof.
	maxOutageMS = 12000
)

// weights are the relative frequencies of the kinds of faults.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Pause, 5}, {Kill, 4}, {Stop, 3}, {KillAll, 1}, {StoreSilent, 4}, {StoreOneWay, 2}, {StoreReset, 2}, {ZoneCut, 2},
	{ClientReset, 1}, {StoreDown, 3}, {StoreSlow, 2}, {StoreLost, 3}, {StoreForget, 2}, {StoreRefuses, 2}, {StoreMute, 3}, {Reload, 3},
	{ReplicaDrain, 4}, {ReplicaKill, 2}, {ReplicaFault, 3}, {ReplicaSlow, 2},
}

// Schedule draws the faults of a run. It is deterministic for a given scenario.
func Schedule(scenario Scenario) []Fault {
	random := rand.New(rand.NewPCG(scenario.Seed, uint64(scenario.Nodes)))
	end := int64(scenario.Seconds) * int64(time.Second/time.Millisecond)
	var faults []Fault
	for at := int64(firstFaultMS); at < end-burstPauseMS; at += burstPauseMS {
		burst := min(at+minBurstMS+random.Int64N(maxBurstMS-minBurstMS), end-burstPauseMS)
		for at < burst {
			fault := drawFault(random, scenario, at)
			fault.ForMS = min(fault.ForMS, max(0, burst-at))
			faults = append(faults, fault)
			at += 1 + random.Int64N(maxFaultGapMS)
		}
		at = burst
		faults = append(faults, Fault{Kind: ReplicaDrain, AtMS: burst + drainDelayMS, Targets: draw(random, scenario.Replicas, 2)})
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
			// Always include a replica that serves non-repeatable calls.
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
	for _, entry := range weights {
		total += entry.weight
	}
	drawn := random.IntN(total)
	for _, entry := range weights {
		if drawn -= entry.weight; drawn < 0 {
			return entry.kind
		}
	}
	return Pause
}

// draw returns up to count distinct numbers below bound, sorted.
func draw(random *rand.Rand, bound, count int) []int {
	drawn := random.Perm(bound)[:min(count, bound)]
	slices.Sort(drawn)
	return drawn
}

// ReadScenario reads a scenario file. If it has no faults, Run draws them.
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
