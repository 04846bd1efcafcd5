package platformmodel_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/machine"
)

var start = time.Unix(1_700_000_000, 0)

// at returns the time that many seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var _ = Describe("The machine list", func() {
	node := func(status machine.Status) machine.Machine {
		return machine.Machine{ID: "n", Kind: machine.KindNode, Status: status}
	}

	It("shows each change after the lag, in order", func() {
		list := platformmodel.NewMachineList(2*time.Second, 0)
		list.Announce(at(0), node(machine.StatusLive))
		list.Announce(at(1), node(machine.StatusLeaving))
		list.Withdraw(at(2), "n")
		Expect(list.Machines(at(1.9))).To(BeEmpty())
		Expect(list.Machines(at(2))).To(HaveExactElements(HaveField("Status", machine.StatusLive)))
		Expect(list.Machines(at(3.5))).To(HaveExactElements(HaveField("Status", machine.StatusLeaving)))
		Expect(list.Machines(at(4))).To(BeEmpty())
	})

	It("drops an entry that is not renewed", func() {
		list := platformmodel.NewMachineList(0, 5*time.Second)
		list.Announce(at(0), node(machine.StatusLive))
		list.Announce(at(4), node(machine.StatusLive))
		Expect(list.Machines(at(8))).To(HaveLen(1))
		Expect(list.Machines(at(9.5))).To(BeEmpty())
		list.Announce(at(10), node(machine.StatusLive))
		Expect(list.Machines(at(10))).To(HaveLen(1))
	})
})

var _ = Describe("The weight store", func() {
	It("delivers one model after another", func() {
		store := platformmodel.NewWeightStore(8 * time.Second)
		Expect(store.Reserve(at(0), "a")).To(Equal(8 * time.Second))
		Expect(store.Reserve(at(1), "b")).To(Equal(15 * time.Second))
		Expect(store.Reserve(at(60), "c")).To(Equal(8 * time.Second))
	})
})

var _ = Describe("The log", func() {
	It("does not share entries with the caller that appended them", func() {
		log := platformmodel.NewLog()
		entry := []byte("one")
		Expect(log.Append("s", [][]byte{entry})).To(BeZero())
		entry[0] = 'x'
		entries, end := log.Read("s", 0, 10, 100)
		Expect(entries).To(Equal([][]byte{[]byte("one")}))
		Expect(end).To(BeEquivalentTo(1))
	})

	It("bounds a read by its bytes, but gives at least one entry", func() {
		log := platformmodel.NewLog()
		log.Append("s", [][]byte{make([]byte, 50), make([]byte, 50), make([]byte, 500)})
		entries, end := log.Read("s", 0, 10, 100)
		Expect(entries).To(HaveLen(2))
		Expect(end).To(BeEquivalentTo(3))
		entries, _ = log.Read("s", 2, 10, 100)
		Expect(entries).To(HaveLen(1))
	})
})

var _ = Describe("A tool service", func() {
	It("counts each run of a key, so that a double run shows", func() {
		service := platformmodel.NewToolService(platformmodel.KindCollections)
		first, err := service.Run(at(0), "k", "issue_plan_receipt", "plan")
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Run(at(1), "k", "issue_plan_receipt", "plan")).To(Equal(first))
		run, found := service.Lookup("k")
		Expect(found).To(BeTrue())
		Expect(run.Count).To(Equal(2))
		_, err = service.Run(at(2), "other", "record_seal_break", "")
		Expect(err).To(HaveOccurred())
	})
})
