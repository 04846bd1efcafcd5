package partition

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

var (
	threeZones = []zone.Name{"isando", "midrand-a", "midrand-b"}
	fiveNodes  = []zone.Name{"isando", "isando", "midrand-a", "midrand-a", "midrand-b"}
)

// settleTime is long enough for claims, dwell times and retries in the
// simulated cluster.
const settleTime = 30 * time.Second

// proposeSome proposes count values on the node and returns them.
func proposeSome(c *cluster, node *simulatedNode, count int) []string {
	GinkgoHelper()
	var values []string
	for range count {
		value, err := c.propose(node)
		Expect(err).NotTo(HaveOccurred())
		values = append(values, value)
	}
	return values
}

func expectOwner(c *cluster) *simulatedNode {
	GinkgoHelper()
	Expect(c.runUntil(settleTime, c.hasOwner)).To(BeTrue(), "no owner")
	return c.owner()
}

// expectConfirmed runs until every value is confirmed.
func expectConfirmed(c *cluster, values []string) {
	GinkgoHelper()
	confirmed := func() bool {
		return !slices.ContainsFunc(values, func(value string) bool { return !c.isConfirmed(value) })
	}
	Expect(c.runUntil(settleTime, confirmed)).To(BeTrue(), "not all confirmed")
}

var _ = Describe("Ownership", func() {
	var c *cluster
	var first *simulatedNode

	BeforeEach(func() {
		c = newCluster(1, fiveNodes, nil)
		first = expectOwner(c)
	})

	AfterEach(func() {
		Expect(c.failures).To(BeEmpty())
	})

	It("recovers every confirmed record after the owner died", func() {
		values := proposeSome(c, first, 100)
		expectConfirmed(c, values)
		c.crash(first)
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("lets a lapsed holder that wakes up change nothing", func() {
		before := proposeSome(c, first, 3)
		expectConfirmed(c, before)
		c.pause(first)
		second := expectOwner(c)
		after := proposeSome(c, second, 3)
		expectConfirmed(c, after)

		void := proposeSome(c, first, 3)
		c.resume(first)
		c.run(settleTime)

		Expect(first.lost).To(BeNumerically(">", 0))
		Expect(c.isConfirmed(void[0])).To(BeFalse())
		owner := expectOwner(c)
		c.crash(owner)
		Expect(expectOwner(c).state).To(Equal(slices.Concat(before, after)))
	})

	It("counts an append once whose answer was lost", func() {
		c.log.loseAnswers = 3
		values := proposeSome(c, first, 10)
		expectConfirmed(c, values)
		Expect(len(c.log.entries)).To(BeNumerically(">", 20), "the copies must stand in the log")
		c.crash(first)
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("wins with a claim whose answer was lost", func() {
		values := proposeSome(c, first, 3)
		expectConfirmed(c, values)
		c.crash(first)
		c.log.loseAnswers = 2
		second := expectOwner(c)
		Expect(second.replica.Epoch()).To(Equal(uint64(2)))
		Expect(second.state).To(Equal(values))
	})

	It("hands over by plan without losing a record", func() {
		values := proposeSome(c, first, 50)
		c.stopping[first.id] = true
		c.viewChanged()
		Expect(c.runUntil(settleTime, func() bool { return c.hasOwner() && c.owner() != first })).To(BeTrue())
		second := c.owner()
		Expect(c.confirmed).To(Equal(values))
		Expect(second.state).To(Equal(values))
		_, err := c.propose(first)
		Expect(err).To(MatchError(ErrNotOwner))
	})

	It("waits with a hand-over that is due while it is held, and nobody claims meanwhile", func() {
		c.stopping[first.id] = true
		c.deferring[first.id] = true
		c.viewChanged()
		c.run(settleTime)
		Expect(first.replica.HandoverDue()).To(BeTrue())
		Expect(first.replica.State()).To(Equal(StateOwning))
		expectConfirmed(c, proposeSome(c, first, 1))
		c.deferring[first.id] = false
		c.viewChanged()
		Expect(c.runUntil(settleTime, func() bool { return c.hasOwner() && c.owner() != first })).To(BeTrue())
		Expect(c.owner().replica.Epoch()).To(Equal(uint64(2)))
	})

	It("leaves a node that the place rule excludes at once", func() {
		c.placement = zone.NewPlacement(slices.DeleteFunc(slices.Clone(threeZones), func(name zone.Name) bool { return name == first.zone })...)
		c.viewChanged()
		Expect(c.runUntil(time.Second, func() bool { return c.hasOwner() && c.owner() != first })).To(BeTrue())
	})

	It("lets a node that the placement excludes complete the deferred handover, and loses nothing", func() {
		values := proposeSome(c, first, 5)
		c.placement = zone.NewPlacement(slices.DeleteFunc(slices.Clone(threeZones), func(name zone.Name) bool { return name == first.zone })...)
		c.deferring[first.id] = true
		c.viewChanged()
		c.run(settleTime)
		values = append(values, proposeSome(c, first, 1)...)
		expectConfirmed(c, values)
		c.deferring[first.id] = false
		c.viewChanged()
		Expect(c.runUntil(time.Second, func() bool { return c.hasOwner() && c.owner() != first })).To(BeTrue())
		Expect(c.owner().state).To(Equal(values))
		Expect(c.placement.Contains(c.owner().zone)).To(BeTrue())
	})

	It("keeps the owner while the machine list flaps", func() {
		for range 50 {
			c.hidden[first.id] = true
			c.viewChanged()
			c.run(100 * time.Millisecond)
			c.hidden[first.id] = false
			c.viewChanged()
			c.run(400 * time.Millisecond)
		}
		Expect(expectOwner(c)).To(Equal(first))
		Expect(first.replica.Epoch()).To(Equal(uint64(1)))
	})

	It("moves once, and only after the dwell time, when a better owner joins", func() {
		c.crash(first)
		second := expectOwner(c)
		values := proposeSome(c, second, 5)
		c.restart(first)
		c.run(4 * time.Second)
		Expect(c.owner()).To(Equal(second))
		routed, _ := first.replica.Owner()
		Expect(routed).To(Equal(second.id), "requests go to the node that still owns")
		Expect(c.runUntil(settleTime, func() bool { return c.owner() == first })).To(BeTrue())
		Expect(first.state).To(Equal(values))
		epoch := first.replica.Epoch()
		c.run(settleTime)
		Expect(first.replica.Epoch()).To(Equal(epoch))
	})

	It("takes over from a live node that has forgotten its ownership", func() {
		values := proposeSome(c, first, 5)
		expectConfirmed(c, values)
		c.crash(first)
		c.restart(first)
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("takes over from a live owner that cannot be reached", func() {
		c.crash(first)
		second := expectOwner(c)
		c.restart(first)
		c.blocked[[2]machine.ID{first.id, second.id}] = true
		c.blocked[[2]machine.ID{second.id, first.id}] = true
		Expect(c.runUntil(time.Minute, func() bool { return c.owner() == first })).To(BeTrue())
	})

	It("reads no more than the live state after a snapshot", func() {
		for range 40 {
			proposeSome(c, first, 100)
			c.run(time.Second)
			if first.replica.WantsSnapshot() {
				first.state = first.state[len(first.state)-10:]
				c.confirmed = nil
				c.snapshot(first)
				c.run(time.Second)
			}
		}
		Expect(len(c.log.entries)).To(BeNumerically(">", 4000))
		state := first.state
		c.crash(first)
		c.log.readEntries = 0
		Expect(expectOwner(c).state).To(Equal(state))
		Expect(c.log.readEntries).To(BeNumerically("<", 1200))
	})

	It("delivers records between the parts of a snapshot after its last part", func() {
		values := proposeSome(c, first, 10)
		c.snapshot(first)
		values = append(values, proposeSome(c, first, 1)...)
		c.log.extraDelay = 20 * time.Millisecond
		c.run(time.Second)
		values = append(values, proposeSome(c, first, 1)...)
		expectConfirmed(c, values)
		c.crash(first)
		Expect(expectOwner(c).state).To(Equal(values))
	})
})

var _ = Describe("Mirrors", func() {
	var c *cluster
	var first *simulatedNode

	BeforeEach(func() {
		c = newCluster(1, fiveNodes, func(config *Config) { config.MaximumUnconfirmedBytes = 64 << 10 })
		first = expectOwner(c)
	})

	AfterEach(func() {
		Expect(c.failures).To(BeEmpty())
	})

	It("confirms through a quorum while the store is down, and logs each record once when it is back", func() {
		c.log.down = true
		values := proposeSome(c, first, 20)
		expectConfirmed(c, values)
		Expect(c.mirrorConfirmations).To(Equal(20))
		Expect(c.log.entries).To(HaveLen(2))
		c.run(10 * time.Minute)
		c.log.down = false
		Expect(c.runUntil(settleTime, func() bool { return len(first.proposed) == 0 })).To(BeTrue())
		Expect(c.log.entries).To(HaveLen(22))
		c.run(settleTime)
		for _, node := range c.nodes {
			Expect(node.store.Bytes()).To(BeZero(), "mirrors must forget what the log has")
		}
	})

	It("refuses proposals at the limit during a long outage of the store, and accepts them afterwards", func() {
		c.log.down = true
		accepted := 0
		var refusal error
		for range 2000 {
			if _, refusal = c.propose(first); refusal != nil {
				break
			}
			accepted++
			c.run(time.Second)
		}
		Expect(refusal).To(MatchError(ErrFull))
		Expect(c.confirmed).To(HaveLen(accepted))
		Expect(first.replica.Unconfirmed()).To(BeNumerically("<=", 64<<10))
		c.log.down = false
		c.run(settleTime)
		expectConfirmed(c, proposeSome(c, first, 1))
	})

	It("waits, and loses nothing, when the owner dies while the store is down", func() {
		c.log.down = true
		values := proposeSome(c, first, 20)
		expectConfirmed(c, values)
		c.crash(first)
		c.run(10 * time.Minute)
		Expect(c.hasOwner()).To(BeFalse())
		c.log.down = false
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("recovers when the claimant dies during recovery", func() {
		c.log.down = true
		values := proposeSome(c, first, 20)
		expectConfirmed(c, values)
		c.crash(first)
		c.log.down = false
		recovering := func() bool {
			return slices.ContainsFunc(c.nodes, func(node *simulatedNode) bool {
				return node.alive && node.replica.State() == StateRecovering && node.replica.recover.openingSequence > 0
			})
		}
		Expect(c.runUntil(settleTime, recovering)).To(BeTrue())
		for _, node := range c.nodes {
			if node.alive && node.replica.State() == StateRecovering {
				c.crash(node)
			}
		}
		owner := expectOwner(c)
		Expect(owner.replica.Epoch()).To(Equal(uint64(3)))
		Expect(owner.state).To(Equal(values))
	})

	It("recovers each record once when the claimant dies between two of its appends", func() {
		c = newCluster(1, fiveNodes, func(config *Config) { config.MaximumBatchRecords = 4 })
		first = expectOwner(c)
		c.log.down = true
		values := proposeSome(c, first, 20)
		expectConfirmed(c, values)
		c.crash(first)
		c.log.down = false
		logged := func() bool { return len(c.log.entries) > 8 }
		Expect(c.runUntil(settleTime, logged)).To(BeTrue())
		for _, node := range c.nodes {
			if node.alive && node.replica.State() == StateRecovering {
				c.crash(node)
			}
		}
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("confirms only what both sets hold while a change of mirrors is in doubt", func() {
		old := first.replica.mirrors.current
		c.hidden[old[0].ID] = true
		c.viewChanged()
		c.log.loseAnswers = 1
		proposed := func() bool { return first.replica.mirrors.nextSequence > 0 }
		Expect(c.runUntil(settleTime, proposed)).To(BeTrue())
		added := first.replica.mirrors.next[2].ID
		c.run(logDelay / 2)
		c.log.down = true
		c.blocked[[2]machine.ID{first.id, old[2].ID}] = true
		c.blocked[[2]machine.ID{first.id, added}] = true
		values := proposeSome(c, first, 3)
		c.run(settleTime)
		Expect(c.confirmed).To(BeEmpty(), "the log names the new set already, of which one member holds them")

		delete(c.blocked, [2]machine.ID{first.id, added})
		expectConfirmed(c, values)
		c.crash(first)
		c.crash(c.node(old[1].ID))
		c.log.down = false
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("confirms nothing more once a later epoch has read the mirrors", func() {
		c.log.down = true
		before := proposeSome(c, first, 5)
		expectConfirmed(c, before)
		c.pause(first)
		c.log.down = false
		second := expectOwner(c)
		Expect(second.state).To(Equal(before))

		void := proposeSome(c, first, 5)
		c.log.down = true
		c.resume(first)
		c.run(settleTime)
		Expect(c.isConfirmed(void[0])).To(BeFalse())
		Expect(first.replica.State()).To(Equal(StateFollowing))
	})

	It("replaces a mirror that is gone", func() {
		gone := c.node(first.replica.mirrors.current[0].ID)
		c.crash(gone)
		c.run(settleTime)
		Expect(first.replica.mirrors.current).To(HaveLen(3))
		Expect(first.replica.mirrors.current).NotTo(ContainElement(HaveField("ID", gone.id)))
	})

	It("reads the previous owner itself while that process runs, though a quorum of mirrors was restarted", func() {
		c.log.down = true
		values := proposeSome(c, first, 5)
		expectConfirmed(c, values)
		for _, mirror := range first.replica.mirrors.current {
			c.crash(c.node(mirror.ID))
			c.restart(c.node(mirror.ID))
		}
		c.pause(first)
		c.log.down = false
		c.run(settleTime)
		Expect(c.hasOwner()).To(BeFalse())
		c.resume(first)
		Expect(c.runUntil(settleTime, func() bool { return c.hasOwner() && c.owner() != first })).To(BeTrue())
		Expect(c.owner().state).To(Equal(values))
		c.run(settleTime)
		Expect(first.store.Bytes()).To(BeZero())
	})

	It("goes on by policy only when nobody can answer any more", func() {
		c = newCluster(1, fiveNodes, func(config *Config) { config.AcceptLossAfter = time.Minute })
		first = expectOwner(c)
		c.log.down = true
		values := proposeSome(c, first, 5)
		expectConfirmed(c, values)
		mirrors := first.replica.mirrors.current
		c.crash(first)
		for _, node := range c.nodes {
			for _, mirror := range mirrors[:2] {
				c.blocked[[2]machine.ID{mirror.ID, node.id}] = true
			}
		}
		c.log.down = false
		c.run(10 * time.Minute)
		Expect(c.hasOwner()).To(BeFalse(), "two mirrors are live, though out of reach")
		clear(c.blocked)
		Expect(expectOwner(c).state).To(Equal(values))

		c.run(settleTime)
		second := c.owner()
		Expect(second.replica.mirrors.current).To(HaveLen(3))
		mirrors = second.replica.mirrors.current
		c.crash(second)
		c.restart(second)
		for _, mirror := range mirrors[:2] {
			c.crash(c.node(mirror.ID))
			c.restart(c.node(mirror.ID))
		}
		c.run(30 * time.Second)
		Expect(c.hasOwner()).To(BeFalse())
		c.run(time.Minute)
		Expect(expectOwner(c).state).To(Equal(values))
	})

	It("says so and waits when a quorum of mirrors has lost its memory, until the loss is accepted", func() {
		c.log.down = true
		values := proposeSome(c, first, 5)
		expectConfirmed(c, values)
		restarted := first.replica.mirrors.current[:2]
		c.crash(first)
		for _, mirror := range restarted {
			c.crash(c.node(mirror.ID))
			c.restart(c.node(mirror.ID))
		}
		c.log.down = false
		c.run(settleTime)
		Expect(c.hasOwner()).To(BeFalse())
		stalled := slices.IndexFunc(c.nodes, func(node *simulatedNode) bool {
			_, stalled := node.replica.Stall()
			return node.alive && stalled
		})
		Expect(stalled).NotTo(Equal(-1))
		stall, _ := c.nodes[stalled].replica.Stall()
		Expect(stall.Restarted).To(ConsistOf(restarted[0].ID, restarted[1].ID))

		c.deliver(c.nodes[stalled], 0, func() { c.nodes[stalled].replica.AcceptLoss(c.now) })
		owner := expectOwner(c)
		Expect(owner.state).To(Equal(values), "the third mirror held them")
		Expect(owner.replica.journal.Fold().Mirrors.AbandonedEpoch).To(Equal(uint64(1)))
	})
})
