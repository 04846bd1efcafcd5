package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// The names that the run's settings tree uses.
const (
	modelName = "small"
	toolName  = "record"
)

// The limits of every program, which no program of the run reaches.
const (
	budgetTokens = 1_000_000_000
	maximumTurns = 100_000
)

// One-way delays between nodes.
const (
	delayWithinZone   = 200 * time.Microsecond
	delayWithinRegion = time.Millisecond
	delayAcross       = 15 * time.Millisecond
)

// world is the geography of a run.
type world struct {
	zones   []zone.Zone
	regions []zone.Region
}

func newWorld(config Config) world {
	var w world
	for region := range config.Regions {
		w.regions = append(w.regions, zone.Region(fmt.Sprintf("region-%d", region)))
	}
	for index := range config.Zones {
		w.zones = append(w.zones, zone.Zone{
			Name:   zone.Name(fmt.Sprintf("zone-%d", index)),
			Region: w.regions[index%config.Regions],
		})
	}
	return w
}

func (w world) names() []zone.Name {
	names := make([]zone.Name, len(w.zones))
	for i, place := range w.zones {
		names[i] = place.Name
	}
	return names
}

func (w world) regionOf(name zone.Name) zone.Region {
	for _, place := range w.zones {
		if place.Name == name {
			return place.Region
		}
	}
	return ""
}

// within returns the zones of a region.
func (w world) within(region zone.Region) []zone.Name {
	var names []zone.Name
	for _, place := range w.zones {
		if place.Region == region {
			names = append(names, place.Name)
		}
	}
	return names
}

// delay is the one-way time from zone to zone.
func (w world) delay(from, to zone.Name) time.Duration {
	switch {
	case from == to:
		return delayWithinZone
	case w.regionOf(from) == w.regionOf(to):
		return delayWithinRegion
	}
	return delayAcross
}

// machines returns the back ends, spread over the zones.
func (w world) machines(replicas int) []machine.Machine {
	var backends []machine.Machine
	for index := range replicas {
		place := w.zones[index%len(w.zones)].Name
		// Whole rounds of zones are tool services, so that each zone has some.
		if index/len(w.zones)%toolShare == 0 {
			backends = append(backends, machine.Machine{
				ID: machine.ID(fmt.Sprintf("tool-%03d", index)), Kind: machine.KindTool, Zone: place,
				Address: fmt.Sprintf("tool-%03d", index), Status: machine.StatusLive, Incarnation: 1,
				Tools: []string{toolName},
			})
			continue
		}
		backends = append(backends, machine.Machine{
			ID: machine.ID(fmt.Sprintf("engine-%03d", index)), Kind: machine.KindEngine, Zone: place,
			Address: fmt.Sprintf("engine-%03d", index), Status: machine.StatusLive, Incarnation: 1,
			Models: []string{modelName}, Slots: replicaSlots, CacheTokens: replicaCacheTokens,
		})
	}
	return backends
}

// branches returns the paths that programs run on: the root's only child
// permits every zone, the others one region or one zone.
func (w world) branches() []contract.Path {
	paths := []contract.Path{"everywhere"}
	for _, region := range w.regions {
		paths = append(paths, contract.Path(region))
	}
	for _, place := range w.zones {
		paths = append(paths, contract.Path(place.Name))
	}
	return paths
}

// settings returns the first change of the settings stream.
func (w world) settings() contract.Change {
	limit, turns, output := int64(budgetTokens), maximumTurns, outputCap
	edits := []contract.Edit{
		{Path: contract.Root, Values: contract.Values{
			Zones: w.names(), Models: []string{modelName}, Tools: []string{toolName},
			BudgetTokens: &limit, MaxTurns: &turns, MaxOutputTokens: &output,
		}},
		{Path: "everywhere", Values: contract.Values{Zones: w.names()}},
	}
	for _, region := range w.regions {
		edits = append(edits, contract.Edit{Path: contract.Path(region), Values: contract.Values{Zones: w.within(region)}})
	}
	for _, place := range w.zones {
		edits = append(edits, contract.Edit{Path: contract.Path(place.Name), Values: contract.Values{Zones: []zone.Name{place.Name}}})
	}
	return contract.Change{ID: "scale-first", Actor: "scale", At: time.Now(), Edits: edits}
}

// placementOf returns the zones that programs of a branch may visit.
func (w world) placementOf(branch contract.Path) zone.Placement {
	for _, region := range w.regions {
		if branch == contract.Path(region) {
			return zone.NewPlacement(w.within(region)...)
		}
	}
	for _, place := range w.zones {
		if branch == contract.Path(place.Name) {
			return zone.NewPlacement(place.Name)
		}
	}
	return zone.NewPlacement(w.names()...)
}

// partitionsPerBranch gives each node about two partitions. The root is a branch
// too.
func (w world) partitionsPerBranch(nodes int) int {
	const partitionsPerNode = 2
	const minimum = 4
	return max(minimum, partitionsPerNode*nodes/(len(w.branches())+1))
}

func newRandom(seed uint64, stream string) *rand.Rand {
	var mixed uint64
	for _, letter := range []byte(stream) {
		mixed = mixed*31 + uint64(letter)
	}
	return rand.New(rand.NewPCG(seed, mixed))
}
