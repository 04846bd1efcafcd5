package partition

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Defaults of the stateful search, the same in every run. For a longer search
// run `go test ./partition -run TestEveryConfirmedRecordSurvives -rapid.seed N
// -rapid.checks N`.
const (
	propertySeed   = "7"
	propertySteps  = "60"
	propertyChecks = "2000"
)

// propertyLayouts lists the zones of the nodes, one entry per node.
var propertyLayouts = [][]zone.Name{
	fiveNodes,
	threeZones,
	{"isando", "isando", "isando"},
	{"isando"},
}

// fixDefault sets a flag of rapid unless it was given on the command line.
func fixDefault(t *testing.T, name, value string) {
	set := false
	flag.Visit(func(given *flag.Flag) { set = set || given.Name == name })
	if set {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// TestEveryConfirmedRecordSurvives runs a partition under combinations of all
// faults and checks it against the confirmations to callers: every later owner
// recovers a confirmed record exactly once and in order; a node of an earlier
// epoch confirms nothing that a later owner does not have; and once the faults
// end, a node owns the partition and serves.
func TestEveryConfirmedRecordSurvives(t *testing.T) {
	fixDefault(t, "rapid.seed", propertySeed)
	fixDefault(t, "rapid.steps", propertySteps)
	fixDefault(t, "rapid.checks", propertyChecks)
	fixDefault(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		zones := rapid.SampledFrom(propertyLayouts).Draw(t, "zones")
		mirrors := rapid.IntRange(0, 3).Draw(t, "mirrors")
		world := &faultyWorld{cluster: newCluster(seed, zones, func(config *Config) {
			config.MirrorCount = mirrors
			config.MaximumUnconfirmedBytes = 16 << 10
			config.MaximumBatchRecords = 7
			config.ReadBatch = 5
			config.SnapshotEvery = 20
		})}
		world.run(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":             world.check,
			"propose":      world.propose,
			"propose more": world.propose,
			"snapshot":     world.snapshotOwner,
			"wait":         world.wait,
			"wait long":    world.waitLong,
			"crash":        world.crashOne,
			"restart":      world.restartOne,
			"pause":        world.pauseOne,
			"resume":       world.resumeOne,
			"store":        world.switchStore,
			"lose answers": world.loseAnswers,
			"slow store":   world.slowStore,
			"cut":          world.cutLink,
			"list":         world.flapList,
			"stop":         world.stopOne,
			"hold":         world.holdOne,
			"place":        world.changePlace,
		})
		world.healAndCheck(t)
	})
}

// faultyWorld is a cluster with the faults that the search may inject.
type faultyWorld struct {
	*cluster
}

func (w *faultyWorld) any(t *rapid.T) *simulatedNode {
	return rapid.SampledFrom(w.nodes).Draw(t, "node")
}

func (w *faultyWorld) check(t *rapid.T) {
	if len(w.failures) > 0 {
		t.Fatalf("%v", w.failures)
	}
}

// propose proposes on any node in StateOwning, including a
// previous owner that was superseded.
func (w *faultyWorld) propose(t *rapid.T) {
	node := w.any(t)
	for range rapid.IntRange(1, 20).Draw(t, "records") {
		if node.alive && node.owning {
			_, _ = w.cluster.propose(node)
		}
	}
}

func (w *faultyWorld) snapshotOwner(*rapid.T) {
	if node := w.owner(); node != nil && node.replica.WantsSnapshot() {
		w.snapshot(node)
	}
}

func (w *faultyWorld) wait(t *rapid.T) {
	w.run(time.Duration(rapid.IntRange(1, 600).Draw(t, "milliseconds")) * time.Millisecond)
}

func (w *faultyWorld) waitLong(t *rapid.T) {
	w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
}

func (w *faultyWorld) crashOne(t *rapid.T) {
	if node := w.any(t); node.alive {
		w.crash(node)
	}
}

func (w *faultyWorld) restartOne(t *rapid.T) {
	if node := w.any(t); !node.alive {
		w.restart(node)
	}
}

func (w *faultyWorld) pauseOne(t *rapid.T) {
	if node := w.any(t); node.alive && !node.paused {
		w.pause(node)
	}
}

func (w *faultyWorld) resumeOne(t *rapid.T) {
	if node := w.any(t); node.alive && node.paused {
		w.resume(node)
	}
}

func (w *faultyWorld) switchStore(t *rapid.T) {
	w.log.down = rapid.Bool().Draw(t, "down")
}

func (w *faultyWorld) loseAnswers(t *rapid.T) {
	w.log.loseAnswers = rapid.IntRange(1, 5).Draw(t, "answers")
}

func (w *faultyWorld) slowStore(t *rapid.T) {
	w.log.extraDelay = time.Duration(rapid.IntRange(0, 8000).Draw(t, "milliseconds")) * time.Millisecond
}

func (w *faultyWorld) cutLink(t *rapid.T) {
	link := [2]machine.ID{w.any(t).id, w.any(t).id}
	w.blocked[link] = !w.blocked[link]
}

func (w *faultyWorld) flapList(t *rapid.T) {
	id := w.any(t).id
	w.hidden[id] = !w.hidden[id]
	w.viewChanged()
}

func (w *faultyWorld) stopOne(t *rapid.T) {
	id := w.any(t).id
	w.stopping[id] = !w.stopping[id]
	w.viewChanged()
}

func (w *faultyWorld) holdOne(t *rapid.T) {
	id := w.any(t).id
	w.deferring[id] = !w.deferring[id]
	w.viewChanged()
}

// changePlace restricts the placement to the zones of one or two nodes, or
// widens it again.
func (w *faultyWorld) changePlace(t *rapid.T) {
	first := rapid.SampledFrom(w.nodes).Draw(t, "first").zone
	second := rapid.SampledFrom(w.nodes).Draw(t, "second").zone
	w.placement = zone.NewPlacement(first, second)
	w.viewChanged()
}

// healAndCheck ends all faults. The partition must then be owned and serve,
// unless a quorum of mirrors has lost its memory: then a Stall must report
// that, and only accepting the loss ends it.
func (w *faultyWorld) healAndCheck(t *rapid.T) {
	w.heal()
	w.run(time.Minute)
	w.check(t)
	owner := w.owner()
	if owner == nil {
		w.checkStalled(t)
		return
	}
	value, err := w.cluster.propose(owner)
	if err != nil {
		t.Fatalf("propose after healing: %v", err)
	}
	if !w.runUntil(time.Minute, func() bool { return w.isConfirmed(value) }) {
		t.Fatalf("not confirmed after healing")
	}
	w.crash(owner)
	w.restart(owner)
	if w.runUntil(2*time.Minute, w.hasOwner) {
		w.check(t)
	} else {
		w.checkStalled(t)
	}
}

// widest returns the placement of all zones that have a node.
func (w *faultyWorld) widest() zone.Placement {
	var zones []zone.Name
	for _, node := range w.nodes {
		zones = append(zones, node.zone)
	}
	return zone.NewPlacement(zones...)
}

func (w *faultyWorld) heal() {
	w.log.down = false
	w.log.loseAnswers = 0
	w.log.extraDelay = 0
	clear(w.blocked)
	clear(w.hidden)
	clear(w.stopping)
	clear(w.deferring)
	w.placement = w.widest()
	for _, node := range w.nodes {
		if !node.alive {
			w.restart(node)
		}
		if node.paused {
			w.resume(node)
		}
	}
	w.viewChanged()
}

// checkStalled accepts a partition without an owner only if a recovery reports
// that so many mirrors were restarted that no quorum is left.
func (w *faultyWorld) checkStalled(t *rapid.T) {
	for _, node := range w.nodes {
		stall, stalled := node.replica.Stall()
		if node.alive && stalled && len(stall.Silent) < stall.Needed-stall.Read {
			return
		}
	}
	for _, node := range w.nodes {
		t.Logf("%s alive=%v state=%s epoch=%d desired=%s", node.id, node.alive, node.replica.State(), node.replica.Epoch(), node.replica.desired)
	}
	t.Fatalf("nobody owns the partition, and no recovery says why")
}
