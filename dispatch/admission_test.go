package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Policies for turns that find no free slot.
var (
	thresholdPolicy = simPolicy{refuseNew: true}
	replicaPolicy   = simPolicy{orderBySlack: true}
	nodePolicy      = simPolicy{waitAtNode: true, orderBySlack: true}
	arrivalPolicy   = simPolicy{waitAtNode: true}
)

// burst simulates six seconds of the given load, as a fraction of capacity, between calm
// seconds, with several seeds.
func burst(policy simPolicy, load float64) (sum simulation) {
	for seed := range uint64(5) {
		c := newSimulation(policy, seed)
		c.play(10*time.Second, func(at time.Duration) float64 {
			if at > 2*time.Second && at < 8*time.Second {
				return load
			}
			return 0.5
		})
		sum.inTime, sum.late, sum.refused, sum.failed = sum.inTime+c.inTime, sum.late+c.late, sum.refused+c.refused, sum.failed+c.failed
		sum.ranAfterRefusal += c.ranAfterRefusal
	}
	return sum
}

// TestBurstOverCapacity checks that waiting at the node in order of slack finishes half as
// many programs more in time, at twice the capacity, than a threshold on arrival with
// replicas that serve in order of arrival, and that it refuses at most one program in a
// hundred more.
func TestBurstOverCapacity(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{1.2, 2, 3} {
		before, now := burst(thresholdPolicy, load), burst(nodePolicy, load)
		t.Logf("load %.1f: threshold %d in time, %d late, %d refused; waiting %d, %d, %d", load, before.inTime, before.late, before.refused, now.inTime, now.late, now.refused)
		g.Expect(float64(now.inTime)).To(BeNumerically(">=", 1.35*float64(before.inTime)), "load %.1f", load)
		asked := now.inTime + now.late + now.refused
		g.Expect(now.refused).To(BeNumerically("<=", before.refused+asked/100))
		g.Expect(now.failed).To(BeZero())
	}
	g.Expect(burst(nodePolicy, 2).inTime).To(BeNumerically(">=", burst(thresholdPolicy, 2).inTime*3/2))
}

// TestWaitAtNodeOrReplica checks that waiting at the node serves more programs in time
// than waiting at a replica: a turn that waits at the node goes to the replica whose slot
// becomes free first, and occupies no slot that started programs need.
func TestWaitAtNodeOrReplica(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{1.2, 2, 3} {
		node, replica := burst(nodePolicy, load), burst(replicaPolicy, load)
		g.Expect(node.inTime).To(BeNumerically(">", replica.inTime), "load %.1f", load)
	}
}

// TestOrderAtReplicas checks that more programs finish in time if replicas serve turns in
// order of slack, and no fewer than with a threshold if they serve in order of arrival.
func TestOrderAtReplicas(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{1.2, 2, 3} {
		g.Expect(burst(nodePolicy, load).inTime).To(BeNumerically(">", burst(arrivalPolicy, load).inTime), "load %.1f", load)
		g.Expect(burst(arrivalPolicy, load).inTime).To(BeNumerically(">=", burst(thresholdPolicy, load).inTime), "load %.1f", load)
	}
}

// TestNoRefusalsBelowCapacity checks that below capacity no program is refused and at most
// one in a hundred is late.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.5, 0.7, 0.9} {
		calm := burst(nodePolicy, load)
		g.Expect(calm.refused+calm.failed).To(BeZero(), "load %.1f", load)
		g.Expect(calm.late).To(BeNumerically("<=", calm.inTime/100), "load %.1f", load)
	}
}

// TestHigherOverload checks that half as much load again as twice the capacity loses at
// most a fifth of the programs that finish in time.
func TestHigherOverload(t *testing.T) {
	g := NewWithT(t)
	g.Expect(burst(nodePolicy, 3).inTime).To(BeNumerically(">=", burst(nodePolicy, 2).inTime*4/5))
}

// TestRefusedNeverRuns checks that no refused program runs afterwards, whatever the load.
func TestRefusedNeverRuns(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.9, 2, 4} {
		g.Expect(burst(nodePolicy, load).ranAfterRefusal).To(BeZero())
	}
}

// TestAdmit checks that started programs run, that turns which would wait for too long are
// refused, and that none is refused while a slot is free.
func TestAdmit(t *testing.T) {
	g := NewWithT(t)
	fresh := &SchedulingState{HasFinish: true, Left: 3 * time.Second, ExpectedRemaining: time.Second}
	full := &Utilisation{Least: 1.2, Mean: 1.5, CompletionRate: 20}
	g.Expect(Admit(full, &SchedulingState{Begun: true}, time.Second).Verdict).To(Equal(VerdictRun))
	g.Expect(Admit(&Utilisation{Mean: 1}, fresh, time.Second).Verdict).To(Equal(VerdictRun))
	waits := Admit(full, fresh, 3*time.Second)
	g.Expect(waits).To(Equal(Admission{Verdict: VerdictWait, Expected: 50 * time.Millisecond, Bound: 250 * time.Millisecond}))
	crowded := *full
	crowded.Ahead = 10
	g.Expect(Admit(&crowded, fresh, 3*time.Second).Verdict).To(Equal(VerdictRefuse))
	g.Expect(Admit(full, fresh, 100*time.Millisecond).Verdict).To(Equal(VerdictRefuse), "its deadline is too near")
	crowded.Least = 0.9
	g.Expect(Admit(&crowded, fresh, 3*time.Second).Verdict).To(Equal(VerdictRun), "a place is free")
	g.Expect(AfterWait(&crowded)).To(Equal(VerdictRun))
	g.Expect(AfterWait(full)).To(Equal(VerdictRefuse))
	for verdict := range verdicts {
		g.Expect(verdict.String()).NotTo(BeEmpty())
	}
}
