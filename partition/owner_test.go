package partition

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/zone"
)

var _ = Describe("Owner", func() {
	nodes := []machine.Machine{
		{ID: "a", Zone: "isando"}, {ID: "b", Zone: "midrand-a"}, {ID: "c", Zone: "midrand-b"},
	}
	It("names no node outside of the placement", func() {
		for index := range 1000 {
			owner, found := Owner(ID{Group: "koudeketting", Index: index}, "isando_midrand-a", nodes, "c")
			Expect(found).To(BeTrue())
			Expect(owner).NotTo(Equal(machine.ID("c")))
		}
		_, found := Owner(ID{Group: "koudeketting"}, "khalda", nodes, "")
		Expect(found).To(BeFalse())
	})

	It("moves only the partitions of a node that leaves", func() {
		for index := range 1000 {
			id := ID{Group: "koudeketting", Index: index}
			before, _ := Owner(id, "isando_midrand-a_midrand-b", nodes, "")
			after, _ := Owner(id, "isando_midrand-a_midrand-b", nodes[:2], "")
			if before != "c" {
				Expect(after).To(Equal(before))
			}
		}
	})

	It("mirrors in other zones first", func() {
		wide := append([]machine.Machine{{ID: "d", Zone: "isando"}, {ID: "e", Zone: "midrand-a"}}, nodes...)
		id := ID{Group: "koudeketting"}
		Expect(MirrorCandidates(id, zone.NewPlacement(threeZones...), wide, "a", 2)).To(ConsistOf(
			Or(Equal(machine.ID("b")), Equal(machine.ID("e"))), Equal(machine.ID("c"))))
	})
})

var _ = Describe("ID", func() {
	DescribeTable("Parse",
		func(text string, valid bool) {
			id, err := Parse(text)
			Expect(err == nil).To(Equal(valid))
			if valid {
				Expect(id.String()).To(Equal(text))
			}
		},
		Entry("the root", "~.0", true),
		Entry("a branch", "koudeketting.0", true),
		Entry("a branch below it", "koudeketting~triage.12", true),
		Entry("an empty segment", "koudeketting~~triage.12", false),
		Entry("a path", "koudeketting/triage.12", false),
		Entry("no index", "koudeketting", false),
		Entry("padded index", "koudeketting.01", false),
		Entry("negative index", "koudeketting.-1", false),
	)
})

var _ = Describe("Config", func() {
	It("reports all findings together", func() {
		_, err := NewReplica(Config{Self: "a", Writer: "b/1", MirrorCount: 3})
		for _, finding := range []string{"ID", "Writer", "Mirrors", "MirrorDelay", "AppendTimeout", "Random"} {
			Expect(err).To(MatchError(ContainSubstring(finding)))
		}
	})

	It("accepts the name of any process of the node", func() {
		Expect(recordlog.WriterMachine(recordlog.WriterName("10.0.0.1:7000", 3))).To(Equal(machine.ID("10.0.0.1:7000")))
		Expect(errors.Is(ErrFull, recordlog.ErrFull)).To(BeTrue())
	})
})
