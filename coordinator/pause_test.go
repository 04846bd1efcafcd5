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

// storeTurns has an owner store turns that end shortly after each other, and returns how
// many appends that took.
func storeTurns(world *fleet, owner machine.ID, turns int) int {
	before := world.appendCount
	var requests []uint64
	for index := range turns {
		keep := &coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: fmt.Sprintf("t-%d", index), Program: "p", Input: []byte("in"), Retain: time.Minute}}
		requests = append(requests, world.ask(owner, 0, coordinator.Request{Keep: keep}))
		world.run(2 * step)
	}
	for _, id := range requests {
		Expect(reply(world, owner, id).Status).To(Equal(coordinator.ReplyDone))
	}
	return world.appendCount - before
}

var _ = Describe("Appends to one partition", func() {
	It("are shared by turns that end shortly after each other", func() {
		world := newFleet(31, 3, 1)
		world.run(settled)
		paused := storeTurns(world, world.owners(0)[0], 12)
		world = newFleetWith(31, 3, 1, func(config *coordinator.Config) { config.MinAppendInterval = 0 })
		world.run(settled)
		Expect(2 * paused).To(BeNumerically("<=", storeTurns(world, world.owners(0)[0], 12)))
	})

	It("begin at once where none was made lately", func() {
		world := newFleet(32, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		request := world.ask(owner, 0, coordinator.Request{Keep: &coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: "t", Program: "p", Retain: time.Minute}}})
		begun := world.now
		Expect(reply(world, owner, request).Status).To(Equal(coordinator.ReplyDone))
		Expect(world.now.Sub(begun)).To(BeNumerically("<=", 2*appendDelay+2*step))
	})

	It("prove the absence of a turn along with records that are due", func() {
		world := newFleet(33, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		before := world.appendCount
		find := world.ask(owner, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "none"}})
		world.run(4 * step)
		Expect(world.appendCount).To(Equal(before))
		keep := world.ask(owner, 0, coordinator.Request{Keep: &coordinator.KeepRequest{Turn: ledger.StoredTurn{ID: "t", Program: "p", Retain: time.Minute}}})
		Expect(reply(world, owner, keep).Status).To(Equal(coordinator.ReplyDone))
		Expect(reply(world, owner, find).Status).To(Equal(coordinator.ReplyAbsent))
		Expect(world.appendCount).To(Equal(before + 1))
	})

	It("prove the absence of a turn also where no record is due", func() {
		world := newFleet(34, 3, 1)
		world.run(settled)
		owner := world.owners(0)[0]
		find := world.ask(owner, 0, coordinator.Request{Find: &coordinator.FindRequest{Turn: "none"}})
		Expect(reply(world, owner, find).Status).To(Equal(coordinator.ReplyAbsent))
	})
})
