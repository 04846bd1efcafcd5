package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// quietLogger drops log lines.
var quietLogger = &log.Logger{Level: log.PanicLevel}

// without returns settings with one mechanism switched off.
func without(mechanism Mechanism) Settings {
	return Settings{Node: "n", Zone: "z", Partitions: 2, Disabled: []Mechanism{mechanism}}
}

// TestSwitchesOfTheCore checks that mechanisms that are switched off show in the
// coordinator's configuration.
func TestSwitchesOfTheCore(t *testing.T) {
	g := NewWithT(t)
	configOf := func(settings Settings) coordinator.Config {
		return coreConfig(settings, machine.Machine{ID: "n"}, rand.New(rand.NewPCG(1, 2)))
	}
	all := configOf(Settings{Partitions: 2})
	g.Expect(all.Ledger.UnrecordedShare).To(BeNumerically(">", 0))
	g.Expect(all.Ledger.MarkAheadTurns).To(BeNumerically(">", 0))
	g.Expect(all.Ledger.ExtraTurnAfterFailure).To(BeTrue())
	g.Expect(all.SkipHandover).To(BeFalse())
	g.Expect(all.SkipClaimSearch).To(BeFalse())
	g.Expect(all.SkipFormerState).To(BeFalse())
	g.Expect(configOf(without(ReportFormerState)).SkipFormerState).To(BeTrue())
	g.Expect(configOf(without(AskForTurns)).SkipClaimSearch).To(BeTrue())
	g.Expect(configOf(without(BeginUnrecorded)).Ledger.UnrecordedShare).To(BeZero())
	g.Expect(configOf(without(MarkAhead)).Ledger.MarkAheadTurns).To(BeZero())
	g.Expect(configOf(without(GrantTurnAfterFailure)).Ledger.ExtraTurnAfterFailure).To(BeFalse())
	g.Expect(configOf(without(HandOver)).SkipHandover).To(BeTrue())
}

// TestSwitchesOfTheSelection checks that mechanisms that are switched off are passed on to
// the selection of replicas.
func TestSwitchesOfTheSelection(t *testing.T) {
	g := NewWithT(t)
	for mechanism, parts := range map[Mechanism]replica.SelectionFactors{
		TrackCachedPrompts: {CachedPrompts: true}, KeepSessions: {LastReplica: true}, CountPeerLoads: {PeerLoads: true},
		PreferZone: {Zones: true}, PreferConnections: {Connections: true}, AvoidFaultyReplicas: {Faults: true},
		AvoidUnresponsiveReplicas: {Suspicion: true}, WeighTokenTimes: {TokenTimes: true}, WeighSlack: {Slack: true},
	} {
		settings := without(mechanism)
		g.Expect(disabledFactors(&settings)).To(Equal(parts), string(mechanism))
	}
	g.Expect(disabledFactors(&Settings{})).To(Equal(replica.SelectionFactors{}))
}

// TestRefuseWhenFull checks that new programs are admitted at full replicas if the
// mechanism is switched off.
func TestRefuseWhenFull(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(RefuseWhenFull)} {
		node := &Node{settings: settings, replicas: newReplicas(&settings)}
		node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
		request := &requestState{service: "s", route: &routing.Route{}}
		g.Expect(node.overloaded(request)).To(BeFalse())
		for range 2 {
			_, err := node.replicas.choose(&replica.Request{Service: "s"})
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(node.overloaded(request)).To(Equal(settings.uses(RefuseWhenFull)))
	}
}

// TestDeferRemovals checks that replicas that the store lacks after an outage are removed
// at once if the mechanism is switched off.
func TestDeferRemovals(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(DeferRemovals)} {
		node := &Node{settings: settings, replicas: newReplicas(&settings), logger: quietLogger, pool: upstream.NewPool(upstream.Config{}), processes: newProcesses()}
		node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
		// An outage lies between these answers.
		node.store.recordAnswer(time.Now().Add(-time.Minute))
		node.store.recordAnswer(time.Now())
		node.handleUnlisted("r", "gone from the list")
		g.Expect(node.replicas.count()).To(Equal(map[bool]int{true: 1, false: 0}[settings.uses(DeferRemovals)]))
	}
}

// TestFollowReaders checks that a node of a large fleet reads the store itself if the
// mechanism is switched off.
func TestFollowReaders(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{RelayAbove: 1}, {RelayAbove: 1, Disabled: []Mechanism{FollowReaders}}} {
		node := &Node{settings: settings, replicas: newReplicas(&settings)}
		node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
		node.liveNodes.Store(9)
		node.roles.Store(&coordinator.Roles{Readers: []machine.Machine{{ID: "reader"}}})
		g.Expect(node.readersToFollow()).To(HaveLen(map[bool]int{true: 1, false: 0}[settings.uses(FollowReaders)]))
	}
}

// TestRecordReplica checks that a stored turn does not name its replica if the mechanism
// is switched off.
func TestRecordReplica(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(RecordReplica)} {
		request := &requestState{id: "t", route: &routing.Route{}, exchange: &ingress.Exchange{}}
		request.choice.Entry.ID = "r1"
		run := &turnRun{node: &Node{settings: settings}, request: request}
		g.Expect(run.storedTurn().Replica).To(Equal(map[bool]string{true: "r1", false: ""}[settings.uses(RecordReplica)]))
	}
}
