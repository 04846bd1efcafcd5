package coordinator_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/machine"
)

var _ = Describe("A partition during a takeover", func() {
	var core *coordinator.Core
	var epoch coordinator.Takeover
	now := start.Add(time.Second)

	// read passes records of the log to the node.
	read := func(records ...ledger.Record) {
		core.Step(now, coordinator.TakeoverRead{Partition: 0, Epoch: epoch.Epoch, Records: records})
	}
	ask := func(id uint64, request coordinator.Request) {
		core.Step(now, coordinator.RequestReceived{ID: id, Partition: 0, Request: request})
	}
	keptTurn := func(id, previous string) ledger.Record {
		value := `{"program":"p","input":"aQ==","output":"bw==","retain_ms":60000`
		if previous != "" {
			value += `,"previous":"` + previous + `"`
		}
		return ledger.Record{Key: "turn/" + id, Value: []byte(value + "}")}
	}
	admitContinuing := func(id, previous string, hasChain bool) coordinator.Request {
		admit := turn(id)
		admit.Previous, admit.HasChain = previous, hasChain
		return coordinator.Request{Admit: admit}
	}
	statuses := func() map[uint64]coordinator.ReplyStatus {
		found := make(map[uint64]coordinator.ReplyStatus)
		for _, reply := range core.Ready().Replies {
			found[reply.ID] = reply.Status
		}
		return found
	}

	BeforeEach(func() {
		self := machine.Machine{ID: "self", Kind: machine.KindNode, Zone: "z", Address: "10.0.0.9:1", Incarnation: 1}
		config := coordinator.DefaultConfig(self, 1, rand.New(rand.NewPCG(1, 2)))
		made, err := coordinator.New(start, config)
		Expect(err).NotTo(HaveOccurred())
		core = made
		core.Step(start, coordinator.NodeListRead{})
		core.Step(now, coordinator.StoreContact{Reached: true, Last: now})
		core.Step(now, coordinator.Tick{})
		takeovers := core.Ready().Takeovers
		Expect(takeovers).To(HaveLen(1))
		epoch = takeovers[0]
	})

	It("serves first turns once the accounts are read, and holds requests that need an unread turn", func() {
		ask(1, admitContinuing("t1", "", false))
		read()
		read(ledger.Record{Key: "account/p", Value: []byte(`{"mark":50,"retain_ms":60000}`)})
		Expect(statuses()).To(BeEmpty())
		read(keptTurn("a", ""), keptTurn("c", "b"))
		Expect(statuses()).To(Equal(map[uint64]coordinator.ReplyStatus{1: coordinator.ReplyDone}))
		ask(2, admitContinuing("t2", "a", false))
		ask(3, admitContinuing("t3", "unread", true))
		ask(4, admitContinuing("t4", "c", false))
		ask(5, coordinator.Request{Find: &coordinator.FindRequest{Turn: "unread"}})
		Expect(statuses()).To(Equal(map[uint64]coordinator.ReplyStatus{2: coordinator.ReplyDone, 3: coordinator.ReplyDone}))
		read(keptTurn("b", ""))
		Expect(statuses()).To(Equal(map[uint64]coordinator.ReplyStatus{4: coordinator.ReplyDone}))
	})

	It("reports a turn as absent only once all records are read", func() {
		read(keptTurn("a", ""))
		ask(1, admitContinuing("t1", "nowhere", false))
		Expect(statuses()).To(BeEmpty())
		core.Step(now, coordinator.TakeoverEnded{Partition: 0, Epoch: epoch.Epoch})
		Expect(statuses()).To(Equal(map[uint64]coordinator.ReplyStatus{1: coordinator.ReplyAbsent}))
	})

	It("has the requester retry if the turn is not read in time", func() {
		read(keptTurn("a", ""))
		ask(1, admitContinuing("t1", "unread", false))
		core.Step(now.Add(time.Second), coordinator.Tick{})
		Expect(statuses()).To(Equal(map[uint64]coordinator.ReplyStatus{1: coordinator.ReplyNotOwner}))
	})

	It("is read no more once a peer serves a higher epoch", func() {
		read()
		peer := machine.Machine{ID: "peer", Kind: machine.KindNode, Zone: "z", Address: "10.0.0.8:1", Incarnation: 1, Status: machine.StatusLive}
		core.Step(now, coordinator.PeerReceived{Message: coordinator.PeerMessage{From: peer, Status: &coordinator.Status{
			ReachesStore: true, Owners: []coordinator.Owner{{Partition: 0, Epoch: epoch.Epoch + 1, Node: "peer", TakingOver: true}},
		}}})
		Expect(core.Ready().Stopped).To(ConsistOf(coordinator.Stopped{Partition: 0, Epoch: epoch.Epoch}))
		read(keptTurn("a", ""))
		Expect(core.Ready().Changes).To(BeEmpty())
	})
})
