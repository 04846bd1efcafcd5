package coordinator_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
)

// settled is long enough for a fleet to have an owner for each partition.
const settled = 3 * time.Second

// reply runs the fleet until a node has answered.
func reply(world *fleet, from machine.ID, id uint64) coordinator.Reply {
	for range 400 {
		if found, answered := world.nodes[from].replies[id]; answered {
			return found
		}
		world.run(step)
	}
	Fail("no reply")
	return coordinator.Reply{}
}

// serveAll has every owner admit a turn of a new program.
func serveAll(world *fleet) {
	for partition := range world.partitions {
		for _, owner := range world.owners(partition) {
			request := turn(fmt.Sprintf("turn-%d-%d", partition, world.nextID))
			request.Turn.Program = request.Turn.ID
			reply(world, owner, world.ask(owner, partition, coordinator.Request{Admit: request}))
		}
	}
	world.run(100 * time.Millisecond)
}

var _ = Describe("A fleet", func() {
	It("gives every partition one owner", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 7, 6)
			world.run(settled)
			for partition := range 6 {
				Expect(world.owners(partition)).To(HaveLen(1))
			}
		}
	})

	It("agrees on who the owner is", func() {
		world := newFleet(3, 7, 6)
		world.run(settled)
		for partition := range 6 {
			for _, id := range world.ids() {
				owner, known := world.nodes[id].core.Owner(world.now, partition)
				Expect(known).To(BeTrue())
				Expect([]machine.ID{owner.ID}).To(Equal(world.owners(partition)))
			}
		}
	})

	It("has a new owner within two seconds of a death, and keeps what was recorded", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 5, 1)
			world.run(settled)
			owner := world.owners(0)[0]
			admitted := reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: turn("a")}))
			await := &coordinator.AwaitRequest{Epoch: admitted.Epoch, Position: admitted.Admission.Position}
			Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Await: await})).Status).To(Equal(coordinator.ReplyDone))
			world.kill(owner)
			world.run(2 * time.Second)
			Expect(world.owners(0)).To(HaveLen(1))
			successor := world.owners(0)[0]
			Expect(successor).NotTo(Equal(owner))
			again := reply(world, successor, world.ask(successor, 0, coordinator.Request{Admit: turn("b")}))
			Expect(again.Admission.SettledTokens).To(BeNumerically(">=", 100))
		}
	})

	It("hands a partition over within half a second of a planned stop", func() {
		world := newFleet(5, 5, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.nodes[owner].core.Step(world.now, coordinator.Leave{})
		world.run(500 * time.Millisecond)
		Expect(world.owners(0)).NotTo(ContainElement(owner))
		Expect(world.owners(0)).To(HaveLen(1))
	})

	It("returns partitions by clean handovers to a node that restarts", func() {
		for seed := range uint64(8) {
			world := newFleetWith(seed, 7, 6, func(config *coordinator.Config) {
				config.Ledger.UnrecordedShare = 0.5
				config.Ledger.OwnershipProofTTL = 8 * time.Second
			})
			world.run(settled)
			serveAll(world)
			owner := world.owners(0)[0]
			world.nodes[owner].core.Step(world.now, coordinator.Leave{})
			world.run(time.Second)
			serveAll(world)
			world.kill(owner)
			world.run(time.Second)
			world.start(owner)
			world.list()
			world.run(settled)
			Expect(world.owners(0)).To(Equal([]machine.ID{owner}))
			for _, id := range world.ids() {
				for _, change := range world.nodes[id].changes {
					Expect(change.Owned && change.Inherited).To(BeFalse(), "partition %d at %s", change.Partition, id)
				}
			}
		}
	})

	It("leaves its partitions to an owner that others wrongly consider dead", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 7, 6)
			world.run(2 * settled)
			before := world.changeCount()
			owner := world.nodes[world.owners(0)[0]].self
			rumour := machine.Message{Kind: machine.MessageGossip, Updates: []machine.Update{
				{ID: owner.ID, Incarnation: owner.Incarnation, Status: machine.StatusDead},
			}}
			for _, id := range world.ids() {
				if id != owner.ID {
					from := world.nodes[id].self
					world.send(id, 0, coordinator.PeerReceived{Message: coordinator.PeerMessage{From: from, Membership: &rumour}})
				}
			}
			world.run(settled)
			Expect(world.changeCount()).To(Equal(before))
		}
	})

	It("does not wait for an owner that does not answer", func() {
		world := newFleet(4, 5, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.nodes[owner].core.Step(world.now, coordinator.Leave{})
		world.run(time.Second)
		successor := world.owners(0)[0]
		world.kill(owner)
		world.run(time.Second)
		world.nodes[successor].frozen = true
		world.start(owner)
		world.list()
		world.run(2 * time.Second)
		Expect(world.owners(0)).To(ContainElement(owner))
	})

	It("recovers when every node was lost at once", func() {
		world := newFleet(6, 5, 3)
		world.run(settled)
		for _, id := range world.ids() {
			world.kill(id)
			world.run(step)
			world.start(id)
		}
		world.list()
		world.run(settled)
		for partition := range 3 {
			Expect(world.owners(partition)).To(HaveLen(1))
		}
	})
})

var _ = Describe("An owner that is cut off", func() {
	It("from the store alone gives its partitions to a node that reaches it", func() {
		world := newFleet(7, 5, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.nodes[owner].cut = true
		world.run(2 * time.Second)
		Expect(world.owners(0)).To(HaveLen(1))
		Expect(world.owners(0)[0]).NotTo(Equal(owner))
	})

	It("keeps them in a fleet so large that nodes seldom hear each other", func() {
		for seed := range uint64(3) {
			world := newFleet(seed, 60, 8)
			world.run(4 * settled)
			for index, id := range world.ids() {
				world.nodes[id].noticeLag = time.Duration(index%12) * 100 * time.Millisecond
			}
			before := world.changeCount()
			world.setStoreUp(false)
			world.run(4 * time.Second)
			world.setStoreUp(true)
			world.run(8 * time.Second)
			Expect(world.changeCount()).To(Equal(before))
		}
	})

	It("is also not considered the owner by nodes that receive its state only through others", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 9, 6)
			world.run(2 * settled)
			for partition := range 6 {
				ids := world.ids()
				owner := world.owners(partition)[0]
				lost := world.nodes[owner]
				others := slices.DeleteFunc(ids, func(id machine.ID) bool { return id == owner })
				lost.cut = true
				lost.reachable = others[:3]
				world.run(4 * time.Second)
				for _, id := range others {
					found, _ := world.nodes[id].core.Owner(world.now, partition)
					Expect(found.ID).NotTo(Equal(owner), "seed %d, partition %d, as %s sees it", seed, partition, id)
				}
				lost.cut = false
				lost.reachable = nil
				world.run(2 * settled)
			}
		}
	})

	It("keeps them when nodes notice an outage and its end one after the other", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 7, 6)
			world.run(2 * settled)
			for index, id := range world.ids() {
				world.nodes[id].noticeLag = time.Duration(index) * 200 * time.Millisecond
			}
			before := world.changeCount()
			for range 3 {
				world.setStoreUp(false)
				world.run(4 * time.Second)
				world.setStoreUp(true)
				world.run(6 * time.Second)
			}
			Expect(world.changeCount()).To(Equal(before))
		}
	})

	It("keeps them while nobody reaches the store", func() {
		world := newFleet(8, 5, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.storeDown = true
		world.run(10 * time.Second)
		Expect(world.owners(0)).To(Equal([]machine.ID{owner}))
	})

	It("refuses turns that need the log, at once, while the log does not answer", func() {
		world := newFleet(9, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.storeDown = true
		reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: turn("a")}))
		world.run(time.Second)
		second := turn("b")
		second.Turn.Program = "another"
		Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: second})).Status).To(Equal(coordinator.ReplyStalled))
	})
})

var _ = Describe("An owner that was frozen and wakes", func() {
	// freezeOwner freezes an owner until another node has taken over and stored a turn.
	freezeOwner := func(seed uint64) (*fleet, machine.ID, machine.ID) {
		world := newFleet(seed, 5, 1)
		world.run(settled)
		previous := world.owners(0)[0]
		world.nodes[previous].frozen = true
		world.run(settled)
		successors := world.owners(0)
		successor := successors[0]
		if successor == previous {
			successor = successors[1]
		}
		keep := &coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: "kept", Program: "p", Input: []byte("in"), Output: []byte("out"), Retain: time.Minute}}
		Expect(reply(world, successor, world.ask(successor, 0, coordinator.Request{Keep: keep})).Status).To(Equal(coordinator.ReplyDone))
		return world, previous, successor
	}

	It("never says that a turn is absent which its successor has stored", func() {
		for seed := range uint64(8) {
			world, previous, _ := freezeOwner(seed)
			world.nodes[previous].frozen = false
			request := world.ask(previous, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "kept"}})
			Expect(reply(world, previous, request).Status).NotTo(Equal(coordinator.ReplyAbsent))
		}
	})

	It("makes nothing durable that it had under way", func() {
		world := newFleet(11, 5, 1)
		world.run(settled)
		previous := world.owners(0)[0]
		world.nodes[previous].frozen = true
		world.run(settled)
		keep := &coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: "late", Program: "p", Input: []byte("in"), Output: []byte("out"), Retain: time.Minute}}
		request := world.ask(previous, 0, coordinator.Request{Keep: keep})
		world.nodes[previous].frozen = false
		Expect(reply(world, previous, request).Status).NotTo(Equal(coordinator.ReplyDone))
		Expect(world.store[0].records).NotTo(HaveKey("turn/late"))
	})
})

var _ = Describe("A node", func() {
	It("knows that it is isolated when it reaches neither the store nor a peer", func() {
		world := newFleet(15, 4, 1)
		world.run(settled)
		alone := world.nodes["node-02"]
		Expect(alone.core.Isolated(world.now)).To(BeFalse())
		alone.cut = true
		world.run(settled)
		Expect(alone.core.Isolated(world.now)).To(BeFalse())
		alone.alone = true
		world.run(2 * settled)
		Expect(alone.core.Isolated(world.now)).To(BeTrue())
		alone.cut, alone.alone = false, false
		world.run(settled)
		Expect(alone.core.Isolated(world.now)).To(BeFalse())
	})

	It("knows that its zone is cut off from the store and from the other zones", func() {
		world := newZonedFleet(16, 12, 4)
		world.run(settled)
		cut := world.cutZone("zone-1")
		world.run(2 * settled)
		for id, node := range world.nodes {
			Expect(node.core.Isolated(world.now)).To(Equal(slices.Contains(cut, id)), "%s", id)
		}
		world.healZones()
		world.run(settled)
		for id, node := range world.nodes {
			Expect(node.core.Isolated(world.now)).To(BeFalse(), "%s", id)
		}
	})

	It("detects the cut within a second if its calls to the store fail", func() {
		for _, seed := range []uint64{16, 17, 18} {
			world := newZonedFleet(seed, 12, 4)
			world.contactTimeout = 1500 * time.Millisecond
			world.run(settled)
			cut := world.cutZone("zone-1")
			world.run(time.Second)
			for id, node := range world.nodes {
				Expect(node.core.Isolated(world.now)).To(Equal(slices.Contains(cut, id)), "%s", id)
			}
		}
	})

	It("is not isolated while calls of all to the store fail", func() {
		for _, seed := range []uint64{16, 17, 18} {
			world := newZonedFleet(seed, 12, 4)
			world.contactTimeout = 1500 * time.Millisecond
			world.run(settled)
			world.setStoreUp(false)
			for range 40 {
				world.run(50 * time.Millisecond)
				for id, node := range world.nodes {
					Expect(node.core.Isolated(world.now)).To(BeFalse(), "%s", id)
				}
			}
		}
	})

	It("is not isolated while the store is unavailable to all nodes", func() {
		world := newZonedFleet(17, 12, 4)
		world.run(settled)
		world.setStoreUp(false)
		world.run(2 * settled)
		for id, node := range world.nodes {
			Expect(node.core.Isolated(world.now)).To(BeFalse(), "%s", id)
		}
	})
})

var _ = Describe("An owner that is cut off from its peers and does not learn of its successor", func() {
	It("is fenced by the log, and confirms no turn that is not stored", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 5, 1)
			world.run(settled)
			previous := world.owners(0)[0]
			world.nodes[previous].alone = true
			world.run(settled)
			Expect(world.owners(0)).To(HaveLen(2))
			keep := &coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: "late", Program: "p", Input: []byte("in"), Output: []byte("out"), Retain: time.Minute}}
			Expect(reply(world, previous, world.ask(previous, 0, coordinator.Request{Keep: keep})).Status).To(Equal(coordinator.ReplyLost))
			Expect(world.owners(0)).To(HaveLen(1))
			Expect(world.store[0].records).NotTo(HaveKey("turn/late"))
		}
	})
})

var _ = Describe("The answer that a turn is absent", func() {
	It("comes once the log has confirmed the owner", func() {
		world := newFleet(12, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		request := world.ask(owner, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "unknown"}})
		Expect(reply(world, owner, request).Status).To(Equal(coordinator.ReplyAbsent))
	})

	It("does not come while the log does not answer", func() {
		world := newFleet(13, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.storeDown = true
		request := world.ask(owner, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "unknown"}})
		world.run(settled)
		Expect(world.nodes[owner].replies).NotTo(HaveKey(request))
	})
})

var _ = Describe("While the log accepts no records", func() {
	// unrecorded returns a fleet whose programs may start before the log contains them.
	unrecorded := func(seed uint64, nodes int) *fleet {
		world := newFleetWith(seed, nodes, 1, func(config *coordinator.Config) {
			config.Ledger.UnrecordedShare = 0.5
			config.Ledger.OwnershipProofTTL = 8 * time.Second
		})
		world.run(settled)
		// Once one program was admitted, the log states that programs may start
		// unrecorded.
		before := turn("before")
		before.Turn.Program = "before"
		reply(world, world.owners(0)[0], world.ask(world.owners(0)[0], 0, coordinator.Request{Admit: before}))
		world.run(100 * time.Millisecond)
		return world
	}

	It("a program may start while the owner's last proof of ownership is recent, and not later", func() {
		for seed := range uint64(8) {
			world := unrecorded(seed, 3)
			owner := world.owners(0)[0]
			world.storeDown = true
			world.run(2 * time.Second)
			first := reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: turn("a")}))
			Expect(first.Status).To(Equal(coordinator.ReplyDone))
			Expect(first.Admission.Position).To(BeZero())
			world.run(8 * time.Second)
			late := turn("b")
			late.Turn.Program = "another"
			Expect(reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: late})).Status).To(Equal(coordinator.ReplyStalled))
		}
	})

	It("the next owner counts what programs may have used at a lost owner", func() {
		for seed := range uint64(8) {
			world := unrecorded(seed, 3)
			owner := world.owners(0)[0]
			world.storeDown = true
			reply(world, owner, world.ask(owner, 0, coordinator.Request{Admit: turn("a")}))
			world.kill(owner)
			world.run(50 * time.Millisecond)
			world.storeDown = false
			world.run(2 * time.Second)
			successor := world.owners(0)[0]
			again := reply(world, successor, world.ask(successor, 0, coordinator.Request{Admit: turn("b")}))
			Expect(again.Admission.SettledTokens).To(BeNumerically(">=", 100))
		}
	})

	It("nothing is counted twice after a planned stop", func() {
		for seed := range uint64(8) {
			world := unrecorded(seed, 3)
			owner := world.owners(0)[0]
			world.nodes[owner].core.Step(world.now, coordinator.Leave{})
			world.run(500 * time.Millisecond)
			successor := world.owners(0)[0]
			Expect(successor).NotTo(Equal(owner))
			admitted := reply(world, successor, world.ask(successor, 0, coordinator.Request{Admit: turn("a")}))
			Expect(admitted.Admission.SettledTokens).To(BeZero())
		}
	})
})
