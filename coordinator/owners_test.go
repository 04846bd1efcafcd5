package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

var _ = Describe("The owner record of a partition", func() {
	peer := func(index int) machine.Machine {
		return machine.Machine{
			ID: machine.ID(fmt.Sprintf("peer-%d", index)), Kind: machine.KindNode, Zone: "z",
			Address: fmt.Sprintf("10.0.0.%d:1", index), Status: machine.StatusLive, Incarnation: 1,
		}
	}
	// newCore returns a node that knows three peers and reaches the store.
	newCore := func() *coordinator.Core {
		self := machine.Machine{ID: "self", Kind: machine.KindNode, Zone: "z", Address: "10.0.0.9:1", Incarnation: 1}
		config := coordinator.DefaultConfig(self, 2, rand.New(rand.NewPCG(1, 2)))
		core, err := coordinator.New(start, config)
		Expect(err).NotTo(HaveOccurred())
		core.Step(start, coordinator.NodeListRead{Nodes: []machine.Machine{peer(1), peer(2), peer(3)}})
		return core
	}
	hear := func(core *coordinator.Core, owner coordinator.Owner) {
		core.Step(start, coordinator.PeerReceived{Message: coordinator.PeerMessage{
			From: peer(1), Status: &coordinator.Status{ReachesStore: true, Owners: []coordinator.Owner{owner}},
		}})
	}
	ownerOf := func(core *coordinator.Core) machine.ID {
		owner, _ := core.Owner(start, 0)
		return owner.ID
	}

	It("has the highest epoch received, from whichever node", func() {
		core := newCore()
		hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2"})
		Expect(ownerOf(core)).To(Equal(machine.ID("peer-2")))
		hear(core, coordinator.Owner{Partition: 0, Epoch: 6, Node: "peer-3"})
		Expect(ownerOf(core)).To(Equal(machine.ID("peer-2")))
		hear(core, coordinator.Owner{Partition: 0, Epoch: 8, Node: "peer-3"})
		Expect(ownerOf(core)).To(Equal(machine.ID("peer-3")))
		hear(core, coordinator.Owner{Partition: 9, Epoch: 8, Node: "peer-3"})
	})

	It("is returned to requesters if this node is not the owner", func() {
		core := newCore()
		request := coordinator.RequestReceived{ID: 1, Partition: 0, Request: coordinator.Request{Find: &coordinator.FindRequest{}}}
		core.Step(start, request)
		Expect(core.Ready().Replies).To(ConsistOf(coordinator.Reply{ID: 1, Status: coordinator.ReplyNotOwner}))
		known := coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2"}
		core.Step(start, coordinator.OwnerReported{Owner: known})
		core.Step(start, request)
		Expect(core.Ready().Replies).To(ConsistOf(coordinator.Reply{ID: 1, Status: coordinator.ReplyNotOwner, Owner: &known}))
		Expect(ownerOf(core)).To(Equal(machine.ID("peer-2")))
	})

	It("is ignored in favour of the rank once the owner denies that it serves", func() {
		core := newCore()
		byRank := ownerOf(core)
		for index := 1; index <= 3; index++ {
			hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: peer(index).ID})
			core.Step(start, coordinator.OwnershipDenied{Partition: 0, Node: peer(index).ID})
			Expect(ownerOf(core)).To(Equal(byRank))
			core = newCore()
		}
		hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2"})
		core.Step(start, coordinator.OwnershipDenied{Partition: 0, Node: "peer-3"})
		Expect(ownerOf(core)).To(Equal(machine.ID("peer-2")))
	})

	It("does not select an owner that has lost the store, until it reports recovery", func() {
		core := newCore()
		later := start.Add(10 * time.Second)
		core.Step(later, coordinator.StoreContact{Reached: true, Last: later})
		hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2", Revision: 1, StoreUnreachable: true})
		hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2"})
		for index := range 2 {
			owner, _ := core.Owner(later, 0)
			Expect(owner.ID == "peer-2").To(Equal(index == 1))
			hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2", Revision: 2})
			core.Step(later, coordinator.PeerReceived{Message: coordinator.PeerMessage{
				From: peer(2), Status: &coordinator.Status{ReachesStore: true},
			}})
		}
	})

	It("is sent a bounded number of times", func() {
		core := newCore()
		hear(core, coordinator.Owner{Partition: 0, Epoch: 7, Node: "peer-2"})
		records := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
			core.Step(now, coordinator.Tick{})
			for _, message := range core.Ready().Messages {
				if message.Message.Status != nil {
					records += len(message.Message.Status.Owners)
				}
			}
		}
		Expect(records).To(And(BeNumerically(">=", 6), BeNumerically("<=", 20)))
	})
})
