package soak

import (
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/platform/standin"
)

// TestCutsFollowFromTheSeed checks that replicas that end answers early follow from the seed and
// keep to the faults that they accompany, so that fault-free periods stay so.
func TestCutsFollowFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	found := 0
	for seed := range uint64(50) {
		scenario := aScenario(seed)
		faults := Schedule(scenario)
		cuts := Cuts(scenario, faults)
		g.Expect(Cuts(scenario, faults)).To(Equal(cuts))
		for _, cut := range cuts {
			found++
			g.Expect(cut.Kind).To(Equal(ReplicaCut))
			g.Expect(cut.Targets).To(HaveLen(cutReplicas))
			g.Expect(faults).To(ContainElement(And(HaveField("AtMS", cut.AtMS), HaveField("ForMS", cut.ForMS))))
		}
	}
	g.Expect(found).To(BeNumerically(">", 50))
}

// TestCutsShowThatTheyBrokeOff checks that no cut makes an answer that is whole by the protocol,
// and that all framings and endings are drawn.
func TestCutsShowThatTheyBrokeOff(t *testing.T) {
	g := NewWithT(t)
	run, err := newSoak(Options{Scenario: aScenario(1), Logs: t.TempDir()})
	g.Expect(err).NotTo(HaveOccurred())
	drawn := make(map[standin.Framing]map[standin.Ending]bool)
	for index := range 200 {
		replica := &standin.Replica{Events: eventsPerAnswer * (index % 2)}
		for _, cut := range run.drawCuts(replica) {
			if drawn[cut.Framing] == nil {
				drawn[cut.Framing] = make(map[standin.Ending]bool)
			}
			drawn[cut.Framing][cut.Ending] = true
			inOrder := cut.Ending == standin.Orderly || cut.Ending == standin.Delimited
			g.Expect(cut.InsideEvent).To(Equal(inOrder && replica.Events > 0))
			if replica.Events == 0 {
				g.Expect(cut.Ending).NotTo(Equal(standin.Delimited))
				g.Expect(cut.Framing.EndsByClose() && cut.Ending == standin.Orderly).To(BeFalse())
			}
		}
	}
	g.Expect(drawn).To(HaveLen(len(cutFramings)))
	for _, endings := range drawn {
		g.Expect(endings).To(HaveLen(standin.Endings))
	}
}
