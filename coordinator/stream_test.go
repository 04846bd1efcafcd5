package coordinator_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
)

// streamsPerSpec is the number of streams that begin in a spec, streamInterval apart.
const (
	streamsPerSpec = 40
	streamInterval = 25 * time.Millisecond
	// streamsInAppend are those that may begin while an append waits or is in flight.
	streamsInAppend = 3
)

// beginStreams begins streams at the owner of partition 0, of two versions by turns.
func beginStreams(world *fleet, owner machine.ID) {
	for index := range streamsPerSpec {
		stream := &ledger.Stream{Attempt: fmt.Sprint("a", index), Origin: originOf(index)}
		request := coordinator.Request{Begin: stream}
		if index%4 < 2 {
			admit := turn(stream.Attempt)
			admit.Turn.Program = stream.Attempt
			admit.Begin = stream
			request = coordinator.Request{Admit: admit}
		}
		reply(world, owner, world.ask(owner, 0, request))
		world.run(streamInterval)
	}
}

func originOf(index int) ledger.StreamOrigin {
	return ledger.StreamOrigin{Service: "model", Version: fmt.Sprint("v", index%2)}
}

// resumable counts the streams whose origin an owner knows. It fails on a wrong origin.
func resumable(world *fleet, owner machine.ID) (count int) {
	for index := range streamsPerSpec {
		request := coordinator.Request{Origin: &coordinator.OriginRequest{Attempt: fmt.Sprint("a", index)}}
		answer := reply(world, owner, world.ask(owner, 0, request))
		switch answer.Status {
		case coordinator.ReplyDone:
			Expect(*answer.Origin).To(Equal(originOf(index)))
			count++
		default:
			Expect(answer.Status).To(Equal(coordinator.ReplyAbsent))
			Expect(answer.Origin).To(BeNil())
		}
	}
	return count
}

var _ = Describe("The origins of streams", func() {
	It("are known to the owner at once", func() {
		world := newFleet(1, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		beginStreams(world, owner)
		Expect(resumable(world, owner)).To(Equal(streamsPerSpec))
	})

	It("are known after the loss of the owner, but for the last ones", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 5, 1)
			world.run(settled)
			owner := world.owners(0)[0]
			beginStreams(world, owner)
			world.kill(owner)
			world.run(settled)
			Expect(resumable(world, world.owners(0)[0])).To(BeNumerically(">=", streamsPerSpec-streamsInAppend))
		}
	})

	It("are known after the loss of all nodes, but for the last ones", func() {
		for seed := range uint64(8) {
			world := newFleet(seed, 3, 1)
			world.run(settled)
			beginStreams(world, world.owners(0)[0])
			for _, id := range world.ids() {
				world.kill(id)
				world.start(id)
			}
			world.list()
			world.run(settled)
			Expect(resumable(world, world.owners(0)[0])).To(BeNumerically(">=", streamsPerSpec-streamsInAppend))
		}
	})

	It("all pass to the next owner with a planned stop", func() {
		world := newFleet(2, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		beginStreams(world, owner)
		world.send(owner, 0, coordinator.Leave{})
		world.run(settled)
		successor := world.owners(0)[0]
		Expect(successor).NotTo(Equal(owner))
		Expect(resumable(world, successor)).To(Equal(streamsPerSpec))
	})

	It("are known to their owner while the store is away, and recorded once it is back", func() {
		world := newFleet(3, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		world.setStoreUp(false)
		for index := range streamsPerSpec {
			request := coordinator.Request{Begin: &ledger.Stream{Attempt: fmt.Sprint("a", index), Origin: originOf(index)}}
			Expect(reply(world, owner, world.ask(owner, 0, request)).Status).To(Equal(coordinator.ReplyDone))
		}
		Expect(resumable(world, owner)).To(Equal(streamsPerSpec))
		world.setStoreUp(true)
		world.run(settled)
		world.kill(owner)
		world.run(settled)
		Expect(resumable(world, world.owners(0)[0])).To(Equal(streamsPerSpec))
	})
})
