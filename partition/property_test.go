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
		faulty := &faultyCluster{cluster: newCluster(seed, zones, func(config *Config) {
			config.MirrorCount = mirrors
			config.MaximumUnconfirmedBytes = 16 << 10
			config.MaximumBatchRecords = 7
			config.ReadBatch = 5
			config.SnapshotEvery = 20
		})}
		faulty.run(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":             faulty.check,
			"propose":      faulty.propose,
			"propose more": faulty.propose,
			"snapshot":     faulty.snapshotOwner,
			"wait":         faulty.wait,
			"wait long":    faulty.waitLong,
			"crash":        faulty.crashOne,
			"restart":      faulty.restartOne,
			"pause":        faulty.pauseOne,
			"resume":       faulty.resumeOne,
			"store":        faulty.switchStore,
			"lose answers": faulty.loseAnswers,
			"slow store":   faulty.slowStore,
			"cut":          faulty.blockLink,
			"list":         faulty.flapList,
			"stop":         faulty.stopOne,
			"hold":         faulty.holdOne,
			"place":        faulty.changePlacement,
		})
		faulty.healAndCheck(t)
	})
}

// faultyCluster is a cluster with the faults that the search may inject.
type faultyCluster struct {
	*cluster
}

func (w *faultyCluster) any(t *rapid.T) *simulatedNode {
	return rapid.SampledFrom(w.nodes).Draw(t, "node")
}

func (w *faultyCluster) check(t *rapid.T) {
	if len(w.failures) > 0 {
		t.Fatalf("%v", w.failures)
	}
}

// propose proposes on any node that has reported Acquired and not Lost since,
// including a previous owner that was superseded.
func (w *faultyCluster) propose(t *rapid.T) {
	node := w.any(t)
	for range rapid.IntRange(1, 20).Draw(t, "records") {
		if node.alive && node.owning {
			_, _ = w.cluster.propose(node)
		}
	}
}

func (w *faultyCluster) snapshotOwner(*rapid.T) {
	if node := w.owner(); node != nil && node.replica.WantsSnapshot() {
		w.snapshot(node)
	}
}

func (w *faultyCluster) wait(t *rapid.T) {
	w.run(time.Duration(rapid.IntRange(1, 600).Draw(t, "milliseconds")) * time.Millisecond)
}

func (w *faultyCluster) waitLong(t *rapid.T) {
	w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
}

func (w *faultyCluster) crashOne(t *rapid.T) {
	if node := w.any(t); node.alive {
		w.crash(node)
	}
}

func (w *faultyCluster) restartOne(t *rapid.T) {
	if node := w.any(t); !node.alive {
		w.restart(node)
	}
}

func (w *faultyCluster) pauseOne(t *rapid.T) {
	if node := w.any(t); node.alive && !node.paused {
		w.pause(node)
	}
}

func (w *faultyCluster) resumeOne(t *rapid.T) {
	if node := w.any(t); node.alive && node.paused {
		w.resume(node)
	}
}

func (w *faultyCluster) switchStore(t *rapid.T) {
	w.log.down = rapid.Bool().Draw(t, "down")
}

func (w *faultyCluster) loseAnswers(t *rapid.T) {
	w.log.loseAnswers = rapid.IntRange(1, 5).Draw(t, "answers")
}

func (w *faultyCluster) slowStore(t *rapid.T) {
	w.log.extraDelay = time.Duration(rapid.IntRange(0, 8000).Draw(t, "milliseconds")) * time.Millisecond
}

func (w *faultyCluster) blockLink(t *rapid.T) {
	link := [2]machine.ID{w.any(t).id, w.any(t).id}
	w.blocked[link] = !w.blocked[link]
}

func (w *faultyCluster) flapList(t *rapid.T) {
	id := w.any(t).id
	w.hidden[id] = !w.hidden[id]
	w.viewChanged()
}

func (w *faultyCluster) stopOne(t *rapid.T) {
	id := w.any(t).id
	w.stopping[id] = !w.stopping[id]
	w.viewChanged()
}

func (w *faultyCluster) holdOne(t *rapid.T) {
	id := w.any(t).id
	w.deferring[id] = !w.deferring[id]
	w.viewChanged()
}

// changePlacement restricts the placement to the zones of one or two nodes, or
// widens it again.
func (w *faultyCluster) changePlacement(t *rapid.T) {
	first := rapid.SampledFrom(w.nodes).Draw(t, "first").zone
	second := rapid.SampledFrom(w.nodes).Draw(t, "second").zone
	w.placement = zone.NewPlacement(first, second)
	w.viewChanged()
}

// healAndCheck ends all faults. The partition must then be owned and serve,
// unless a quorum of mirrors has lost its memory: then a Stall must report
// that, and only accepting the loss ends it.
func (w *faultyCluster) healAndCheck(t *rapid.T) {
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
func (w *faultyCluster) widest() zone.Placement {
	var zones []zone.Name
	for _, node := range w.nodes {
		zones = append(zones, node.zone)
	}
	return zone.NewPlacement(zones...)
}

func (w *faultyCluster) heal() {
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
func (w *faultyCluster) checkStalled(t *rapid.T) {
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
