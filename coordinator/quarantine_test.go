package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/quarantine"
)

// lethal is the request of these specs.
const lethal = quarantine.Fingerprint(7)

// applyQuarantine keeps what the core reports of marked requests.
func (m *member) applyQuarantine(ready *coordinator.Ready) {
	for _, change := range ready.QuarantineChanges {
		if change.Status.Marked() {
			m.marked[change.Status.Fingerprint] = change
			continue
		}
		delete(m.marked, change.Status.Fingerprint)
	}
	for _, announced := range ready.RunsAnnounced {
		m.announced[announced.ID] = announced
	}
	for _, decided := range ready.RunsDecided {
		m.decided[decided.ID] = decided
	}
}

// runOf returns a run of the lethal request at a node.
func runOf(node machine.ID, number uint64, replica string, state quarantine.State) quarantine.Run {
	return quarantine.Run{
		ID: quarantine.RunID{Node: string(node), Incarnation: 1, Number: number}, Fingerprint: lethal, Replica: replica, State: state,
	}
}

// report reports runs at a node, and runs the fleet until all nodes know them.
func (f *fleet) report(id machine.ID, runs ...quarantine.Run) coordinator.RunsAnnounced {
	f.nextID++
	number := f.nextID
	f.step(id, coordinator.RunsReported{ID: number, Runs: runs, Timeout: 60 * time.Millisecond})
	for range 40 {
		node := f.nodes[id]
		if node == nil {
			break
		}
		if announced, done := node.announced[number]; done {
			return announced
		}
		f.run(step)
	}
	return coordinator.RunsAnnounced{ID: number, Unanswered: -1}
}

// request requests permission for a run, and runs the fleet until it is decided.
func (f *fleet) request(id machine.ID, run quarantine.Run) quarantine.Verdict {
	f.nextID++
	number := f.nextID
	f.step(id, coordinator.RunRequested{ID: number, Run: run, Timeout: 200 * time.Millisecond})
	for range 60 {
		node := f.nodes[id]
		if node == nil {
			break
		}
		if decided, done := node.decided[number]; done {
			return decided.Verdict
		}
		f.run(step)
	}
	return quarantine.VerdictUnknown
}

// step has a node process an event at once.
func (f *fleet) step(id machine.ID, event coordinator.Event) {
	node := f.nodes[id]
	node.core.Step(f.now, event)
	f.perform(id, node)
}

var _ = Describe("Requests that end their replicas", func() {
	It("are known to all nodes once their end is announced", func() {
		fleet := newFleet(1, 5, 1)
		fleet.run(time.Second)
		announced := fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		Expect(announced.Unanswered).To(BeZero())
		for id, node := range fleet.nodes {
			Expect(node.marked).To(HaveKey(lethal), string(id))
		}
	})

	It("are known to be those of many callers at a node that has seen no answer to them", func() {
		fleet := newFleet(9, 5, 1)
		fleet.run(time.Second)
		fleet.nodes["node-03"].shared = []quarantine.Fingerprint{lethal}
		announced := fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		Expect(announced.Unanswered).To(BeZero())
		Expect(fleet.nodes["node-00"].marked[lethal].Status.Shared).To(BeTrue())
		Expect(fleet.nodes["node-00"].marked[lethal].Status.Ended).To(Equal(1))
	})

	It("run again only with the permission of most nodes, up to the limit", func() {
		fleet := newFleet(2, 5, 1)
		fleet.run(12 * time.Second)
		fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		Expect(fleet.request("node-01", runOf("node-01", 1, "r2", quarantine.StateRunning))).To(Equal(quarantine.VerdictGranted))
		Expect(fleet.request("node-02", runOf("node-02", 1, "r3", quarantine.StateRunning))).To(Equal(quarantine.VerdictGranted))
		Expect(fleet.request("node-03", runOf("node-03", 1, "r4", quarantine.StateRunning))).To(Equal(quarantine.VerdictUnsettled))
		fleet.report("node-01", runOf("node-01", 1, "r2", quarantine.StateEnded))
		fleet.report("node-02", runOf("node-02", 1, "r3", quarantine.StateEnded))
		Expect(fleet.nodes["node-03"].marked[lethal].Refused).To(BeTrue())
		Expect(fleet.request("node-03", runOf("node-03", 2, "r5", quarantine.StateRunning))).To(Equal(quarantine.VerdictLimit))
	})

	It("count each end of a replica that starts again under its ID, although the nodes' runs have one number", func() {
		fleet := newFleet(10, 5, 1)
		fleet.run(time.Second)
		for index, id := range []machine.ID{"node-00", "node-01", "node-02"} {
			ended := runOf(id, 1, "r1", quarantine.StateEnded)
			ended.Restarted = index > 0
			fleet.report(id, ended)
		}
		Expect(fleet.nodes["node-03"].marked[lethal].Status.Ended).To(Equal(3))
		Expect(fleet.nodes["node-03"].marked[lethal].Refused).To(BeTrue())
	})

	It("count one end more while a node may have been lost with a run of theirs", func() {
		for _, lose := range []func(*fleet){
			func(f *fleet) { f.kill("node-04") },
			func(f *fleet) { f.nodes["node-04"].frozen = true },
			func(f *fleet) { f.nodes["node-04"].alone = true },
			func(f *fleet) { f.kill("node-04"); f.run(4 * time.Second) },
		} {
			fleet := newFleet(8, 5, 1)
			fleet.run(12 * time.Second)
			lose(fleet)
			fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
			Expect(fleet.request("node-01", runOf("node-01", 1, "r2", quarantine.StateRunning))).To(Equal(quarantine.VerdictGranted))
			fleet.report("node-01", runOf("node-01", 1, "r2", quarantine.StateEnded))
			status := fleet.nodes["node-02"].marked[lethal].Status
			Expect(status.Counted()).To(Equal(3))
			Expect(status.Ended).To(Equal(2))
			Expect(fleet.request("node-02", runOf("node-02", 1, "r3", quarantine.StateRunning))).To(Equal(quarantine.VerdictUnsettled))
		}
	})

	It("keep their ends for a while when a replica answers", func() {
		fleet := newFleet(3, 5, 1)
		fleet.run(time.Second)
		fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		fleet.step("node-02", coordinator.RequestReleased{Fingerprint: lethal, Reason: coordinator.ReleaseAnswered})
		fleet.run(20 * time.Second)
		for id, node := range fleet.nodes {
			Expect(node.marked).To(HaveKey(lethal), string(id))
		}
		fleet.run(15 * time.Second)
		for id, node := range fleet.nodes {
			Expect(node.marked).NotTo(HaveKey(lethal), string(id))
		}
	})

	It("are released by an operator", func() {
		fleet := newFleet(3, 5, 1)
		fleet.run(time.Second)
		fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		fleet.step("node-02", coordinator.RequestReleased{Fingerprint: lethal, Reason: coordinator.ReleaseOperator})
		fleet.run(100 * time.Millisecond)
		for id, node := range fleet.nodes {
			Expect(node.marked).NotTo(HaveKey(lethal), string(id))
		}
	})

	It("do not run again at a node that reaches no other", func() {
		fleet := newFleet(4, 5, 1)
		fleet.run(time.Second)
		fleet.nodes["node-00"].alone = true
		fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		Expect(fleet.request("node-00", runOf("node-00", 2, "r2", quarantine.StateRunning))).To(Equal(quarantine.VerdictUnknown))
	})

	It("are known to a node that starts, before it serves", func() {
		fleet := newFleet(5, 5, 1)
		fleet.run(time.Second)
		fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		fleet.kill("node-04")
		fleet.run(3 * time.Second)
		fleet.start("node-04")
		Expect(fleet.nodes["node-04"].core.KnowsMarkedRequests(fleet.now)).To(BeFalse())
		fleet.list()
		fleet.run(100 * time.Millisecond)
		Expect(fleet.nodes["node-04"].core.KnowsMarkedRequests(fleet.now)).To(BeTrue())
		Expect(fleet.nodes["node-04"].marked).To(HaveKey(lethal))
	})

	It("are known to a node that was paused while they were announced", func() {
		fleet := newFleet(6, 5, 1)
		fleet.run(time.Second)
		fleet.nodes["node-04"].frozen = true
		fleet.run(4 * time.Second)
		fleet.report("node-00", runOf("node-00", 1, "r1", quarantine.StateEnded))
		fleet.run(5 * time.Second)
		fleet.nodes["node-04"].frozen = false
		fleet.run(2 * time.Second)
		Expect(fleet.nodes["node-04"].marked).To(HaveKey(lethal))
	})

	It("do not share a replica while there is another choice", func() {
		fleet := newFleet(7, 3, 1)
		fleet.run(time.Second)
		other := runOf("node-00", 1, "r1", quarantine.StateRunning)
		other.Fingerprint = lethal + 1
		Expect(fleet.request("node-00", other)).To(Equal(quarantine.VerdictGranted))
		Expect(fleet.request("node-01", runOf("node-01", 1, "r1", quarantine.StateRunning))).To(Equal(quarantine.VerdictCrowded))
		Expect(fleet.request("node-01", runOf("node-01", 2, "r2", quarantine.StateRunning))).To(Equal(quarantine.VerdictGranted))
	})

	DescribeTable("are sent to none after three replicas ended, whatever becomes of one node at a time", func(runsPerTry int, keepsID bool) {
		for seed := range uint64(outbreakSeeds) {
			model := newOutbreak(seed)
			model.runsPerTry, model.keepsID = runsPerTry, keepsID
			model.play()
			Expect(model.late).To(BeZero(), "seed %d: %v", seed, model.trace)
			Expect(model.sends).To(BeNumerically(">", 0), "seed %d", seed)
		}
	},
		Entry("and they do not come back", 4, false),
		Entry("and one starts again under its ID each time", 1, true),
	)
})

// outbreakSeeds is the number of runs of the model, and outbreakTries the number of tries of the
// lethal request in each.
const (
	outbreakSeeds = 40
	outbreakTries = 8
)

// outbreak is a model of one caller that tries a request which ends every replica that runs it,
// over nodes that are killed, paused and cut off from each other meanwhile.
type outbreak struct {
	*fleet
	draws *rand.Rand
	// sends counts the runs of the request, ends the replicas that ended under it, and late the
	// runs that began after the third end.
	sends, ends, late int
	// runsPerTry is how often a node runs the request in one try at most.
	runsPerTry int
	// keepsID has all runs at one replica, which starts again under its ID. numbers are the
	// numbers of the last runs of the nodes.
	keepsID bool
	numbers map[machine.ID]uint64
	// lostRuns counts the runs whose node was killed before it could report their end. One such
	// run counts.
	lostRuns int
	trace    []string
}

func newOutbreak(seed uint64) *outbreak {
	model := &outbreak{fleet: newFleet(seed, 5, 1), draws: rand.New(rand.NewPCG(seed, 11)), numbers: make(map[machine.ID]uint64)}
	model.run(time.Duration(model.draws.IntN(15)+1) * time.Second)
	return model
}

func (o *outbreak) play() {
	for range outbreakTries {
		o.disturb()
		o.try(o.pick())
		o.run(time.Duration(o.draws.IntN(300)) * time.Millisecond)
		o.recover()
	}
}

func (o *outbreak) pick() machine.ID {
	ids := o.ids()
	return ids[o.draws.IntN(len(ids))]
}

// disturb kills, pauses or cuts off one node, or none.
func (o *outbreak) disturb() {
	id := o.pick()
	switch o.draws.IntN(4) {
	case 0:
		o.note("kill %s", id)
		o.kill(id)
	case 1:
		o.note("pause %s", id)
		o.nodes[id].frozen = true
	case 2:
		o.note("cut %s", id)
		o.nodes[id].alone = true
	}
}

// recover ends the disturbance, after a while.
func (o *outbreak) recover() {
	o.run(time.Duration(o.draws.IntN(3000)) * time.Millisecond)
	for index := range 5 {
		id := machine.ID(fmt.Sprintf("node-%02d", index))
		if o.nodes[id] == nil {
			o.start(id)
			o.list()
		}
		o.nodes[id].frozen, o.nodes[id].alone = false, false
	}
	o.run(1500 * time.Millisecond)
}

// try sends the request to a node, which runs it as often as it may.
func (o *outbreak) try(id machine.ID) {
	if o.nodes[id].frozen {
		return
	}
	for range o.runsPerTry {
		change, marked := o.nodes[id].marked[lethal]
		run := o.nextRun(id, change.Status.EndedAt)
		switch {
		case change.Refused:
			o.note("%s refuses", id)
			return
		case marked && o.request(id, run) != quarantine.VerdictGranted:
			o.note("%s gets no permission", id)
			return
		}
		if !o.send(id, run) {
			return
		}
	}
}

// nextRun returns the next run of a node. Each node numbers its own runs.
func (o *outbreak) nextRun(id machine.ID, endedAt []string) quarantine.Run {
	o.numbers[id]++
	o.nextID++
	run := runOf(id, o.numbers[id], fmt.Sprintf("r%d", o.nextID), quarantine.StateRunning)
	if o.keepsID {
		run.Replica = "r"
		run.Restarted = slices.Contains(endedAt, run.Replica)
	}
	return run
}

// send sends the run to a replica, which ends. It returns false if the node is killed before it
// has told the others.
func (o *outbreak) send(id machine.ID, run quarantine.Run) bool {
	o.sends++
	if o.ends >= 3 {
		o.late++
	}
	o.run(time.Duration(o.draws.IntN(100)) * time.Millisecond)
	o.ends++
	o.note("%s: end %d", id, o.ends)
	if o.lostRuns == 0 && o.draws.IntN(5) == 0 {
		o.note("kill %s with its run", id)
		o.lostRuns++
		o.kill(id)
		return false
	}
	run.State = quarantine.StateEnded
	o.report(id, run)
	return o.nodes[id] != nil
}

func (o *outbreak) note(format string, values ...any) {
	o.trace = append(o.trace, fmt.Sprintf(format, values...))
}
