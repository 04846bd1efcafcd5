package machine

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A node that restarts after a planned stop", func() {
	const restarted = 3

	It("is live again for a peer that read the old leaving entry after an update about the new process", func() {
		f := newFleet(10, 16)
		f.run(5 * time.Second)
		observer := f.members[0].Membership
		id := f.list[restarted].ID
		seen := func() bool {
			return slices.ContainsFunc(observer.Nodes(), func(node Machine) bool { return node.ID == id })
		}

		newer := Update{ID: id, Incarnation: 1000, Status: StatusLive}
		observer.Step(f.now, f.list[1].ID, Message{Kind: MessageGossip, Updates: []Update{newer}})
		lagging := slices.Clone(f.list)
		lagging[restarted].Status = StatusLeaving
		observer.Observe(f.now, lagging)
		current := slices.Clone(f.list)
		current[restarted].Incarnation = 1000
		observer.Observe(f.now, current)
		Expect(seen()).To(BeTrue())
	})

	It("answers a rumour that it is leaving", func() {
		f := newFleet(10, 17)
		f.run(5 * time.Second)
		self := f.members[restarted].Membership
		rumour := Update{ID: f.list[restarted].ID, Incarnation: f.list[restarted].Incarnation, Status: StatusLeaving}
		self.Step(f.now, f.list[1].ID, Message{Kind: MessageGossip, Updates: []Update{rumour}})
		Expect(self.selfUpdate().Status).To(Equal(StatusLive))
		Expect(self.selfUpdate().Incarnation).To(BeNumerically(">", rumour.Incarnation))
	})
})
